package direct

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"time"

	"damaskcrank.example/damaskcrank/internal/base/bulk"
)

const (
	// maxCallBytes bounds the body of one call. A configuration of 10000 routes takes 1 MiB.
	maxCallBytes = 1 << 20
	// maxBodiesBytes bounds the bodies of all calls in progress. Decoding them takes up to
	// twenty times as much.
	maxBodiesBytes = 3 << 20
	// bodyTimeout bounds how long a body may take. The longest takes half of it at 2 Mbit/s.
	bodyTimeout = 10 * time.Second
)

// ErrBusy is returned by reads of a call's body while those of other calls take too much
// memory.
var ErrBusy = Error.New("the bodies of all calls exceed %d bytes", maxBodiesBytes)

// bodies bounds the bodies of the calls that a handler serves at the same time. Beyond, the
// longest that is still being read is given up. The zero value is ready to use.
type bodies struct {
	held bulk.Bodies
	// timeout is bodyTimeout if it is 0.
	timeout time.Duration
}

// limit returns a handler that gives the calls' bodies a bound: reads fail with
// http.MaxBytesError, ErrBusy or, after the timeout, os.ErrDeadlineExceeded.
func (bodies *bodies) limit(handler http.Handler) http.Handler {
	bodies.held.SetLimit(maxBodiesBytes)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		deadline := readDeadline{http.NewResponseController(writer)}
		deadline.set(time.Now().Add(cmp.Or(bodies.timeout, bodyTimeout)))
		counted := &countedBody{
			ReadCloser: http.MaxBytesReader(writer, request.Body, maxCallBytes),
			held:       bulk.NewBody(&bodies.held, deadline), deadline: deadline, whole: request.ContentLength == 0,
		}
		defer counted.release()
		request.Body = counted
		handler.ServeHTTP(writer, request)
	})
}

// readDeadline is the deadline of reads from a call's connection.
type readDeadline struct{ controller *http.ResponseController }

// set sets the deadline. It has no effect if the connection has ended.
func (readdeadline readDeadline) set(deadline time.Time) {
	_ = readdeadline.controller.SetReadDeadline(deadline)
}

// Close ends a read that waits. It implements io.Closer.
func (readdeadline readDeadline) Close() error {
	readdeadline.set(time.Unix(1, 0))
	return nil
}

// countedBody is the body of a call in progress.
type countedBody struct {
	io.ReadCloser

	held     *bulk.Body
	deadline readDeadline
	// whole is set once the body has been read to its end.
	whole bool
}

// Read implements io.Reader.
func (countedbody *countedBody) Read(data []byte) (int, error) {
	count, err := countedbody.ReadCloser.Read(data)
	if countedbody.held.Add(count) != nil {
		return count, ErrBusy
	}
	if errors.Is(err, io.EOF) {
		countedbody.held.Keep()
		countedbody.whole = true
		countedbody.deadline.set(time.Time{})
	}
	return count, err //nolint:wrapcheck // io.EOF must not be wrapped
}

// release ends the accounting. net/http reads on in a body that is not whole before it sends the
// answer, for as long as the caller sends: the deadline prevents that.
func (countedbody *countedBody) release() {
	countedbody.held.Release()
	if !countedbody.whole {
		_ = countedbody.deadline.Close()
		return
	}
	countedbody.deadline.set(time.Time{})
}
