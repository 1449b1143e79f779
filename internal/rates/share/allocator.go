// Package share enforces the rate limits of workspaces across all entry hosts. The
// control leader divides most of each rate among the control hosts, as shares that
// expire. They lend tokens of their shares to the entry hosts near them without asking the
// leader, also while they can't reach it. The rest of the rate is a token bucket on the
// leader, from which they borrow what their shares don't cover.
package share

import (
	"container/heap"
	"math"
	"time"
)

const (
	// ShareTerm is how long a share is valid after its grant. It covers a failover of
	// the control leader.
	ShareTerm = 5 * time.Second
	// maxShared is the fraction of a rate that is divided into shares. The rest is lent
	// where it is needed, also by a new leader that does not know all shares yet.
	maxShared = 0.6
	// maxHeadroom is the largest share as a multiple of the host's demand, so that a
	// host that sees few requests leaves tokens for others.
	maxHeadroom = 2.5
	// minShareTokens is the smallest share that is granted, in tokens of the burst, unless
	// minShare is smaller. A host can accumulate one whole token whatever its share is, so
	// many tiny shares would add up to more than the burst.
	minShareTokens = 0.5
	minShare       = 0.05
	// topUpReserve is the fraction of a bucket that is not used to top up hosts.
	topUpReserve = 0.5
	// shareSteps is the resolution of shares: they are multiples of 1/shareSteps.
	shareSteps = 1 << 16
	// shareTolerance is the largest change of a share, relative to it, that is not sent
	// to the host.
	shareTolerance = 0.1
	// maxGrants bounds the grants that are kept per host until a later one is
	// acknowledged. Older ones are merged into the oldest that is kept.
	maxGrants = 8
	// maxDemand bounds the demand that a host may report, in requests per second.
	maxDemand = 1e6
)

// Shares are a host's shares, as fractions of the rates by workspace.
type Shares map[string]float64

// grantRecord is a grant whose shares the host may be using.
type grantRecord struct {
	number uint64
	until  time.Time
	shares Shares
}

// hostState is what the leader knows of one host.
type hostState struct {
	grants []grantRecord
	// inUse are the largest shares that the host may be using.
	inUse  Shares
	demand map[string]float64
	// lastReport is the sequence of the last report.
	lastReport uint64
}

// largest returns the largest share of each workspace in the host's grants.
func (hoststate *hostState) largest() Shares {
	largest := make(Shares, len(hoststate.inUse))
	for _, grant := range hoststate.grants {
		for workspace, share := range grant.shares {
			largest[workspace] = max(largest[workspace], share)
		}
	}
	return largest
}

// Report is a host's request for shares.
type Report struct {
	Host string
	// Standing is set if the host spends its shares at all times. Entry hosts of earlier
	// versions do so only while they can't reach the leader, and are granted none.
	Standing bool
	// Sequence increases with each report of one process.
	Sequence uint64
	// Got is the number of the last grant that the host received.
	Got uint64
	// Held are the shares that the host has, set if the leader asked for them, and
	// Left is their remaining validity.
	Held Shares
	Left time.Duration
	// Demand is the rate of requests to the host by workspace, in requests per second.
	Demand map[string]float64
	// Returned are tokens of the host's shares that it could not use, and Wanted are those
	// by which it could be topped up, both by workspace.
	Returned map[string]float64
	Wanted   map[string]float64
}

// Grant is the reply to a Report.
type Grant struct {
	// Unknown asks for a report with Held set; nothing is granted.
	Unknown bool
	// Standing is set if the host may spend the shares at all times. Leaders of earlier
	// versions lend the whole rate beside them.
	Standing bool
	Number   uint64
	// Parts replace the host's shares. If nil, the host keeps its current ones.
	Parts Shares
	// Term is how long the shares are valid after the report was sent.
	Term time.Duration
	// Tokens are those of the leader's buckets that the host gets with larger shares or to
	// top it up, by workspace.
	Tokens map[string]float64
}

// expiry is when a grant of a host expires.
type expiry struct {
	at   time.Time
	host string
}

// expiryQueue is a heap of expiries, the earliest first.
type expiryQueue []expiry

// Len implements heap.Interface.
func (expiryqueue expiryQueue) Len() int { return len(expiryqueue) }

// Less implements heap.Interface.
func (expiryqueue expiryQueue) Less(left, right int) bool {
	return expiryqueue[left].at.Before(expiryqueue[right].at)
}

// Swap implements heap.Interface.
func (expiryqueue expiryQueue) Swap(left, right int) {
	expiryqueue[left], expiryqueue[right] = expiryqueue[right], expiryqueue[left]
}

// Push implements heap.Interface.
func (expiryqueue *expiryQueue) Push(added any) {
	*expiryqueue = append(*expiryqueue, added.(expiry)) //nolint:errcheck,forcetypeassert // only expiries are pushed
}

// Pop implements heap.Interface.
func (expiryqueue *expiryQueue) Pop() any {
	last := (*expiryqueue)[len(*expiryqueue)-1]
	*expiryqueue = (*expiryqueue)[:len(*expiryqueue)-1]
	return last
}

// Allocator is the control leader's record of token buckets and of all shares that
// hosts may be using. The work for one call depends on the workspaces that the calling
// host sees, and not on the number of hosts. A new leader learns the shares from the
// hosts' reports. The zero Allocator is empty.
type Allocator struct {
	hosts      map[string]*hostState
	buckets    map[string]*bucket
	expiries   expiryQueue
	lastNumber uint64
	// inheritedUntil is when shares granted by earlier leaders have certainly expired.
	inheritedUntil time.Time
	// reserveFree is set if earlier leaders can't have granted shares of more than
	// maxShared of a rate.
	reserveFree bool
	// allKnown is set once every host that may have shares has reported.
	allKnown bool
	// allRestarted is set if none of those hosts had shares, so all had just started:
	// no tokens were lent or spent for at least minRestartTime.
	allRestarted bool
	// visits counts the shares and demands that were looked at, for tests of how the
	// work grows.
	visits int
}

// termShift is the number of low bits in a grant's number that count the grants
// of one term.
const termShift = 32

// Reset discards all state at the start of a leader's term. Grant numbers increase
// from term to term. ReserveFree must only be set if all earlier leaders whose shares
// may be valid kept maxShared.
func (allocator *Allocator) Reset(now time.Time, term uint64, reserveFree bool) {
	*allocator = Allocator{inheritedUntil: now.Add(ShareTerm), lastNumber: term << termShift, reserveFree: reserveFree}
}

// AddHost records a host that has no shares.
func (allocator *Allocator) AddHost(host string) {
	if _, known := allocator.hosts[host]; !known {
		allocator.host(time.Time{}, Report{Host: host})
	}
}

// KnowsAllShares reports whether the allocator knows all shares that may be in use. Until
// then, Grant needs to be told the hosts.
func (allocator *Allocator) KnowsAllShares(now time.Time) bool {
	return allocator.allKnown || !now.Before(allocator.inheritedUntil)
}

// RemoveHost removes a host whose shares have expired.
func (allocator *Allocator) RemoveHost(now time.Time, host string) {
	allocator.expire(now)
	if hoststate, known := allocator.hosts[host]; known {
		hoststate.grants = nil
		allocator.updateInUse(now, hoststate)
		allocator.setDemand(hoststate, nil)
		delete(allocator.hosts, host)
	}
}

// expire drops the grants that have expired. Buckets are refilled up to each expiry
// before, at the fraction of the rate that was lendable then.
func (allocator *Allocator) expire(now time.Time) {
	for len(allocator.expiries) > 0 && !now.Before(allocator.expiries[0].at) {
		due, ok := heap.Pop(&allocator.expiries).(expiry)
		if !ok {
			return
		}
		hoststate, known := allocator.hosts[due.host]
		if !known {
			continue
		}
		hoststate.dropSuperseded(0, due.at)
		allocator.updateInUse(due.at, hoststate)
		if len(hoststate.grants) == 0 {
			allocator.setDemand(hoststate, nil) // it has not reported for ShareTerm
		}
	}
}

// updateInUse updates the shares that a host may be using to its grants. It returns the
// tokens that leave the buckets with shares that became larger.
func (allocator *Allocator) updateInUse(at time.Time, hoststate *hostState) map[string]float64 {
	moved := map[string]float64{}
	next := hoststate.largest()
	for workspace, share := range hoststate.inUse {
		if _, kept := next[workspace]; !kept {
			allocator.changeShared(at, workspace, -share)
		}
	}
	for workspace, share := range next {
		if change := share - hoststate.inUse[workspace]; change != 0 {
			if tokens := allocator.changeShared(at, workspace, change); tokens > 0 {
				moved[workspace] = tokens
			}
		}
	}
	allocator.visits += len(hoststate.inUse) + len(next)
	hoststate.inUse = next
	return moved
}

// changeShared changes the sum of a workspace's shares. It returns the tokens that the
// bucket can no longer keep.
func (allocator *Allocator) changeShared(at time.Time, workspace string, change float64) float64 {
	bucket := allocator.known(at, workspace)
	allocator.refill(at, bucket)
	bucket.shared += change
	excess := max(0, bucket.tokens-bucket.capacity())
	bucket.tokens -= excess
	return excess
}

// setDemand replaces the demand that a host reported.
func (allocator *Allocator) setDemand(hoststate *hostState, demand map[string]float64) {
	for workspace, perSecond := range hoststate.demand {
		allocator.buckets[workspace].demand -= perSecond
	}
	allocator.visits += len(hoststate.demand) + len(demand)
	hoststate.demand = make(map[string]float64, len(demand))
	for workspace, perSecond := range demand {
		bucket, known := allocator.buckets[workspace]
		if !known || math.IsNaN(perSecond) || perSecond <= 0 {
			continue
		}
		// Multiples of 1/demandSteps, so that sums of them stay exact.
		perSecond = math.Ceil(min(perSecond, maxDemand)*demandSteps) / demandSteps
		bucket.demand += perSecond
		hoststate.demand[workspace] = perSecond
	}
}

// Grant processes a host's report. The hosts are all that may have shares from an earlier
// leader; they are not needed once KnowsAllShares.
func (allocator *Allocator) Grant(now time.Time, report Report, hosts []string, rates map[string]Rate) Grant {
	allocator.expire(now)
	hoststate, ok := allocator.host(now, report)
	if !ok {
		return Grant{Unknown: true}
	}
	for workspace := range report.Demand {
		if rate, limited := rates[workspace]; limited && rate.PerSecond > 0 {
			allocator.bucket(now, workspace, rate)
		}
	}
	allocator.setDemand(hoststate, report.Demand)
	allocator.addReturned(now, hoststate, report)
	hoststate.dropSuperseded(report.Got, now)
	allocator.updateInUse(now, hoststate)
	current := hoststate.acknowledged(report.Got)
	allocator.lastNumber++
	answer := Grant{Number: allocator.lastNumber, Standing: true, Parts: Shares{}, Term: ShareTerm}
	if report.Standing {
		answer.Parts = allocator.divide(now, hoststate, hosts)
	}
	if current.closeTo(answer.Parts) {
		answer.Parts = current
	}
	hoststate.grants = append(hoststate.grants, grantRecord{number: answer.Number, shares: answer.Parts, until: now.Add(ShareTerm)})
	heap.Push(&allocator.expiries, expiry{at: now.Add(ShareTerm), host: report.Host})
	answer.Tokens = allocator.updateInUse(now, hoststate)
	allocator.topUp(now, report.Wanted, answer.Tokens)
	if current != nil && current.closeTo(answer.Parts) {
		answer.Parts = nil // the host already has them
	}
	return answer
}

// host returns the state of the reporting host. It reports false if the host must first
// report the shares that it has from an earlier leader.
func (allocator *Allocator) host(now time.Time, report Report) (*hostState, bool) {
	if hoststate, known := allocator.hosts[report.Host]; known {
		return hoststate, true
	}
	if report.Left > 0 && report.Held == nil {
		return nil, false
	}
	if allocator.hosts == nil {
		allocator.hosts = map[string]*hostState{}
	}
	hoststate := &hostState{}
	allocator.hosts[report.Host] = hoststate
	if report.Left > 0 {
		until := now.Add(min(report.Left, ShareTerm))
		hoststate.grants = []grantRecord{{number: report.Got, shares: report.Held, until: until}}
		heap.Push(&allocator.expiries, expiry{at: until, host: report.Host})
		allocator.updateInUse(now, hoststate)
	}
	return hoststate, true
}

// addReturned adds the tokens that a host returns to the buckets, once a report: a report
// whose answer was lost is sent again.
func (allocator *Allocator) addReturned(now time.Time, hoststate *hostState, report Report) {
	if hoststate.lastReport == report.Sequence {
		return
	}
	hoststate.lastReport = report.Sequence
	for workspace, tokens := range report.Returned {
		share := hoststate.inUse[workspace]
		bucket, known := allocator.buckets[workspace]
		if !known || share == 0 || !(tokens > 0) {
			continue
		}
		allocator.refill(now, bucket)
		most := share * (bucket.rate.PerSecond*ShareTerm.Seconds() + bucket.rate.Burst)
		bucket.tokens = min(bucket.capacity(), bucket.tokens+min(tokens, most))
	}
}

// topUp adds tokens that a host wants to keep for a time without the leader, as far as
// the buckets have enough for others.
func (allocator *Allocator) topUp(now time.Time, wanted, tokens map[string]float64) {
	for workspace, most := range wanted {
		bucket, known := allocator.buckets[workspace]
		if !known || !(most > 0) {
			continue
		}
		allocator.refill(now, bucket)
		given := math.Floor(min(most, bucket.tokens-topUpReserve*bucket.capacity())*demandSteps) / demandSteps
		if given > 0 {
			bucket.tokens -= given
			tokens[workspace] += given
		}
	}
	allocator.visits += len(wanted)
}

// divide returns the shares that a host gets of the rates that it has demand for. While
// shares of an earlier leader may be unknown, it keeps what it has.
func (allocator *Allocator) divide(now time.Time, hoststate *hostState, hosts []string) Shares {
	complete := allocator.learnsAllShares(now, hosts)
	parts := make(Shares, len(hoststate.demand))
	for workspace, demand := range hoststate.demand {
		bucket := allocator.buckets[workspace]
		share := hoststate.inUse[workspace]
		if complete {
			share = bucket.shareFor(demand, share)
		}
		share = math.Floor(share*shareSteps) / shareSteps
		if share > 0 && (share >= minShare || share*bucket.rate.Burst >= minShareTokens) {
			parts[workspace] = share
		}
	}
	return parts
}

// shareFor returns the share of a host with the given demand. It is in proportion to the
// host's part of the whole demand, and never exceeds what the other hosts leave.
func (bucket *bucket) shareFor(demand, inUse float64) float64 {
	free := maxShared - (bucket.shared - inUse)
	wanted := min(maxShared*demand/bucket.demand, maxHeadroom*demand/bucket.rate.PerSecond)
	return max(0, min(wanted, free))
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
		if !ok || math.Abs(share-other) > max(1.0/shareSteps, shareTolerance*share) {
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

// learnsAllShares reports whether the allocator knows all shares that may be in use, now
// that some host has reported.
func (allocator *Allocator) learnsAllShares(now time.Time, hosts []string) bool {
	if allocator.KnowsAllShares(now) {
		return true
	}
	for _, host := range hosts {
		if _, known := allocator.hosts[host]; !known {
			return false
		}
	}
	allocator.refillAll(now)
	allocator.allKnown, allocator.allRestarted = true, allocator.noSharesInUse()
	return true
}

// noSharesInUse reports whether no host has a valid share.
func (allocator *Allocator) noSharesInUse() bool {
	for _, bucket := range allocator.buckets {
		if bucket.shared > 0 {
			return false
		}
	}
	return true
}
