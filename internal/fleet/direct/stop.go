package direct

import (
	"context"
	"time"
)

const (
	// healthCheckDelay is how long the load balancer takes to notice that the host
	// is no longer ready: it checks once a second and acts on the second failure.
	healthCheckDelay = 2300 * time.Millisecond
	// graceMargin is subtracted from the time after which the process is killed, but no more
	// than the part of it that graceParts yields.
	graceMargin = 400 * time.Millisecond
	graceParts  = 6
	// answerParts is the divisor of the margin that yields the time in which requests that
	// are still in progress are answered and their connections closed.
	answerParts = 2
	// forwardSettleTime is how long a request of another host, or the outcome of one, may be on its way.
	// Links ask for a sign of life after this silence.
	forwardSettleTime = 500 * time.Millisecond
	// stopPollInterval is the time between two looks for requests of other hosts.
	stopPollInterval = 20 * time.Millisecond
)

// Stop drains the host without cutting off requests: the health check fails, the load
// balancer sends callers elsewhere, and running requests finish, those of other hosts too.
// Requests that may not finish within the grace time are refused from now on. Those that
// are still running at its end are answered.
func (entry *Entry) Stop(ctx context.Context) error {
	entry.options.Log.WithField("running", entry.relay.Running()).Info(logPrefix + "stopping the entry host")
	grace := time.Duration(entry.options.Settings.Bounds.Grace)
	margin := min(graceMargin, grace/graceParts)
	grace -= margin
	stopsAt := entry.options.Clock.Now().Add(grace)
	entry.stopsAt.Store(&stopsAt)
	entry.draining.Store(true)
	drained, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	select {
	case <-entry.options.Clock.After(min(healthCheckDelay, grace/2)):
	case <-drained.Done():
	}
	err := entry.callers.Drain(drained)
	if err != nil {
		entry.options.Log.WithField("running", entry.relay.Running()).Warn(logPrefix + "the grace time is over, answering the requests that still run")
		entry.end()
		answered, cancelAnswered := context.WithTimeout(context.WithoutCancel(ctx), margin/answerParts)
		defer cancelAnswered()
		err = entry.callers.Drain(answered)
	}
	if entry.relay.Running() == 0 {
		err = nil // only connections without a request are left
	}
	entry.awaitForwarded(drained)
	entry.Kill()
	if err != nil {
		return Error.New("stop entry host: %w", err)
	}
	return nil
}

// awaitForwarded declines further requests of other hosts, and waits until those that this host
// sends are done and their outcomes have arrived.
func (entry *Entry) awaitForwarded(ctx context.Context) {
	now := entry.options.Clock.Now()
	entry.stopsAt.Store(&now)
	for !entry.sender.Settled(forwardSettleTime) {
		select {
		case <-ctx.Done():
			return
		case <-entry.options.Clock.After(stopPollInterval):
		}
	}
}

// stopTime returns when the host will have stopped, or the zero time while it does not stop.
func (entry *Entry) stopTime() time.Time {
	if stopsAt := entry.stopsAt.Load(); stopsAt != nil {
		return *stopsAt
	}
	return time.Time{}
}
