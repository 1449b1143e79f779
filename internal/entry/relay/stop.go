package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
)

// reasonStopping is the reason of requests that are not sent because the host stops.
const reasonStopping admit.Reason = "stopping"

// checkStop refuses a request that the host may have to cut off because it stops. An
// upstream may take all of the request's time.
func (exchange *exchange) checkStop() *refusal {
	relay := exchange.relay
	if relay.StopsAt == nil {
		return nil
	}
	stopsAt := relay.StopsAt()
	if stopsAt.IsZero() || !exchange.deadline.After(stopsAt) {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: string(reasonStopping), retryAfter: stopRetryAfter,
		inputs: log.Fields{
			"timeLeft": exchange.deadline.Sub(relay.Clock.Now()).String(),
			"stopsIn":  max(time.Duration(0), stopsAt.Sub(relay.Clock.Now())).String(),
		},
	}
}

// endWith calls cancel when the host is about to end, unless the returned function is
// called before.
func (relay *Relay) endWith(cancel context.CancelFunc) (stop func() bool) {
	if relay.Ending == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(relay.Ending, cancel)
}

// ending reports whether the host is about to end.
func (relay *Relay) ending() bool { return relay.Ending != nil && relay.Ending.Err() != nil }
