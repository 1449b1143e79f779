package relay

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// endlessLimit is what an endless upstream writes at most, far more than any limit on
// a response.
const endlessLimit = 192 << 20

// endless is a stand-in upstream that answers the first requests with the head and
// then, until its connection is closed, with the unit, and all later ones as usual.
type endless struct {
	*upstreams

	head, unit string
	first      int64
	// holds keeps the connection open after the head and one unit.
	holds bool
	// cut receives, for each endless response, whether its connection was closed.
	cut chan bool
	// begun receives a value for each response that holds, once its bytes are written.
	begun chan struct{}
}

func (endless endless) start(t *testing.T) *endless {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	endless.upstreams = &upstreams{listener: listener}
	endless.cut, endless.begun = make(chan bool, 64), make(chan struct{}, 64)
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
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if endless.requests.Add(1) <= endless.first {
			endless.flood(conn)
			return
		}
		_, _ = conn.Write([]byte(answered))
	}
}

func (endless *endless) flood(conn net.Conn) {
	_, err := conn.Write([]byte(endless.head + endless.unit))
	if endless.holds {
		endless.begun <- struct{}{}
		_, err = conn.Read(make([]byte, 1))
	}
	block := []byte(strings.Repeat(endless.unit, 1+64<<10/len(endless.unit)))
	for written := 0; err == nil && written < endlessLimit; written += len(block) {
		_, err = conn.Write(block)
	}
	endless.cut <- err != nil
}

func newCallerRequest(path string) *http.Request {
	request := httptest.NewRequest(http.MethodGet, "http://host"+path, nil)
	request.Header.Set("Id", "r")
	request.Header.Set("Key", "k")
	return request
}

const (
	endlessHead   = "HTTP/1.1 200 OK\r\nX: "
	endlessChunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// TestEndlessResponse guards against repeating a request that may have run, against a
// false promise to its caller, and against an upstream without a name in the metrics
// when its response has no end.
func TestEndlessResponse(t *testing.T) {
	cases := []struct {
		name, path, head, unit string
		reason                 string
		status                 int
		sends                  int64
	}{
		{"head, write", "/book/x", endlessHead, "x", "headTooLong", 502, 1},
		{"head, lookup", "/look/x", endlessHead, "x", "headTooLong", 200, 2},
		{"interim responses, write", "/book/x", "", "HTTP/1.1 102 Processing\r\n\r\n", "headTooLong", 502, 1},
		{"garbage, write", "/book/x", "", "x\r\n", "malformed", 502, 1},
		{"garbage, lookup", "/look/x", "", "x\r\n", "malformed", 200, 2},
		{"body, write", "/book/x", "HTTP/1.1 200 OK\r\n\r\n", "x", "bodyTooLong", 502, 1},
		{"body, lookup", "/look/x", "HTTP/1.1 200 OK\r\n\r\n", "x", "bodyTooLong", 200, 2},
		{"trailers, write", "/book/x", endlessChunks + "0\r\n", "X: y\r\n", "malformed", 502, 1},
		{"refusal that has no end, write", "/book/x", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n\r\n", "x", "bodyTooLong", 502, 1},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			endless := endless{head: testcase.head, unit: testcase.unit, first: 1}.start(t)
			relay := newRelay(t, endless.upstreams, 0)
			recorder := httptest.NewRecorder()
			relay.ServeHTTP(recorder, newCallerRequest(testcase.path))
			is.Equal(recorder.Code, testcase.status)
			is.Equal(endless.requests.Load(), testcase.sends)
			is.True(<-endless.cut)
			is.Equal(relay.Stats.EventCount("response", testcase.reason), uint64(1))
			if testcase.status != http.StatusOK {
				is.Equal(recorder.Body.Len(), 0)
			}
		})
	}
}

// TestEndlessResponsesReleasePermits guards against losing the permits of requests
// whose responses have no end, and against sparing the upstream that sent them.
func TestEndlessResponsesReleasePermits(t *testing.T) {
	const requests = 60 // more than all upstreams may get at once
	is := is.New(t)
	endless := endless{head: endlessHead, unit: "x", first: requests}.start(t)
	clock := clockwork.NewFakeClock()
	relay := newRelayWithClock(t, endless.upstreams, 0, clock)
	for range requests {
		recorder := httptest.NewRecorder()
		relay.ServeHTTP(recorder, newCallerRequest("/book/x"))
		is.Equal(recorder.Code, http.StatusBadGateway)
		is.True(<-endless.cut)
		clock.Advance(5 * time.Second) // upstreams that failed get requests again
	}
	recorder := httptest.NewRecorder()
	relay.ServeHTTP(recorder, newCallerRequest("/book/x"))
	is.Equal(recorder.Code, http.StatusOK)
	is.Equal(relay.Running(), int64(0))
	failed := 0
	for _, requeststats := range relay.Scheduler.TakeStats() {
		failed += requeststats.Failed
	}
	is.Equal(failed, requests)
}

// TestUnfinishedResponse guards against a response that goes on, however slowly, after
// its request's time is over or its caller has left. A write whose caller has left goes
// on until then, as it may have run.
func TestUnfinishedResponse(t *testing.T) {
	cases := []struct {
		name, path string
		leaves     bool
		counted    uint64
	}{
		{"timeout of the route, write", "/short-book/x", false, 1},
		{"timeout of the route, lookup", "/short-look/x", false, 1},
		{"caller left, lookup", "/look/x", true, 0}, // the caller ended it, not the upstream's slowness
		{"caller left, write", "/short-book/x", true, 1},
	}
	for _, testcase := range cases {
		responses := []struct{ name, head string }{
			{"head", endlessHead},
			{"length", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"},
			{"chunks", endlessChunks + "1\r\nx\r\n64\r\n"},
			{"until the connection closes", "HTTP/1.1 200 OK\r\n\r\n"},
		}
		for _, response := range responses {
			t.Run(testcase.name+", "+response.name, func(t *testing.T) {
				is := is.New(t)
				endless := endless{head: response.head, unit: "x", first: 1, holds: true}.start(t)
				relay := newRelay(t, endless.upstreams, 0)
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				if testcase.leaves {
					go func() {
						<-endless.begun
						leave()
					}()
				}
				recorder := httptest.NewRecorder()
				relay.ServeHTTP(recorder, newCallerRequest(testcase.path).WithContext(ctx))
				is.True(<-endless.cut)
				is.Equal(endless.requests.Load(), int64(1))
				is.Equal(relay.Stats.EventCount("response", "unfinished"), testcase.counted)
				is.Equal(recorder.Body.Len(), 0)
				if !testcase.leaves {
					is.Equal(recorder.Code, http.StatusGatewayTimeout)
				}
			})
		}
	}
}

// TestBytesAfterResponse guards against handing the bytes that follow one response to
// the caller of the next request.
func TestBytesAfterResponse(t *testing.T) {
	cases := []struct{ name, unit string }{
		{"garbage", "x"},
		{"responses", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			endless := endless{head: answered, unit: testcase.unit, first: 1}.start(t)
			relay := newRelay(t, endless.upstreams, 0)
			for range 10 {
				recorder := httptest.NewRecorder()
				relay.ServeHTTP(recorder, newCallerRequest("/book/x"))
				is.Equal(recorder.Code, http.StatusOK)
				is.Equal(recorder.Body.String(), "body")
			}
			is.True(<-endless.cut)
		})
	}
}

// TestLogLineIsBounded guards against a log line that holds all that an upstream sent
// instead of a response.
func TestLogLineIsBounded(t *testing.T) {
	cases := []struct{ name, response string }{
		{"status line", strings.Repeat("\x00", 48<<10) + "\r\n"},
		{"header line", "HTTP/1.1 200 OK\r\n" + strings.Repeat("\x00", 48<<10) + "\r\n\r\n"},
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("x", 48<<10) + "\r\n\r\n"},
		{"transfer encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + strings.Repeat("x", 48<<10) + "\r\n\r\n"},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			relay := newRelay(t, startUpstreams(t, testcase.response), 0)
			handler := memory.New()
			relay.Log = &log.Logger{Handler: handler}
			relay.ServeHTTP(httptest.NewRecorder(), newCallerRequest("/book/x"))
			causes := 0
			for _, entry := range handler.Entries {
				if cause, ok := entry.Fields["cause"].(string); ok {
					causes++
					is.True(len(cause) <= 300)
				}
			}
			is.Equal(causes, 1)
		})
	}
}
