package relay

import (
	"context"
	"net/http"
	"time"

	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/dispatch/detour"
	"damaskcrank.example/damaskcrank/internal/dispatch/expose"
	"damaskcrank.example/damaskcrank/internal/dispatch/permit"
	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
)

const (
	// reasonVersionStopped is the reason of requests that are not sent because the version that
	// they would go to gets none now.
	reasonVersionStopped admit.Reason = "versionStopped"
	// versionRetryAfter is the Retry-After for such requests. The control leader needs about this
	// long to decide on the version and to move the keys of its upstreams.
	versionRetryAfter = time.Second
	// targetWaitParts is the divisor of the time until the goal that yields how long a request
	// waits for a target before the version in use takes it. The few upstreams of a target may
	// be cold.
	targetWaitParts = 4
	// maxChoices bounds the versions that are chosen for one attempt, each after the one before
	// stopped.
	maxChoices = 3
)

// begin acquires a permit for the job, at an upstream of the version that the request goes to,
// and registers the attempt. It responds to the caller and returns no permit if the request is not
// sent.
func (exchange *exchange) begin(ctx context.Context, job admit.Job) (*permit.Permit, *expose.Attempt) {
	relay := exchange.relay
	for range maxChoices {
		permit, refused := exchange.acquire(ctx, job)
		switch {
		case refused != nil && refused.Reason == reasonVersionStopped:
			continue
		case refused != nil:
			exchange.respondRefusal(refused)
			return nil, nil
		}
		// The request may have been quarantined while it waited.
		if exchange.refuseQuarantined() {
			permit.Release(admit.ResultLeft, nil)
			return nil, nil
		}
		attempt, ok := relay.Versions.Begin(job.Service, permit.Target.Version, exchange.route.Name, job.Keyed)
		if ok {
			return permit, attempt
		}
		permit.Release(admit.ResultLeft, nil)
		if job.Keyed {
			break
		}
	}
	exchange.respondRefusal(&admit.Refusal{Reason: reasonVersionStopped, RetryAfter: versionRetryAfter})
	return nil, nil
}

// acquire acquires a permit. Requests without a key get one for their version, which is chosen
// once, and again if it stops. One that was not sent yet goes to the version in use if the target
// of the rollout has no room for it.
func (exchange *exchange) acquire(ctx context.Context, job admit.Job) (*permit.Permit, *admit.Refusal) {
	relay := exchange.relay
	if job.Keyed {
		return relay.Permits.Acquire(ctx, job)
	}
	if version := exchange.choice.Version; version == "" || !relay.Versions.Allowed(job.Service, version, false) {
		exchange.choice = relay.Versions.Choose(job.Service)
	}
	replaceable := exchange.choice.Replaceable && exchange.sends == 0
	var patience time.Duration
	if replaceable {
		patience = max(0, job.Goal.Sub(relay.Clock.Now())/targetWaitParts)
	}
	permit, refused := exchange.acquireVersion(ctx, job, patience)
	if refused == nil || !replaceable || ctx.Err() != nil {
		return permit, refused
	}
	fallback, ok := relay.Versions.Fallback(job.Service, exchange.choice.Version)
	if !ok {
		return nil, refused
	}
	exchange.choice = fallback
	return exchange.acquireVersion(ctx, job, 0)
}

// acquireVersion acquires a permit for the chosen version. It gives up when the version stops, and
// after the given time unless that is 0.
func (exchange *exchange) acquireVersion(ctx context.Context, job admit.Job, patience time.Duration) (*permit.Permit, *admit.Refusal) {
	stopped := exchange.choice.Stopped
	job.Version = exchange.choice.Version
	if stopped == nil {
		return exchange.relay.Permits.Acquire(ctx, job)
	}
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	var expired <-chan time.Time
	if patience > 0 {
		timer := exchange.relay.Clock.NewTimer(patience)
		defer timer.Stop()
		expired = timer.Chan()
	}
	go func() {
		select {
		case <-stopped:
			cancel()
		case <-expired:
			cancel()
		case <-waiting.Done():
		}
	}()
	permit, refused := exchange.relay.Permits.Acquire(waiting, job)
	if refused != nil && waiting.Err() != nil && ctx.Err() == nil {
		return nil, &admit.Refusal{Reason: reasonVersionStopped, RetryAfter: versionRetryAfter}
	}
	return permit, refused
}

// endAttempt counts what became of an attempt for its version.
func (exchange *exchange) endAttempt(attempt *expose.Attempt, outcome detour.Outcome) {
	if failure := outcome.Failure; failure != nil {
		cutOff := exchange.request.Context().Err() != nil || exchange.relay.ending()
		if cutOff || !failure.MayHaveRun() && !outcome.AtFault {
			attempt.Cancel()
			return
		}
		attempt.Unanswered(failure.Failure == pool.FailureTimeout)
		return
	}
	response := outcome.Response
	responseinfo := exchange.relay.Protocol.ParseResponse(response.Status, response.Header)
	if responseinfo.Misplaced || responseinfo.NotRun && response.Status >= http.StatusBadRequest {
		attempt.Cancel()
		return
	}
	attempt.Answered(response.Status, queuedPart(responseinfo.Load))
}

// queuedPart estimates the part of a request's time that it waited at the upstream.
func queuedPart(load *admit.Load) float64 {
	if load == nil {
		return 0
	}
	slots, waiting := float64(max(1, load.Slots)), float64(max(0, load.Waiting))
	return waiting / (slots + waiting)
}
