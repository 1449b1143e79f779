package permit

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

const (
	// permitSlack is how long after its deadline a permit that was not given back
	// is taken back.
	permitSlack = 300 * time.Millisecond
	// sweepEvery is how often lost permits are looked for.
	sweepEvery = time.Second
)

// entry is a permit that was asked for.
type entry struct {
	waiting *admit.Waiting
	ticket  *admit.Ticket
	// until is when the permit is taken back.
	until time.Time
}

// Primary gives out permits for the upstreams whose primary this host is. Other
// hosts ask it over links.
type Primary struct {
	board *admit.Board
	clock clockwork.Clock
	log   log.Interface

	mutex   sync.Mutex
	next    uint64
	entries map[uint64]*entry
	sweptAt time.Time
}

// NewPrimary returns a primary that gives out the board's tickets.
func NewPrimary(board *admit.Board, clock clockwork.Clock, logger log.Interface) *Primary {
	return &Primary{board: board, clock: clock, log: logger, entries: map[uint64]*entry{}}
}

// Serve answers a request of another host.
func (primary *Primary) Serve(ctx context.Context, request links.Payload) links.Payload {
	reply, err := primary.answer(ctx, request)
	if err != nil {
		primary.log.WithError(err).Warn(logPrefix + "a request of another host can't be answered")
		return links.Payload{Kind: kindUnknown}
	}
	return reply
}

func (primary *Primary) answer(ctx context.Context, request links.Payload) (links.Payload, error) {
	switch request.Kind {
	case kindAsk:
		var message askMessage
		if err := codec.Unmarshal(request.Head, &message); err != nil {
			return links.Payload{}, Error.New("decode question: %w", err)
		}
		return primary.ask(message)
	case kindAwait:
		var message awaitMessage
		if err := codec.Unmarshal(request.Head, &message); err != nil {
			return links.Payload{}, Error.New("decode wait: %w", err)
		}
		return primary.await(ctx, message.Number)
	case kindDone:
		var message doneMessage
		if err := codec.Unmarshal(request.Head, &message); err != nil {
			return links.Payload{}, Error.New("decode end: %w", err)
		}
		primary.done(message)
		return links.Payload{Kind: kindTaken}, nil
	default:
		return links.Payload{}, Error.New("request %q is not known", request.Kind)
	}
}

// ask answers at once: with a permit, a place in the queue, or a refusal.
func (primary *Primary) ask(message askMessage) (links.Payload, error) {
	now := primary.clock.Now()
	deadline := now.Add(message.Left)
	waiting, refusal := primary.board.Enqueue(admit.Ask{
		Service: message.Service, Keyed: message.ID != "", Owner: message.owner(), Place: message.Place, Priority: message.Priority,
		Goal: now.Add(message.Goal), Deadline: deadline,
	})
	if refusal != nil {
		return refuse(refusal)
	}
	held := &entry{waiting: waiting, until: deadline.Add(permitSlack)}
	number := primary.enter(held, now)
	ticket, refusal := waiting.Decided()
	switch {
	case refusal != nil:
		primary.forget(number)
		return refuse(refusal)
	case ticket != nil:
		primary.hold(number, ticket)
		return granted(number, ticket)
	case waiting.ExpectedWait() > message.Bears:
		primary.forget(number)
		if late := waiting.Withdraw(); late != nil {
			late.Done(admit.ResultLeft, nil)
		}
		return links.Payload{Kind: kindBusy}, nil
	}
	return payload(kindQueued, grantMessage{Number: number})
}

func refuse(refusal *admit.Refusal) (links.Payload, error) {
	return payload(kindRefused, refuseMessage{Reason: refusal.Reason, RetryAfter: refusal.RetryAfter})
}

// enter remembers a permit, and takes back those that were lost.
func (primary *Primary) enter(held *entry, now time.Time) uint64 {
	primary.mutex.Lock()
	defer primary.mutex.Unlock()
	primary.next++
	primary.entries[primary.next] = held
	if now.Sub(primary.sweptAt) > sweepEvery {
		primary.sweptAt = now
		for number, old := range primary.entries {
			if now.After(old.until) {
				delete(primary.entries, number)
				go old.abandon()
			}
		}
	}
	return primary.next
}

// hold notes the ticket of a permit. A permit that was taken back meanwhile gives
// its ticket up.
func (primary *Primary) hold(number uint64, ticket *admit.Ticket) {
	primary.mutex.Lock()
	held := primary.entries[number]
	if held != nil {
		held.ticket = ticket
	}
	primary.mutex.Unlock()
	if held == nil {
		ticket.Done(admit.ResultLeft, nil)
	}
}

// abandon gives up a permit that is no longer in the table.
func (entry *entry) abandon() {
	ticket := entry.ticket
	if ticket == nil {
		ticket = entry.waiting.Withdraw()
	}
	if ticket != nil {
		ticket.Done(admit.ResultLeft, nil)
	}
}

// await waits until a queued permit is granted or refused. A host that cancels
// or is lost gives up its place.
func (primary *Primary) await(ctx context.Context, number uint64) (links.Payload, error) {
	primary.mutex.Lock()
	held, ok := primary.entries[number]
	primary.mutex.Unlock()
	if !ok {
		return refuse(&admit.Refusal{Reason: admit.ReasonWaited})
	}
	ticket, refusal := held.waiting.Wait(ctx)
	if refusal != nil {
		primary.forget(number)
		return refuse(refusal)
	}
	primary.hold(number, ticket)
	if ctx.Err() != nil {
		primary.done(doneMessage{Number: number, Result: admit.ResultLeft})
	}
	return granted(number, ticket)
}

func granted(number uint64, ticket *admit.Ticket) (links.Payload, error) {
	owner := ticket.Target.Owner
	return payload(kindGranted, targetMessage{Number: number, ID: owner.ID, Born: owner.Born})
}

func (primary *Primary) forget(number uint64) *entry {
	primary.mutex.Lock()
	defer primary.mutex.Unlock()
	held := primary.entries[number]
	delete(primary.entries, number)
	return held
}

// done takes a permit back.
func (primary *Primary) done(message doneMessage) {
	held := primary.forget(message.Number)
	switch {
	case held == nil:
	case held.ticket == nil:
		held.abandon()
	default:
		held.ticket.Done(message.Result, decodeLoad(message.Load))
	}
}
