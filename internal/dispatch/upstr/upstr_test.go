package upstr

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// startScriptedServer serves raw responses, one for each request on a connection,
// and then closes the connection. It counts the requests that it has read.
func startScriptedServer(t *testing.T, responses ...string) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	count := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScripted(conn, count, responses)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String()), count
}

func serveScripted(conn net.Conn, count *atomic.Int64, responses []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, response := range responses {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		count.Add(1)
		_, _ = io.WriteString(conn, response)
	}
}

const wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

func TestResults(t *testing.T) {
	for _, test := range []struct {
		name  string
		raw   string
		check func(Result) bool
	}{
		{"complete", wholeResponse, func(result Result) bool {
			response, ok := result.(Response)
			return ok && string(response.Answer.Body) == "whole"
		}},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", func(result Result) bool {
			response, ok := result.(Response)
			return ok && string(response.Answer.Body) == "abc"
		}},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\ncut", badResponse(CauseTruncated)},
		{"truncated chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", badResponse(CauseTruncated)},
		{"no framing", "HTTP/1.0 200 OK\r\n\r\nperhaps cut", badResponse(CauseUnframed)},
		{"switching protocols", "HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nbytes", badResponse(CauseUnframed)},
		{"switching protocols without a name", "HTTP/1.1 101 Switching\r\n\r\nbytes", badResponse(CauseUnframed)},
		{"status 000", "HTTP/1.1 000 X\r\nContent-Length: 5\r\n\r\nwhole", badResponse(CauseStatus)},
		{"status 099", "HTTP/1.1 099 X\r\nContent-Length: 5\r\n\r\nwhole", badResponse(CauseStatus)},
		{"status 600", "HTTP/1.1 600 X\r\nContent-Length: 5\r\n\r\nwhole", badResponse(CauseStatus)},
		{"status 999", "HTTP/1.1 999 X\r\nContent-Length: 5\r\n\r\nwhole", badResponse(CauseStatus)},
		{"status 000 that says not run", "HTTP/1.1 000 X\r\nRequest-Outcome: notRun\r\nContent-Length: 0\r\n\r\n", badResponse(CauseStatus)},
		{"status with a sign", "HTTP/1.1 -99 X\r\nContent-Length: 0\r\n\r\n", func(result Result) bool { _, ok := result.(Lost); return ok }},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), badResponse(CauseTooLarge)},
		{"no response", "", func(result Result) bool { _, ok := result.(Lost); return ok }},
		{"truncated header", "HTTP/1.1 200 OK\r\nContent-Le", func(result Result) bool { _, ok := result.(Lost); return ok }},
		{"shed", "HTTP/1.1 503 Busy\r\nRequest-Outcome: notRun\r\nContent-Length: 0\r\n\r\n", notRun(CauseShed)},
		{"fenced", "HTTP/1.1 409 Old\r\nRequest-Outcome: fenced\r\nContent-Length: 0\r\n\r\n", notRun(CauseFenced)},
		{"plain 503 may have run", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", func(result Result) bool {
			response, ok := result.(Response)
			return ok && response.Answer.Status == http.StatusServiceUnavailable
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, _ := startScriptedServer(t, test.raw)
			client := NewClient(2, nil)
			defer client.Close()
			call := Call{Address: address, Method: http.MethodPost, Target: "/", Body: []byte("b"), MaxAnswerSize: 1000}
			if result := client.Send(t.Context(), call); !test.check(result) {
				t.Errorf("result is %#v", result)
			}
		})
	}
}

func badResponse(cause BadResponseCause) func(Result) bool {
	return func(result Result) bool {
		bad, ok := result.(BadResponse)
		return ok && bad.Cause == cause
	}
}

func notRun(cause NotRunCause) func(Result) bool {
	return func(result Result) bool {
		refused, ok := result.(NotRun)
		return ok && refused.Cause == cause
	}
}

// TestUnreachableIsNotRun checks that a call is known not to have run if the
// connection is refused.
func TestUnreachableIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	_ = listener.Close()
	client := NewClient(2, nil)
	result := client.Send(t.Context(), Call{Address: address, Method: http.MethodPost, Target: "/"})
	is.New(t).True(notRun(CauseUnreachable)(result))
}

// TestNeverSentTwice lets an upstream close a reused connection after it has read a
// request. Since the request may have run, net/http must not retry it.
func TestNeverSentTwice(t *testing.T) {
	for _, test := range []struct {
		name   string
		method string
		body   string
		key    string
	}{
		{"body and key", http.MethodPost, "order", "k1"},
		{"key without body", http.MethodPost, "", "k1"},
		{"body without key", http.MethodPost, "order", ""},
		{"neither", http.MethodPost, "", ""},
		{"delete", http.MethodDelete, "", "k1"},
		{"read, which only the primary may retry", http.MethodGet, "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, count := startScriptedServer(t, wholeResponse, "")
			client := NewClient(2, nil)
			defer client.Close()
			call := Call{
				Address: address, Method: test.method, Target: "/", IdempotencyKey: test.key,
				Body: []byte(test.body), MaxAnswerSize: 100,
			}
			_, ok := client.Send(t.Context(), call).(Response)
			is.True(ok) // the first request leaves an idle connection
			_, ok = client.Send(t.Context(), call).(Lost)
			is.True(ok)                      // the second is read, then the connection is closed
			is.Equal(count.Load(), int64(2)) // and it is not retried
		})
	}
}

// TestTimeoutMayHaveRun checks that a call that is cancelled after the upstream
// received it is reported as TimedOut, not as NotRun.
func TestTimeoutMayHaveRun(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	release := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { //nolint:gosec // a test's server
		close(started)
		<-release
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	defer close(release)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	client := NewClient(2, nil)
	call := Call{Address: netip.MustParseAddrPort(listener.Addr().String()), Method: http.MethodGet, Target: "/"}
	_, ok := client.Send(ctx, call).(TimedOut)
	is.True(ok)
}

// TestPauseBeforeWrite ends the lease before a request is written to an open
// connection. No byte of the request may be sent.
func TestPauseBeforeWrite(t *testing.T) {
	is := is.New(t)
	address, count := startScriptedServer(t, wholeResponse, wholeResponse)
	allowed := true
	client := NewClient(2, func() bool { return allowed })
	defer client.Close()
	call := Call{Address: address, Method: http.MethodPost, Target: "/", Body: []byte("order"), MaxAnswerSize: 100}
	_, ok := client.Send(t.Context(), call).(Response)
	is.True(ok)
	allowed = false
	_, ok = client.Send(t.Context(), call).(Response)
	is.True(!ok)
	is.Equal(count.Load(), int64(1))
}

// TestLateResponseToEarlierAttempt guards against a call that is taken for not run although
// it runs: its upstream repeats its refusal of an earlier attempt once the call is on the
// connection, and both have the same request ID.
func TestLateResponseToEarlierAttempt(t *testing.T) {
	is := is.New(t)
	const refusal = "HTTP/1.1 503 Busy\r\nAttempt-Id: a1\r\nRequest-Outcome: notRun\r\nContent-Length: 0\r\n\r\n"
	address, _ := startScriptedServer(t, refusal, refusal+wholeResponse)
	client := NewClient(2, nil)
	defer client.Close()
	call := Call{Address: address, RequestID: "r", AttemptID: "a1", Method: http.MethodPost, Target: "/", Body: []byte("b"), MaxAnswerSize: 100}
	is.True(notRun(CauseShed)(client.Send(t.Context(), call)))
	call.AttemptID = "a2"
	_, lost := client.Send(t.Context(), call).(Lost)
	is.True(lost) // it may have run, and the connection is not used again
	call.AttemptID = "a1"
	is.True(notRun(CauseShed)(client.Send(t.Context(), call)))
}
