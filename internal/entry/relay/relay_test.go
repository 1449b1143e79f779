package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/dispatch/crash"
	"damaskcrank.example/damaskcrank/internal/dispatch/detour"
	"damaskcrank.example/damaskcrank/internal/dispatch/paths"
	"damaskcrank.example/damaskcrank/internal/dispatch/permit"
	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
	"damaskcrank.example/damaskcrank/internal/rates/share"
)

// protocol is a Protocol with plain header fields.
type protocol struct{}

func (protocol) ParseRequest(header http.Header) RequestInfo {
	return RequestInfo{ID: header.Get("Id"), Key: header.Get("Key"), Timeout: 20 * time.Second}
}

func (protocol) PrepareHeader(header http.Header, forwardinfo ForwardInfo) {
	header.Del("Key")
	header.Set("Workspace", forwardinfo.Workspace)
}

func (protocol) ParseResponse(status int, header http.Header) ResponseInfo {
	return ResponseInfo{NotRun: header.Get("Not-Run") != "", Misplaced: status == http.StatusMisdirectedRequest}
}

// upstreams is a server that sends scripted responses, repeating the last one, and
// counts the requests.
type upstreams struct {
	listener  net.Listener
	responses []string
	requests  atomic.Int64
}

func startUpstreams(t *testing.T, responses ...string) *upstreams {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	upstreams := &upstreams{listener: listener, responses: responses}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go upstreams.serve(conn)
		}
	}()
	return upstreams
}

func (upstreams *upstreams) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		number := int(upstreams.requests.Add(1)) - 1
		response := upstreams.responses[min(number, len(upstreams.responses)-1)]
		if response == lost {
			return
		}
		_, _ = conn.Write([]byte(response))
	}
}

const (
	// lost closes the connection after reading the request.
	lost     = ""
	answered = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	failed   = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	shed     = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
)

// newRelay returns a relay with several upstreams that share one address; age is
// the age of the configuration's confirmation.
func newRelay(t *testing.T, upstreams *upstreams, age time.Duration) *Relay {
	t.Helper()
	return newRelayWithClock(t, upstreams, age, clockwork.NewRealClock())
}

func newRelayWithClock(t *testing.T, upstreams *upstreams, age time.Duration, clock clockwork.Clock) *Relay {
	t.Helper()
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	open := route("open", true, 20*time.Second)
	open.Route.Public = true
	set, _, err := items.Set{}.Merge([]items.Item{
		open,
		{Kind: items.KindService, Name: "jobs", Version: 1, Service: &items.Service{}},
		{Kind: items.KindWorkspace, Name: "w", Version: 1, Workspace: &items.Workspace{Keys: []string{"k"}}},
		route("look", true, 20*time.Second), route("book", false, 20*time.Second),
		route("short-look", true, 200*time.Millisecond), route("short-book", false, 200*time.Millisecond),
	})
	if err != nil {
		t.Fatal(err)
	}
	scheduler := admit.NewScheduler("here", clock, 1)
	var targets []admit.Target
	for number := range 6 {
		targets = append(targets, admit.Target{
			Owner: spans.Owner{ID: fmt.Sprint("up-", number)}, Service: "jobs", Slots: 2, DataCentre: "here",
			Address: netip.MustParseAddrPort(upstreams.listener.Addr().String()),
		})
	}
	scheduler.Update("jobs", targets, spans.Table{})
	connections := &pool.Pool{Clock: clock, Matches: func(*pool.Request, http.Header, bool) bool { return true }}
	t.Cleanup(connections.Close)
	counters := &stats.Set{}
	sender := &detour.Sender{
		Pool: connections, Paths: &paths.Table{Clock: clock, Log: logger, Stats: counters}, Scheduler: scheduler,
		ParseNotice: ParseNotices(wordProtocol{}), DrainTime: time.Second,
		Clock: clock, Log: logger, Stats: counters,
	}
	return &Relay{
		Protocol: protocol{}, Scheduler: scheduler, Sender: sender, Limiter: &share.Limiter{}, Clock: clock, Log: logger,
		Permits: permit.NewClient(state.Entry{Name: "host"}, scheduler, nil, nil, clock, logger), Stats: counters,
		Crashes: &crash.Detector{Clock: clock, Log: logger, Stats: counters},
		Config: func() ConfigSnapshot {
			return ConfigSnapshot{View: set.View(), Index: 1, ConfirmedAt: clock.Now().Add(-age)}
		},
		MaxConfigAge: time.Minute, MaxRejectAge: time.Second, OnKeyRequest: func(string, uint16) {}, Draining: func() bool { return false }, StartedAt: clock.Now(),
	}
}

func route(name string, idempotent bool, timeout time.Duration) items.Item {
	return items.Item{Kind: items.KindRoute, Name: name, Version: 1, Route: &items.Route{
		Host: "host", Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: timeout, Goal: 20 * time.Second,
		Attempts: 2, Split: []items.WeightedService{{Service: "jobs", Weight: 1}},
	}}
}

// TestOutcomes checks the status and the number of attempts for each sequence of
// upstream responses.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name      string
		path      string
		key       string
		age       time.Duration
		responses []string
		status    int
		sends     int64
	}{
		{"answered", "/book/x", "k", 0, []string{answered}, 200, 1},
		{"an upstream's 500 is passed on", "/book/x", "k", 0, []string{failed}, 500, 1},
		{"a shed write is retried on another upstream", "/book/x", "k", 0, []string{shed, answered}, 200, 2},
		{"a lost write is not retried", "/book/x", "k", 0, []string{lost, answered}, 502, 1},
		{"a lost lookup is retried", "/look/x", "k", 0, []string{lost, answered}, 200, 2},
		{"a lookup is not retried beyond the route's attempts", "/look/x", "k", 0, []string{lost}, 502, 2},
		{"a lookup that was lost and then shed may have run", "/look/x", "k", 0, []string{lost, shed}, 502, 5},
		{"shed by all upstreams", "/book/x", "k", 0, []string{shed}, 503, 5},
		{"no route", "/other/", "k", 0, []string{answered}, 404, 0},
		{"unknown caller key", "/book/x", "other", 0, []string{answered}, 401, 0},
		{"no route in a configuration that may be superseded", "/other/", "k", 2 * time.Second, []string{answered}, 503, 0},
		{"unknown caller key in a configuration that may be superseded", "/book/x", "other", 2 * time.Second, []string{answered}, 503, 0},
		{"route and key in a configuration that may be superseded", "/book/x", "k", 2 * time.Second, []string{answered}, 200, 1},
		{"configuration not confirmed recently", "/book/x", "k", time.Hour, []string{answered}, 503, 0},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			upstreams := startUpstreams(t, testcase.responses...)
			relay := newRelay(t, upstreams, testcase.age)
			request := httptest.NewRequest(http.MethodGet, "http://host"+testcase.path, nil)
			request.Header.Set("Id", "r")
			request.Header.Set("Key", testcase.key)
			recorder := httptest.NewRecorder()
			relay.ServeHTTP(recorder, request)
			is.Equal(recorder.Code, testcase.status)
			is.Equal(upstreams.requests.Load(), testcase.sends)
			if recorder.Code == http.StatusServiceUnavailable {
				is.True(recorder.Header().Get("Retry-After") != "")
			}
		})
	}
}

// TestUnconfirmedConfigurationIsNotUsed guards against a host that has restarted, got an old
// configuration from a control host that is cut off, and sends requests of routes without
// caller keys to upstreams that have left since.
func TestUnconfirmedConfigurationIsNotUsed(t *testing.T) {
	is := is.New(t)
	upstreams := startUpstreams(t, answered)
	relay := newRelay(t, upstreams, 0)
	view := relay.Config().View
	relay.Config = func() ConfigSnapshot { return ConfigSnapshot{View: view, Index: 1} }
	relay.StartedAt = relay.StartedAt.Add(-startupGrace)
	for _, path := range []string{"/open/x", "/book/x", "/other/"} {
		request := httptest.NewRequest(http.MethodGet, "http://host"+path, nil)
		request.Header.Set("Id", "r")
		request.Header.Set("Key", "k")
		recorder := httptest.NewRecorder()
		relay.ServeHTTP(recorder, request)
		is.Equal(recorder.Code, http.StatusServiceUnavailable)
	}
	is.Equal(upstreams.requests.Load(), int64(0))
}

// TestResentRequestsShareContentInLogs guards against logs that can't show that requests
// with different IDs are the same request sent again, so that upstreams which end under
// it seem to end without a cause.
func TestResentRequestsShareContentInLogs(t *testing.T) {
	is := is.New(t)
	relay := newRelay(t, startUpstreams(t, lost), 0)
	handler := memory.New()
	relay.Log = &log.Logger{Handler: handler, Level: log.InfoLevel}
	for number, body := range []string{"same", "same", "other"} {
		request := httptest.NewRequest(http.MethodPost, "http://host/book/x", strings.NewReader(body))
		request.Header.Set("Id", fmt.Sprint("r-", number))
		request.Header.Set("Key", "k")
		relay.ServeHTTP(httptest.NewRecorder(), request)
	}
	contents := map[any]any{}
	for _, entry := range handler.Entries {
		if entry.Message == "relay: request failed" {
			contents[entry.Fields.Get("request")] = entry.Fields.Get("content")
		}
	}
	is.True(contents["r-0"] != nil)
	is.Equal(contents["r-0"], contents["r-1"])
	is.True(contents["r-0"] != contents["r-2"])
}

// TestNoWorkspaceIsLeft guards against a host that sends requests with withdrawn keys, or
// with none, to upstreams once the last workspace is deleted, and against requests of routes
// whose service is not in force.
func TestNoWorkspaceIsLeft(t *testing.T) {
	upstreams := startUpstreams(t, answered)
	gone := items.Item{Kind: items.KindWorkspace, Name: "w", Version: 2, Deleted: true}
	noService := items.Item{Kind: items.KindService, Name: "jobs", Version: 2, Deleted: true}
	cases := []struct {
		name   string
		change items.Item
		path   string
		key    string
		status int
	}{
		{"withdrawn key", gone, "/book/x", "k", http.StatusUnauthorized},
		{"no key", gone, "/book/x", "", http.StatusUnauthorized},
		{"unknown key", gone, "/book/x", "other", http.StatusUnauthorized},
		{"public route", gone, "/open/x", "", http.StatusOK},
		{"service gone", noService, "/book/x", "k", http.StatusServiceUnavailable},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			relay := newRelay(t, upstreams, 0)
			open := route("open", true, 20*time.Second)
			open.Route.Public = true
			set, _, err := items.Set{}.Merge([]items.Item{
				open, route("book", false, 20*time.Second),
				{Kind: items.KindService, Name: "jobs", Version: 1, Service: &items.Service{}},
				{Kind: items.KindWorkspace, Name: "w", Version: 1, Workspace: &items.Workspace{Keys: []string{"k"}}},
			})
			is.NoErr(err)
			set, _, err = set.Merge([]items.Item{testcase.change})
			is.NoErr(err)
			relay.Config = func() ConfigSnapshot {
				return ConfigSnapshot{View: set.View(), Index: 2, ConfirmedAt: relay.Clock.Now()}
			}
			request := httptest.NewRequest(http.MethodPost, "http://host"+testcase.path, nil)
			request.Header.Set("Id", "r")
			request.Header.Set("Key", testcase.key)
			recorder := httptest.NewRecorder()
			before := upstreams.requests.Load()
			relay.ServeHTTP(recorder, request)
			is.Equal(recorder.Code, testcase.status)
			is.Equal(upstreams.requests.Load() > before, testcase.status == http.StatusOK)
		})
	}
}
