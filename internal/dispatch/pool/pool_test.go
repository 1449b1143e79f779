package pool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// longTimeout is far longer than any response on loopback takes.
const longTimeout = 30 * time.Second

// script lists the responses that a stand-in upstream writes, one for each
// request that it reads on one connection. It closes the connection after the
// last one.
type script struct {
	responses []string
	// reset closes the connection with a TCP reset.
	reset bool
	// silent keeps the connection open after the last response.
	silent bool
}

// standIn is a stand-in upstream. It serves one script per connection, in order, and
// records requests and connections.
type standIn struct {
	listener net.Listener
	mutex    sync.Mutex
	requests []string
	conns    int
}

func startStandIn(t *testing.T, scripts ...script) *standIn {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	standin := &standIn{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, script := range scripts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			standin.mutex.Lock()
			standin.conns++
			standin.mutex.Unlock()
			go standin.serve(conn, script)
		}
	}()
	return standin
}

func (standin *standIn) serve(conn net.Conn, script script) {
	reader := bufio.NewReader(conn)
	for _, response := range script.responses {
		request, err := http.ReadRequest(reader)
		if err != nil {
			break
		}
		standin.mutex.Lock()
		standin.requests = append(standin.requests, request.Header.Get("Id"))
		standin.mutex.Unlock()
		_, _ = conn.Write([]byte(response))
	}
	if script.silent {
		_, _ = reader.ReadByte()
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok && script.reset {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (standin *standIn) address() netip.AddrPort {
	return netip.MustParseAddrPort(standin.listener.Addr().String())
}

func (standin *standIn) count() (requests, conns int) {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	return len(standin.requests), standin.conns
}

func newPool() *Pool {
	return &Pool{
		Clock: clockwork.NewRealClock(),
		Matches: func(request *Request, header http.Header, reused bool) bool {
			return header.Get("Id") == request.Header.Get("Id") || !reused && header.Get("Not-Run") != ""
		},
	}
}

func newRequest(id string) *Request {
	return &Request{ID: id, Method: http.MethodGet, Target: "/x?y=1", Host: "host", Header: http.Header{"Id": {id}}}
}

func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func TestSend(t *testing.T) {
	cases := []struct {
		name    string
		script  script
		body    string
		failure Failure
	}{
		{"complete response", script{responses: []string{responseText("1", "body")}}, "body", ""},
		{"no length, body ends with the connection", script{responses: []string{"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody"}}, "body", ""},
		{"interim response first", script{responses: []string{"HTTP/1.1 100 Continue\r\n\r\n" + responseText("1", "body")}}, "body", ""},
		{"long head", script{responses: []string{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 48<<10) + "\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"}}, "body", ""},
		{"response to an earlier request first", script{responses: []string{responseText("0", "other") + responseText("1", "body")}}, "body", ""},
		{"only a response to an earlier request", script{responses: []string{responseText("0", "other")}}, "", FailureLost},
		{"closed within the body", script{responses: []string{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nbody"}}, "", FailureLost},
		{"reset before the response", script{responses: []string{""}, reset: true}, "", FailureLost},
		{"closed before the response", script{responses: []string{""}}, "", FailureLost},
		{"no response", script{responses: []string{""}, silent: true}, "", FailureTimeout},
		{"switching protocols", script{responses: []string{"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\nId: 1\r\n\r\nbytes"}, silent: true}, "", FailureGarbled},
		{"malformed response", script{responses: []string{"garbage\r\n\r\n"}, silent: true}, "", FailureGarbled},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			standin := startStandIn(t, testcase.script)
			timeout := longTimeout
			if testcase.failure == FailureTimeout {
				timeout = 200 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			response, failure := newPool().Send(ctx, standin.address(), newRequest("1"))
			if testcase.failure != FailureTimeout {
				requests, _ := standin.count()
				is.Equal(requests, 1) // sent once, whatever the response
			}
			if testcase.failure != "" {
				is.True(failure != nil)
				is.Equal(failure.Failure, testcase.failure)
				is.True(failure.MayHaveRun())
				return
			}
			is.Equal(failure, nil)
			is.Equal(string(bytes.Join(response.Body, nil)), testcase.body)
		})
	}
}

func TestClosedPort(t *testing.T) {
	is := is.New(t)
	standin := startStandIn(t)
	is.NoErr(standin.listener.Close())
	_, failure := newPool().Send(context.Background(), standin.address(), newRequest("1"))
	is.True(failure != nil)
	is.Equal(failure.Failure, FailureRefused)
	is.True(!failure.MayHaveRun())
	is.True(errors.Unwrap(failure) != nil)
}

// TestReuse checks that a connection is reused for the next request, unless the
// upstream closes it, it has unread data, or its idle time is over.
func TestReuse(t *testing.T) {
	cases := []struct {
		name  string
		first script
		conns int
	}{
		{"reused", script{responses: []string{responseText("1", ""), responseText("2", "")}}, 1},
		{"closed by the upstream", script{responses: []string{"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"}}, 2},
		{"unexpected second response", script{responses: []string{responseText("1", "") + responseText("1", "")}, silent: true}, 2},
		{"keep-alive timeout of 0", script{responses: []string{"HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n"}, silent: true}, 2},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			standin := startStandIn(t, testcase.first, script{responses: []string{responseText("2", "")}})
			pool := newPool()
			for _, id := range []string{"1", "2"} {
				ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
				_, failure := pool.Send(ctx, standin.address(), newRequest(id))
				cancel()
				is.Equal(failure, nil)
			}
			_, conns := standin.count()
			is.Equal(conns, testcase.conns)
			pool.Close()
		})
	}
}

// TestKeepAlive guards against a timeout that is out of range and overflows.
func TestKeepAlive(t *testing.T) {
	cases := []struct {
		field string
		want  time.Duration
		ok    bool
	}{
		{"timeout=5", 5 * time.Second, true},
		{"max=3, timeout=0", 0, true},
		{"timeout=9223372036854775807", time.Hour, true},
		{"timeout=9223372036854775808", 0, false},
		{"timeout=-1", 0, false},
		{"", 0, false},
	}
	for _, testcase := range cases {
		t.Run(testcase.field, func(t *testing.T) {
			is := is.New(t)
			timeout, ok := keepAlive(testcase.field)
			is.Equal(ok, testcase.ok)
			is.Equal(timeout, testcase.want)
		})
	}
}

func TestEndToEnd(t *testing.T) {
	is := is.New(t)
	header := EndToEnd(http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Transfer-Encoding": {"chunked"},
		"Content-Length": {"3"}, "X-Kept": {"2"},
	})
	is.Equal(header, http.Header{"X-Kept": {"2"}})
}

// TestLateSecondRefusal guards against a request that is called not run, and sent again,
// because the upstream repeats its refusal of an earlier request on the connection: late,
// without an ID, and before the answer to the present one.
func TestLateSecondRefusal(t *testing.T) {
	is := is.New(t)
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	standin := startStandIn(t, script{responses: []string{refusal, refusal + responseText("2", "body")}})
	pool := newPool()
	defer pool.Close()
	first, failure := pool.Send(t.Context(), standin.address(), newRequest("1"))
	is.True(failure == nil)
	is.Equal(first.Status, http.StatusServiceUnavailable)
	second, failure := pool.Send(t.Context(), standin.address(), newRequest("2"))
	is.True(failure == nil)
	is.Equal(second.Status, http.StatusOK)
	_, conns := standin.count()
	is.Equal(conns, 1)
}

// TestLateCopyOfOwnRefusal guards against a request that is called not run, or is sent a third
// time, although its second attempt runs: the attempts have the same ID, and the late second
// copy of the refusal of the first one arrives where the answer to the second is expected.
func TestLateCopyOfOwnRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	cases := []struct {
		name  string
		first script
		ids   []string
	}{
		{"the next request on the connection", script{responses: []string{refusal, refusal + responseText("1", "copied")}}, []string{"1", "1"}},
		{
			"another request in between",
			script{responses: []string{refusal, responseText("2", "other"), refusal + responseText("1", "copied")}},
			[]string{"1", "2", "1"},
		},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			standin := startStandIn(t, testcase.first, script{responses: []string{responseText("1", "own")}})
			pool := newPool()
			defer pool.Close()
			var last *Response
			for _, id := range testcase.ids {
				var failure *SendError
				last, failure = pool.Send(t.Context(), standin.address(), newRequest(id))
				is.True(failure == nil)
			}
			is.Equal(last.Status, http.StatusOK)
			is.Equal(string(bytes.Join(last.Body, nil)), "own")
			_, conns := standin.count()
			is.Equal(conns, 2)
		})
	}
}

// TestConnectionsForgetNoRequest guards against a connection that carries so many requests
// that it no longer knows whether it has carried one before.
func TestConnectionsForgetNoRequest(t *testing.T) {
	is := is.New(t)
	var responses []string
	for number := range maxRequests + 1 {
		responses = append(responses, responseText(itoa(number), ""))
	}
	standin := startStandIn(t, script{responses: responses}, script{responses: responses[maxRequests:]})
	pool := newPool()
	defer pool.Close()
	for number := range maxRequests + 1 {
		_, failure := pool.Send(t.Context(), standin.address(), newRequest(itoa(number)))
		is.True(failure == nil)
	}
	_, conns := standin.count()
	is.Equal(conns, 2)
}
