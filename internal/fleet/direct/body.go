package direct

import (
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxCallBytes bounds the body of one call. A configuration of 10000 routes takes 1 MiB.
	maxCallBytes = 1 << 20
	// maxBodiesBytes bounds the bodies of all calls in progress. Decoding them takes up to
	// twenty times as much.
	maxBodiesBytes = 3 << 20
)

// ErrBusy is returned by reads of a call's body while those of other calls take too much
// memory.
var ErrBusy = Error.New("the bodies of all calls exceed %d bytes", maxBodiesBytes)

// bodies bounds the bodies of the calls that a handler serves at the same time. The zero
// value is ready to use.
type bodies struct{ total atomic.Int64 }

// limit returns a handler that gives the calls' bodies a bound: reads fail with
// http.MaxBytesError or ErrBusy.
func (bodies *bodies) limit(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		counted := &countedBody{ReadCloser: http.MaxBytesReader(writer, request.Body, maxCallBytes), bodies: bodies}
		defer counted.release()
		request.Body = counted
		handler.ServeHTTP(writer, request)
	})
}

// countedBody is the body of a call in progress.
type countedBody struct {
	io.ReadCloser

	bodies *bodies
	// count is the number of bytes read.
	count int64
}

// Read implements io.Reader.
func (countedbody *countedBody) Read(data []byte) (int, error) {
	count, err := countedbody.ReadCloser.Read(data)
	countedbody.count += int64(count)
	if countedbody.bodies.total.Add(int64(count)) > maxBodiesBytes {
		return count, ErrBusy
	}
	return count, err //nolint:wrapcheck // io.EOF must not be wrapped
}

func (countedbody *countedBody) release() {
	countedbody.bodies.total.Add(-countedbody.count)
}
