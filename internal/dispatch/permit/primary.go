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
	// expiryGrace is the time from a request's deadline to the expiry of a permit
	// that was not released.
	expiryGrace = 300 * time.Millisecond
	// sweepInterval is the least time between two sweeps for expired permits.
	sweepInterval = time.Second
)

// lease is a queued or granted permit.
type lease struct {
	waiting *admit.Queued
	// ticket is nil while the permit is queued.
	ticket *admit.Ticket
	// expiresAt is when the permit is revoked if it was not released.
	expiresAt time.Time
}

// Primary grants the permits for the upstreams whose primary is this host. Other
// hosts call it over links.
type Primary struct {
	board *admit.Scheduler
	clock clockwork.Clock
	log   log.Interface

	mutex      sync.Mutex
	lastNumber uint64
	leases     map[uint64]*lease
	sweptAt    time.Time
}

// NewPrimary returns a primary that grants the board's tickets as permits.
func NewPrimary(scheduler *admit.Scheduler, clock clockwork.Clock, logger log.Interface) *Primary {
	return &Primary{board: scheduler, clock: clock, log: logger, leases: map[uint64]*lease{}}
}

// Serve answers a request from another host.
func (primary *Primary) Serve(ctx context.Context, request links.Payload) links.Payload {
	reply, err := primary.handle(ctx, request)
	if err != nil {
		primary.log.WithError(err).Warn(logPrefix + "cannot answer a request from another host")
		return links.Payload{Kind: kindUnknown}
	}
	return reply
}

func (primary *Primary) handle(ctx context.Context, request links.Payload) (links.Payload, error) {
	switch request.Kind {
	case kindAsk:
		var message askMessage
		if err := codec.Unmarshal(request.Head, &message); err != nil {
			return links.Payload{}, Error.New("decode ask request: %w", err)
		}
		return primary.ask(message)
	case kindAwait:
		var message awaitMessage
		if err := codec.Unmarshal(request.Head, &message); err != nil {
			return links.Payload{}, Error.New("decode await request: %w", err)
		}
		return primary.await(ctx, message.Number)
	case kindDone:
		var message doneMessage
		if err := codec.Unmarshal(request.Head, &message); err != nil {
			return links.Payload{}, Error.New("decode done request: %w", err)
		}
		primary.done(message)
		return links.Payload{Kind: kindTaken}, nil
	default:
		return links.Payload{}, Error.New("unknown request %q", request.Kind)
	}
}

// ask replies without blocking: the permit is granted, queued or refused, or the
// primary is too busy.
func (primary *Primary) ask(message askMessage) (links.Payload, error) {
	now := primary.clock.Now()
	deadline := now.Add(message.Left)
	queued, refusal := primary.board.Enqueue(admit.Job{
		Service: message.Service, Keyed: message.ID != "", Owner: message.owner(), DataCentre: message.Place, Priority: message.Priority,
		Goal: now.Add(message.Goal), Deadline: deadline,
	})
	if refusal != nil {
		return refuse(refusal)
	}
	held := &lease{waiting: queued, expiresAt: deadline.Add(expiryGrace)}
	number := primary.add(held, now)
	ticket, refusal := queued.Poll()
	switch {
	case refusal != nil:
		primary.remove(number)
		return refuse(refusal)
	case ticket != nil:
		primary.setTicket(number, ticket)
		return granted(number, ticket)
	case queued.ExpectedWait() > message.Bears:
		primary.remove(number)
		if late := queued.Cancel(); late != nil {
			late.Release(admit.ResultLeft, nil)
		}
		return links.Payload{Kind: kindBusy}, nil
	}
	return payload(kindQueued, grantMessage{Number: number})
}

func refuse(refusal *admit.Refusal) (links.Payload, error) {
	return payload(kindRefused, refuseMessage{Reason: refusal.Reason, RetryAfter: refusal.RetryAfter})
}

// add stores a permit and returns its number. It also revokes expired permits, at
// most once per sweepInterval.
func (primary *Primary) add(held *lease, now time.Time) uint64 {
	primary.mutex.Lock()
	defer primary.mutex.Unlock()
	primary.lastNumber++
	primary.leases[primary.lastNumber] = held
	if now.Sub(primary.sweptAt) > sweepInterval {
		primary.sweptAt = now
		for number, other := range primary.leases {
			if now.After(other.expiresAt) {
				delete(primary.leases, number)
				go other.release()
			}
		}
	}
	return primary.lastNumber
}

// setTicket stores the ticket of a permit, or releases the ticket if the permit has
// been revoked in the meantime.
func (primary *Primary) setTicket(number uint64, ticket *admit.Ticket) {
	primary.mutex.Lock()
	held := primary.leases[number]
	if held != nil {
		held.ticket = ticket
	}
	primary.mutex.Unlock()
	if held == nil {
		ticket.Release(admit.ResultLeft, nil)
	}
}

// release releases the ticket or the place in the queue of a permit that has been
// removed from the primary's leases.
func (lease *lease) release() {
	ticket := lease.ticket
	if ticket == nil {
		ticket = lease.waiting.Cancel()
	}
	if ticket != nil {
		ticket.Release(admit.ResultLeft, nil)
	}
}

// await waits until a queued permit is granted or refused. If the calling host
// cancels or is lost, the permit is withdrawn.
func (primary *Primary) await(ctx context.Context, number uint64) (links.Payload, error) {
	primary.mutex.Lock()
	held, ok := primary.leases[number]
	primary.mutex.Unlock()
	if !ok {
		return refuse(&admit.Refusal{Reason: admit.ReasonWaited})
	}
	ticket, refusal := held.waiting.Wait(ctx)
	if refusal != nil {
		primary.remove(number)
		return refuse(refusal)
	}
	primary.setTicket(number, ticket)
	if ctx.Err() != nil {
		primary.done(doneMessage{Number: number, Result: admit.ResultLeft})
	}
	return granted(number, ticket)
}

func granted(number uint64, ticket *admit.Ticket) (links.Payload, error) {
	owner := ticket.Target.Owner
	return payload(kindGranted, targetMessage{Number: number, ID: owner.ID, Born: owner.Born})
}

func (primary *Primary) remove(number uint64) *lease {
	primary.mutex.Lock()
	defer primary.mutex.Unlock()
	held := primary.leases[number]
	delete(primary.leases, number)
	return held
}

// done releases a permit.
func (primary *Primary) done(message doneMessage) {
	held := primary.remove(message.Number)
	switch {
	case held == nil:
	case held.ticket == nil:
		held.release()
	default:
		held.ticket.Release(message.Result, decodeLoad(message.Load))
	}
}
