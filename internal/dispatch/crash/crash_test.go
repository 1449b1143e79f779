package crash

import (
	"context"
	"fmt"
	"math/rand/v2"
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
)

// hosts are the detectors of several entry hosts that follow one catalog.
type hosts struct {
	t         *testing.T
	clock     *clockwork.FakeClock
	catalog   *state.Catalog
	detectors []*Detector
}

func newHosts(t *testing.T, count int) *hosts {
	t.Helper()
	hosts := &hosts{t: t, clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)), catalog: &state.Catalog{}}
	for range count {
		hosts.detectors = append(hosts.detectors, &Detector{
			Suspects: func() map[string]state.Suspect { return hosts.catalog.Quarantine },
			Clock:    hosts.clock, Log: &log.Logger{Handler: discard.New()}, Stats: &stats.Set{},
		})
	}
	return hosts
}

// commit applies the reports of all hosts to the catalog.
func (hosts *hosts) commit() {
	for _, detector := range hosts.detectors {
		update := detector.Report()
		if len(update.Lost)+len(update.Cleared) == 0 {
			continue
		}
		for position := range update.Lost {
			update.Lost[position].At = hosts.clock.Now()
		}
		hosts.catalog, _ = hosts.catalog.Apply(hosts.catalog.Index+1, update)
	}
}

// quarantinedOn returns the number of hosts that refuse the content.
func (hosts *hosts) quarantinedOn(content string) int {
	count := 0
	for _, detector := range hosts.detectors {
		if detector.Verdict(content).Quarantined() {
			count++
		}
	}
	return count
}

// attempt is an attempt at the upstream with the number.
func attempt(content string, upstream int) Attempt {
	return Attempt{Content: content, Owner: spans.Owner{ID: fmt.Sprint("up-", upstream), Born: 1}}
}

// TestEndsSeenByDifferentHosts guards against hosts that each see one or two ends of a
// request and never add them up.
func TestEndsSeenByDifferentHosts(t *testing.T) {
	is := is.New(t)
	hosts := newHosts(t, 5)
	for number := range state.DirectQuarantineThreshold {
		is.Equal(hosts.quarantinedOn("c"), 0)
		hosts.detectors[number].recordEnd(attempt("c", number), "portClosed")
		hosts.detectors[number+1].recordEnd(attempt("c", number), "portClosed") // seen by two
		hosts.commit()
	}
	is.Equal(hosts.quarantinedOn("c"), len(hosts.detectors))
	is.Equal(hosts.quarantinedOn("other"), 0)
}

// TestHostQuarantinesWithoutControl guards against a host that goes on sending a request
// while its reports can't be committed.
func TestHostQuarantinesWithoutControl(t *testing.T) {
	is := is.New(t)
	hosts := newHosts(t, 1)
	for number := range state.DirectQuarantineThreshold {
		hosts.detectors[0].recordEnd(attempt("c", number), "portClosed")
		hosts.detectors[0].Report() // lost on its way
	}
	is.Equal(hosts.quarantinedOn("c"), 1)
	hosts.clock.Advance(reportTime / 2)
	hosts.commit()
	is.True(hosts.catalog.Quarantine["c"].QuarantinedDirect())
}

// TestAnswerClears guards against refusing a request that was only near when upstreams
// ended: an answer shows that it does not end them.
func TestAnswerClears(t *testing.T) {
	is := is.New(t)
	hosts := newHosts(t, 2)
	for number := range 2 * state.DirectQuarantineThreshold {
		hosts.detectors[0].recordEnd(attempt("c", number), "portClosed")
		if number%2 == 0 {
			hosts.commit()
		}
		is.True(hosts.detectors[0].Verdict("c").Ends > 0)
		hosts.detectors[number%2].Answered("c")
		hosts.commit()
		hosts.commit()
		is.Equal(hosts.quarantinedOn("c"), 0)
	}
	hosts.detectors[0].Answered("c")
	hosts.commit()
	is.Equal(len(hosts.catalog.Quarantine), 0)
}

// TestLossIsNoEnd guards against counting cut connections of upstreams that live on, as
// after resets, truncated answers and idle timeouts.
func TestLossIsNoEnd(t *testing.T) {
	cases := []struct {
		name string
		// listens is set while the upstream's port is open.
		listens bool
		// instance is what the catalog shows then, after the time has passed.
		instance state.Instance
		after    time.Duration
		ends     int
	}{
		{"port closed", false, state.Instance{}, 0, 1},
		{"port open", true, state.Instance{ID: "up-1", Born: 1}, 0, 0},
		{"new process with the same ID", true, state.Instance{ID: "up-1", Born: 2}, 0, 1},
		{"new process at the same address", true, state.Instance{ID: "up-2", Born: 2}, 0, 1},
		{"new process long after", true, state.Instance{ID: "up-1", Born: 2}, successorTime, 0},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			var config net.ListenConfig
			listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			if !testcase.listens {
				_ = listener.Close()
			}
			hosts := newHosts(t, 1)
			detector := hosts.detectors[0]
			lost := attempt("c", 1)
			lost.Address = netip.MustParseAddrPort(listener.Addr().String())
			testcase.instance.Address = lost.Address
			detector.Lost(lost)
			detector.Wait()
			hosts.clock.Advance(testcase.after)
			detector.Update(map[string]state.Instance{testcase.instance.ID: testcase.instance})
			is.Equal(detector.Verdict("c").Ends, testcase.ends)
		})
	}
}

// TestCrashesOfOtherCauses plays a quarter of an hour of upstreams that end for other reasons, alone and
// by racks, while callers send their requests up to four times until they are answered.
// It guards against refusing any of them.
func TestCrashesOfOtherCauses(t *testing.T) {
	const (
		upstreams = 40
		rack      = 8
		perSecond = 200
		seconds   = 900
	)
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	hosts := newHosts(t, 12)
	born := [upstreams]int64{}
	suspects, refused := 0, 0
	for second := range seconds {
		// About one upstream a second ends, and a rack each half a minute.
		ended := map[int]bool{random.IntN(upstreams): true}
		if second%30 == 0 {
			first := random.IntN(upstreams/rack) * rack
			for number := range rack {
				ended[first+number] = true
			}
		}
		for number := range perSecond {
			// One request in fifty is for a content that many callers share.
			content := fmt.Sprint(second, "/", number)
			if number%50 == 0 {
				content = fmt.Sprint("shared-", number%200)
			}
			for range 4 {
				detector := hosts.detectors[random.IntN(len(hosts.detectors))]
				if detector.Verdict(content).Quarantined() {
					refused++
					break
				}
				upstream := random.IntN(upstreams)
				// A fifth of the requests are at their upstream at the moment of its end.
				if ended[upstream] && random.IntN(5) == 0 {
					suspects++
					detector.recordEnd(Attempt{Content: content, Owner: spans.Owner{ID: fmt.Sprint(upstream), Born: born[upstream]}}, "portClosed")
					continue
				}
				detector.Answered(content)
				break
			}
		}
		for number := range ended {
			born[number]++
		}
		hosts.clock.Advance(time.Second)
		hosts.commit()
	}
	t.Logf("%d suspects among %d requests", suspects, seconds*perSecond)
	is.True(suspects > seconds)
	is.Equal(refused, 0)
}

// TestReportsAreBounded guards against memory that grows with the number of requests that
// were lost, and against reports without end while the catalog does not follow.
func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	hosts := newHosts(t, 1)
	detector := hosts.detectors[0]
	for number := range 10 * maxReported {
		detector.recordEnd(attempt(fmt.Sprint(number), 1), "portClosed")
	}
	is.True(len(detector.Report().Lost) <= maxReported)
	hosts.clock.Advance(reportTime + time.Second)
	is.Equal(len(detector.Report().Lost), 0)
}
