package permit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

const (
	// expiryGrace is how long after the request's deadline a permit expires that was
	// not released.
	expiryGrace = 300 * time.Millisecond
	// sweepInterval is the minimum time between two sweeps for expired permits and lost
	// hosts.
	sweepInterval = 250 * time.Millisecond
	// maxWaiting bounds the requests of all services that wait for permits. More would wait
	// for longer than any deadline: a group has about 72 slots.
	maxWaiting = 512
	// maxHandlingDelay is the time from the receipt of a permit request until it is handled
	// from which this host is too busy to grant permits: with the way there and back
	// the reply would come after requestTimeout.
	maxHandlingDelay = 100 * time.Millisecond
)

// lease is a queued or granted permit.
type lease struct {
	// host names the host that holds it, empty if that is of the previous version.
	host   string
	queued *admit.QueuedJob
	// ticket is nil while the permit is queued.
	ticket *admit.Ticket
	// expiresAt is when the permit is revoked if it was not released.
	expiresAt time.Time
}

// Primary grants the permits for the upstreams whose primary is this host. Other
// hosts call it over links.
type Primary struct {
	scheduler *admit.Scheduler
	clock     clockwork.Clock
	log       log.Interface
	// Stats, if set, counts why permits are not granted or are revoked. It must be set before
	// the primary is used.
	Stats *stats.Set

	mutex sync.Mutex
	// lastNumber is the number of the latest permit. It starts at random, so that
	// messages about permits of an earlier process match none of this one.
	lastNumber uint64
	leases     map[uint64]*lease
	// holders holds the hosts that have leases, by name.
	holders map[string]*holder
	sweptAt time.Time
}

// NewPrimary returns a primary that grants the scheduler's tickets as permits.
func NewPrimary(scheduler *admit.Scheduler, clock clockwork.Clock, logger log.Interface) *Primary {
	return &Primary{
		scheduler: scheduler, clock: clock, log: logger, leases: map[uint64]*lease{}, holders: map[string]*holder{},
		lastNumber: uint64(rand.Uint32()), //nolint:gosec // distinguishes processes, not security-sensitive
	}
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
			return links.Payload{}, Error.New("decode permit request: %w", err)
		}
		return primary.handleAsk(ctx, message.group())
	case kindAskGroup:
		var message askGroupMessage
		if err := codec.Unmarshal(request.Head, &message); err != nil {
			return links.Payload{}, Error.New("decode permit request for a group: %w", err)
		}
		return primary.handleAsk(ctx, message)
	case kindAwait:
		var message awaitMessage
		if err := codec.Unmarshal(request.Head, &message); err != nil {
			return links.Payload{}, Error.New("decode await message: %w", err)
		}
		return primary.handleAwait(ctx, message.Number)
	case kindDone:
		var message doneMessage
		if err := codec.Unmarshal(request.Head, &message); err != nil {
			return links.Payload{}, Error.New("decode done message: %w", err)
		}
		primary.handleDone(message)
		return links.Payload{Kind: kindTaken}, nil
	case kindDoneBatch:
		var message doneBatchMessage
		if err := codec.Unmarshal(request.Head, &message); err != nil {
			return links.Payload{}, Error.New("decode batch of done messages: %w", err)
		}
		primary.mutex.Lock()
		primary.recordHolder(message.Host, links.OriginOf(ctx).Link)
		primary.mutex.Unlock()
		for _, done := range message.Done {
			done.Reporter = message.Host
			primary.handleDone(done)
		}
		return links.Payload{Kind: kindTaken}, nil
	default:
		return links.Payload{}, Error.New("unknown kind of request %q", request.Kind)
	}
}

// handleAsk replies without blocking: the permit is granted, queued or refused,
// or the primary replies that it is busy.
func (primary *Primary) handleAsk(ctx context.Context, message askGroupMessage) (links.Payload, error) {
	now, origin := primary.clock.Now(), links.OriginOf(ctx)
	switch {
	case origin.Waited > maxHandlingDelay:
		countEvent(primary.Stats, "busyLate")
		return links.Payload{Kind: kindBusy}, nil
	case primary.scheduler.Waiting() >= maxWaiting:
		countEvent(primary.Stats, "busyQueue")
		return links.Payload{Kind: kindBusy}, nil
	}
	deadline := now.Add(milliseconds(message.Left))
	if message.Limit > 0 {
		primary.scheduler.AdoptLimit(message.Service, message.owner(), message.Limit, now.Add(-milliseconds(message.LimitAge)))
	}
	queuedjob, refusal := primary.scheduler.Enqueue(admit.Job{
		Service: message.Service, Keyed: message.ID != "", Owner: message.owner(), DataCentre: message.Place, Priority: message.Priority, Avoid: message.Avoid,
		Group: admit.Group{Number: message.Group, Of: message.Of}, Version: message.Version,
		Goal: now.Add(milliseconds(message.Goal)), Deadline: deadline,
	})
	if refusal != nil {
		return refusedReply(refusal)
	}
	lease := &lease{host: message.Host, queued: queuedjob, expiresAt: deadline.Add(expiryGrace)}
	number := primary.add(lease, now, origin.Link)
	ticket, refusal := queuedjob.Poll()
	switch {
	case refusal != nil:
		primary.remove(number)
		return refusedReply(refusal)
	case ticket != nil:
		primary.setTicket(number, ticket)
		return grantedReply(number, ticket)
	case queuedjob.ExpectedWait() > milliseconds(message.Bears):
		primary.remove(number)
		if late := queuedjob.Cancel(); late != nil {
			late.Release(admit.ResultLeft, nil)
		}
		return links.Payload{Kind: kindBusy}, nil
	}
	return payload(kindQueued, grantMessage{Number: number})
}

func refusedReply(refusal *admit.Refusal) (links.Payload, error) {
	return payload(kindRefused, refuseMessage{Reason: refusal.Reason, RetryAfter: refusal.RetryAfter})
}

// add stores a permit, which was requested on the link, and returns its number. It also
// revokes the permits that are no longer valid.
func (primary *Primary) add(lease *lease, now time.Time, link links.Link) uint64 {
	primary.mutex.Lock()
	defer primary.mutex.Unlock()
	primary.lastNumber++
	primary.store(primary.lastNumber, lease)
	primary.recordHolder(lease.host, link)
	primary.sweep(now)
	return primary.lastNumber
}

// setTicket stores the ticket of a permit, or releases the ticket if the permit has
// been revoked in the meantime.
func (primary *Primary) setTicket(number uint64, ticket *admit.Ticket) {
	primary.mutex.Lock()
	lease := primary.leases[number]
	if lease != nil {
		lease.ticket = ticket
	}
	primary.mutex.Unlock()
	if lease == nil {
		ticket.Release(admit.ResultLeft, nil)
	}
}

// release releases the ticket or the place in the queue of a permit that has been
// removed from the primary's leases.
func (lease *lease) release() {
	ticket := lease.ticket
	if ticket == nil {
		ticket = lease.queued.Cancel()
	}
	if ticket != nil {
		ticket.Release(admit.ResultLeft, nil)
	}
}

// handleAwait waits until a queued permit is granted or refused. If the calling
// host cancels or is lost, the permit is withdrawn.
func (primary *Primary) handleAwait(ctx context.Context, number uint64) (links.Payload, error) {
	primary.mutex.Lock()
	lease, ok := primary.leases[number]
	primary.mutex.Unlock()
	if !ok {
		return refusedReply(&admit.Refusal{Reason: admit.ReasonWaited})
	}
	ticket, refusal := lease.queued.Wait(ctx)
	if refusal != nil {
		primary.remove(number)
		return refusedReply(refusal)
	}
	primary.setTicket(number, ticket)
	if ctx.Err() != nil {
		primary.handleDone(doneMessage{Number: number, Result: admit.ResultLeft})
	}
	return grantedReply(number, ticket)
}

func grantedReply(number uint64, ticket *admit.Ticket) (links.Payload, error) {
	owner := ticket.Target.Owner
	return payload(kindGranted, targetMessage{Number: number, ID: owner.ID, Born: owner.Born})
}

func (primary *Primary) remove(number uint64) *lease {
	primary.mutex.Lock()
	defer primary.mutex.Unlock()
	return primary.take(number)
}

// handleDone releases a permit.
func (primary *Primary) handleDone(message doneMessage) {
	lease := primary.remove(message.Number)
	switch {
	case lease == nil:
	case lease.ticket == nil:
		lease.release()
	default:
		if message.Answered && lease.ticket.RecordLimit(message.Limit) {
			primary.log.WithField("upstream", lease.ticket.Target.Owner.ID).WithField("service", lease.ticket.Target.Service).
				WithField("perSecond", message.Limit).Info(logPrefix + "primary learned an upstream's rate limit")
		}
		lease.ticket.Release(message.Result, decodeLoad(message.Load))
		if message.Result == admit.ResultFailed {
			primary.log.WithField("upstream", lease.ticket.Target.Owner.ID).WithField("service", lease.ticket.Target.Service).
				WithField("reporter", message.Reporter).WithField("backoff", lease.ticket.Backoff().String()).
				Info(logPrefix + "upstream backs off after a failed request")
		}
	}
}
