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
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
)

const (
	// crashHosts and crashUpstreams are the sizes of a crashFleet.
	crashHosts     = 3
	crashUpstreams = 8
	// harmfulTarget is the end of the path of requests that end the upstreams that run
	// them.
	harmfulTarget = "harmful"
	// endsBeforeBound is the number of upstreams after whose end the sends are counted,
	// and maxLaterSends the number of sends allowed from then on.
	endsBeforeBound = 3
	maxLaterSends   = 3
	// crashLingerTime is longer than any test, so that no end comes too late.
	crashLingerTime = time.Minute
)

// crashingUpstream is a stand-in upstream whose process ends when it begins to run a
// harmful request. A new process follows at the same address.
type crashingUpstream struct {
	fleet    *crashFleet
	address  netip.AddrPort
	listener net.Listener

	mutex sync.Mutex
	owner spans.Owner
	conns map[net.Conn]bool
	ended bool
}

// crashFleet is a set of entry hosts and their upstreams.
type crashFleet struct {
	t         *testing.T
	hosts     []*Relay
	upstreams []*crashingUpstream
	// beforeEnd, if set, is called when an upstream begins to run a harmful request.
	beforeEnd func()
	// restartsAtOnce is set if upstreams are back before hosts can find their ports closed.
	restartsAtOnce bool
	// catalog is shared by all hosts.
	catalog *state.Catalog

	mutex sync.Mutex
	// sends counts the harmful requests that upstreams began to run.
	sends int
}

func newCrashFleet(t *testing.T) *crashFleet {
	t.Helper()
	fleet := &crashFleet{t: t, catalog: &state.Catalog{}}
	for number := range crashUpstreams {
		upstream := &crashingUpstream{fleet: fleet, owner: spans.Owner{ID: fmt.Sprint("up-", number)}}
		fleet.upstreams = append(fleet.upstreams, upstream)
		upstream.start("127.0.0.1:0")
		t.Cleanup(upstream.end)
	}
	for range crashHosts {
		host := newRelayWithClock(t, &upstreams{listener: fleet.upstreams[0].listener}, 0, clockwork.NewRealClock())
		host.Sender.Pool.LingerTime = crashLingerTime
		host.Crashes.Suspects = func() map[string]state.Suspect { return fleet.catalog.Quarantine }
		fleet.hosts = append(fleet.hosts, host)
	}
	fleet.settle()
	return fleet
}

func (crashingupstream *crashingUpstream) start(address string) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		crashingupstream.fleet.t.Fatal(err)
	}
	crashingupstream.mutex.Lock()
	defer crashingupstream.mutex.Unlock()
	crashingupstream.listener, crashingupstream.address = listener, netip.MustParseAddrPort(listener.Addr().String())
	crashingupstream.conns, crashingupstream.ended = map[net.Conn]bool{}, false
	crashingupstream.owner.Born++
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			crashingupstream.mutex.Lock()
			crashingupstream.conns[conn] = true
			crashingupstream.mutex.Unlock()
			go crashingupstream.serve(conn)
		}
	}()
}

// end closes the port and resets all connections, as the end of a process does.
func (crashingupstream *crashingUpstream) end() {
	crashingupstream.mutex.Lock()
	defer crashingupstream.mutex.Unlock()
	crashingupstream.ended = true
	_ = crashingupstream.listener.Close()
	for conn := range crashingupstream.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (crashingupstream *crashingUpstream) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !strings.HasSuffix(request.URL.Path, harmfulTarget) {
			_, _ = conn.Write([]byte(answered))
			continue
		}
		fleet := crashingupstream.fleet
		fleet.mutex.Lock()
		fleet.sends++
		fleet.mutex.Unlock()
		if fleet.beforeEnd != nil {
			fleet.beforeEnd()
		}
		crashingupstream.end()
		return
	}
}

// settle restarts the upstreams that ended, and lets all hosts learn of the new processes
// and of what the others know about suspect requests.
func (crashfleet *crashFleet) settle() {
	for _, host := range crashfleet.hosts {
		host.Sender.Pool.Wait()
		if !crashfleet.restartsAtOnce {
			host.Crashes.Wait()
		}
	}
	var targets []admit.Target
	instances := map[string]state.Instance{}
	for _, upstream := range crashfleet.upstreams {
		upstream.mutex.Lock()
		ended := upstream.ended
		upstream.mutex.Unlock()
		if ended {
			upstream.start(upstream.address.String())
		}
		targets = append(targets, admit.Target{
			Owner: upstream.owner, Service: "jobs", Slots: 2, DataCentre: "here", Address: upstream.address,
		})
		instances[upstream.owner.ID] = state.Instance{ID: upstream.owner.ID, Born: upstream.owner.Born, Address: upstream.address}
	}
	for _, host := range crashfleet.hosts {
		host.Scheduler.Update("jobs", targets, spans.Table{})
		host.Crashes.Wait()
	}
	for _, host := range crashfleet.hosts {
		host.Crashes.Update(instances)
		crashfleet.catalog, _ = crashfleet.catalog.Apply(crashfleet.catalog.Index+1, host.Crashes.Report())
	}
}

// request sends a request through a host and returns the status of its response.
func (crashfleet *crashFleet) request(ctx context.Context, host int, id, path string) int {
	request := httptest.NewRequest(http.MethodGet, "http://host"+path, nil).WithContext(ctx)
	request.Header.Set("Id", id)
	request.Header.Set("Key", "k")
	recorder := httptest.NewRecorder()
	crashfleet.hosts[host%len(crashfleet.hosts)].ServeHTTP(recorder, request)
	return recorder.Code
}

// TestCrashingRequestIsContained guards against a request that ends each upstream that
// runs it and is sent again and again: each time under another ID and through another
// host, also by callers that are gone before their host sees the end.
func TestCrashingRequestIsContained(t *testing.T) {
	cases := []struct {
		name, path string
		// leaves is set if the caller leaves when its request begins to run, and expires
		// if its time is over then.
		leaves, expires bool
		restartsAtOnce  bool
	}{
		{name: "lookup", path: "/look/"},
		{name: "write", path: "/book/"},
		{name: "lookup whose caller leaves", path: "/look/", leaves: true},
		{name: "lookup whose time is over", path: "/short-look/", expires: true},
		{name: "write whose time is over", path: "/short-book/", expires: true},
		{name: "upstreams that restart at once", path: "/look/", restartsAtOnce: true},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newCrashFleet(t)
			fleet.restartsAtOnce = testcase.restartsAtOnce
			for number := range 10 {
				ctx, leave := context.WithCancel(t.Context())
				responded := make(chan struct{})
				fleet.beforeEnd = func() {
					if testcase.leaves {
						leave()
					}
					if testcase.leaves || testcase.expires {
						<-responded
					}
				}
				fleet.request(ctx, number, fmt.Sprint("harmful-", number), testcase.path+harmfulTarget)
				close(responded)
				leave()
				fleet.settle()
				is.Equal(fleet.request(t.Context(), number, fmt.Sprint("other-", number), testcase.path+"other"), http.StatusOK)
			}
			fleet.mutex.Lock()
			defer fleet.mutex.Unlock()
			t.Logf("%d sends", fleet.sends)
			is.True(fleet.sends <= endsBeforeBound+maxLaterSends)
		})
	}
}
