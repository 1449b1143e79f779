// Package share keeps workspaces within their rates over all entry hosts. The
// control leader lends tokens of one bucket for each workspace. Besides, each
// host has a standing part of the rate with an expiry, on which it goes on while
// it does not reach the leader; the parts that may be in use never add up to
// more than the whole rate.
package share

import (
	"math"
	"time"
)

const (
	// Term is how long a part counts after its grant. It outlasts a change of
	// the control leader.
	Term = 5 * time.Second
	// floorPart is what every host gets of an even division, whatever its demand.
	floorPart = 0.25
	// partSteps is how finely rates are divided.
	partSteps = 1024
	// partTolerance is by how much a part may change before a host is told.
	partTolerance = 0.03
	// keptGrants bounds the unacknowledged grants that are remembered per host;
	// older ones are counted with the oldest remembered.
	keptGrants = 8
)

// Parts are fractions of rates, by workspace.
type Parts map[string]float64

// grant is what a host was told and may be using.
type grant struct {
	number uint64
	until  time.Time
	parts  Parts
}

// holder is one host's account.
type holder struct {
	grants  []grant
	demand  map[string]float64
	heardAt time.Time
}

// inUse returns the largest part that the host may be using.
func (holder *holder) inUse(workspace string, now time.Time) float64 {
	part := 0.0
	for _, grant := range holder.grants {
		if now.Before(grant.until) {
			part = max(part, grant.parts[workspace])
		}
	}
	return part
}

// Report is what a host says when it asks for its parts.
type Report struct {
	Host string
	// Got is the number of the last grant that reached the host.
	Got uint64
	// Held are the parts that the host uses, if the leader asked for them, and
	// Left is how long they still count.
	Held Parts
	Left time.Duration
	// Demand is what callers ask of the host, in requests per second.
	Demand map[string]float64
	// Need is the number of tokens that the host lacks until its next report.
	Need map[string]float64
}

// Grant is the answer to a Report.
type Grant struct {
	// Unknown asks for a report with the parts held; nothing is granted.
	Unknown bool
	Number  uint64
	// Parts are in force from now on. Without them those held go on, for Term.
	Parts Parts
	Term  time.Duration
	// Lent are tokens lent ahead, by workspace.
	Lent map[string]float64
}

// Book is the account of all parts that hosts may be using. It belongs to the
// control leader; a new leader learns the parts from the hosts. The zero Book
// is empty.
type Book struct {
	hosts map[string]*holder
	banks map[string]*bank
	next  uint64
	// openAt is when parts granted by an earlier leader have surely ended.
	openAt time.Time
	// allKnown is set once every host that may hold parts has reported.
	allKnown bool
	// anew is set where all of them had just started: nobody lent or spent anything
	// for a while.
	anew bool
}

// termShift leaves room for a term's grants below the number of the term.
const termShift = 32

// Reset empties the book at the start of a leader's term. Numbers of grants
// grow from term to term.
func (book *Book) Reset(now time.Time, term uint64) {
	*book = Book{openAt: now.Add(Term), next: term << termShift}
}

// Forget drops a host whose parts have ended.
func (book *Book) Forget(host string) { delete(book.hosts, host) }

// Grant answers a host's report. Hosts are all entry hosts that may hold parts
// from an earlier leader.
func (book *Book) Grant(now time.Time, report Report, hosts []string, rates map[string]Rate) Grant {
	if book.hosts == nil {
		book.hosts = map[string]*holder{}
	}
	account, known := book.hosts[report.Host]
	if !known {
		if report.Left > 0 && report.Held == nil {
			return Grant{Unknown: true}
		}
		account = &holder{}
		book.hosts[report.Host] = account
		if report.Left > 0 {
			account.grants = []grant{{number: report.Got, parts: report.Held, until: now.Add(min(report.Left, Term))}}
		}
	}
	account.demand = report.Demand
	account.heardAt = now
	account.settle(report.Got, now)
	held := account.held(report.Got)
	book.next++
	answer := Grant{Number: book.next, Parts: Parts{}, Term: Term}
	complete := book.complete(now, hosts)
	for workspace, rate := range rates {
		if rate.PerSecond <= 0 {
			continue
		}
		part := account.inUse(workspace, now)
		if complete {
			part = book.part(now, report.Host, workspace, rate.PerSecond, len(hosts))
		}
		answer.Parts[workspace] = math.Floor(part*partSteps) / partSteps
	}
	if held.near(answer.Parts) {
		answer.Parts = held
	}
	account.grants = append(account.grants, grant{number: answer.Number, parts: answer.Parts, until: now.Add(Term)})
	if held != nil && held.near(answer.Parts) {
		answer.Parts = nil // the host holds them already
	}
	answer.Lent = book.ahead(now, report.Need, rates)
	return answer
}

// held returns the parts of the grant that the host has got, or nil.
func (holder *holder) held(got uint64) Parts {
	for _, grant := range holder.grants {
		if grant.number == got && got > 0 {
			return grant.parts
		}
	}
	return nil
}

// near tells whether the parts are so much like others that they stay.
func (parts Parts) near(others Parts) bool {
	if parts == nil || len(parts) != len(others) {
		return false
	}
	for workspace, part := range parts {
		other, ok := others[workspace]
		if !ok || math.Abs(part-other) > max(partTolerance, partTolerance*part) {
			return false
		}
	}
	return true
}

// settle drops the grants that a later one has replaced at the host.
func (holder *holder) settle(got uint64, now time.Time) {
	kept := holder.grants[:0]
	for _, grant := range holder.grants {
		if now.Before(grant.until) && (got == 0 || grant.number >= got) {
			kept = append(kept, grant)
		}
	}
	if len(kept) > keptGrants {
		merged := Parts{}
		for _, grant := range kept[:len(kept)-keptGrants+1] {
			for workspace, part := range grant.parts {
				merged[workspace] = max(merged[workspace], part)
			}
		}
		kept = kept[len(kept)-keptGrants:]
		kept[0].parts = merged
	}
	holder.grants = kept
}

// complete tells whether all parts that may be in use are in the book.
func (book *Book) complete(now time.Time, hosts []string) bool {
	if !now.Before(book.openAt) {
		return true
	}
	for _, host := range hosts {
		if _, known := book.hosts[host]; !known {
			return false
		}
	}
	if !book.allKnown {
		book.allKnown, book.anew = true, book.nobodyHolds(now)
	}
	return true
}

// nobodyHolds tells whether no host came with parts of an earlier leader.
func (book *Book) nobodyHolds(now time.Time) bool {
	for _, account := range book.hosts {
		for _, grant := range account.grants {
			for _, part := range grant.parts {
				if part > 0 && now.Before(grant.until) {
					return false
				}
			}
		}
	}
	return true
}

// part returns what a host gets of a workspace's rate: its demand and an even
// part of what nobody asks for, or its part of the demand where that is beyond
// the rate, never more than others leave.
func (book *Book) part(now time.Time, host, workspace string, rate float64, count int) float64 {
	free, total := 1.0, 0.0
	for name, account := range book.hosts {
		total += account.demand[workspace]
		if name != host {
			free -= account.inUse(workspace, now)
		}
	}
	count = max(count, len(book.hosts))
	even := 1 / float64(count)
	own := book.hosts[host].demand[workspace]
	wanted := even
	switch {
	case total > rate:
		wanted = floorPart*even + (1-floorPart)*own/total
	case total > 0:
		spare := (rate - total) / rate
		wanted = own/rate + spare*(floorPart*even+(1-floorPart)*own/total)
	}
	return max(0, min(wanted, free))
}
