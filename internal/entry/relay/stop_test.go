package relay

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestsThatOutlastTheStop guards against requests that are sent to an upstream late in
// a planned stop and cut off at its end.
func TestRequestsThatOutlastTheStop(t *testing.T) {
	const soon, late = 100 * time.Millisecond, 10 * time.Second // short routes have 200 ms, others 20 s
	cases := []struct {
		name    string
		path    string
		stopsIn time.Duration
		status  int
		sends   int64
	}{
		{"no stop", "/book/x", 0, 200, 1},
		{"its time is over before", "/short-book/x", late, 200, 1},
		{"its time is over after", "/short-book/x", soon, 503, 0},
		{"its time is over after, idempotent", "/short-look/x", soon, 503, 0},
		{"its time is long", "/book/x", late, 503, 0},
		{"the time to stop is over", "/short-book/x", -soon, 503, 0},
		{"no route", "/other/x", soon, 404, 0},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			upstreams := startUpstreams(t, answered)
			relay := newRelay(t, upstreams, 0)
			stopsAt := time.Time{}
			if testcase.stopsIn != 0 {
				stopsAt = relay.Clock.Now().Add(testcase.stopsIn)
			}
			relay.StopsAt = func() time.Time { return stopsAt }
			request := httptest.NewRequest(http.MethodPost, "http://host"+testcase.path, nil)
			request.Header.Set("Id", "r")
			request.Header.Set("Key", "k")
			recorder := httptest.NewRecorder()
			relay.ServeHTTP(recorder, request)
			is.Equal(recorder.Code, testcase.status)
			is.Equal(upstreams.requests.Load(), testcase.sends)
			if recorder.Code == http.StatusServiceUnavailable {
				is.Equal(recorder.Header().Get("Retry-After"), "0.01") // other hosts serve it at once
			}
		})
	}
}

// TestAnswersOfStoppingHostCloseTheConnection guards against callers that keep their connection
// to a host which began to stop while their request was in progress.
func TestAnswersOfStoppingHostCloseTheConnection(t *testing.T) {
	for _, testcase := range []struct {
		name, path string
		status     int
	}{
		{"answered", "/book/x", http.StatusOK},
		{"refused", "/other/x", http.StatusNotFound},
	} {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			upstreams := startUpstreams(t, answered)
			relay := newRelay(t, upstreams, 0)
			relay.Draining = func() bool { return testcase.path == "/other/x" || upstreams.requests.Load() > 0 }
			request := httptest.NewRequest(http.MethodPost, "http://host"+testcase.path, nil)
			request.Header.Set("Id", "r")
			request.Header.Set("Key", "k")
			recorder := httptest.NewRecorder()
			relay.ServeHTTP(recorder, request)
			is.Equal(recorder.Code, testcase.status)
			is.Equal(recorder.Header().Get("Connection"), "close")
		})
	}
}

// silent is an upstream that never answers. It records the requests that it gets.
type silent struct {
	listener net.Listener
	mutex    sync.Mutex
	got      map[string]bool
}

func startSilent(t *testing.T) *silent {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	upstream := &silent{listener: listener, got: map[string]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go upstream.serve(conn)
		}
	}()
	return upstream
}

func (silent *silent) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		silent.mutex.Lock()
		silent.got[request.Header.Get("Id")] = true
		silent.mutex.Unlock()
	}
}

func (silent *silent) count() int {
	silent.mutex.Lock()
	defer silent.mutex.Unlock()
	return len(silent.got)
}

func (silent *silent) has(id string) bool {
	silent.mutex.Lock()
	defer silent.mutex.Unlock()
	return silent.got[id]
}

// TestRequestsAreAnsweredAtTheEnd guards against requests that are cut off without an answer
// when the host ends, and against ones that have run and are refused as not run.
func TestRequestsAreAnsweredAtTheEnd(t *testing.T) {
	const requests = 100 // more than the upstreams take at a time
	for _, path := range []string{"/book/x", "/look/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			upstream := startSilent(t)
			relay := newRelay(t, &upstreams{listener: upstream.listener}, 0)
			ending, end := context.WithCancel(context.Background())
			relay.Ending = ending
			recorders := make([]*httptest.ResponseRecorder, requests)
			var running sync.WaitGroup
			for number := range requests {
				recorders[number] = httptest.NewRecorder()
				request := httptest.NewRequest(http.MethodPost, "http://host"+path, nil)
				request.Header.Set("Id", strconv.Itoa(number))
				request.Header.Set("Key", "k")
				running.Go(func() { relay.ServeHTTP(recorders[number], request) })
			}
			for relay.Running() < requests || upstream.count() == 0 {
				<-time.After(time.Millisecond)
			}
			end()
			running.Wait()
			codes := map[int]int{}
			for number, recorder := range recorders {
				codes[recorder.Code]++
				is.True(recorder.Code != http.StatusServiceUnavailable || !upstream.has(strconv.Itoa(number)))
			}
			is.Equal(codes[http.StatusBadGateway]+codes[http.StatusServiceUnavailable], requests)
			is.True(codes[http.StatusBadGateway] > 0)
			is.True(codes[http.StatusServiceUnavailable] > 0)
		})
	}
}
