package pacer

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("pacer")

// ErrWaiting is the error of answers whose context ended while they waited for the link.
var ErrWaiting = Error.New("the answer waited for the link")

// The reasons of refusals.
const (
	// ReasonLate means that the answer could not be passed on before the deadline.
	ReasonLate = "linkLate"
	// ReasonOverloaded means that the answer could not be passed on before the objective,
	// and others can that need the link.
	ReasonOverloaded = "linkOverloaded"
	// ReasonFull means that small answers alone hold the link until the deadline.
	ReasonFull = "linkFull"
)

// Refusal is the refusal of a request whose answer the link can't carry in time.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
	// Inputs are what the decision was based on.
	Inputs log.Fields
}

// Flow is the answer to an admitted request. A nil flow is not paced. Its methods are called
// by one goroutine at a time.
type Flow struct {
	link           *Link
	route          string
	goal, deadline time.Time
	admittedAt     time.Time
	// large is set if the answer is counted as a large one.
	large bool
	// left holds what of the link's left belongs to this answer.
	left [len(directions)]float64
	// slow is set for a direction in which the latest piece took longer than stallTime.
	slow [len(directions)]bool
	// current holds the piece that is being passed on.
	current [len(directions)]*piece
}

// Admit admits a request of a route, whose answer is best passed on before the objective and
// must be before the deadline, or refuses it. The flow must be closed.
func (link *Link) Admit(route string, goal, deadline time.Time) (*Flow, *Refusal) {
	if link == nil {
		return nil, nil //nolint:nilnil // a nil flow is not paced
	}
	link.mutex.Lock()
	defer link.mutex.Unlock()
	now, usual := link.clock.Now(), link.routes[route]
	flow := &Flow{link: link, route: route, goal: goal, deadline: deadline, admittedAt: now}
	if int(usual.bytes) <= link.lines[Out].pieceBytes(now) {
		if link.lines[Out].fullOfSmall(now, deadline) {
			return nil, link.refuse(now, usual, ReasonFull, link.lines[Out].clearAt, deadline)
		}
		return flow, nil
	}
	finish := link.finishAt(now, usual)
	safe := finish.Add(time.Duration(float64(finish.Sub(now)-usual.work) * deadlineMargin))
	link.offered.add(now, usual.bytes)
	overloaded := link.offered.perSecond(now) > min(link.lines[In].largeRate(now), link.lines[Out].largeRate(now))
	switch {
	case safe.After(deadline):
		return nil, link.refuse(now, usual, ReasonLate, safe, deadline)
	case overloaded && finish.After(goal) && !link.aloneAt(now, usual).After(goal):
		return nil, link.refuse(now, usual, ReasonOverloaded, finish, goal)
	}
	flow.expect(usual.bytes)
	return flow, nil
}

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// finishAt returns when the answer to a request that is admitted now will have been passed on.
func (link *Link) finishAt(now time.Time, usual usual) time.Time {
	in, out := link.lines[In].largeRate(now), link.lines[Out].largeRate(now)
	begin := max(usual.work, seconds(link.left[In], in))
	own := seconds(usual.bytes, out)
	return now.Add(max(begin+seconds(usual.bytes, in), seconds(link.left[Out], out)) + own)
}

// aloneAt returns when the answer would have been passed on if there were no other large ones.
func (link *Link) aloneAt(now time.Time, usual usual) time.Time {
	in, out := link.lines[In].largeRate(now), link.lines[Out].largeRate(now)
	return now.Add(usual.work + seconds(usual.bytes, in) + seconds(usual.bytes, out))
}

// refuse returns a refusal. A request that comes as much later as this one is too late finds
// a link that has passed on as many more bytes.
func (link *Link) refuse(now time.Time, usual usual, reason string, finish, limit time.Time) *Refusal {
	inputs := link.inputs(now)
	inputs["bytes"], inputs["finishes"], inputs["limit"] = int(usual.bytes), finish.Sub(now).String(), limit.Sub(now).String()
	return &Refusal{Reason: reason, RetryAfter: max(minRetryAfter, finish.Sub(limit)), Inputs: inputs}
}

// Observe adds the length of an answer to what is usual for its route.
func (flow *Flow) Observe(bytes int) {
	if flow == nil {
		return
	}
	link := flow.link
	link.mutex.Lock()
	defer link.mutex.Unlock()
	known := link.routes[flow.route]
	known.answers++
	known.bytes += (float64(bytes) - known.bytes) * max(usualWeight, 1/float64(known.answers))
	link.setUsual(flow.route, known)
}

func (link *Link) setUsual(route string, known usual) {
	if _, ok := link.routes[route]; !ok && len(link.routes) >= maxRoutes {
		link.routes = map[string]usual{}
	}
	link.routes[route] = known
}

// leftAfter returns the bytes that the answer has to pass in the direction that follows.
func (flow *Flow) leftAfter(direction Direction) float64 {
	if direction == In {
		return flow.left[Out]
	}
	return 0
}

// expect sets the bytes that the answer still has to pass in both directions.
func (flow *Flow) expect(bytes float64) {
	flow.setLarge(int(bytes) > flow.link.lines[Out].pieceBytes(flow.link.clock.Now()))
	for _, direction := range directions {
		flow.setLeft(direction, bytes)
	}
}

func (flow *Flow) setLarge(large bool) {
	switch {
	case large && !flow.large:
		flow.link.large++
	case !large && flow.large:
		flow.link.large--
	}
	flow.large = large
}

func (flow *Flow) setLeft(direction Direction, bytes float64) {
	if !flow.large {
		bytes = 0
	}
	flow.link.left[direction] += bytes - flow.left[direction]
	flow.left[direction] = bytes
	if flow.link.large == 0 {
		flow.link.left[direction] = 0 // without the sum's rounding errors
	}
}

// Begin records that an answer begins, whose length is negative if it is not known yet.
func (flow *Flow) Begin(length int64) {
	if flow == nil {
		return
	}
	link := flow.link
	took := link.clock.Now().Sub(flow.admittedAt)
	link.mutex.Lock()
	defer link.mutex.Unlock()
	flow.abandon(In) // that of an earlier answer, which broke off
	known := link.routes[flow.route]
	known.begins++
	known.work += time.Duration(float64(took-known.work) * max(usualWeight, 1/float64(known.begins)))
	if known.answers == 0 && length > 0 {
		known.bytes = float64(length)
	}
	link.setUsual(flow.route, known)
	if length >= 0 {
		flow.expect(float64(length))
	}
}

// Ready records that an answer is held by the host, and has to be written only.
func (flow *Flow) Ready(length int) {
	if flow == nil {
		return
	}
	flow.link.mutex.Lock()
	defer flow.link.mutex.Unlock()
	flow.expect(float64(length))
	flow.setLeft(In, 0)
}

// Account accounts for bytes that pass without being paced.
func (flow *Flow) Account(direction Direction, bytes int) {
	if flow != nil {
		flow.link.Account(direction, bytes)
	}
}

// IsLarge reports whether an answer of a length is passed on in pieces.
func (flow *Flow) IsLarge(direction Direction, length int64) bool {
	return flow != nil && length > int64(flow.link.PieceBytes(direction))
}

// Take waits until a piece of the answer may be passed on, and returns its size, which is at
// most that given. Its error is ErrWaiting. Done or the next Take ends the piece.
func (flow *Flow) Take(ctx context.Context, direction Direction, size int) (int, error) {
	link := flow.link
	flow.Done(direction)
	link.mutex.Lock()
	line, now := &link.lines[direction], link.clock.Now()
	taken := &piece{flow: flow, size: min(size, line.pieceBytes(now)), askedAt: now, granted: make(chan struct{})}
	line.waiting = append(line.waiting, taken)
	flow.current[direction] = taken
	link.run(direction)
	waits := taken.grantedAt.IsZero()
	link.mutex.Unlock()
	if waits {
		link.stats.Event("link", "waited"+direction.suffix())
		select {
		case <-taken.granted:
		case <-ctx.Done():
			link.mutex.Lock()
			defer link.mutex.Unlock()
			flow.abandon(direction)
			return 0, Error.New("%w: %w", ErrWaiting, ctx.Err())
		}
	}
	link.mutex.Lock()
	defer link.mutex.Unlock()
	flow.setLeft(direction, max(0, flow.left[direction]-float64(taken.size)))
	link.stats.Transferred(direction.String(), "large", taken.size)
	return taken.size, nil
}

// Done records that the piece was passed on.
func (flow *Flow) Done(direction Direction) {
	if flow == nil || flow.current[direction] == nil {
		return
	}
	link := flow.link
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.lines[direction].finish(link.clock.Now(), flow.current[direction])
	flow.current[direction] = nil
	link.run(direction)
}

// abandon gives up the piece, which measures nothing then.
func (flow *Flow) abandon(direction Direction) {
	if flow.current[direction] == nil {
		return
	}
	flow.link.lines[direction].drop(flow.current[direction])
	flow.current[direction] = nil
	flow.link.run(direction)
}

// Close gives back all that is expected of the answer.
func (flow *Flow) Close() {
	if flow == nil {
		return
	}
	flow.link.mutex.Lock()
	defer flow.link.mutex.Unlock()
	flow.setLarge(false)
	for _, direction := range directions {
		flow.abandon(direction)
		flow.setLeft(direction, 0)
	}
}

// PieceBytes returns the size of a piece.
func (flow *Flow) PieceBytes(direction Direction) int { return flow.link.PieceBytes(direction) }
