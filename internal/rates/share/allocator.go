// Package share enforces the rate limits of workspaces across all entry hosts. The
// control leader keeps one token bucket per workspace and lends tokens from it to
// the hosts. In addition, each host is granted an expiring share of the rate, to
// which it falls back while it can't reach the leader. The shares that may be in
// use at any time never add up to more than the whole rate.
package share

import (
	"math"
	"time"
)

const (
	// ShareTerm is how long a share is valid after its grant. It covers a failover of
	// the control leader.
	ShareTerm = 5 * time.Second
	// evenFraction is the fraction of an even share that every host gets regardless
	// of its demand.
	evenFraction = 0.25
	// shareSteps is the resolution of shares: they are multiples of 1/shareSteps.
	shareSteps = 1024
	// shareTolerance is the largest change of a share, absolute or relative to it,
	// that is not sent to the host.
	shareTolerance = 0.03
	// maxGrants bounds the grants that are kept per host until a later one is
	// acknowledged. Older ones are merged into the oldest that is kept.
	maxGrants = 8
)

// Shares are a host's shares, as fractions of the rates by workspace.
type Shares map[string]float64

// grantRecord is a grant whose shares the host may be using.
type grantRecord struct {
	number uint64
	until  time.Time
	shares Shares
}

// hostState is what the leader knows of one entry host.
type hostState struct {
	grants      []grantRecord
	demand      map[string]float64
	lastContact time.Time
}

// maxInUse returns the largest share that the host may be using.
func (hoststate *hostState) maxInUse(workspace string, now time.Time) float64 {
	share := 0.0
	for _, grant := range hoststate.grants {
		if now.Before(grant.until) {
			share = max(share, grant.shares[workspace])
		}
	}
	return share
}

// Report is a host's request for shares and tokens.
type Report struct {
	Host string
	// Got is the number of the last grant that the host received.
	Got uint64
	// Held are the shares that the host has, set if the leader asked for them, and
	// Left is their remaining validity.
	Held Shares
	Left time.Duration
	// Demand is the rate of requests to the host by workspace, in requests per second.
	Demand map[string]float64
	// Need is the number of tokens by workspace that the host wants to borrow in
	// advance.
	Need map[string]float64
}

// Grant is the reply to a Report.
type Grant struct {
	// Unknown asks for a report with Held set; nothing is granted.
	Unknown bool
	Number  uint64
	// Parts replace the host's shares. If nil, the host keeps its current ones.
	Parts Shares
	// Term is how long the shares are valid after the report was sent.
	Term time.Duration
	// Lent are the tokens lent in advance, by workspace.
	Lent map[string]float64
}

// Allocator is the control leader's record of token buckets and of all shares that
// hosts may be using. A new leader learns the shares from the hosts' reports. The
// zero Allocator is empty.
type Allocator struct {
	hosts      map[string]*hostState
	buckets    map[string]*bucket
	lastNumber uint64
	// inheritedUntil is when shares granted by earlier leaders have certainly expired.
	inheritedUntil time.Time
	// allKnown is set once every host that may have shares has reported.
	allKnown bool
	// allRestarted is set if none of those hosts had shares, so all had just started:
	// no tokens were lent or spent for at least minRestartTime.
	allRestarted bool
}

// termShift is the number of low bits in a grant's number that count the grants
// of one term.
const termShift = 32

// Reset discards all state at the start of a leader's term. Grant numbers increase
// from term to term.
func (allocator *Allocator) Reset(now time.Time, term uint64) {
	*allocator = Allocator{inheritedUntil: now.Add(ShareTerm), lastNumber: term << termShift}
}

// RemoveHost removes a host whose shares have expired.
func (allocator *Allocator) RemoveHost(host string) {
	if hoststate, known := allocator.hosts[host]; known {
		for _, grant := range hoststate.grants {
			allocator.refillAll(grant.until)
		}
		delete(allocator.hosts, host)
	}
}

// reachable reports whether the host was in contact recently enough not to use its
// shares.
func (hoststate *hostState) reachable(now time.Time) bool {
	return now.Sub(hoststate.lastContact) < LeaderTimeout
}

// recordContact records that the host is reachable. Buckets are refilled before, since
// it may have been using its shares until now.
func (allocator *Allocator) recordContact(now time.Time, hoststate *hostState) {
	if !hoststate.reachable(now) {
		allocator.refillAll(now)
	}
	hoststate.lastContact = now
}

// Grant processes a host's report. The hosts are all entry hosts that may have
// shares from an earlier leader.
func (allocator *Allocator) Grant(now time.Time, report Report, hosts []string, rates map[string]Rate) Grant {
	if allocator.hosts == nil {
		allocator.hosts = map[string]*hostState{}
	}
	hoststate, known := allocator.hosts[report.Host]
	if !known {
		if report.Left > 0 && report.Held == nil {
			return Grant{Unknown: true}
		}
		hoststate = &hostState{}
		allocator.hosts[report.Host] = hoststate
		if report.Left > 0 {
			hoststate.grants = []grantRecord{{number: report.Got, shares: report.Held, until: now.Add(min(report.Left, ShareTerm))}}
		}
	}
	hoststate.demand = report.Demand
	allocator.recordContact(now, hoststate)
	hoststate.dropSuperseded(report.Got, now)
	current := hoststate.acknowledged(report.Got)
	allocator.lastNumber++
	answer := Grant{Number: allocator.lastNumber, Parts: Shares{}, Term: ShareTerm}
	complete := allocator.knowsAllShares(now, hosts)
	for workspace, rate := range rates {
		if rate.PerSecond <= 0 {
			continue
		}
		share := hoststate.maxInUse(workspace, now)
		if complete {
			share = allocator.allocate(now, report.Host, workspace, rate.PerSecond, len(hosts))
		}
		answer.Parts[workspace] = math.Floor(share*shareSteps) / shareSteps
	}
	if current.closeTo(answer.Parts) {
		answer.Parts = current
	}
	hoststate.grants = append(hoststate.grants, grantRecord{number: answer.Number, shares: answer.Parts, until: now.Add(ShareTerm)})
	if current != nil && current.closeTo(answer.Parts) {
		answer.Parts = nil // the host already has them
	}
	answer.Lent = allocator.lendInAdvance(now, report.Need, rates)
	return answer
}

// acknowledged returns the shares of the grant that the host has received, or nil.
func (hoststate *hostState) acknowledged(got uint64) Shares {
	for _, grant := range hoststate.grants {
		if grant.number == got && got > 0 {
			return grant.shares
		}
	}
	return nil
}

// closeTo reports whether the shares differ from others by shareTolerance at most.
func (shares Shares) closeTo(others Shares) bool {
	if shares == nil || len(shares) != len(others) {
		return false
	}
	for workspace, share := range shares {
		other, ok := others[workspace]
		if !ok || math.Abs(share-other) > max(shareTolerance, shareTolerance*share) {
			return false
		}
	}
	return true
}

// dropSuperseded removes expired grants and those that the host has replaced by a
// later one, and merges the oldest beyond maxGrants.
func (hoststate *hostState) dropSuperseded(got uint64, now time.Time) {
	kept := hoststate.grants[:0]
	for _, grant := range hoststate.grants {
		if now.Before(grant.until) && (got == 0 || grant.number >= got) {
			kept = append(kept, grant)
		}
	}
	if len(kept) > maxGrants {
		merged := Shares{}
		for _, grant := range kept[:len(kept)-maxGrants+1] {
			for workspace, share := range grant.shares {
				merged[workspace] = max(merged[workspace], share)
			}
		}
		kept = kept[len(kept)-maxGrants:]
		kept[0].shares = merged
	}
	hoststate.grants = kept
}

// knowsAllShares reports whether the allocator knows all shares that may be in use.
func (allocator *Allocator) knowsAllShares(now time.Time, hosts []string) bool {
	if !now.Before(allocator.inheritedUntil) {
		return true
	}
	for _, host := range hosts {
		if _, known := allocator.hosts[host]; !known {
			return false
		}
	}
	if !allocator.allKnown {
		allocator.refillAll(now)
		allocator.allKnown, allocator.allRestarted = true, allocator.noSharesInUse(now)
	}
	return true
}

// noSharesInUse reports whether no host has a valid share.
func (allocator *Allocator) noSharesInUse(now time.Time) bool {
	for _, hoststate := range allocator.hosts {
		for _, grant := range hoststate.grants {
			for _, share := range grant.shares {
				if share > 0 && now.Before(grant.until) {
					return false
				}
			}
		}
	}
	return true
}

// allocate returns a host's share of a workspace's rate. Within the rate, that is
// its demand and a portion of the unused rate. If the total demand exceeds the rate,
// it is mostly in proportion to its demand. In both cases evenFraction of the
// divided amount is split evenly. The share never exceeds what the other hosts
// leave.
func (allocator *Allocator) allocate(now time.Time, host, workspace string, rate float64, count int) float64 {
	free, total := 1.0, 0.0
	for name, hoststate := range allocator.hosts {
		total += hoststate.demand[workspace]
		if name != host {
			free -= hoststate.maxInUse(workspace, now)
		}
	}
	count = max(count, len(allocator.hosts))
	even := 1 / float64(count)
	own := allocator.hosts[host].demand[workspace]
	wanted := even
	switch {
	case total > rate:
		wanted = evenFraction*even + (1-evenFraction)*own/total
	case total > 0:
		spare := (rate - total) / rate
		wanted = own/rate + spare*(evenFraction*even+(1-evenFraction)*own/total)
	}
	return max(0, min(wanted, free))
}
