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
	// handoverTimeout bounds the total time for which a request is retried while its
	// primary or its key's owner changes.
	handoverTimeout = 2 * time.Second
	// handoverPollInterval is the retry interval while the catalog does not change.
	handoverPollInterval = 20 * time.Millisecond
)

// dispatch sends a request to the current primary. It retries while the primary or
// the key's owner changes, as far as mayRetry allows.
func (front *Front) dispatch(ctx context.Context, call calls.Request, deadline time.Time) calls.Outcome {
	watcher := front.Follower.Watch()
	defer front.Follower.Unwatch(watcher)
	var retryUntil time.Time
	mayHaveRun := false
	for {
		outcome := front.attempt(ctx, call, deadline)
		refusal, ok := outcome.(calls.Refusal)
		if !ok {
			return outcome
		}
		// A refusal does not rule out that an earlier attempt ran.
		mayHaveRun = mayHaveRun || refusal.Ran != calls.RanNot
		if mayHaveRun && refusal.Ran == calls.RanNot {
			refusal.Ran = calls.RanUnknown
		}
		now := front.Clock.Now()
		if retryUntil.IsZero() {
			retryUntil = now.Add(handoverTimeout)
		}
		if !mayRetry(call, refusal.Reason, mayHaveRun) || now.After(retryUntil) || now.Add(handoverPollInterval).After(deadline) {
			return refusal
		}
		front.Stats.Retried(string(refusal.Reason))
		select {
		case <-watcher:
		case <-front.Clock.After(handoverPollInterval):
		case <-ctx.Done():
			return calls.Refusal{Reason: calls.ReasonCallerGone, Ran: refusal.Ran}
		}
	}
}

// mayRetry reports whether a refused request may be sent to a primary again. That
// needs two conditions: the link was lost, or the primary or the owner has changed
// or is about to change; and the request did not run, is idempotent, or is
// deduplicated by the ledger.
func mayRetry(call calls.Request, reason calls.Reason, mayHaveRun bool) bool {
	if reason != calls.ReasonLinkLost && !reason.OwnerChanging() {
		return false
	}
	return !mayHaveRun || call.Idempotent() || call.IdempotencyKey != ""
}

// attempt sends a request once, to the primary according to the catalog.
func (front *Front) attempt(ctx context.Context, call calls.Request, deadline time.Time) calls.Outcome {
	if !front.Lease.Valid() {
		return calls.Refusal{Reason: calls.ReasonHostCutOff, Ran: calls.RanNot, RetryAfter: time.Second}
	}
	catalog := front.Follower.Catalog()
	service, ok := catalog.Service(call.Service)
	if !ok {
		return calls.Refusal{Reason: calls.ReasonUnknownService, Ran: calls.RanNot}
	}
	id, refusal := shardFor(catalog, service, call.Key)
	if refusal != nil {
		return *refusal
	}
	shard := catalog.Shards[id]
	session, ok := catalog.Sessions[shard.Host]
	if !ok || session.Epoch != shard.Session {
		return calls.Refusal{Reason: calls.ReasonShardMoved, Ran: calls.RanNot}
	}
	call.Shard = id
	call.ShardEpoch = shard.Epoch
	call.Remaining = deadline.Sub(front.Clock.Now()) - responseMargin
	if call.Remaining <= 0 {
		return calls.Refusal{Reason: calls.ReasonDeadlinePassed, Ran: calls.RanNot}
	}
	if shard.Host == front.Host {
		return front.Primary.Serve(ctx, call)
	}
	return front.forward(ctx, session, call)
}

// shardFor returns the dispatch shard that is responsible for the key.
func shardFor(catalog *state.Catalog, service spec.Service, key string) (state.ShardID, *calls.Refusal) {
	if service.Partitions == 0 {
		return state.DispatchShard(service.Name, ""), nil
	}
	_, owner := catalog.Tables[service.Name].Find(key)
	if owner.Upstream == "" {
		return "", &calls.Refusal{Reason: calls.ReasonNoOwner, Ran: calls.RanNot, Detail: "no upstream owns the key now"}
	}
	return state.DispatchShard(service.Name, owner.Upstream), nil
}

// forward sends a request over the link to the host of its primary.
func (front *Front) forward(ctx context.Context, session state.Session, call calls.Request) calls.Outcome {
	payload, err := calls.EncodeRequest(call)
	if err != nil {
		return calls.Refusal{Reason: calls.ReasonBadRequest, Ran: calls.RanNot, Detail: err.Error()}
	}
	reply, err := front.Links.Call(ctx, session.Host.Peer, payload)
	if err != nil {
		return linkErrorOutcome(err)
	}
	outcome, err := calls.DecodeOutcome(reply)
	if err != nil {
		return calls.Refusal{Reason: calls.ReasonLinkLost, Ran: calls.RanUnknown, Detail: err.Error()}
	}
	return outcome
}

// linkErrorOutcome maps an error of a link to a refusal.
func linkErrorOutcome(err error) calls.Outcome {
	switch {
	case errors.Is(err, links.ErrNotSent):
		return calls.Refusal{Reason: calls.ReasonPrimaryUnreachable, Ran: calls.RanNot, Detail: "the primary can't be reached"}
	case errors.Is(err, context.DeadlineExceeded):
		return calls.Refusal{Reason: calls.ReasonUpstreamTimeout, Ran: calls.RanUnknown, Detail: "no answer before the deadline"}
	case errors.Is(err, context.Canceled):
		return calls.Refusal{Reason: calls.ReasonCallerGone, Ran: calls.RanUnknown}
	default:
		return calls.Refusal{Reason: calls.ReasonLinkLost, Ran: calls.RanUnknown, Detail: "the primary was lost in mid-request"}
	}
}
