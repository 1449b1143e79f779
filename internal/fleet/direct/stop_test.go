package direct

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/dispatch/crash"
	"damaskcrank.example/damaskcrank/internal/dispatch/detour"
	"damaskcrank.example/damaskcrank/internal/dispatch/paths"
	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// helperCaller is the link to a host that sends for others.
type helperCaller struct{ helper *detour.Sender }

// Open implements detour.Caller.
func (helperCaller) Open(context.Context, netip.AddrPort) error { return nil }

// Call implements detour.Caller.
func (helpercaller helperCaller) Call(ctx context.Context, _ netip.AddrPort, request links.Payload) (links.Payload, error) {
	return helpercaller.helper.Serve(ctx, request), nil
}

// newTestSender returns the sender of a host that knows one upstream.
func newTestSender(t *testing.T, target admit.Target) *detour.Sender {
	t.Helper()
	clock, logger, set := clockwork.NewRealClock(), &log.Logger{Handler: discard.New()}, &stats.Set{}
	connections := &pool.Pool{Clock: clock, Matches: func(*pool.Request, http.Header, bool) bool { return true }}
	t.Cleanup(connections.Close)
	sender := &detour.Sender{
		Pool: connections, Paths: &paths.Table{Clock: clock, Log: logger, Stats: set}, Scheduler: admit.NewScheduler("here", clock, 1),
		ParseNotice: func(int, http.Header) detour.Notice { return detour.Notice{} },
		Crashes:     &crash.Detector{Clock: clock, Log: logger, Stats: set}, Clock: clock, Log: logger, Stats: set,
	}
	sender.Scheduler.Update(target.Service, []admit.Target{target}, spans.Table{})
	return sender
}

// TestStopWaitsForRequestsOfOtherHosts guards against requests of other hosts that a host cuts
// off because its own callers are done.
func TestStopWaitsForRequestsOfOtherHosts(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-release
	}))
	t.Cleanup(upstream.Close)
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	target := admit.Target{Owner: spans.Owner{ID: "up"}, Service: "jobs", Address: netip.MustParseAddrPort(upstream.Listener.Addr().String())}
	unreached := target
	unreached.Address = netip.MustParseAddrPort(closed.Listener.Addr().String())
	helper, origin := newTestSender(t, target), newTestSender(t, unreached)
	origin.Caller = helperCaller{helper: helper}
	origin.Others = func(admit.Target, string) []state.Entry { return []state.Entry{{Name: "helper"}} }
	outcomes := make(chan detour.Outcome, 1)
	go func() {
		outcomes <- origin.Send(t.Context(), unreached, detour.Request{
			ID: "r", Deadline: time.Now().Add(time.Minute),
			Prepare: func() *pool.Request {
				return &pool.Request{ID: "r", Method: http.MethodGet, Target: "/", Host: "host", Header: http.Header{}}
			},
		})
	}()
	<-arrived
	entry := &Entry{sender: helper, options: Options{Clock: clockwork.NewRealClock()}}
	waited := make(chan struct{})
	go func() {
		entry.awaitForwarded(t.Context())
		close(waited)
	}()
	select {
	case <-waited:
		t.Fatal("the stop did not wait for the request of another host")
	case <-time.After(5 * stopPollInterval):
	}
	close(release)
	is.Equal((<-outcomes).Failure, nil)
	<-waited
	over, cancel := context.WithCancel(context.Background())
	cancel()
	entry.awaitForwarded(over) // returns at once when the grace time is over
}
