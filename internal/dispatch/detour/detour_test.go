package detour

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/dispatch/crash"
	"damaskcrank.example/damaskcrank/internal/dispatch/paths"
	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// longTimeout is far longer than any request takes.
const longTimeout = 30 * time.Second

// fleet is a set of hosts that send to one upstream.
type fleet struct {
	t       testing.TB
	clock   *clockwork.FakeClock
	target  admit.Target
	runs    atomic.Int64
	hosts   []*host
	release chan struct{}
	// rest is what the upstream says of its rest in its answers.
	rest string
	// leaving is set if the upstream says in its answers that it leaves.
	leaving bool
	// conns are the connections on which requests came.
	conns  sync.Map
	server *httptest.Server
}

// host is a host whose path to the upstream may be cut. Others that call it get the error
// before or after it has handled the call.
type host struct {
	*Sender

	cut           atomic.Bool
	before, after error
	calls         atomic.Int64
}

func newFleet(t testing.TB, size int) *fleet {
	t.Helper()
	fleet := &fleet{t: t, clock: clockwork.NewFakeClockAt(time.Unix(1000, 0))}
	fleet.server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		fleet.runs.Add(1)
		fleet.conns.Store(request.RemoteAddr, true)
		if fleet.release != nil {
			<-fleet.release
		}
		writer.Header().Set("Id", request.Header.Get("Id"))
		writer.Header().Set("Rest", fleet.rest)
		if fleet.leaving {
			writer.Header().Set("Leaving", "1")
		}
		_, _ = writer.Write([]byte("answer"))
	}))
	t.Cleanup(fleet.server.Close)
	fleet.target = admit.Target{
		Owner: spans.Owner{ID: "up", Born: 1}, Service: "jobs", Address: netip.MustParseAddrPort(fleet.server.Listener.Addr().String()),
	}
	for number := range size {
		fleet.hosts = append(fleet.hosts, fleet.newHost(number))
	}
	return fleet
}

func (fleet *fleet) newHost(number int) *host {
	host, logger, set := &host{}, &log.Logger{Handler: discard.New()}, &stats.Set{}
	host.Sender = &Sender{
		Self: string(rune('a' + number)), Paths: &paths.Table{Clock: fleet.clock, Log: logger, Stats: set},
		Pool: &pool.Pool{
			Clock: fleet.clock, Matches: func(*pool.Request, http.Header, bool) bool { return true },
			Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
				if host.cut.Load() {
					return nil, syscall.ECONNREFUSED
				}
				var dialer net.Dialer
				return dialer.DialContext(ctx, "tcp", address.String())
			},
		},
		Others:    func(admit.Target, string) []state.Entry { return fleet.others(number) },
		Caller:    fleet,
		Scheduler: admit.NewScheduler("here", fleet.clock, 1),
		ParseNotice: func(_ int, header http.Header) Notice {
			seconds, _ := strconv.Atoi(header.Get("Rest"))
			return Notice{Rest: time.Duration(seconds) * time.Second, Leaving: header.Get("Leaving") != ""}
		},
		DrainTime: time.Second,
		Crashes: &crash.Detector{
			Clock: fleet.clock, Log: logger, Stats: set,
		},
		Clock: fleet.clock, Log: logger, Stats: set,
	}
	host.Crashes.PortClosed = host.PortClosed
	host.Scheduler.Update(fleet.target.Service, []admit.Target{fleet.target}, spans.Table{})
	fleet.t.Cleanup(host.Pool.Close)
	return host
}

func peer(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 1)
}

func (fleet *fleet) others(self int) []state.Entry {
	var others []state.Entry
	for number := range fleet.hosts {
		if number != self {
			others = append(others, state.Entry{Name: string(rune('a' + number)), Peer: peer(number)})
		}
	}
	return others
}

// Open implements Caller.
func (fleet *fleet) Open(context.Context, netip.AddrPort) error { return nil }

// Call implements Caller.
func (fleet *fleet) Call(ctx context.Context, address netip.AddrPort, request links.Payload) (links.Payload, error) {
	for number, host := range fleet.hosts {
		if peer(number) != address {
			continue
		}
		host.calls.Add(1)
		if host.before != nil {
			return links.Payload{}, host.before
		}
		reply := host.Serve(ctx, request)
		return reply, host.after
	}
	return links.Payload{}, links.ErrNotSent
}

// send sends a request through the first host.
func (fleet *fleet) send(parent context.Context) Outcome {
	ctx, cancel := context.WithTimeout(parent, longTimeout)
	defer cancel()
	return fleet.hosts[0].Send(ctx, fleet.target, Request{
		ID: "1", Content: "content", Deadline: fleet.clock.Now().Add(longTimeout),
		Prepare: func() *pool.Request {
			return &pool.Request{Method: http.MethodGet, Target: "/", Host: "host", Header: http.Header{"Id": {"1"}}}
		},
	})
}

// TestOutcomes checks through which host a request goes, whether it may have run, and
// whether the upstream is at fault, for hosts whose paths are cut or that are lost.
func TestOutcomes(t *testing.T) {
	type outcome struct {
		helper     string
		answered   bool
		mayHaveRun bool
		atFault    bool
		runs       int64
	}
	cases := []struct {
		name string
		size int
		// cut are the numbers of the hosts whose paths are cut.
		cut           []int
		before, after error
		want          outcome
	}{
		{"own path", 3, nil, nil, nil, outcome{answered: true, runs: 1}},
		{"first other host", 3, []int{0}, nil, nil, outcome{helper: "b", answered: true, runs: 1}},
		{"second other host", 3, []int{0, 1}, nil, nil, outcome{helper: "c", answered: true, runs: 1}},
		{"nobody reaches the upstream", 3, []int{0, 1, 2}, nil, nil, outcome{atFault: true}},
		{"there is no other host", 1, []int{0}, nil, nil, outcome{atFault: true}},
		{"the request does not get to the other host", 3, []int{0}, links.ErrNotSent, nil, outcome{helper: "c", answered: true, runs: 1}},
		{"the other host is lost after it got the request", 3, []int{0}, links.ErrLost, nil, outcome{helper: "b", mayHaveRun: true}},
		{"the other host's reply is lost", 3, []int{0}, nil, links.ErrLost, outcome{helper: "b", mayHaveRun: true, runs: 1}},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newFleet(t, testcase.size)
			for _, number := range testcase.cut {
				fleet.hosts[number].cut.Store(true)
			}
			if testcase.size > 1 {
				fleet.hosts[1].before, fleet.hosts[1].after = testcase.before, testcase.after
			}
			got := fleet.send(t.Context())
			is.Equal(got.Helper, testcase.want.helper)
			is.Equal(got.Failure == nil, testcase.want.answered)
			is.Equal(got.Failure != nil && got.Failure.MayHaveRun(), testcase.want.mayHaveRun)
			is.Equal(got.AtFault, testcase.want.atFault)
			is.Equal(fleet.runs.Load(), testcase.want.runs)
			if testcase.want.answered {
				is.Equal(got.Response.Header.Get("Id"), "1")
				is.Equal(got.Response.Body.Len(), len("answer"))
			}
		})
	}
}

// TestBrokenPathsAreNotTriedByRequests guards against a request that waits for a path that
// is known to be broken, on its own host and on others.
func TestBrokenPathsAreNotTriedByRequests(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	fleet.hosts[0].cut.Store(true)
	fleet.hosts[1].cut.Store(true)
	is.Equal(fleet.send(t.Context()).Helper, "c")
	is.Equal(fleet.send(t.Context()).Helper, "c")
	is.Equal(fleet.hosts[1].calls.Load(), int64(1))
	fleet.hosts[1].cut.Store(false)
	fleet.clock.Advance(helperBackoff)
	is.Equal(fleet.send(t.Context()).Helper, "c") // the other host has not found out yet
	for !fleet.hosts[1].Paths.Usable(pathTo(fleet.target)) {
		fleet.clock.Advance(helperBackoff)
		fleet.send(t.Context())
	}
	fleet.clock.Advance(helperBackoff)
	is.Equal(fleet.send(t.Context()).Helper, "b")
}

// TestForwardedWorkIsBounded guards against requests of other hosts that use up a host on
// which its own callers depend.
func TestForwardedWorkIsBounded(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	fleet.hosts[0].cut.Store(true)
	fleet.release = make(chan struct{})
	release := sync.OnceFunc(func() { close(fleet.release) })
	defer release() // a test that fails early must not wait for the handlers
	outcomes := make(chan Outcome, 2*minForwarding)
	for range 2 * minForwarding {
		go func() { outcomes <- fleet.send(t.Context()) }()
	}
	for range minForwarding { // these are refused at once, while the others wait
		got := <-outcomes
		is.True(got.Failure != nil)
		is.True(!got.Failure.MayHaveRun())
		is.True(!got.AtFault)
	}
	release()
	for range minForwarding {
		is.True((<-outcomes).Failure == nil)
	}
}

// TestIsolatedHostWithoutHelpIsBlocked guards against a host that goes on taking callers
// though it reaches neither upstreams nor other hosts.
func TestIsolatedHostWithoutHelpIsBlocked(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	sender := fleet.hosts[0].Sender
	fleet.hosts[0].cut.Store(true)
	fleet.hosts[1].before = errors.Join(links.ErrNotSent, errors.New("no route"))
	is.True(fleet.send(t.Context()).Failure != nil)
	is.True(!sender.Blocked())
	for number := range 3 {
		target := fleet.target
		target.Owner.Born += int64(number)
		sender.Paths.RecordUnreached(pathTo(target), "refused")
	}
	fleet.clock.Advance(helperBackoff)
	is.True(fleet.send(t.Context()).Failure != nil)
	is.True(sender.Blocked())
	fleet.hosts[1].before = nil
	fleet.clock.Advance(helperBackoff)
	is.Equal(fleet.send(t.Context()).Helper, "b")
	is.True(!sender.Blocked())
}

// TestCutPathIsNoEndOfUpstream guards against requests that are refused everywhere as
// harmful because a host lost its path to three upstreams that ran them, and that went on.
func TestCutPathIsNoEndOfUpstream(t *testing.T) {
	cases := []struct {
		name string
		// cut are the numbers of the hosts whose paths are cut, and lost those of the hosts
		// that do not answer.
		cut, lost []int
		ended     bool
		ends      int
	}{
		{"the path of one host is cut", []int{0}, nil, false, 0},
		{"the paths of two hosts are cut", []int{0, 1}, nil, false, 0},
		{"the path is cut and one host does not answer", []int{0}, []int{1}, false, 0},
		{"the path is cut and no host answers", []int{0}, []int{1, 2}, false, 0},
		{"the upstream ended", nil, nil, true, 1},
		{"the upstream ended and one host does not answer", nil, []int{1}, true, 1},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newFleet(t, 3)
			for _, number := range testcase.cut {
				fleet.hosts[number].cut.Store(true)
			}
			for _, number := range testcase.lost {
				fleet.hosts[number].before = links.ErrNotSent
			}
			if testcase.ended {
				fleet.server.Close()
			}
			detector := fleet.hosts[0].Crashes
			detector.Lost(crash.Attempt{Content: "content", Service: fleet.target.Service, Owner: fleet.target.Owner, Address: fleet.target.Address})
			detector.Wait()
			is.Equal(detector.Verdict("content").Ends, testcase.ends)
		})
	}
}

// TestOpenLinkIsNotTakenForLost guards against a host that is not asked for a second
// because the wait for its link ended at the moment at which the link was open.
func TestOpenLinkIsNotTakenForLost(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	for range 20000 {
		is.NoErr(fleet.hosts[0].open(t.Context(), state.Entry{Name: "b", Peer: peer(1)}))
	}
}

// TestRestBindsAllWays guards against requests that reach an upstream in its rest through
// another host, and against hosts that send for others to an upstream that wants nothing
// from them.
func TestRestBindsAllWays(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	fleet.hosts[0].cut.Store(true)
	fleet.hosts[1].Scheduler.RecordRest(fleet.target.Service, fleet.target.Owner, time.Second)
	is.Equal(fleet.send(t.Context()).Helper, "c")
	fleet.hosts[0].Scheduler.RecordRest(fleet.target.Service, fleet.target.Owner, time.Second)
	got := fleet.send(t.Context())
	is.True(!got.Failure.MayHaveRun())
	is.Equal(got.Failure.Cause, errResting)
	is.True(!got.AtFault)
	is.Equal(fleet.runs.Load(), int64(1))
	fleet.clock.Advance(time.Second)
	is.True(fleet.send(t.Context()).Failure == nil)
}

// TestRestThatAnotherHostPassesOn guards against a rest that is known only to the host on
// whose path the answer came.
func TestRestThatAnotherHostPassesOn(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	fleet.hosts[0].cut.Store(true)
	fleet.rest = "3"
	is.True(fleet.send(t.Context()).Response != nil)
	for _, host := range fleet.hosts {
		is.Equal(host.Scheduler.RestLeft(fleet.target.Service, fleet.target.Owner), 3*time.Second)
	}
}

// TestLeavingUpstreamOnAllWays guards against requests that reach an upstream which leaves
// through another host, and against hosts that send for others to it.
func TestLeavingUpstreamOnAllWays(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	fleet.hosts[0].cut.Store(true)
	fleet.leaving = true
	is.Equal(fleet.send(t.Context()).Helper, "b") // both hear of it
	fleet.clock.Advance(fleet.hosts[0].DrainTime + time.Millisecond)
	got := fleet.send(t.Context())
	is.Equal(got.Failure.Cause, errDrained)
	is.True(!got.Failure.MayHaveRun())
	is.Equal(fleet.runs.Load(), int64(1))
	fleet.hosts[0].Scheduler = admit.NewScheduler("here", fleet.clock, 1) // a host that has not heard of it
	fleet.hosts[0].Scheduler.Update(fleet.target.Service, []admit.Target{fleet.target}, spans.Table{})
	is.Equal(fleet.send(t.Context()).Helper, "c")
}

// TestUpstreamThatLeavesWhileConnecting guards against requests that reach an upstream too late
// after it said that it leaves, as the connection to it took a while, on a host's own path and on
// that of another host, and against paths that are taken for broken by them.
func TestUpstreamThatLeavesWhileConnecting(t *testing.T) {
	const drainTime = time.Second
	for _, testcase := range []struct {
		name  string
		keyed bool
		cut   bool
		// leftFor is how long ago the upstream's departure became known.
		leftFor time.Duration
		runs    int64
	}{
		{"it stays", false, false, -1, 1},
		{"without a key", false, false, 0, 0},
		{"with a key, in time", true, false, drainTime / 2, 1},
		{"with a key, too late", true, false, 2 * drainTime, 0},
		{"without a key, through another host", false, true, 0, 0},
	} {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newFleet(t, 2)
			fleet.hosts[0].cut.Store(testcase.cut)
			fleet.target.Keyed = testcase.keyed
			leaving := fleet.target
			leaving.Draining, leaving.DrainDeadline = testcase.leftFor >= 0, fleet.clock.Now().Add(drainTime-testcase.leftFor)
			for _, host := range fleet.hosts {
				host.Scheduler.Update(fleet.target.Service, []admit.Target{fleet.target}, spans.Table{})
				dial := host.Pool.Dial
				host.Pool.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
					conn, err := dial(ctx, address)
					if err == nil {
						host.Scheduler.Update(fleet.target.Service, []admit.Target{leaving}, spans.Table{})
					}
					return conn, err
				}
			}
			got := fleet.send(t.Context())
			is.Equal(fleet.runs.Load(), testcase.runs)
			is.Equal(got.Failure == nil, testcase.runs > 0)
			is.True(got.Failure == nil || !got.Failure.MayHaveRun())
			is.True(testcase.cut || fleet.hosts[0].Paths.Usable(pathTo(fleet.target)))
		})
	}
}

// TestOutageOfUpstreamsBlocksNoHost guards against hosts that turn their callers away, all
// at once, because none of them reaches upstreams, while they reach each other.
func TestOutageOfUpstreamsBlocksNoHost(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	for _, host := range fleet.hosts {
		host.cut.Store(true)
		for number := range 3 {
			target := fleet.target
			target.Owner.Born += int64(number)
			host.Paths.RecordUnreached(pathTo(target), "refused")
		}
		is.True(host.Paths.Isolated())
	}
	for range 5 {
		is.True(fleet.send(t.Context()).Failure != nil)
		is.True(!fleet.hosts[0].Blocked())
	}
}

// TestUnknownOutcomeMayHaveRun guards against refusing a request as not run because another
// host, of another version, reports an outcome that this one does not know.
func TestUnknownOutcomeMayHaveRun(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	fleet.hosts[0].cut.Store(true)
	head, err := codec.Marshal(forwardReply{Outcome: "other"})
	is.NoErr(err)
	fleet.hosts[0].Caller = fixedCaller{reply: links.Payload{Kind: kindForwarded, Head: head}}
	got := fleet.send(t.Context())
	is.True(got.Failure.MayHaveRun())
}

// TestForwardedStatusOutOfRange guards against answers with a status that is none of HTTP, which
// another host, of an earlier version, passes on.
func TestForwardedStatusOutOfRange(t *testing.T) {
	for _, status := range []int{0, 99, 100, 199, 600, 999} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			is := is.New(t)
			fleet := newFleet(t, 2)
			fleet.hosts[0].cut.Store(true)
			reply := forwardReply{Outcome: forwardAnswered, Status: status, Header: http.Header{"Signature": {"s"}}}
			payload, err := reply.payload()
			is.NoErr(err)
			fleet.hosts[0].Caller = fixedCaller{reply: payload}
			got := fleet.send(t.Context())
			is.Equal(got.Response, nil)
			is.Equal(got.Failure.Reason, pool.ReasonBadStatus)
			is.True(got.Failure.MayHaveRun())
			is.True(got.AtFault)
		})
	}
}

// fixedCaller gives the same reply to each request.
type fixedCaller struct{ reply links.Payload }

// Open implements Caller.
func (fixedCaller) Open(context.Context, netip.AddrPort) error { return nil }

// Call implements Caller.
func (fixedcaller fixedCaller) Call(context.Context, netip.AddrPort, links.Payload) (links.Payload, error) {
	return fixedcaller.reply, nil
}

// TestForwardedAttemptsUseOtherConnections guards against a late copy of the answer to one
// attempt that is taken for the answer to the next, where another host sends both: they have
// the same ID.
func TestForwardedAttemptsUseOtherConnections(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	fleet.hosts[0].cut.Store(true)
	const attempts = 3
	for range attempts {
		outcome := fleet.send(t.Context())
		is.True(outcome.Failure == nil)
		is.Equal(outcome.Helper, "b")
	}
	conns := 0
	fleet.conns.Range(func(any, any) bool {
		conns++
		return true
	})
	is.Equal(conns, attempts)
}

// TestStoppingHostTakesNothingThatOutlastsIt guards against requests of other hosts that a
// host which stops sends and then cuts off.
func TestStoppingHostTakesNothingThatOutlastsIt(t *testing.T) {
	cases := []struct {
		name    string
		stopsIn time.Duration
		helper  string
	}{
		{"no stop", 0, "b"},
		{"stops after the request's time", longTimeout + time.Second, "b"},
		{"stops before", longTimeout - time.Second, "c"},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newFleet(t, 3)
			fleet.hosts[0].cut.Store(true)
			stopsAt := time.Time{}
			if testcase.stopsIn > 0 {
				stopsAt = fleet.clock.Now().Add(testcase.stopsIn)
			}
			fleet.hosts[1].StopsAt = func() time.Time { return stopsAt }
			is.Equal(fleet.send(t.Context()).Helper, testcase.helper)
			is.Equal(fleet.runs.Load(), int64(1))
			is.Equal(fleet.hosts[1].Forwarding(), int64(0))
		})
	}
}

// TestSettled guards against hosts that end while the outcome of another host's request, or a
// further request that would be declined, is on its way: either may have run for that host.
func TestSettled(t *testing.T) {
	const within = time.Second
	for _, testcase := range []struct {
		name    string
		send    bool
		stopped bool
		elapsed time.Duration
		want    bool
	}{
		{"no request", false, false, 0, true},
		{"right after a request", true, false, 0, false},
		{"a moment after a request", true, false, within - 1, false},
		{"some time after a request", true, false, within, true},
		{"right after a request that was declined", true, true, 0, false},
	} {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newFleet(t, 3)
			fleet.hosts[0].cut.Store(true)
			helper := fleet.hosts[1]
			helper.StopsAt = func() time.Time {
				if testcase.stopped {
					return fleet.clock.Now()
				}
				return time.Time{}
			}
			if testcase.send {
				is.Equal(fleet.send(t.Context()).Failure, nil)
			}
			fleet.clock.Advance(testcase.elapsed)
			is.Equal(helper.Settled(within), testcase.want)
		})
	}
}

// TestStoppedVersionOnAllWays guards against requests that reach an upstream of a version which
// gets none through another host, and against hosts that send for others to it.
func TestStoppedVersionOnAllWays(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	fleet.hosts[0].cut.Store(true)
	stopped := func(admit.Target) bool { return false }
	fleet.hosts[1].Allowed = stopped
	is.Equal(fleet.send(t.Context()).Helper, "c")
	fleet.hosts[0].Allowed = stopped
	got := fleet.send(t.Context())
	is.Equal(got.Failure.Cause, errVersion)
	is.True(!got.Failure.MayHaveRun())
	is.Equal(fleet.runs.Load(), int64(1))
}
