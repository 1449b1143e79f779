package admit

import (
	"net/netip"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

const (
	// initialWindowPerSlot and maxWindowPerSlot are the initial and the largest
	// concurrency window, that is the number of requests that a host may have in
	// flight to an upstream, per slot of the upstream.
	initialWindowPerSlot = 2.0
	maxWindowPerSlot     = 3.0
	// exclusiveExtra is the number of requests sent to an owner of keys beyond its
	// slots. They wait at the upstream, so that a slot does not idle while the next
	// request is on its way.
	exclusiveExtra = 1.0
	// windowShedFactor multiplies the window after an upstream shed a request.
	windowShedFactor = 0.7
	// windowIncrease is added to the window by an answer that reports no long queue.
	windowIncrease = 0.15
	// windowDecrease is subtracted from the window by an answer that reports a long
	// queue.
	windowDecrease = 0.4
	// initialLatency is assumed for an upstream that has not answered yet.
	initialLatency = 150 * time.Millisecond
	// sampleWeightTenths is the weight of the latest sample in a moving average, in
	// tenths.
	sampleWeightTenths = 2
	// minBackoff and maxBackoff bound how long an upstream gets no requests after
	// it could not be reached or did not answer; the backoff doubles with each
	// failure.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 3 * time.Second
	// shedBackoff is how long an upstream gets no requests after it shed one.
	shedBackoff = 60 * time.Millisecond
	// loadMaxAge is how long a reported load is used.
	loadMaxAge = 500 * time.Millisecond
	// nominalServiceTimePercent is the service time that a machine of nominal speed
	// reports.
	nominalServiceTimePercent = 100
	// minServiceTimePercent is the lower bound of the service time that an upstream
	// may report; a lower value counts as this one.
	minServiceTimePercent = 20
	// errorDecay is the time in which the penalty for an upstream's errors falls to
	// 0.
	errorDecay = 5 * time.Second
	// maxErrorPenalty is added to the expected latency of an upstream that fails
	// every request.
	maxErrorPenalty = 10 * time.Second
	// crossDataCentrePenalty is added to the expected latency of an upstream in
	// another data centre.
	crossDataCentrePenalty = 100 * time.Millisecond
)

// Target is an upstream that requests may be sent to.
type Target struct {
	Owner      spans.Owner
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Version is the version that the upstream announced.
	Version string
	Slots   int
	// Keyed is set if the service is sharded by key.
	Keyed bool
	// Cold is set while the upstream is warming up.
	Cold bool
	// Silent is set while the upstream's heartbeats are missing.
	Silent bool
	// Draining is set while the upstream drains: it gets only keyed requests, until
	// it has released its keys or DrainDeadline has passed.
	Draining      bool
	DrainDeadline time.Time
	// ColdRate is this host's share of the upstream's request rate while cold.
	ColdRate float64

	// hash is that of the upstream's ID, which determines its group.
	hash uint64
}

// Load is the load that an upstream reports.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// ServiceTimePercent is the current service time in percent of the nominal one.
	ServiceTimePercent int
}

// upstream is the scheduler's state for one target.
type upstream struct {
	target Target
	// exclusive is set if all requests to the upstream go through this scheduler.
	exclusive bool
	running   int
	// queuedAtUpstream are the requests, in order, that wait at the upstream for a
	// slot. Only exclusive schedulers know them.
	queuedAtUpstream []*Ticket
	// window is the number of requests that may be in flight.
	window float64
	// baseLatency is the moving average of the latency, scaled to nominal speed.
	baseLatency time.Duration
	// serviceTimePercent is the moving average of the reported service times, in
	// percent of the nominal one.
	serviceTimePercent float64
	load               Load
	loadAt             time.Time
	// retryAt is when the upstream may get requests again after a failure or a
	// shed request.
	retryAt        time.Time
	backoff        time.Duration
	lastAnswerAt   time.Time
	coldTokens     float64
	coldRefilledAt time.Time
	// work is the total time of answered requests without the waits at the upstream,
	// and workCount is their number, both since the last report.
	work      time.Duration
	workCount int
	// failures counts the requests since the last report that got no answer, errors
	// those that the upstream answered with an error.
	failures, errors int
	// errorRate is the moving average of the fraction of answers that were errors;
	// lastErrorAt is the time of the last error.
	errorRate   float64
	lastErrorAt time.Time
	limit       rateLimit
	own         ownShare
	// listedDraining is set if the catalog shows that the upstream drains.
	listedDraining bool
	// restUntil is until when the upstream wants no requests from this host.
	restUntil time.Time
}

func newUpstream(target Target, now time.Time, exclusive bool) *upstream {
	window := initialWindowPerSlot * float64(max(1, target.Slots))
	if exclusive {
		window = float64(max(1, target.Slots))
	}
	if exclusive && target.Keyed {
		window += exclusiveExtra
	}
	return &upstream{target: target, exclusive: exclusive, window: window, baseLatency: initialLatency, serviceTimePercent: nominalServiceTimePercent, coldRefilledAt: now}
}

// parallelism is the number of requests that complete within one latency: on an
// exclusive scheduler the upstream's slots, else the window, because latencies
// then include the waits at the upstream.
func (upstream *upstream) parallelism() float64 {
	if upstream.exclusive {
		return float64(max(1, upstream.target.Slots))
	}
	return max(1, upstream.window)
}

// recordLoad records the load that the upstream reported, if any.
func (upstream *upstream) recordLoad(now time.Time, load *Load) {
	if load == nil {
		return
	}
	upstream.load, upstream.loadAt = *load, now
	upstream.serviceTimePercent += (float64(max(minServiceTimePercent, load.ServiceTimePercent)) - upstream.serviceTimePercent) * sampleWeightTenths / 10
}

// latency returns the latency of a request at the upstream's average speed.
func (upstream *upstream) latency() time.Duration {
	return time.Duration(float64(upstream.baseLatency) * upstream.serviceTimePercent / nominalServiceTimePercent)
}

// setTarget replaces the target, and empties the token bucket of an upstream that
// has become cold.
func (upstream *upstream) setTarget(target Target, now time.Time) {
	if target.Cold && !upstream.target.Cold {
		upstream.coldTokens, upstream.coldRefilledAt = 0, now
	}
	upstream.target = target
}

// available reports whether the upstream may get a request now. It refills the
// token bucket of a cold upstream; begin takes the token.
func (upstream *upstream) available(now time.Time) bool {
	if now.Before(upstream.retryAt) || upstream.restLeft(now) > 0 || float64(upstream.running) >= max(1, upstream.window) || !upstream.limit.allows(now) {
		return false
	}
	if !upstream.target.Cold {
		return true
	}
	upstream.coldTokens = min(1, upstream.coldTokens+upstream.target.ColdRate*now.Sub(upstream.coldRefilledAt).Seconds())
	upstream.coldRefilledAt = now
	return upstream.coldTokens >= 1
}

func (upstream *upstream) begin(ticket *Ticket) {
	upstream.running++
	upstream.limit.take(ticket.granted)
	if upstream.target.Cold {
		upstream.coldTokens--
	}
	if upstream.exclusive && upstream.running > max(1, upstream.target.Slots) {
		upstream.queuedAtUpstream = append(upstream.queuedAtUpstream, ticket)
	}
}

// end records that a request has ended, and that the next one waiting at the
// upstream gets its slot.
func (upstream *upstream) end(ticket *Ticket, now time.Time) {
	upstream.running--
	if position := slices.Index(upstream.queuedAtUpstream, ticket); position >= 0 {
		upstream.queuedAtUpstream = slices.Delete(upstream.queuedAtUpstream, position, position+1)
		return
	}
	if len(upstream.queuedAtUpstream) > 0 {
		upstream.queuedAtUpstream[0].started = now
		upstream.queuedAtUpstream = upstream.queuedAtUpstream[1:]
	}
}

// expectedLatency estimates the latency of one more request, waits and error
// penalty included.
func (upstream *upstream) expectedLatency(now time.Time) time.Duration {
	slots := max(1, upstream.target.Slots)
	busy, work := upstream.running, upstream.latency()
	if now.Sub(upstream.loadAt) < loadMaxAge {
		busy = max(busy, upstream.load.Running+upstream.load.Waiting)
		work = upstream.baseLatency * time.Duration(max(minServiceTimePercent, upstream.load.ServiceTimePercent)) / nominalServiceTimePercent
	}
	queued := max(0, busy-slots+1)
	return work + work*time.Duration(queued)/time.Duration(slots) + upstream.errorPenalty(now)
}

// errorPenalty returns the latency added for recent errors, as an upstream may
// fail requests faster than others serve them.
func (upstream *upstream) errorPenalty(now time.Time) time.Duration {
	fresh := 1 - float64(now.Sub(upstream.lastErrorAt))/float64(errorDecay)
	if upstream.errorRate == 0 || fresh <= 0 {
		return 0
	}
	return time.Duration(upstream.errorRate * fresh * float64(maxErrorPenalty))
}

// recordError records an answer that was an error of the upstream itself.
func (upstream *upstream) recordError(now time.Time) {
	upstream.lastAnswerAt, upstream.lastErrorAt = now, now
	upstream.backoff, upstream.retryAt = 0, time.Time{}
	upstream.errorRate += (1 - upstream.errorRate) * sampleWeightTenths / 10
	upstream.errors++
}

// recordAnswer records a successful answer. The window shrinks while the
// upstream's queue is long, so that requests wait here, where the most urgent is
// sent first.
func (upstream *upstream) recordAnswer(now time.Time, took time.Duration, load *Load) {
	upstream.lastAnswerAt = now
	upstream.backoff, upstream.retryAt = 0, time.Time{}
	upstream.errorRate -= upstream.errorRate * sampleWeightTenths / 10
	percent := time.Duration(upstream.serviceTimePercent)
	if load != nil {
		percent = time.Duration(load.ServiceTimePercent)
	}
	upstream.baseLatency += (took*nominalServiceTimePercent/max(minServiceTimePercent, percent) - upstream.baseLatency) * sampleWeightTenths / 10
	slots := max(1, upstream.target.Slots)
	switch {
	case upstream.exclusive:
	case load != nil && load.Waiting > slots:
		upstream.window = max(1, upstream.window-windowDecrease)
	default:
		upstream.window = min(upstream.window+windowIncrease, maxWindowPerSlot*float64(slots))
	}
}

// recordWork adds the request's time without its wait at the upstream. An
// exclusive scheduler knows when the request got its slot; any other estimates
// the wait from the queue that the upstream reports. The speed of the upstream's
// machine is not factored out: it is constant, and the reported service time
// includes it.
func (upstream *upstream) recordWork(took time.Duration, load *Load) {
	if load != nil && !upstream.exclusive {
		took = took * time.Duration(max(1, load.Slots)) / time.Duration(max(1, load.Slots)+load.Waiting)
	}
	upstream.work += took
	upstream.workCount++
}

// recordShed records that the upstream shed a request.
func (upstream *upstream) recordShed(now time.Time) {
	upstream.lastAnswerAt = now
	if !upstream.exclusive {
		upstream.window = max(1, upstream.window*windowShedFactor)
	}
	upstream.retryAt = now.Add(shedBackoff)
}

// recordFailure records that the upstream could not be reached or did not answer,
// and doubles its backoff.
func (upstream *upstream) recordFailure(now time.Time) {
	upstream.backoff = min(max(minBackoff, 2*upstream.backoff), maxBackoff)
	upstream.retryAt = now.Add(upstream.backoff)
}
