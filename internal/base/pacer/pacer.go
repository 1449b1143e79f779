// Package pacer shares the link of a host between small answers, which are passed on at once,
// and large ones, which are passed on in pieces. It refuses requests whose answers the link
// can't carry in time.
package pacer

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/base/stats"
)

const (
	// logPrefix starts each line that this package logs.
	logPrefix = "link: "
	// bytesPerMegabit converts the unit of the settings.
	bytesPerMegabit = 1e6 / 8
	// usualWeight is the weight of the latest answer in a route's moving averages.
	usualWeight = 1.0 / 16
	// maxRoutes bounds the routes with moving averages. Beyond it all are measured again.
	maxRoutes = 4096
	// fullWait is how long a piece waits on a link that is logged as full.
	fullWait = 250 * time.Millisecond
	// fullInterval is the time between two lines about a full link.
	fullInterval = time.Second
	// deadlineMargin is the part of the estimated time on the link that is added to it, as
	// answers differ in size. One that misses its deadline has used the link for nothing.
	deadlineMargin = 0.3
	// offeredTime is the time constant of what is asked for. It covers enough large answers
	// that a few at once are no overload.
	offeredTime = 4 * time.Second
	// minRetryAfter bounds the time after which refused callers come back.
	minRetryAfter = 10 * time.Millisecond
	// minBufferBytes bounds the buffers of sockets, so that small answers fit.
	minBufferBytes = 6 << 10
)

// Direction is a direction of the link.
type Direction uint8

const (
	// In is from upstreams, callers and other hosts.
	In Direction = iota
	// Out is to them.
	Out
)

// String returns the direction's name in logs and metrics.
func (direction Direction) String() string {
	if direction == In {
		return "in"
	}
	return "out"
}

// suffix returns what names of log fields and events of the direction end with.
func (direction Direction) suffix() string {
	if direction == In {
		return "In"
	}
	return "Out"
}

// directions are both directions.
var directions = [...]Direction{In, Out}

// usual holds the moving averages of a route's answers.
type usual struct {
	bytes float64
	// work is the time from admission until an answer begins.
	work time.Duration
	// answers and begins are the numbers of values in the averages.
	answers, begins int
}

// Link is the link of a host. A nil link is one of unknown rate, which paces and refuses
// nothing. It is safe for concurrent use.
type Link struct {
	clock clockwork.Clock
	log   log.Interface
	stats *stats.Set

	mutex  sync.Mutex
	lines  [len(directions)]line
	timers [len(directions)]clockwork.Timer
	routes map[string]usual
	// offered measures the bytes of the large answers that were asked for, refused ones
	// included.
	offered meter
	// left holds the bytes that the admitted large answers still have to pass.
	left [len(directions)]float64
	// large is the number of admitted large answers.
	large int
	// fullLoggedAt is when the link was last logged as full.
	fullLoggedAt time.Time
}

// New returns a link of a rate in Mbit/s, or nil if the rate is not positive.
func New(megabits float64, clock clockwork.Clock, logger log.Interface, set *stats.Set) *Link {
	if megabits <= 0 {
		return nil
	}
	link := &Link{clock: clock, log: logger, stats: set, routes: map[string]usual{}, offered: meter{over: offeredTime}}
	for _, direction := range directions {
		link.lines[direction] = line{direction: direction, nominal: megabits * bytesPerMegabit}
	}
	return link
}

// BufferBytes returns the size of a socket's buffer that holds half a piece, or 0 for a link of
// unknown rate. What an upstream sends before it is read comes unasked for.
func (link *Link) BufferBytes() int {
	if link == nil {
		return 0
	}
	return max(minBufferBytes, int(link.lines[In].nominal*pieceTime.Seconds()/2))
}

// PieceBytes returns the size of a piece. Answers of more bytes are large.
func (link *Link) PieceBytes(direction Direction) int {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.lines[direction].pieceBytes(link.clock.Now())
}

// Account accounts for bytes that pass without being paced.
func (link *Link) Account(direction Direction, bytes int) {
	if link == nil || bytes <= 0 {
		return
	}
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.lines[direction].account(link.clock.Now(), bytes)
	link.stats.Transferred(direction.String(), "small", bytes)
}

// run grants the pieces of a direction that may pass now, and sets the timer for the next.
func (link *Link) run(direction Direction) {
	now, line := link.clock.Now(), &link.lines[direction]
	line.grant(now, link.lines[Out].largeRate(now))
	if link.timers[direction] != nil {
		link.timers[direction].Stop()
		link.timers[direction] = nil
	}
	if len(line.waiting) == 0 {
		return
	}
	link.logFull(now, direction)
	wait := max(time.Millisecond, line.readyAt(now).Sub(now))
	link.timers[direction] = link.clock.AfterFunc(wait, func() {
		link.mutex.Lock()
		defer link.mutex.Unlock()
		link.run(direction)
	})
}

// logFull logs that pieces wait for long, at most once per fullInterval.
func (link *Link) logFull(now time.Time, direction Direction) {
	line := &link.lines[direction]
	longest := time.Duration(0)
	for _, piece := range line.waiting {
		longest = max(longest, now.Sub(piece.askedAt))
	}
	if longest < fullWait || now.Sub(link.fullLoggedAt) < fullInterval {
		return
	}
	link.fullLoggedAt = now
	link.stats.Event("link", "full")
	link.log.WithFields(log.Fields{
		"direction": direction.String(), "waiting": len(line.waiting), "longest": longest.String(), "large": link.large,
	}).WithFields(link.inputs(now)).Info(logPrefix + "the link is full, large answers wait")
}

// inputs returns what decisions are based on, and its age, for logs.
func (link *Link) inputs(now time.Time) log.Fields {
	fields := log.Fields{"bytesIn": int(link.left[In]), "bytesOut": int(link.left[Out]), "offered": int(link.offered.perSecond(now))}
	for _, direction := range directions {
		line, suffix := &link.lines[direction], direction.suffix()
		fields["rate"+suffix], fields["small"+suffix] = int(line.measured(now)), int(line.small.perSecond(now))
		if !line.doneAt.IsZero() {
			fields["measured"+suffix] = now.Sub(line.doneAt).String()
		}
	}
	return fields
}
