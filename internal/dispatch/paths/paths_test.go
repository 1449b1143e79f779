package paths

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/spans"
)

func newTable() (*Table, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	return &Table{Clock: clock, Log: &log.Logger{Handler: discard.New()}, Stats: &stats.Set{}}, clock
}

func pathTo(number int) Path {
	return Path{
		Owner:   spans.Owner{ID: fmt.Sprint("up-", number), Born: 1},
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(number)}), 80),
	}
}

// TestOnePathBreaks guards against a path that goes on being used after it failed, and
// against other paths that are given up with it.
func TestOnePathBreaks(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	is.True(table.Usable(pathTo(1)))
	table.RecordUnreached(pathTo(1), "no answer")
	is.True(!table.Usable(pathTo(1)))
	is.True(table.Usable(pathTo(2)))
	is.True(!table.Isolated())
	is.True(!table.BeginTrial(pathTo(1))) // not yet
	is.True(!table.BeginTrial(pathTo(2))) // needs none
	clock.Advance(minTrialInterval)
	is.True(table.BeginTrial(pathTo(1)))
	is.True(!table.BeginTrial(pathTo(1))) // one at a time
	table.EndTrial(pathTo(1), true)
	is.True(table.Usable(pathTo(1)))
}

// TestNewProcessHasPathOfItsOwn guards against an upstream that is not used after its
// restart because its earlier process was not reached.
func TestNewProcessHasPathOfItsOwn(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	table.RecordUnreached(pathTo(1), "refused")
	next := pathTo(1)
	next.Owner.Born++
	is.True(table.Usable(next))
	table.Keep(map[Path]bool{next: true})
	is.Equal(len(table.states), 0)
}

// TestHostIsIsolated guards against a host that loses all of its paths and finds that out
// with a request for each of them.
func TestHostIsIsolated(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	for number := range isolationThreshold {
		is.True(!table.Isolated())
		table.RecordUnreached(pathTo(number), "no answer")
	}
	is.True(table.Isolated())
	is.True(!table.Usable(pathTo(9)))
	is.True(table.BeginTrial(pathTo(9)))
	is.True(!table.BeginTrial(pathTo(8))) // one at a time
	table.EndTrial(pathTo(9), false)
	is.True(table.BeginTrial(pathTo(8)))
	table.EndTrial(pathTo(8), true)
	is.True(!table.Isolated())
	is.True(table.Usable(pathTo(9)))
	is.True(!table.Usable(pathTo(0))) // failed itself, and was not tried since
	clock.Advance(minTrialInterval)
	is.True(table.BeginTrial(pathTo(0)))
}

// TestOutageOfUpstreamsIsNoIsolation guards against a host that distrusts all of its paths
// because several upstreams are down, while it reaches others.
func TestOutageOfUpstreamsIsNoIsolation(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	for number := range 3 * isolationThreshold {
		table.RecordUnreached(pathTo(number), "refused")
		table.RecordReached(pathTo(100))
	}
	is.True(!table.Isolated())
	is.True(table.Usable(pathTo(100)))
}

// TestRepeatedLossIsUpstreamsFault guards against upstreams that drop each request, and
// against blaming one for a single connection that was lost.
func TestRepeatedLossIsUpstreamsFault(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	is.True(!table.RecordLost(pathTo(1)))
	table.RecordReached(pathTo(1))
	is.True(!table.RecordLost(pathTo(1)))
	is.True(table.RecordLost(pathTo(1)))
	table.RecordUnreached(pathTo(1), "refused")
	is.True(!table.RecordLost(pathTo(1)))
}

// TestLossyPathDoesNotFlap guards against a host that changes to and fro between its own
// path and other hosts, with a failed request each time, while the path loses three
// packets in ten.
func TestLossyPathDoesNotFlap(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // the same in each run
	// A handshake needs two packets, a request and its answer some more.
	handshake := func() bool { return random.Float64() < 0.7*0.7 }
	exchange := func() bool { return random.Float64() < 0.7*0.7*0.7 }
	failures, trials := 0, 0
	for range 600 { // a minute of ten requests a second
		clock.Advance(100 * time.Millisecond)
		switch {
		case table.Usable(pathTo(1)):
			if exchange() {
				table.RecordReached(pathTo(1))
				continue
			}
			failures++
			table.RecordUnreached(pathTo(1), "no answer")
		case table.BeginTrial(pathTo(1)):
			trials++
			table.EndTrial(pathTo(1), handshake())
		}
	}
	t.Logf("%d requests failed, %d trials", failures, trials)
	is.True(failures <= 10)
	is.True(trials <= 120) // two a second
}

// TestSilentHost guards against a host whose connections are accepted and whose requests
// are never answered, while other hosts get answers: each request waited for its deadline.
func TestSilentHost(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	table.Begin(pathTo(1))()
	table.RecordReached(pathTo(1))
	var ends []func()
	for number := range isolationThreshold {
		ends = append(ends, table.Begin(pathTo(number)))
	}
	clock.Advance(silenceTime - time.Millisecond)
	is.True(table.Usable(pathTo(9)))
	clock.Advance(time.Millisecond)
	is.True(!table.Usable(pathTo(9)))
	is.True(table.Isolated())
	is.True(!table.TakeCanary()) // not yet
	clock.Advance(minTrialInterval)
	is.True(table.BeginTrial(pathTo(9)))
	table.EndTrial(pathTo(9), true) // a connection was opened, which tells nothing
	is.True(table.Isolated())
	is.True(table.TakeCanary())
	is.True(!table.TakeCanary()) // one at a time
	clock.Advance(2 * minTrialInterval)
	is.True(table.TakeCanary())
	table.RecordReached(pathTo(9))
	is.True(!table.Isolated())
	for _, end := range ends {
		end()
	}
	clock.Advance(time.Minute)
	is.True(table.Usable(pathTo(9)))
}

// TestSilentHostWithFewRequests guards against a host that finds out that it hears nothing
// only if it has many requests under way.
func TestSilentHostWithFewRequests(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	table.RecordReached(pathTo(0))
	for number := range isolationThreshold {
		is.True(table.Usable(pathTo(number)))
		end := table.Begin(pathTo(number))
		clock.Advance(silenceTime)
		end()
	}
	is.True(!table.Usable(pathTo(0)))
}

// TestSilentHostWithoutCanary guards against a host that never uses its paths again because
// none of its requests may run twice.
func TestSilentHostWithoutCanary(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	table.RecordReached(pathTo(0))
	for number := range isolationThreshold {
		defer table.Begin(pathTo(number))()
	}
	clock.Advance(silenceTime)
	is.True(!table.Usable(pathTo(0)))
	clock.Advance(minTrialInterval + canaryPatience)
	is.True(!table.Usable(pathTo(0)))
	clock.Advance(time.Millisecond)
	is.True(table.Usable(pathTo(0)))
	is.True(!table.Isolated())
}

// TestSlowUpstreamsAreNoSilence guards against a host that distrusts its paths because some
// upstreams take long, while others answer.
func TestSlowUpstreamsAreNoSilence(t *testing.T) {
	is := is.New(t)
	table, clock := newTable()
	for number := range 2 * isolationThreshold {
		defer table.Begin(pathTo(number))()
	}
	for range 100 {
		clock.Advance(silenceTime / 2)
		table.RecordReached(pathTo(100))
		is.True(table.Usable(pathTo(1)))
	}
}
