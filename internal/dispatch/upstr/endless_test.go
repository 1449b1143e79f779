package upstr

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// endlessLimit is what an endless upstream writes at most, far more than any limit
	// on a response.
	endlessLimit = 32 << 20
	longTimeout  = 30 * time.Second
	smallBody    = 1000
	wholeAck     = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"stamp\":7}"
)

// endless is a stand-in upstream that answers its first request with the head and then
// with the unit until its connection is closed, and all later ones with the healthy
// response.
type endless struct {
	address  netip.AddrPort
	requests atomic.Int64
	// cut receives whether the connection was closed before the limit.
	cut chan bool
	// begun is closed once the head and a unit have been written.
	begun chan struct{}
}

// startEndless starts an endless upstream. If it holds, it sends nothing after the
// first unit.
func startEndless(t *testing.T, head, unit, healthy string, holds bool) *endless {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	endless := &endless{
		address: netip.MustParseAddrPort(listener.Addr().String()), cut: make(chan bool, 1), begun: make(chan struct{}),
	}
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if endless.requests.Add(1) > 1 {
				_, _ = io.WriteString(conn, healthy)
				continue
			}
			_, err = io.WriteString(conn, head+unit)
			close(endless.begun)
			if holds {
				_, err = conn.Read(make([]byte, 1))
			}
			block := strings.Repeat(unit, 1+64<<10/len(unit))
			for written := 0; err == nil && written < endlessLimit; written += len(block) {
				_, err = io.WriteString(conn, block)
			}
			endless.cut <- err != nil
			return
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return endless
}

const (
	endlessStatus  = "HTTP/1.1 200 OK\r\n"
	endlessChunked = endlessStatus + "Transfer-Encoding: chunked\r\n\r\n"
)

func lost(result Result) bool {
	_, ok := result.(Lost)
	return ok
}

// TestEndlessResponse guards against a response without end that is read until the
// deadline, sent again, taken for "not run", or that keeps its connection: the client
// may open only one, and the next call needs it.
func TestEndlessResponse(t *testing.T) {
	cases := []struct {
		name, head, unit string
		check            func(Result) bool
	}{
		{"header line", endlessStatus + "X: ", "x", lost},
		{"header lines", endlessStatus, "X: y\r\n", lost},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", lost},
		{"bytes without a line", "", "x", lost},
		{"blank lines", "", "\r\n", lost},
		{"null bytes", "", "\x00", lost},
		{"body over its limit", endlessStatus + "Content-Length: 1000000000000\r\n\r\n", "x", badResponse(CauseTooLarge)},
		{"chunks", endlessChunked, "1\r\nx\r\n", badResponse(CauseTooLarge)},
		{"until the connection closes", endlessStatus + "\r\n", "x", badResponse(CauseUnframed)},
		{"chunk size", endlessChunked, "0", badResponse(CauseTruncated)},
		{"chunk extension", endlessChunked + "1;", "x", badResponse(CauseTruncated)},
		{"trailer line", endlessChunked + "0\r\nX: ", "x", badResponse(CauseTruncated)},
		{"trailer lines", endlessChunked + "0\r\n", "X: y\r\n", badResponse(CauseTruncated)},
		{"refusal", "HTTP/1.1 503 Busy\r\nRequest-Outcome: notRun\r\n\r\n", "x", notRun(CauseShed)},
		{"refusal in chunks", "HTTP/1.1 503 Busy\r\nRequest-Outcome: notRun\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", notRun(CauseShed)},
	}
	for _, testcase := range cases {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(testcase.name+" "+method, func(t *testing.T) {
				is := is.New(t)
				endless := startEndless(t, testcase.head, testcase.unit, wholeResponse, false)
				client := NewClient(1, nil)
				defer client.Close()
				ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
				defer cancel()
				call := Call{Address: endless.address, Method: method, Target: "/", MaxAnswerSize: smallBody}
				is.True(testcase.check(client.Send(ctx, call)))
				is.True(<-endless.cut)
				is.Equal(endless.requests.Load(), int64(1)) // not repeated
				response, ok := client.Send(ctx, call).(Response)
				is.True(ok)
				is.Equal(string(response.Answer.Body), "whole")
			})
		}
	}
}

// TestUnfinishedResponse guards against a response that still comes in when its call
// ends, and is taken for a complete one or for "not run".
func TestUnfinishedResponse(t *testing.T) {
	cases := []struct{ name, head string }{
		{"head", endlessStatus + "X: "},
		{"length", endlessStatus + "Content-Length: 100\r\n\r\n"},
		{"chunk", endlessChunked + "64\r\n"},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			endless := startEndless(t, testcase.head, "x", wholeResponse, true)
			client := NewClient(1, nil)
			defer client.Close()
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-endless.begun
				cancel()
			}()
			call := Call{Address: endless.address, Method: http.MethodPost, Target: "/", MaxAnswerSize: smallBody}
			_, ok := client.Send(ctx, call).(TimedOut)
			is.True(ok)
			is.True(<-endless.cut)
		})
	}
}

// TestEndlessGrantResponse guards against a response to a grant, by which upstreams are
// checked, that has no end, and against accepting the part of it that was read.
func TestEndlessGrantResponse(t *testing.T) {
	cases := []struct{ name, head, unit string }{
		{"header line", endlessStatus + "X: ", "x"},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"bytes without a line", "", "x"},
		{"body of spaces", endlessStatus + "\r\n{\"stamp\":7}", " "},
		{"body", endlessStatus + "\r\n{\"stamp\":7,\"incarnation\":\"", "x"},
		{"chunks", endlessChunked, "1\r\n \r\n"},
		{"failure", "HTTP/1.1 500 Failed\r\n\r\n", "x"},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			endless := startEndless(t, testcase.head, testcase.unit, wholeAck, false)
			client := NewClient(1, nil)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
			defer cancel()
			_, err := client.Grant(ctx, endless.address, Grant{})
			is.True(err != nil)
			is.True(<-endless.cut)
			ack, err := client.Grant(ctx, endless.address, Grant{})
			is.NoErr(err)
			is.Equal(ack.Stamp, int64(7))
		})
	}
}

// TestErrorIsBounded guards against an error, which callers get as the detail of a
// refusal, that holds all that an upstream sent instead of a response.
func TestErrorIsBounded(t *testing.T) {
	garbage := strings.Repeat("\x00", 48<<10)
	for _, raw := range []string{
		garbage + "\r\n",
		endlessStatus + garbage + "\r\n\r\n",
		endlessStatus + "Content-Length: " + strings.Repeat("x", 48<<10) + "\r\n\r\n",
		"HTTP/1.1 503 " + strings.Repeat("x", 48<<10) + "\r\nRequest-Outcome: notRun\r\nContent-Length: 0\r\n\r\n",
	} {
		is := is.New(t)
		address, _ := startScriptedServer(t, raw)
		client := NewClient(1, nil)
		var text string
		switch result := client.Send(t.Context(), Call{Address: address, Method: http.MethodPost, Target: "/"}).(type) {
		case Lost:
			text = result.Err.Error()
		case NotRun:
			text = result.Err.Error()
		}
		is.True(text != "")
		is.True(len(text) <= 400)
		_, err := client.Grant(t.Context(), address, Grant{})
		is.True(err != nil)
		is.True(len(err.Error()) <= 400)
		client.Close()
	}
}

// TestBytesAfterResponse guards against handing the bytes that follow one response to
// the next call: net/http gives a connection to a waiting call before it looks for
// bytes that no call asked for.
func TestBytesAfterResponse(t *testing.T) {
	const callers, calls = 8, 1000
	const other = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	cases := []struct{ name, response, body string }{
		{"after a body", wholeResponse, "whole"},
		{"after an empty body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			address, _ := startScriptedServer(t, testcase.response+other, testcase.response+other, testcase.response+other)
			client := NewClient(2, nil)
			defer client.Close()
			var wrong, right atomic.Int64
			var tasks sync.WaitGroup
			for range callers {
				tasks.Go(func() {
					for range calls {
						call := Call{Address: address, Method: http.MethodPost, Target: "/", MaxAnswerSize: smallBody}
						response, ok := client.Send(t.Context(), call).(Response)
						switch {
						case ok && string(response.Answer.Body) != testcase.body:
							wrong.Add(1)
						case ok:
							right.Add(1)
						}
					}
				})
			}
			tasks.Wait()
			is := is.New(t)
			is.Equal(wrong.Load(), int64(0))
			is.True(right.Load() > 0)
			t.Logf("%d of %d calls got their response", right.Load(), callers*calls)
		})
	}
}

// TestBytesBeforeRequest guards against taking bytes that an upstream sends on a new
// connection, before any request, for the response to the first.
func TestBytesBeforeRequest(t *testing.T) {
	is := is.New(t)
	upstream, client := net.Pipe()
	defer upstream.Close()
	connection := newGuardedConn(client, nil)
	read := make(chan error, 1)
	go func() {
		_, err := connection.Read(make([]byte, 100))
		read <- err
	}()
	connection.awaitReader(t.Context())
	_, err := io.WriteString(upstream, wholeResponse)
	is.NoErr(err)
	is.Equal(<-read, errUnexpectedBytes)
}

// TestEndlessBytesOnIdleConnection guards against keeping a connection on which the
// upstream goes on sending after a complete response.
func TestEndlessBytesOnIdleConnection(t *testing.T) {
	for _, unit := range []string{"x", "\r\n", wholeResponse} {
		is := is.New(t)
		endless := startEndless(t, wholeResponse, unit, wholeResponse, false)
		client := NewClient(1, nil)
		call := Call{Address: endless.address, Method: http.MethodPost, Target: "/", MaxAnswerSize: smallBody}
		for number := range 2 {
			response, ok := client.Send(t.Context(), call).(Response)
			is.True(ok)
			is.Equal(string(response.Answer.Body), "whole")
			if number == 0 {
				is.True(<-endless.cut)
			}
		}
		is.Equal(endless.requests.Load(), int64(2)) // each sent once
		client.Close()
	}
}

// TestResponsesOfAllUpstreams guards against upstreams that all send at once, each within the
// limits for one response, and use up the host's memory: the longest are given up, others are
// served, and a call that may have run is not called "not run".
func TestResponsesOfAllUpstreams(t *testing.T) {
	// Two responses fit: each takes five to six and a half MiB while it is read.
	const upstreams, fitting, limit = 8, 2, 14 << 20
	long := strings.Repeat("x", 3<<20)
	cases := []struct {
		name, head, unit string
		check            func(Result) bool
	}{
		{"body of a length", endlessStatus + "Content-Length: 4000000\r\n\r\n", long, badResponse(CauseTruncated)},
		{"chunk", endlessChunked + "3D0900\r\n", long, badResponse(CauseTruncated)},
		{"head of many lines", endlessStatus, strings.Repeat("a:\r\n", 12<<10), lost},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			client := NewClient(1, nil)
			defer client.Close()
			client.SetMaxBuffered(limit)
			ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
			defer cancel()
			results := make(chan Result, upstreams)
			for range upstreams {
				endless := startEndless(t, testcase.head, testcase.unit, wholeResponse, true)
				go func() {
					results <- client.Send(ctx, Call{Address: endless.address, Method: http.MethodPost, Target: "/", MaxAnswerSize: 8 << 20})
				}()
			}
			for range upstreams - fitting {
				is.True(testcase.check(<-results))
			}
			is.True(client.bodies.Total() <= limit)
			healthy, _ := startScriptedServer(t, wholeResponse)
			_, ok := client.Send(ctx, Call{Address: healthy, Method: http.MethodPost, Target: "/", MaxAnswerSize: smallBody}).(Response)
			is.True(ok)
			cancel()
			for range fitting {
				_, ok := (<-results).(TimedOut)
				is.True(ok)
			}
			is.Equal(client.bodies.Total(), 0)
		})
	}
}

// TestEndlessResponseToUnreadRequest guards against a call that goes on after its time is over
// because the upstream sends without end and reads nothing of a long request.
func TestEndlessResponseToUnreadRequest(t *testing.T) {
	for _, head := range []string{endlessStatus + "X: ", endlessChunked, endlessStatus + "Content-Length: 1000000000000\r\n\r\n"} {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		cut := make(chan bool, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = conn.Read(make([]byte, 1)) // the request has begun
			_, err = io.WriteString(conn, head)
			block := strings.Repeat("1\r\nx\r\n", 10<<10)
			for written := 0; err == nil && written < endlessLimit; written += len(block) {
				_, err = io.WriteString(conn, block)
			}
			cut <- err != nil
		}()
		client := NewClient(1, nil)
		ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
		call := Call{
			Address: netip.MustParseAddrPort(listener.Addr().String()), Method: http.MethodPost, Target: "/",
			Body: make([]byte, 8<<20), MaxAnswerSize: smallBody,
		}
		_, notRun := client.Send(ctx, call).(NotRun)
		is.True(!notRun)
		is.NoErr(ctx.Err())
		is.True(<-cut)
		cancel()
		client.Close()
		_ = listener.Close()
	}
}
