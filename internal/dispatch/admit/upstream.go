package admit

import (
	"net/netip"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

const (
	// firstWindow and maxWindow are requests that a host may have outstanding at
	// an upstream, per slot of the upstream.
	firstWindow = 2.0
	maxWindow   = 3.0
	// exactSpare is the number of requests that wait at the owner of their keys
	// itself, so that its slots do not idle while the next request is on its way.
	exactSpare = 1.0
	// windowShrink is what is left of the window after an upstream shed a request.
	windowShrink = 0.7
	// windowGrow is added to the window by an answer.
	windowGrow = 0.15
	// windowYield is taken off the window by an answer that tells of a long queue.
	windowYield = 0.4
	// firstTypical is assumed of an upstream that has not answered yet.
	firstTypical = 150 * time.Millisecond
	// typicalTenths is the weight of the latest answer in an average, in tenths.
	typicalTenths = 2
	// firstPause and maxPause bound how long an upstream is left alone after
	// connections to it failed; the pause doubles with each failure.
	firstPause = 200 * time.Millisecond
	maxPause   = 3 * time.Second
	// shedPause is how long an upstream gets nothing after it shed a request.
	shedPause = 60 * time.Millisecond
	// loadFresh is how long a reported load counts.
	loadFresh = 500 * time.Millisecond
	// usualPace is the pace, in percent, of a machine of the usual speed.
	usualPace = 100
	// leastPace bounds what an upstream may say of its pace, in percent.
	leastPace = 20
	// errorMemory is how long an upstream's errors count against it.
	errorMemory = 5 * time.Second
	// errorCost is what failing every request counts against an upstream.
	errorCost = 10 * time.Second
	// remoteCost is what crossing between data centres counts against an upstream.
	remoteCost = 100 * time.Millisecond
)

// Target is an upstream that requests may be sent to.
type Target struct {
	Owner      spans.Owner
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	// Keyed is set where the service is divided by key.
	Keyed  bool
	Cold   bool
	Silent bool
	// Leaving upstreams get keyed requests only, until they have let go of the
	// keys or LeaveBy has passed.
	Leaving bool
	LeaveBy time.Time
	// ColdPerSecond is this host's part of what the upstream bears while cold.
	ColdPerSecond float64
}

// Load is what an upstream says of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at the moment, in percent of the usual.
	Pace int
}

// upstream is what this host knows of a target.
type upstream struct {
	target Target
	// exact is set where all requests to the upstream are known here.
	exact   bool
	running int
	// behind are the requests that, on an exact board, wait at the upstream for
	// a slot, in their order.
	behind []*Ticket
	window float64
	// typical is what a request takes at the usual pace.
	typical time.Duration
	// pace is the average of the reported paces, in percent.
	pace   float64
	load   Load
	loadAt time.Time
	// pausedUntil is when the upstream may be tried again after a failure.
	pausedUntil time.Time
	pause       time.Duration
	answeredAt  time.Time
	coldTokens  float64
	coldAt      time.Time
	// work sums up what requests took without waiting, and workCount counts them,
	// since the last report.
	work      time.Duration
	workCount int
	// failures counts the requests since the last report that got no answer, and
	// errors those that the upstream failed.
	failures, errors int
	// errorPart is the part of the latest answers that were errors, at erredAt.
	errorPart float64
	erredAt   time.Time
}

func newUpstream(target Target, now time.Time, exact bool) *upstream {
	window := firstWindow * float64(max(1, target.Slots))
	if exact {
		window = float64(max(1, target.Slots))
	}
	if exact && target.Keyed {
		window += exactSpare
	}
	return &upstream{target: target, exact: exact, window: window, typical: firstTypical, pace: usualPace, coldAt: now}
}

// slots is the number of requests among which a typical time is one answer each:
// on an exact board the upstream's slots, else the window, since then typical
// times contain what requests wait at the upstream.
func (upstream *upstream) slots() float64 {
	if upstream.exact {
		return float64(max(1, upstream.target.Slots))
	}
	return max(1, upstream.window)
}

// noteLoad notes what the upstream said of itself, if it did.
func (upstream *upstream) noteLoad(now time.Time, load *Load) {
	if load == nil {
		return
	}
	upstream.load, upstream.loadAt = *load, now
	upstream.pace += (float64(max(leastPace, load.Pace)) - upstream.pace) * typicalTenths / 10
}

// usual returns what a request takes at the upstream's average pace.
func (upstream *upstream) usual() time.Duration {
	return time.Duration(float64(upstream.typical) * upstream.pace / usualPace)
}

// retarget takes over what the catalog says now.
func (upstream *upstream) retarget(target Target, now time.Time) {
	if target.Cold && !upstream.target.Cold {
		upstream.coldTokens, upstream.coldAt = 0, now
	}
	upstream.target = target
}

// open tells whether the upstream may get a request now, and takes a token of
// a cold one.
func (upstream *upstream) open(now time.Time) bool {
	if now.Before(upstream.pausedUntil) || float64(upstream.running) >= max(1, upstream.window) {
		return false
	}
	if !upstream.target.Cold {
		return true
	}
	upstream.coldTokens = min(1, upstream.coldTokens+upstream.target.ColdPerSecond*now.Sub(upstream.coldAt).Seconds())
	upstream.coldAt = now
	return upstream.coldTokens >= 1
}

func (upstream *upstream) begin(ticket *Ticket) {
	upstream.running++
	if upstream.target.Cold {
		upstream.coldTokens--
	}
	if upstream.exact && upstream.running > max(1, upstream.target.Slots) {
		upstream.behind = append(upstream.behind, ticket)
	}
}

// end notes that a request has ended, and that the next one gets its slot.
func (upstream *upstream) end(ticket *Ticket, now time.Time) {
	upstream.running--
	if position := slices.Index(upstream.behind, ticket); position >= 0 {
		upstream.behind = slices.Delete(upstream.behind, position, position+1)
		return
	}
	if len(upstream.behind) > 0 {
		upstream.behind[0].started = now
		upstream.behind = upstream.behind[1:]
	}
}

// expected estimates how long the upstream takes for one more request.
func (upstream *upstream) expected(now time.Time) time.Duration {
	slots := max(1, upstream.target.Slots)
	busy, work := upstream.running, upstream.usual()
	if now.Sub(upstream.loadAt) < loadFresh {
		busy = max(busy, upstream.load.Running+upstream.load.Waiting)
		work = upstream.typical * time.Duration(max(leastPace, upstream.load.Pace)) / usualPace
	}
	queued := max(0, busy-slots+1)
	return work + work*time.Duration(queued)/time.Duration(slots) + upstream.errorsExpected(now)
}

// errorsExpected is what errors count against the upstream: it may fail requests
// faster than others serve them.
func (upstream *upstream) errorsExpected(now time.Time) time.Duration {
	fresh := 1 - float64(now.Sub(upstream.erredAt))/float64(errorMemory)
	if upstream.errorPart == 0 || fresh <= 0 {
		return 0
	}
	return time.Duration(upstream.errorPart * fresh * float64(errorCost))
}

// erred notes an answer that was an error of the upstream itself.
func (upstream *upstream) erred(now time.Time) {
	upstream.answeredAt, upstream.erredAt = now, now
	upstream.pause, upstream.pausedUntil = 0, time.Time{}
	upstream.errorPart += (1 - upstream.errorPart) * typicalTenths / 10
	upstream.errors++
}

// answered notes an answer. The window shrinks while the upstream's queue is
// long, so that requests wait here, where the most urgent goes first.
func (upstream *upstream) answered(now time.Time, took time.Duration, load *Load) {
	upstream.answeredAt = now
	upstream.pause, upstream.pausedUntil = 0, time.Time{}
	upstream.errorPart -= upstream.errorPart * typicalTenths / 10
	pace := time.Duration(upstream.pace)
	if load != nil {
		pace = time.Duration(load.Pace)
	}
	upstream.typical += (took*usualPace/max(leastPace, pace) - upstream.typical) * typicalTenths / 10
	slots := max(1, upstream.target.Slots)
	switch {
	case upstream.exact:
	case load != nil && load.Waiting > slots:
		upstream.window = max(1, upstream.window-windowYield)
	default:
		upstream.window = min(upstream.window+windowGrow, maxWindow*float64(slots))
	}
}

// noteWork adds what the request took, less what it waited at the upstream. An
// exact board knows when the request got its slot; another one goes by the queue
// that the upstream reports. How slow the upstream's machine is stays in: it
// lasts, and the reported pace contains it.
func (upstream *upstream) noteWork(took time.Duration, load *Load) {
	if load != nil && !upstream.exact {
		took = took * time.Duration(max(1, load.Slots)) / time.Duration(max(1, load.Slots)+load.Waiting)
	}
	upstream.work += took
	upstream.workCount++
}

// shed notes that the upstream had no room.
func (upstream *upstream) shed(now time.Time) {
	upstream.answeredAt = now
	if !upstream.exact {
		upstream.window = max(1, upstream.window*windowShrink)
	}
	upstream.pausedUntil = now.Add(shedPause)
}

// failed notes that the upstream could not be reached or did not answer.
func (upstream *upstream) failed(now time.Time) {
	upstream.pause = min(max(firstPause, 2*upstream.pause), maxPause)
	upstream.pausedUntil = now.Add(upstream.pause)
}
