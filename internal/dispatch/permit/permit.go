// Package permit makes all entry hosts use an upstream as one. A host that wants
// to send a keyed request to an upstream asks the upstream's primary, another
// entry host, for a permit; the request itself goes straight to the upstream.
// Permits are for quality only: a host whose primary is silent goes on by its
// own judgement.
package permit

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// Error is the class of all errors of this package.
var Error = errs.Class("permit")

const (
	// logPrefix starts each line that this package logs.
	logPrefix = "permit: "
	// askTimeout bounds the answer to a question, which comes at once.
	askTimeout = 150 * time.Millisecond
	// suspectFor is how long a primary that did not answer is not asked.
	suspectFor = time.Second
	// doneTimeout bounds the return of a permit.
	doneTimeout = time.Second
)

// Caller sends requests to other hosts.
type Caller interface {
	Call(ctx context.Context, address netip.AddrPort, request links.Payload) (links.Payload, error)
	// Drop ends the link to a host, so that requests that wait for it fail.
	Drop(address netip.AddrPort)
}

// Permit is the right to send one request to an upstream.
type Permit struct {
	Target admit.Target
	// Source says who gave the permit, for the log.
	Source string

	desk    *Desk
	ticket  *admit.Ticket
	ask     admit.Ask
	primary netip.AddrPort
	number  uint64
	began   time.Time
}

// Desk gets permits for the requests of one entry host.
type Desk struct {
	self   string
	local  *admit.Board
	exact  *admit.Board
	caller Caller
	clock  clockwork.Clock
	log    log.Interface

	mutex    sync.Mutex
	entries  []state.Entry
	suspects map[string]time.Time
}

// NewDesk returns the desk of the named host. Local is the host's own board,
// and exact the one of the upstreams whose primary the host is.
func NewDesk(self string, local, exact *admit.Board, caller Caller, clock clockwork.Clock, logger log.Interface) *Desk {
	return &Desk{
		self: self, local: local, exact: exact, caller: caller, clock: clock, log: logger,
		suspects: map[string]time.Time{},
	}
}

// Update takes over the entry hosts.
func (desk *Desk) Update(entries []state.Entry) {
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, func(left, right state.Entry) int { return cmp.Compare(left.Name, right.Name) })
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.entries = sorted
}

// primary returns the host that gives out an upstream's permits: by rendezvous
// hashing one of the upstream's data centre, where there is one.
func (desk *Desk) primary(target admit.Target) (state.Entry, bool) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	now := desk.clock.Now()
	var best state.Entry
	var bestScore uint64
	found, foundNear := false, false
	for _, entry := range desk.entries {
		if entry.Draining || !entry.Peer.IsValid() || now.Before(desk.suspects[entry.Name]) {
			continue
		}
		near := entry.DataCentre == target.DataCentre
		if foundNear && !near {
			continue
		}
		score := xxhash.Sum64String(target.Owner.ID + "/" + entry.Name)
		if !found || near && !foundNear || score > bestScore {
			best, bestScore, found, foundNear = entry, score, true, near
		}
	}
	return best, found
}

func (desk *Desk) suspect(entry state.Entry, cause error) {
	desk.mutex.Lock()
	desk.suspects[entry.Name] = desk.clock.Now().Add(suspectFor)
	desk.mutex.Unlock()
	desk.caller.Drop(entry.Peer)
	desk.log.WithError(cause).WithField("primary", entry.Name).Warn(logPrefix + "a primary did not answer")
}

// errMoved says that the key may have got another owner while a request waited.
var errMoved = Error.New("the owner may have changed")

// Acquire returns a permit, at once or after a wait, or a refusal.
func (desk *Desk) Acquire(ctx context.Context, ask admit.Ask) (*Permit, *admit.Refusal) {
	if !ask.Keyed {
		return desk.own(ctx, desk.local, ask, "host")
	}
	for {
		target, changed, refusal := desk.local.Owner(ctx, ask)
		if refusal != nil {
			return nil, refusal
		}
		entry, found := desk.primary(target)
		if !found {
			return desk.own(ctx, desk.local, ask, "host")
		}
		if entry.Name == desk.self {
			exact := ask
			exact.Owner = target.Owner
			return desk.own(ctx, desk.exact, exact, "self")
		}
		permit, refusal, err := desk.ask(ctx, entry, target, ask, changed)
		switch {
		case errors.Is(err, errMoved):
			continue
		case err != nil && ctx.Err() == nil:
			desk.suspect(entry, err)
			continue
		case err != nil:
			return nil, &admit.Refusal{Reason: admit.ReasonCallerLeft}
		}
		return permit, refusal
	}
}

func (desk *Desk) own(ctx context.Context, board *admit.Board, ask admit.Ask, source string) (*Permit, *admit.Refusal) {
	ticket, refusal := board.Acquire(ctx, ask)
	if refusal != nil {
		return nil, refusal
	}
	return &Permit{Target: ticket.Target, Source: source, desk: desk, ticket: ticket, ask: ask, began: desk.clock.Now()}, nil
}

// ask asks another host for a permit, and waits for it as long as the key's
// owner stays.
func (desk *Desk) ask(ctx context.Context, entry state.Entry, target admit.Target, ask admit.Ask, changed <-chan struct{}) (*Permit, *admit.Refusal, error) {
	request, err := payload(kindAsk, askMessage{
		Service: ask.Service, ID: target.Owner.ID, Born: target.Owner.Born, Priority: ask.Priority,
		Left: ask.Deadline.Sub(desk.clock.Now()).Round(time.Millisecond),
		Goal: ask.Goal.Sub(desk.clock.Now()).Round(time.Millisecond),
	})
	if err != nil {
		return nil, nil, err
	}
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	reply, err := desk.caller.Call(limited, entry.Peer, request)
	cancel()
	if err != nil {
		return nil, nil, Error.New("ask for a permit: %w", err)
	}
	permit := &Permit{Target: target, Source: entry.Name, desk: desk, ask: ask, primary: entry.Peer}
	if reply.Kind == kindQueued {
		var queued grantMessage
		if err := codec.Unmarshal(reply.Head, &queued); err != nil {
			return nil, nil, Error.New("decode place in the queue: %w", err)
		}
		reply, err = desk.await(ctx, entry, queued.Number, target, ask, changed)
		if err != nil {
			return nil, nil, err
		}
	}
	return permit.take(reply)
}

// await waits for a queued permit. It ends early where the owner has changed.
func (desk *Desk) await(ctx context.Context, entry state.Entry, number uint64, target admit.Target, ask admit.Ask, changed <-chan struct{}) (links.Payload, error) {
	request, err := payload(kindAwait, awaitMessage{Number: number})
	if err != nil {
		return links.Payload{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	moved := make(chan struct{})
	go func() {
		defer close(moved)
		if desk.ownerLeft(ctx, target, ask, changed) {
			cancel()
		}
	}()
	reply, err := desk.caller.Call(ctx, entry.Peer, request)
	if err == nil {
		return reply, nil
	}
	cancelled := ctx.Err() != nil
	cancel()
	<-moved
	if now, _, refusal := desk.local.Owner(context.Background(), ask); cancelled && refusal == nil && now.Owner != target.Owner {
		return links.Payload{}, errMoved
	}
	return links.Payload{}, Error.New("wait for a permit: %w", err)
}

// ownerLeft waits until the context ends or the key has another owner.
func (desk *Desk) ownerLeft(ctx context.Context, target admit.Target, ask admit.Ask, changed <-chan struct{}) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
		now, next, refusal := desk.local.Owner(ctx, ask)
		if refusal != nil {
			return false
		}
		if now.Owner != target.Owner {
			return true
		}
		changed = next
	}
}

// take reads the primary's final answer.
func (permit *Permit) take(reply links.Payload) (*Permit, *admit.Refusal, error) {
	switch reply.Kind {
	case kindGranted:
		var granted grantMessage
		if err := codec.Unmarshal(reply.Head, &granted); err != nil {
			return nil, nil, Error.New("decode permit: %w", err)
		}
		permit.number = granted.Number
		permit.began = permit.desk.clock.Now()
		return permit, nil, nil
	case kindRefused:
		var refused refuseMessage
		if err := codec.Unmarshal(reply.Head, &refused); err != nil {
			return nil, nil, Error.New("decode refusal: %w", err)
		}
		return nil, &admit.Refusal{Reason: refused.Reason, RetryAfter: refused.RetryAfter}, nil
	default:
		return nil, nil, Error.New("the primary answered %q", reply.Kind)
	}
}

// Done gives the permit back and notes how the request ended.
func (permit *Permit) Done(result admit.Result, load *admit.Load) {
	desk := permit.desk
	if result == admit.ResultMisplaced && permit.ask.Keyed {
		desk.local.Misplaced(permit.ask, permit.Target.Owner)
	}
	if permit.ticket != nil {
		permit.ticket.Done(result, load)
		if permit.Source != "host" && result == admit.ResultAnswered {
			desk.local.Learn(permit.Target.Owner, permit.ask.Service, desk.clock.Now().Sub(permit.began), load)
		}
		return
	}
	if result == admit.ResultAnswered {
		desk.local.Learn(permit.Target.Owner, permit.ask.Service, desk.clock.Now().Sub(permit.began), load)
	}
	go permit.giveBack(result, load)
}

// giveBack tells the primary. A permit that is lost on the way is taken back by
// its deadline.
func (permit *Permit) giveBack(result admit.Result, load *admit.Load) {
	desk := permit.desk
	request, err := payload(kindDone, doneMessage{Number: permit.number, Result: result, Load: encodeLoad(load)})
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
		defer cancel()
		_, err = desk.caller.Call(ctx, permit.primary, request)
	}
	if err != nil {
		desk.log.WithError(err).WithField("upstream", permit.Target.Owner.ID).Warn(logPrefix + "a permit could not be given back")
	}
}

// Owner returns the upstream's name for logs.
func (permit *Permit) Owner() spans.Owner { return permit.Target.Owner }
