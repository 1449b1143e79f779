// Package bulk bounds the memory of bodies that are being read, of all together: whoever sends
// without end, on however many connections, loses the longest first.
package bulk

import (
	"cmp"
	"io"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("bulk")

// ErrFull is returned for a body that was given up.
var ErrFull = Error.New("the bodies being read are longer than the limit together, and this is the longest")

// defaultLimit is the limit in bytes unless another is set.
const defaultLimit = 64 << 20

// Bodies accounts for the bodies that are being read. The zero value is ready to use.
type Bodies struct {
	mutex sync.Mutex
	// limit is defaultLimit if it is 0.
	limit int
	total int
	held  map[*Body]int
}

// SetLimit sets the most bytes that several bodies together may take, 0 for the default of 64
// MiB.
func (bodies *Bodies) SetLimit(limit int) {
	bodies.mutex.Lock()
	defer bodies.mutex.Unlock()
	bodies.limit = limit
}

// Total returns the bytes that all bodies take.
func (bodies *Bodies) Total() int {
	bodies.mutex.Lock()
	defer bodies.mutex.Unlock()
	return bodies.total
}

// giveUpLongest gives up the longest body that is not whole, and closes its source. The caller's
// is never whole.
func (bodies *Bodies) giveUpLongest() {
	var longest *Body
	for body, count := range bodies.held {
		if !body.whole && (longest == nil || count > bodies.held[longest]) {
			longest = body
		}
	}
	bodies.total -= bodies.held[longest]
	delete(bodies.held, longest)
	longest.givenUp = true
	_ = longest.source.Close()
}

// Body is what one source, such as a connection, takes.
type Body struct {
	bodies *Bodies
	source io.Closer
	// givenUp and whole are guarded by the mutex of bodies.
	givenUp, whole bool
}

// NewBody returns the account of a source, which is closed if its body is given up. The close
// must not block.
func NewBody(bodies *Bodies, source io.Closer) *Body {
	return &Body{bodies: bodies, source: source}
}

// Add accounts for more bytes. Once several bodies together are longer than the limit, it gives
// up the longest. It returns ErrFull if that is this one, or was before.
func (body *Body) Add(count int) error {
	bodies := body.bodies
	bodies.mutex.Lock()
	defer bodies.mutex.Unlock()
	if body.givenUp {
		return ErrFull
	}
	if count == 0 {
		return nil
	}
	if bodies.held == nil {
		bodies.held = map[*Body]int{}
	}
	body.whole = false
	bodies.held[body] += count
	bodies.total += count
	for bodies.total > cmp.Or(bodies.limit, defaultLimit) && len(bodies.held) > 1 {
		bodies.giveUpLongest()
	}
	if body.givenUp {
		return ErrFull
	}
	return nil
}

// Keep records that the body is whole: it counts until it is released, but is not given up for
// others any more.
func (body *Body) Keep() {
	body.bodies.mutex.Lock()
	defer body.bodies.mutex.Unlock()
	body.whole = true
}

// Release ends the accounting of what the source has sent so far, and reports whether it was
// given up.
func (body *Body) Release() bool {
	bodies := body.bodies
	bodies.mutex.Lock()
	defer bodies.mutex.Unlock()
	bodies.total -= bodies.held[body]
	delete(bodies.held, body)
	return body.givenUp
}
