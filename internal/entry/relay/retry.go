package relay

import (
	"context"
	"net/http"
	"strings"

	"github.com/apex/log"

	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/dispatch/detour"
	"damaskcrank.example/damaskcrank/internal/dispatch/permit"
	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
)

// handleFailure reports whether a request that got no response may be retried, and
// responds to the caller otherwise. Once a request may have run, it is retried
// only if its route is idempotent and allows more attempts, and only if no upstream has
// ended before while it ran the request.
func (exchange *exchange) handleFailure(ctx context.Context, permit *permit.Permit, outcome detour.Outcome) bool {
	failure := outcome.Failure
	exchange.releaseFailed(permit, exchange.classifyFailure(outcome))
	if failure.MayHaveRun() {
		exchange.mayHaveRun = true
		exchange.possibleRuns++
	}
	if failure.Failure == pool.FailureLost && outcome.Helper == "" {
		exchange.reportLoss(permit)
	}
	status := 0
	if outcome.Response != nil {
		status = outcome.Response.Status
	}
	exchange.logEvent("no response from the upstream", permit, log.Fields{
		"failure": string(failure.Failure), "upstreamStatus": status, "fault": string(failure.Reason), "received": failure.Received,
		fieldCause: shorten(failure.Cause.Error()), "mayHaveRun": exchange.mayHaveRun, "helper": outcome.Helper, "atFault": outcome.AtFault,
	})
	// A caller that leaves ends an idempotent request within a response that may be fine.
	left := exchange.route.Idempotent && exchange.request.Context().Err() != nil
	if failure.Reason != "" && (!left || failure.Reason != pool.ReasonUnfinished) {
		exchange.relay.Stats.Event("response", string(failure.Reason))
	}
	switch suspect := failure.MayHaveRun() && exchange.relay.Crashes.Verdict(exchange.content).Ends > 0; {
	case exchange.relay.ending():
		exchange.respondRefusal(&admit.Refusal{Reason: reasonStopping, RetryAfter: stopRetryAfter})
		return false
	case ctx.Err() != nil && !exchange.mayHaveRun:
		exchange.respondRefusal(&admit.Refusal{Reason: admit.ReasonUnsent, RetryAfter: defaultRetryAfter})
		return false
	case ctx.Err() != nil:
		exchange.fail("timeout")
		return false
	case exchange.mayHaveRun && !exchange.route.Idempotent, exchange.possibleRuns >= exchange.route.Attempts, suspect:
		exchange.fail(string(failure.Failure))
		return false
	case !failure.MayHaveRun():
		return exchange.retryUnsent(string(failure.Failure), permit)
	}
	return exchange.retry(string(failure.Failure), permit)
}

// classifyFailure returns the result that is reported for the upstream of a request that
// got no response.
func (exchange *exchange) classifyFailure(outcome detour.Outcome) admit.Result {
	switch {
	case exchange.request.Context().Err() != nil, outcome.Failure.Reason == pool.ReasonUnread:
		return admit.ResultLeft
	case outcome.Failure.Failure == failureUnproven:
		return admit.ResultErred
	case outcome.AtFault:
		return admit.ResultFailed
	default:
		return admit.ResultUnreached
	}
}

// retryUnsent reports whether a request that reached no upstream gets another attempt, and
// responds to the caller otherwise. Such attempts are no retries for the upstreams, and
// take nothing from the retry budget.
func (exchange *exchange) retryUnsent(reason string, permit *permit.Permit) bool {
	relay := exchange.relay
	exchange.unsent++
	if exchange.unsent >= maxUnsent {
		exchange.respondRefusal(&admit.Refusal{Reason: admit.Reason(reason), RetryAfter: defaultRetryAfter})
		return false
	}
	relay.Stats.Retried(reason)
	exchange.logEvent("retrying request", permit, log.Fields{fieldCause: reason, "unsent": exchange.unsent})
	return true
}

// shorten bounds the text of an error, which may quote all that an upstream sent.
func shorten(text string) string {
	if len(text) <= maxCauseBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxCauseBytes], "") + "..."
}

// retry reports whether the retry budget allows another attempt, and responds to
// the caller otherwise.
func (exchange *exchange) retry(reason string, permit *permit.Permit) bool {
	relay := exchange.relay
	left, ok := relay.Scheduler.TakeRetry(exchange.service)
	if !ok {
		relay.Stats.Retried("overBudget")
		exchange.logEvent("retry budget used up", permit, log.Fields{fieldCause: reason, "retriesLeft": left})
		exchange.respondRefusal(&admit.Refusal{Reason: admit.Reason(reason + "OverBudget"), RetryAfter: defaultRetryAfter})
		return false
	}
	relay.Stats.Retried(reason)
	exchange.logEvent("retrying request", permit, log.Fields{fieldCause: reason, "retriesLeft": left})
	return true
}

// respondRefusal responds to a request that is not sent, or not retried, because
// it was refused. If an earlier attempt may have run, it responds with a failure
// instead.
func (exchange *exchange) respondRefusal(refused *admit.Refusal) {
	if refused.Reason == admit.ReasonCallerLeft && exchange.request.Context().Err() == nil {
		refused.Reason = admit.ReasonWaited
		if exchange.relay.ending() {
			refused.Reason, refused.RetryAfter = reasonStopping, stopRetryAfter
		}
	}
	if exchange.mayHaveRun {
		exchange.fail(string(refused.Reason))
		return
	}
	exchange.refuse(refusal{
		status: http.StatusServiceUnavailable, reason: string(refused.Reason), retryAfter: refused.RetryAfter,
	})
}
