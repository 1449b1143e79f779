// Package admit decides on an entry host which requests go to which upstream,
// which wait, and which are refused. It uses no network and takes its time from
// the clock that is passed in.
package admit

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

const (
	// leastWork is the part of the typical time, in tenths, that must be left for
	// a request to be sent at all.
	leastWorkTenths = 6
	// goalWorkTenths is the same for an answer that should come before its goal.
	goalWorkTenths = 12
	// leastRetryAfter is the shortest time after which callers are told to return.
	leastRetryAfter = 100 * time.Millisecond
	// ownerPoll is how often a request whose key has no owner looks again.
	ownerPoll = 30 * time.Millisecond
	// ownerRetryAfter is when callers may return whose key had no owner: about the
	// time between two heartbeats of an upstream.
	ownerRetryAfter = 400 * time.Millisecond
	// misplacedPause is how long keys wait that their owner did not hold.
	misplacedPause = 150 * time.Millisecond
	// overloadMemory is how long a refusal counts as a sign of overload.
	overloadMemory = time.Second
	// maxQueue bounds the requests that wait at one host for one service.
	maxQueue = 512
	// retryRatio is the part of requests that may be sent once more.
	retryRatio = 0.17
	// retryBurst is the number of repeats that a host may save up.
	retryBurst = 4.0
)

// service is what the board knows of one service.
type service struct {
	table     spans.Table
	upstreams map[spans.Owner]*upstream
	// unsettled are spans that their owner does not serve at the moment, by first
	// key.
	unsettled map[uint16]unsettled
	waiters   []*waiter
	retries   float64
	// overloadedAt is when a request was last refused for a long queue.
	overloadedAt time.Time
	// changed is closed when targets or owners change.
	changed chan struct{}
}

// Board keeps account of all upstreams and of the requests that wait for them.
type Board struct {
	dataCentre string
	// exact boards see all requests to their upstreams, so that windows are fixed.
	exact bool
	clock clockwork.Clock

	mutex    sync.Mutex
	services map[string]*service
	arrivals uint64
	random   *rand.Rand
}

// NewBoard returns the empty board of an entry host in the data centre.
func NewBoard(dataCentre string, clock clockwork.Clock, seed uint64) *Board {
	return &Board{
		dataCentre: dataCentre, clock: clock, services: map[string]*service{},
		random: rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // spreads load, guards nothing
	}
}

// NewExact returns the empty board of the primary of some upstreams, through
// which all requests to them go.
func NewExact(clock clockwork.Clock, seed uint64) *Board {
	board := NewBoard("", clock, seed)
	board.exact = true
	return board
}

// Update takes over the targets of a service and the owners of its keys.
func (board *Board) Update(name string, targets []Target, table spans.Table) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	now := board.clock.Now()
	known := board.service(name)
	before := known.table.Version
	known.table = table
	known.unsettle(before, now)
	present := map[spans.Owner]*upstream{}
	for _, target := range targets {
		entry, ok := known.upstreams[target.Owner]
		if ok {
			entry.retarget(target, now)
		} else {
			entry = newUpstream(target, now, board.exact)
		}
		present[target.Owner] = entry
	}
	known.upstreams = present
	close(known.changed)
	known.changed = make(chan struct{})
	board.pump(known, now)
}

// Owner returns the upstream that owns the key asked for, as soon as it serves
// it, and a channel that closes when that may have changed.
func (board *Board) Owner(ctx context.Context, ask Ask) (Target, <-chan struct{}, *Refusal) {
	timer := board.clock.NewTimer(ask.Deadline.Sub(board.clock.Now()) - board.leastWork(ask.Service))
	defer timer.Stop()
	for {
		board.mutex.Lock()
		known := board.service(ask.Service)
		entry, changed := board.candidate(known, ask, board.clock.Now(), false), known.changed
		board.mutex.Unlock()
		if entry != nil {
			return entry.target, changed, nil
		}
		select {
		case <-changed:
		case <-board.clock.After(ownerPoll):
		case <-ctx.Done():
			return Target{}, nil, &Refusal{Reason: ReasonCallerLeft, RetryAfter: leastRetryAfter}
		case <-timer.Chan():
			return Target{}, nil, &Refusal{Reason: ReasonNoOwner, RetryAfter: ownerRetryAfter}
		}
	}
}

func (board *Board) service(name string) *service {
	known, ok := board.services[name]
	if !ok {
		known = &service{
			changed:   make(chan struct{}),
			upstreams: map[spans.Owner]*upstream{}, unsettled: map[uint16]unsettled{}, retries: retryBurst,
		}
		board.services[name] = known
	}
	return known
}

// ownerOf returns the upstream that a keyed request is for.
func (service *service) ownerOf(ask Ask) spans.Owner {
	if ask.Owner != (spans.Owner{}) {
		return ask.Owner
	}
	return service.table.Find(ask.Key).Owner
}

// candidate returns the upstream to send to: the owner of the key, or the one
// that is expected to answer first. With open set it must have room now.
func (board *Board) candidate(known *service, ask Ask, now time.Time, open bool) *upstream {
	if ask.Keyed {
		return known.owner(ask, now, open)
	}
	var best *upstream
	var bestCost time.Duration
	warm := known.has(func(entry *upstream) bool { return !entry.target.Cold && !entry.target.Leaving })
	for _, entry := range known.upstreams {
		target := entry.target
		if !ask.fits(target) || warm && target.Cold {
			continue
		}
		if open && !entry.open(now) {
			continue
		}
		cost := entry.expected(now) + board.distance(target)
		if target.Silent && now.Sub(entry.answeredAt) > time.Second {
			cost += maxPause
		}
		if best == nil || cost < bestCost || cost == bestCost && board.random.IntN(2) == 0 {
			best, bestCost = entry, cost
		}
	}
	return best
}

// owner returns the upstream that owns the key asked for, if it serves it.
func (service *service) owner(ask Ask, now time.Time, open bool) *upstream {
	entry, ok := service.upstreams[service.ownerOf(ask)]
	if ask.Owner == (spans.Owner{}) {
		span := service.table.Find(ask.Key)
		if mark, marked := service.unsettled[span.From]; marked && mark.fence == span.Fence && now.Before(mark.until) {
			return nil
		}
	}
	switch {
	case !ok, entry.target.Leaving && now.After(entry.target.LeaveBy), open && !entry.open(now):
		return nil
	}
	return entry
}

func (service *service) has(wanted func(*upstream) bool) bool {
	for _, entry := range service.upstreams {
		if wanted(entry) {
			return true
		}
	}
	return false
}

func (board *Board) distance(target Target) time.Duration {
	if board.exact || target.DataCentre == board.dataCentre {
		return 0
	}
	return remoteCost
}

// unsettled marks a span whose owner does not serve it yet, or no longer.
type unsettled struct {
	fence uint64
	until time.Time
}

// unsettle marks the spans that changed hands after the version, for the time
// that their owners need to learn of it.
func (service *service) unsettle(version uint64, now time.Time) {
	maps.DeleteFunc(service.unsettled, func(_ uint16, mark unsettled) bool { return now.After(mark.until) })
	if version == 0 {
		return
	}
	for _, span := range service.table.Spans {
		if span.Fence > version && span.Settle > 0 {
			service.unsettled[span.From] = unsettled{fence: span.Fence, until: now.Add(span.Settle)}
		}
	}
}

// misplaced notes that an upstream does not hold the key of a request.
func (service *service) misplaced(ticket *Ticket, now time.Time) {
	span := service.table.Find(ticket.ask.Key)
	if ticket.ask.Keyed && span.Owner == ticket.Target.Owner {
		service.unsettled[span.From] = unsettled{fence: span.Fence, until: now.Add(misplacedPause)}
	}
}
