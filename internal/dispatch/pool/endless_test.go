package pool

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// blockBytes is the least that an endless upstream writes at once.
const blockBytes = 64 << 10

// endless is a stand-in upstream that answers each request with the head and then
// repeats the unit until its connection is closed or it has written the limit.
type endless struct {
	listener net.Listener
	head     string
	unit     string
	limit    int
	// holds keeps the connection open after the limit.
	holds bool
	// begin delays what follows the head until it is closed, and begun is closed once
	// some of it has been written. Both may be nil.
	begin, begun chan struct{}
	// cut receives, for each connection, whether it was closed before the limit.
	cut chan bool
	// requests receives the ID of each request.
	requests chan string
}

func startEndless(t *testing.T, head, unit string, limit int) *endless {
	t.Helper()
	return endless{head: head, unit: unit, limit: limit}.start(t)
}

func (endless endless) start(t *testing.T) *endless {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	endless.listener, endless.cut, endless.requests = listener, make(chan bool, 64), make(chan string, 64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go endless.serve(conn)
		}
	}()
	return &endless
}

func (endless *endless) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	endless.requests <- request.Header.Get("Id")
	_, err = conn.Write([]byte(endless.head))
	block := []byte(strings.Repeat(endless.unit, 1+blockBytes/len(endless.unit)))
	if endless.begin != nil {
		<-endless.begin
		_, err = conn.Write(block[:len(endless.unit)])
		close(endless.begun)
	}
	for written := 0; err == nil && written < endless.limit; written += len(block) {
		_, err = conn.Write(block)
	}
	if endless.holds {
		_, err = conn.Read(make([]byte, 1))
	}
	endless.cut <- err != nil
}

func (endless *endless) address() netip.AddrPort {
	return netip.MustParseAddrPort(endless.listener.Addr().String())
}

// TestEndlessHead guards against a response head without end, which was buffered
// until the request's deadline.
func TestEndlessHead(t *testing.T) {
	cases := []struct {
		name, head, unit string
		reason           Reason
	}{
		{"header line", "HTTP/1.1 200 OK\r\nId: 1\r\nX: ", "x", ReasonHeadTooLong},
		{"header lines", "HTTP/1.1 200 OK\r\nId: 1\r\n", "X: y\r\n", ReasonHeadTooLong},
		{"continuation lines", "HTTP/1.1 200 OK\r\nId: 1\r\nX: y\r\n", " z\r\n", ReasonHeadTooLong},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", ReasonHeadTooLong},
		{"status line", "HTTP/1.1 200 ", "x", ReasonHeadTooLong},
		{"bytes without a line", "", "x", ReasonHeadTooLong},
		{"blank lines", "", "\r\n", ReasonMalformed},
		{"null bytes", "", "\x00", ReasonHeadTooLong},
		{"lines that are no response", "", "garbage\r\n", ReasonMalformed},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			endless := startEndless(t, testcase.head, testcase.unit, 32<<20)
			ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
			defer cancel()
			_, failure := newPool().Send(ctx, endless.address(), newRequest("1"))
			is.True(failure != nil)
			is.Equal(failure.Failure, FailureGarbled)
			is.Equal(failure.Reason, testcase.reason)
			is.True(failure.MayHaveRun())
			is.True(<-endless.cut)
			is.Equal(len(endless.requests), 1) // not repeated
		})
	}
}

// TestEndlessBody guards against a response body without end. One that was longer
// than the limit was given up, but the rest of it was still read until the request's
// deadline.
func TestEndlessBody(t *testing.T) {
	const (
		status  = "HTTP/1.1 200 OK\r\nId: 1\r\n"
		chunked = status + "Transfer-Encoding: chunked\r\n\r\n"
	)
	block := strings.Repeat("x", blockBytes)
	cases := []struct {
		name, head, unit string
		reason           Reason
	}{
		{"long length", status + "Content-Length: 1000000000000\r\n\r\n", block, ReasonBodyTooLong},
		{"chunks", chunked, "10000\r\n" + block + "\r\n", ReasonBodyTooLong},
		{"until the connection closes", status + "\r\n", block, ReasonBodyTooLong},
		{"until the connection closes, HTTP/1.0", "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n", block, ReasonBodyTooLong},
		{"chunk size", chunked, "0", ReasonMalformed},
		{"chunk extension", chunked + "1;", "x", ReasonMalformed},
		{"chunk extensions", chunked, "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n", ReasonMalformed},
		{"trailer line", chunked + "0\r\nX: ", "x", ReasonMalformed},
		{"trailer lines", chunked + "0\r\n", "X: y\r\n", ReasonMalformed},
		{"bytes after a chunk", chunked + "1\r\nx", "x", ReasonMalformed},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			endless := startEndless(t, testcase.head, testcase.unit, 3*maxResponseBytes)
			ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
			defer cancel()
			_, failure := newPool().Send(ctx, endless.address(), newRequest("1"))
			is.True(failure != nil)
			is.Equal(failure.Failure, FailureGarbled)
			is.Equal(failure.Reason, testcase.reason)
			is.True(failure.MayHaveRun())
			is.True(<-endless.cut)
			is.Equal(len(endless.requests), 1) // not repeated
		})
	}
}

// TestLengthWithoutBody guards against taking the length in a response to HEAD for
// that of a body that is too long.
func TestLengthWithoutBody(t *testing.T) {
	is := is.New(t)
	standin := startStandIn(t, script{responses: []string{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1000000000000\r\n\r\n"}})
	request := newRequest("1")
	request.Method = http.MethodHead
	_, failure := newPool().Send(t.Context(), standin.address(), request)
	is.Equal(failure, nil)
}

// TestEndlessLateResponse guards against reading the body of a response to an earlier
// request for longer than it takes to know that it is of no use: one that ends with
// the connection was read to its end, and any other was buffered.
func TestEndlessLateResponse(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\nId: 0\r\n"
	block := strings.Repeat("x", blockBytes)
	cases := []struct {
		name, head, unit string
		limit            int
		reason           Reason
	}{
		{"until the connection closes", status + "\r\n", block, maxResponseBytes / 2, ReasonOtherRequest},
		{"connection closes after the response", status + "Connection: close\r\nContent-Length: 60000000\r\n\r\n", block, maxResponseBytes / 2, ReasonOtherRequest},
		{"chunks", status + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + block + "\r\n", 3 * maxResponseBytes, ReasonBodyTooLong},
		{"long length", status + "Content-Length: 1000000000000\r\n\r\n", block, 3 * maxResponseBytes, ReasonBodyTooLong},
		{"garbage after the late response", status + "Content-Length: 60000000\r\n\r\n", block, 3 * maxResponseBytes, ReasonHeadTooLong},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			endless := startEndless(t, testcase.head, testcase.unit, testcase.limit)
			ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, failure := newPool().Send(ctx, endless.address(), newRequest("1"))
			runtime.ReadMemStats(&after)
			is.True(failure != nil)
			is.Equal(failure.Failure, FailureGarbled)
			is.Equal(failure.Reason, testcase.reason)
			is.True(<-endless.cut)
			is.True(after.TotalAlloc-before.TotalAlloc < maxResponseBytes/4) // not buffered
		})
	}
}

// TestBodiesOfAllResponses guards against buffering more than the limit for the bodies
// of many responses at once, each of which is within the limit for one.
func TestBodiesOfAllResponses(t *testing.T) {
	const senders, fitting = 8, 2
	is := is.New(t)
	endless := endless{
		head: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", unit: strings.Repeat("x", blockBytes), limit: maxResponseBytes * 3 / 8, holds: true,
	}.start(t)
	healthy := startStandIn(t, script{responses: []string{responseText("2", "body")}})
	pool := newPool()
	ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
	defer cancel()
	failures := make(chan *SendError, senders)
	for range senders {
		go func() {
			_, failure := pool.Send(ctx, endless.address(), newRequest("1"))
			failures <- failure
		}()
	}
	for range senders - fitting {
		failure := <-failures
		is.Equal(failure.Failure, FailureGarbled)
		is.Equal(failure.Reason, ReasonBuffersFull)
		is.True(<-endless.cut)
	}
	_, failure := pool.Send(ctx, healthy.address(), newRequest("2"))
	is.Equal(failure, nil) // others are not affected
	cancel()
	for range fitting {
		failure := <-failures
		is.Equal(failure.Failure, FailureTimeout)
		is.Equal(failure.Reason, ReasonUnfinished)
	}
	is.Equal(pool.bodies.Total(), 0)
}

// TestHeadsOfAllResponses guards against heads of many responses at once that have very many
// lines, each within the limit for one, and take many times their length.
func TestHeadsOfAllResponses(t *testing.T) {
	const senders, fitting = 8, 2
	is := is.New(t)
	head := "HTTP/1.1 200 OK\r\nId: 1\r\n" + strings.Repeat("a:\r\n", 12<<10)
	endless := endless{head: head, unit: "x", holds: true}.start(t) // the head never ends
	pool := newPool()
	pool.MaxBuffered = 12 << 20 // each takes 5 MB
	ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
	defer cancel()
	failures := make(chan *SendError, senders)
	for range senders {
		go func() {
			_, failure := pool.Send(ctx, endless.address(), newRequest("1"))
			failures <- failure
		}()
	}
	for range senders - fitting {
		failure := <-failures
		is.Equal(failure.Failure, FailureGarbled)
		is.Equal(failure.Reason, ReasonBuffersFull)
	}
	cancel()
	for range fitting {
		is.Equal((<-failures).Failure, FailureTimeout)
	}
	is.Equal(pool.bodies.Total(), 0)
}

// TestLongBodies guards against losing or reordering bytes of a body that is read in
// several pieces, up to the limit.
func TestLongBodies(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	pattern := make([]byte, maxResponseBytes)
	for position := range pattern {
		pattern[position] = byte(position % 251)
	}
	for _, length := range []int{
		0, 1, minPieceBytes - 1, minPieceBytes, minPieceBytes + 1, maxFirstPieceBytes, maxFirstPieceBytes + 1, 3*maxPieceBytes + 1,
		maxResponseBytes,
	} {
		body := string(pattern[:length])
		framings := []struct{ name, response string }{
			{"length", status + "Content-Length: " + itoa(length) + "\r\n\r\n" + body},
			{"one chunk", status + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(length), 16) + "\r\n" + body + "\r\n0\r\n\r\n"},
			{"until the connection closes", status + "\r\n" + body},
		}
		for _, framing := range framings {
			if length == 0 && framing.name == "one chunk" {
				continue // a chunk of length 0 is the last
			}
			t.Run(framing.name+" "+itoa(length), func(t *testing.T) {
				is := is.New(t)
				pool := newPool()
				ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
				defer cancel()
				response, failure := pool.Send(ctx, startStandIn(t, script{responses: []string{framing.response}}).address(), newRequest("1"))
				is.Equal(failure, nil)
				var received strings.Builder
				written, err := response.Body.WriteTo(&received)
				is.NoErr(err)
				is.Equal(written, int64(length))
				is.Equal(response.Body.Len(), length)
				is.True(received.String() == body)
				is.Equal(pool.bodies.Total(), 0)
			})
		}
	}
}

// TestIdleConnections guards against keeping an idle connection that can't be reused,
// with the bytes that its upstream sends on it, until a request to any upstream ends.
func TestIdleConnections(t *testing.T) {
	cases := []struct {
		name     string
		limit    int
		advanced time.Duration
	}{
		{"bytes without end", 32 << 20, sweepInterval},
		{"one byte", 0, sweepInterval},
		{"idle for too long", 0, defaultIdleTime},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			endless := endless{
				head: responseText("1", "body"), unit: "x", limit: testcase.limit, holds: true,
				begin: make(chan struct{}), begun: make(chan struct{}),
			}.start(t)
			clock := clockwork.NewFakeClock()
			pool := newPool()
			pool.Clock = clock
			unexpected := make(chan netip.AddrPort, 1)
			pool.OnUnexpectedBytes = func(address netip.AddrPort) { unexpected <- address }
			ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
			defer cancel()
			_, failure := pool.Send(ctx, endless.address(), newRequest("1"))
			is.Equal(failure, nil)
			if testcase.advanced == sweepInterval {
				close(endless.begin)
				<-endless.begun
				for ctx.Err() == nil && pool.idle[endless.address()][0].state() != stateUnexpected {
					runtime.Gosched() // the bytes are on their way
				}
			}
			clock.Advance(testcase.advanced)
			if testcase.advanced != sweepInterval {
				close(endless.begin)
			}
			select {
			case cut := <-endless.cut:
				is.True(cut)
			case <-ctx.Done():
				is.Fail() // the connection stays open
			}
			if testcase.advanced == sweepInterval {
				is.Equal(<-unexpected, endless.address())
			}
		})
	}
}

// TestIdleConnectionStaysOpen guards against closing idle connections that may still be
// reused.
func TestIdleConnectionStaysOpen(t *testing.T) {
	is := is.New(t)
	standin := startStandIn(t, script{responses: []string{responseText("1", ""), responseText("2", "")}})
	clock := clockwork.NewFakeClock()
	pool := newPool()
	pool.Clock = clock
	for _, id := range []string{"1", "2"} {
		_, failure := pool.Send(t.Context(), standin.address(), newRequest(id))
		is.Equal(failure, nil)
		clock.Advance(sweepInterval)
		pool.sweep()
	}
	_, conns := standin.count()
	is.Equal(conns, 1)
}

// TestUnfinishedResponse guards against taking a response that comes byte by byte for
// none, or for a complete one, when its request ends.
func TestUnfinishedResponse(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	cases := []struct {
		name, head, unit string
		reason           Reason
	}{
		{"no byte", "", "", ""},
		{"head", "HTTP/1.1 200 OK\r\nX: ", "x", ReasonUnfinished},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", ReasonUnfinished},
		{"body with a length", status + "Content-Length: 100\r\n\r\n", "x", ReasonUnfinished},
		{"chunks", status + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", ReasonUnfinished},
		{"until the connection closes", status + "\r\n", "x", ReasonUnfinished},
		{"late response", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 100\r\n\r\n", "x", ReasonUnfinished},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			client, upstream := net.Pipe()
			connection := newConn(client)
			ctx, cancel := context.WithCancel(context.Background())
			stop := connection.interruptAfter(ctx)
			defer stop()
			go func() {
				// A write to the pipe returns once it has been read.
				_, _ = upstream.Write([]byte(testcase.head))
				for range 10 {
					_, _ = upstream.Write([]byte(testcase.unit))
				}
				cancel()
			}()
			response, _, failure := connection.receive(ctx, newPool(), newRequest("1"))
			is.Equal(response, nil)
			is.Equal(failure.Failure, FailureTimeout)
			is.Equal(failure.Reason, testcase.reason)
			is.Equal(failure.Received, len(testcase.head)+10*len(testcase.unit))
			is.True(failure.MayHaveRun())
		})
	}
}

// TestEndlessResponseToUnreadBody guards against a request that goes on after its time
// is over because the upstream sends without end and reads nothing.
func TestEndlessResponseToUnreadBody(t *testing.T) {
	is := is.New(t)
	endless := startEndless(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x", 3*maxResponseBytes)
	ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
	defer cancel()
	go func() {
		<-endless.requests // the upstream has read the head
		cancel()
	}()
	request := newRequest("1")
	request.Method, request.Body = http.MethodPost, Body{make([]byte, maxResponseBytes)}
	_, failure := newPool().Send(ctx, endless.address(), request)
	is.True(failure != nil)
	is.Equal(failure.Failure, FailureTimeout)
	is.True(failure.MayHaveRun())
	is.True(<-endless.cut)
}
