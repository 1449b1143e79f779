package front

import (
	"context"
	"errors"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

const (
	// moveWait is how long a request waits in all for a primary and an owner
	// that are about to change.
	moveWait = 2 * time.Second
	// movePoll is the time between two tries while the catalog does not change.
	movePoll = 20 * time.Millisecond
)

// carry brings a request to the primary in charge, and to the next one where
// the first surely did not run it.
func (front *Front) carry(ctx context.Context, work calls.Request, deadline time.Time) calls.Outcome {
	watcher := front.Follower.Watch()
	defer front.Follower.Unwatch(watcher)
	var patience time.Time
	maybeRan := false
	for {
		outcome := front.attempt(ctx, work, deadline)
		refused, ok := outcome.(calls.Refused)
		if !ok {
			return outcome
		}
		// What an earlier try may have done, no later refusal can undo.
		maybeRan = maybeRan || refused.Ran != calls.RanNot
		if maybeRan && refused.Ran == calls.RanNot {
			refused.Ran = calls.RanUnknown
		}
		now := front.Clock.Now()
		if patience.IsZero() {
			patience = now.Add(moveWait)
		}
		if !mayRepeat(work, refused.Reason, maybeRan) || now.After(patience) || now.Add(movePoll).After(deadline) {
			return refused
		}
		front.Stats.Retried(string(refused.Reason))
		select {
		case <-watcher:
		case <-front.Clock.After(movePoll):
		case <-ctx.Done():
			return calls.Refused{Reason: calls.ReasonCallerGone, Ran: refused.Ran}
		}
	}
}

// mayRepeat tells whether a refused request may go to a primary again: another
// one is or soon will be in charge, and the request did not run or bears being
// sent again, because it is idempotent or the ledger guards it.
func mayRepeat(work calls.Request, reason calls.Reason, maybeRan bool) bool {
	if reason != calls.ReasonLinkLost && !reason.Moving() {
		return false
	}
	return !maybeRan || work.Idempotent() || work.IdempotencyKey != ""
}

// attempt sends a request once to the primary that the catalog names.
func (front *Front) attempt(ctx context.Context, work calls.Request, deadline time.Time) calls.Outcome {
	if !front.Lease.Valid() {
		return calls.Refused{Reason: calls.ReasonHostCutOff, Ran: calls.RanNot, RetryAfter: time.Second}
	}
	catalog := front.Follower.Catalog()
	service, ok := catalog.Service(work.Service)
	if !ok {
		return calls.Refused{Reason: calls.ReasonUnknownService, Ran: calls.RanNot}
	}
	id, refused := shardFor(catalog, service, work.Key)
	if refused != nil {
		return *refused
	}
	held := catalog.Shards[id]
	session, ok := catalog.Sessions[held.Host]
	if !ok || session.Epoch != held.Session {
		return calls.Refused{Reason: calls.ReasonShardMoved, Ran: calls.RanNot}
	}
	work.Shard = id
	work.ShardEpoch = held.Epoch
	work.Remaining = deadline.Sub(front.Clock.Now()) - linkSlack
	if work.Remaining <= 0 {
		return calls.Refused{Reason: calls.ReasonDeadlinePassed, Ran: calls.RanNot}
	}
	if held.Host == front.Host {
		return front.Primary.Serve(ctx, work)
	}
	return front.forward(ctx, session, work)
}

// shardFor returns the shard that dispatches requests for the key.
func shardFor(catalog *state.Catalog, service spec.Service, key string) (state.ShardID, *calls.Refused) {
	if service.Partitions == 0 {
		return state.DispatchShard(service.Name, ""), nil
	}
	_, owner := catalog.Tables[service.Name].Find(key)
	if owner.Upstream == "" {
		return "", &calls.Refused{Reason: calls.ReasonNoOwner, Ran: calls.RanNot, Detail: "no upstream owns the key now"}
	}
	return state.DispatchShard(service.Name, owner.Upstream), nil
}

// forward sends a request over the link to its primary's host.
func (front *Front) forward(ctx context.Context, session state.Session, work calls.Request) calls.Outcome {
	payload, err := calls.EncodeRequest(work)
	if err != nil {
		return calls.Refused{Reason: calls.ReasonBadRequest, Ran: calls.RanNot, Detail: err.Error()}
	}
	reply, err := front.Links.Call(ctx, session.Host.Peer, payload)
	if err != nil {
		return linkOutcome(err)
	}
	outcome, err := calls.DecodeOutcome(reply)
	if err != nil {
		return calls.Refused{Reason: calls.ReasonLinkLost, Ran: calls.RanUnknown, Detail: err.Error()}
	}
	return outcome
}

// linkOutcome tells what a failed call means.
func linkOutcome(err error) calls.Outcome {
	switch {
	case errors.Is(err, links.ErrNotSent):
		return calls.Refused{Reason: calls.ReasonPrimaryUnreachable, Ran: calls.RanNot, Detail: "the primary can't be reached"}
	case errors.Is(err, context.DeadlineExceeded):
		return calls.Refused{Reason: calls.ReasonUpstreamTimeout, Ran: calls.RanUnknown, Detail: "no answer before the deadline"}
	case errors.Is(err, context.Canceled):
		return calls.Refused{Reason: calls.ReasonCallerGone, Ran: calls.RanUnknown}
	default:
		return calls.Refused{Reason: calls.ReasonLinkLost, Ran: calls.RanUnknown, Detail: "the primary was lost in mid-request"}
	}
}
