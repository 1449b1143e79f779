package direct

import (
	"fmt"
	"net"
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
	"damaskcrank.example/damaskcrank/internal/control/steer"
	"damaskcrank.example/damaskcrank/internal/dispatch/crash"
)

const (
	// reachTime is the users' bound (contact) within which all hosts that are in touch
	// with the control hosts know what one of them has seen.
	reachTime = 3 * time.Second
	// failoverTime is how long there is no control leader after one is lost.
	failoverTime = 1500 * time.Millisecond
)

// crashFleet is a control leader and the crash detectors of entry hosts.
type crashFleet struct {
	t           *testing.T
	clock       *clockwork.FakeClock
	node        *fakeNode
	coordinator *steer.Coordinator
	// leaderAt is when the present leader answers polls.
	leaderAt  time.Time
	detectors map[string]*crash.Detector
	// closedPort is an address at which nothing listens.
	closedPort netip.AddrPort
}

func newCrashFleet(t *testing.T, hosts ...string) *crashFleet {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // only reserves a port
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	fleet := &crashFleet{
		t: t, clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)), node: &fakeNode{catalog: &state.Catalog{}, term: 1},
		detectors: map[string]*crash.Detector{}, closedPort: netip.MustParseAddrPort(listener.Addr().String()),
	}
	fleet.coordinator = steer.New(fleet.node, fleet.clock, &log.Logger{Handler: discard.New()})
	for _, host := range hosts {
		fleet.addHost(host)
	}
	return fleet
}

func (crashfleet *crashFleet) addHost(host string) {
	crashfleet.detectors[host] = &crash.Detector{
		Suspects: func() map[string]state.Suspect { return crashfleet.node.catalog.Quarantine },
		Clock:    crashfleet.clock, Log: &log.Logger{Handler: discard.New()}, Stats: &stats.Set{},
	}
}

// changeLeader replaces the control leader by one that knows only what was committed.
func (crashfleet *crashFleet) changeLeader() {
	crashfleet.node.term++
	crashfleet.coordinator = steer.New(crashfleet.node, crashfleet.clock, &log.Logger{Handler: discard.New()})
	crashfleet.leaderAt = crashfleet.clock.Now().Add(failoverTime)
}

// end lets an upstream end under a request that the host sent to it.
func (crashfleet *crashFleet) end(host, content string, upstream int) {
	detector := crashfleet.detectors[host]
	owner := spans.Owner{ID: fmt.Sprint("up-", upstream), Born: 1}
	detector.Lost(crash.Attempt{Content: content, Owner: owner, Address: crashfleet.closedPort})
	detector.Wait()
}

// run lets all hosts poll and the leader work for a while.
func (crashfleet *crashFleet) run(duration time.Duration) {
	for until := crashfleet.clock.Now().Add(duration); crashfleet.clock.Now().Before(until); {
		crashfleet.clock.Advance(pollInterval)
		if crashfleet.clock.Now().Before(crashfleet.leaderAt) {
			continue
		}
		for host, detector := range crashfleet.detectors {
			args := steer.PollArgs{Entry: state.Entry{Name: host}, Suspects: detector.Report()}
			if _, err := crashfleet.coordinator.Poll(crashfleet.t.Context(), args); err != nil {
				crashfleet.t.Fatal(err)
			}
		}
		crashfleet.coordinator.Tick()
	}
}

// TestAllHostsRefuseCrashingRequest guards against hosts that go on sending a request
// after others saw three upstreams end under it: while the control leader changes, when
// the leader is lost with a report, and on hosts that start later.
func TestAllHostsRefuseCrashingRequest(t *testing.T) {
	cases := []struct {
		name string
		// lossAt is the number of the end after which the control leader is lost, or -1.
		// The leader has the report by then, if reported is set, but has not committed it.
		lossAt   int
		reported bool
	}{
		{"one leader", -1, false},
		{"leader lost after the first end", 0, false},
		{"leader lost after the third end", 2, false},
		{"leader lost with the report of the third end", 2, true},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newCrashFleet(t, "a", "b", "c", "d")
			for number, host := range []string{"a", "b", "c"} {
				fleet.end(host, "content", number)
				if number == testcase.lossAt {
					if testcase.reported {
						args := steer.PollArgs{Entry: state.Entry{Name: host}, Suspects: fleet.detectors[host].Report()}
						_, err := fleet.coordinator.Poll(t.Context(), args)
						is.NoErr(err)
					}
					fleet.changeLeader()
				}
				if number < 2 {
					fleet.run(time.Second)
				}
			}
			fleet.run(reachTime)
			fleet.addHost("e")
			fleet.changeLeader()
			fleet.run(failoverTime + time.Second)
			for _, detector := range fleet.detectors {
				is.True(detector.Verdict("content").Quarantined())
				is.True(!detector.Verdict("other").Quarantined())
			}
		})
	}
}

// TestAnswerOnOneHostClearsAll guards against refusing a request that was answered on a
// host other than those that saw upstreams end.
func TestAnswerOnOneHostClearsAll(t *testing.T) {
	is := is.New(t)
	fleet := newCrashFleet(t, "a", "b")
	for number := range 2 * state.DirectQuarantineThreshold {
		fleet.end("a", "content", number)
		fleet.run(time.Second)
		fleet.detectors["b"].Answered("content")
		fleet.run(time.Second)
	}
	is.Equal(len(fleet.node.catalog.Quarantine), 0)
	is.Equal(fleet.detectors["a"].Verdict("content").Ends, 0)
}
