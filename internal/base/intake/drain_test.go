package intake

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

const (
	wholeHead = usualHead + "\r\n"
	// drainTimeout is the longest time that tests wait for a drain.
	drainTimeout = 10 * time.Second
)

// drainCaller is a connection of a caller, and what it does around the drain.
type drainCaller struct {
	name string
	// kept is set if the connection has carried a request.
	kept bool
	// before is sent before the drain begins, and after once it has.
	before, after string
	// status is that of the answer, 0 if the connection is closed without one.
	status int
}

// TestDrainAnswersRequests guards against requests that a planned stop drops without an answer:
// those that have come on a connection before the drain and are not parsed yet, and those that
// are read after it has begun.
func TestDrainAnswersRequests(t *testing.T) {
	const connections = 40 // more than there are processors to read them
	for _, caller := range []drainCaller{
		{"kept, the request has come", true, wholeHead, "", http.StatusOK},
		{"kept, the rest of the head comes later", true, usualHead, "\r\n", http.StatusOK},
		{"kept, the body comes later", true, usualHead + "Content-Length: 3\r\n\r\n", "abc", http.StatusOK},
		{"kept, no request", true, "", "", 0},
		{"new, the request has come", false, wholeHead, "", http.StatusOK},
		{"new, the request comes later", false, "", wholeHead, http.StatusOK},
		{"new, the rest of the head comes later", false, usualHead, "\r\n", http.StatusOK},
		{"new, no request", false, "", "", 0},
	} {
		t.Run(caller.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			listener := serve(t, 8<<20, nil)
			readers, conns := make([]*bufio.Reader, connections), make([]net.Conn, connections)
			for number := range connections {
				conns[number], readers[number] = dial(t, listener)
				if caller.kept {
					is.Equal(exchange(t, conns[number], readers[number], wholeHead), http.StatusOK)
				}
			}
			awaitOpen(t, listener, connections)
			for _, conn := range conns {
				_, err := io.WriteString(conn, caller.before)
				is.NoErr(err)
			}
			drained := startDrain(t, listener)
			for number, conn := range conns {
				_, _ = io.WriteString(conn, caller.after)
				if caller.status != 0 {
					is.Equal(status(t, readers[number]), caller.status)
				}
				_, err := readers[number].ReadByte()
				is.Equal(err, io.EOF) // the connection is closed
			}
			is.NoErr(<-drained)
		})
	}
}

// TestDrainWaitsForAnswers guards against a drain that ends before the requests in progress,
// and against answers that do not say that their connection is closed.
func TestDrainWaitsForAnswers(t *testing.T) {
	is := is.New(t)
	var running atomic.Int64
	release := make(chan struct{})
	listener := serveHandler(t, 0, nil, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		running.Add(1)
		<-release
	}))
	conn, reader := dial(t, listener)
	_, err := io.WriteString(conn, wholeHead+wholeHead) // the second is dropped with the connection
	is.NoErr(err)
	for running.Load() == 0 {
		<-time.After(time.Millisecond)
	}
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	is.True(listener.Drain(short) != nil) // the request is still in progress
	drained := startDrain(t, listener)
	_, err = net.DialTimeout("tcp", listener.Addr().String(), time.Second)
	is.True(err != nil) // no more connections are accepted
	close(release)
	is.NoErr(<-drained)
	is.Equal(status(t, reader), http.StatusOK)
}

// fullServer is a server whose memory for heads is taken by requests in progress, and a caller
// whose whole head waits for memory.
type fullServer struct {
	listener *Listener
	clock    *clockwork.FakeClock
	reader   *bufio.Reader
	release  chan struct{}
}

func newFullServer(t *testing.T) *fullServer {
	t.Helper()
	is := is.New(t)
	server := &fullServer{clock: clockwork.NewFakeClock(), release: make(chan struct{})}
	var running atomic.Int64
	server.listener = serveWithClock(t, 0, nil, server.clock, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Large") != "" {
			running.Add(1)
			<-server.release
		}
	}))
	conn, reader := dial(t, server.listener)
	server.reader = reader
	is.Equal(exchange(t, conn, reader, wholeHead), http.StatusOK)
	large := usualHead + "Large: x\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n"
	for range 2 {
		other, _ := dial(t, server.listener)
		_, err := io.WriteString(other, large)
		is.NoErr(err)
	}
	for running.Load() < 2 {
		<-time.After(time.Millisecond)
	}
	_, err := io.WriteString(conn, large)
	is.NoErr(err)
	is.NoErr(server.clock.BlockUntilContext(t.Context(), 1)) // the head waits
	return server
}

// TestDrainAnswersHeadsThatWait guards against whole heads that wait for memory when the drain
// begins and are dropped.
func TestDrainAnswersHeadsThatWait(t *testing.T) {
	is := is.New(t)
	server := newFullServer(t)
	drained := startDrain(t, server.listener)
	close(server.release)
	is.Equal(status(t, server.reader), http.StatusOK)
	is.NoErr(<-drained)
}

// TestHeadWithoutMemoryIsRefused guards against requests that were read whole and are dropped
// without an answer, as no memory was left for them.
func TestHeadWithoutMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	server := newFullServer(t)
	defer close(server.release)
	server.clock.Advance(admitTimeout)
	response, err := http.ReadResponse(server.reader, nil)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("Retry-After"), retryAfter)
	is.True(response.Close)
}

// awaitOpen waits until a number of connections are accepted.
func awaitOpen(t *testing.T, listener *Listener, count int) {
	t.Helper()
	for deadline := time.Now().Add(drainTimeout); listener.drain.count() < count; {
		is.New(t).True(time.Now().Before(deadline))
		<-time.After(time.Millisecond)
	}
}

// startDrain begins a drain and returns what it returns at the end.
func startDrain(t *testing.T, listener *Listener) <-chan error {
	t.Helper()
	drained := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		drained <- listener.Drain(ctx)
	}()
	for !listener.drain.begun.Load() {
		<-time.After(50 * time.Microsecond)
	}
	return drained
}

func exchange(t *testing.T, conn net.Conn, reader *bufio.Reader, request string) int {
	t.Helper()
	_, err := io.WriteString(conn, request)
	is.New(t).NoErr(err)
	return status(t, reader)
}

// status reads an answer and returns its status.
func status(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	is := is.New(t)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	return response.StatusCode
}
