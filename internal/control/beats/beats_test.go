package beats

import (
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"damaskcrank.example/damaskcrank/internal/base/seeds"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

func TestMain(m *testing.M) {
	seeds.Fix()
	os.Exit(m.Run())
}

var controlAddress = netip.MustParseAddrPort("127.0.0.1:7402")

var fleetSecret = trust.Secret("the fleet's secret")

// fakeLeader is a control host that leads or not, as the test says.
type fakeLeader struct {
	leads   bool
	term    uint64
	since   time.Time
	machine *state.Machine
}

func (fakeleader *fakeLeader) Leads() bool { return fakeleader.leads }

func (fakeleader *fakeLeader) Status() group.Status {
	return group.Status{Term: fakeleader.term, LeaderSince: fakeleader.since}
}

func (fakeleader *fakeLeader) Catalog() *state.Catalog { return fakeleader.machine.Catalog }

func (fakeleader *fakeLeader) commit(command state.Command) {
	index := fakeleader.machine.Catalog.Index + 1
	fakeleader.machine.Apply(index, command)
}

// pair is a host and its control leader with one clock.
type pair struct {
	clock   *clockwork.FakeClock
	leader  *fakeLeader
	keeper  *Keeper
	pulse   *Pulse
	catalog *state.Catalog
}

func newPair() *pair {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	pair := &pair{clock: clock, leader: &fakeLeader{leads: true, term: 1, since: clock.Now(), machine: state.NewMachine()}}
	pair.leader.commit(state.OpenSession{Host: state.Host{Name: "h", Boot: 7}})
	pair.catalog = pair.leader.machine.Catalog
	pair.keeper = NewKeeper(fleetSecret, clock, pair.leader)
	pair.pulse = NewPulse(fleetSecret, clock, "h", 7, func() *state.Catalog { return pair.catalog })
	return pair
}

// exchange sends a heartbeat and its answer without delay.
func (pair *pair) exchange() {
	if answer := pair.keeper.Answer(pair.pulse.Next()); answer != nil {
		pair.pulse.Receive(controlAddress, answer)
	}
}

func TestLeaseCountsFromSending(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	beat := pair.pulse.Next()
	pair.clock.Advance(100 * time.Millisecond)
	answer := pair.keeper.Answer(beat)
	pair.clock.Advance(100 * time.Millisecond)
	pair.pulse.Receive(controlAddress, answer)
	is.True(pair.pulse.Valid())
	pair.clock.Advance(Lease - 200*time.Millisecond)
	is.True(!pair.pulse.Valid()) // 400 ms after it left, whenever the answer came
}

// TestNotRenewed lists what must not renew a lease.
func TestNotRenewed(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(pair *pair) []byte
	}{
		{"repeated heartbeat", func(pair *pair) []byte {
			beat := pair.pulse.Next()
			pair.keeper.Answer(beat)
			return beat
		}},
		{"stranger", func(pair *pair) []byte {
			stranger := NewPulse(trust.Secret("another"), pair.clock, "h", 7, func() *state.Catalog { return pair.catalog })
			return stranger.Next()
		}},
		{"changed on the way", func(pair *pair) []byte {
			beat := pair.pulse.Next()
			beat[len(beat)-1] ^= 1
			return beat
		}},
		{"control host that does not lead", func(pair *pair) []byte {
			pair.leader.leads = false
			return pair.pulse.Next()
		}},
		{"garbage", func(*pair) []byte { return []byte("garbage") }},
		{"nothing", func(*pair) []byte { return nil }},
		{"oversize", func(*pair) []byte { return make([]byte, 100000) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			pair := newPair()
			is.True(pair.keeper.Answer(test.fault(pair)) == nil)
		})
	}
}

func TestOtherProcessHasNoSession(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	pair.exchange()
	is.True(pair.pulse.Valid())
	pair.leader.commit(state.OpenSession{Host: state.Host{Name: "h", Boot: 8}})
	pair.exchange()
	is.True(pair.pulse.SessionLost())
	pair.catalog = pair.leader.machine.Catalog
	is.True(!pair.pulse.Valid()) // the catalog shows another process
}

// TestOldConfigurationEndsLease cuts a host off from configuration but not
// from heartbeats: its lease ends within the time that configuration may be old
// and the lease's own length.
func TestOldConfigurationEndsLease(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	pair.exchange()
	pair.leader.commit(state.OpenSession{Host: state.Host{Name: "other"}})
	pair.keeper.Observe()
	changed := pair.clock.Now()
	for pair.pulse.Valid() {
		pair.clock.Advance(Interval)
		pair.exchange()
		is.True(pair.clock.Now().Sub(changed) <= FreshWithin+Lease+Interval)
	}
	is.True(pair.clock.Now().Sub(changed) >= FreshWithin) // and not sooner
	pair.catalog = pair.leader.machine.Catalog
	pair.exchange()
	is.True(pair.pulse.Valid()) // caught up
}

// TestNewLeaderWaits lets no session expire before a full lease has passed
// under the new leader, which does not know what the old one granted.
func TestNewLeaderWaits(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	pair.exchange()
	pair.clock.Advance(10 * time.Second)
	successor := &fakeLeader{leads: true, term: 2, since: pair.clock.Now(), machine: pair.leader.machine}
	keeper := NewKeeper(fleetSecret, pair.clock, successor)
	epoch := pair.pulse.Epoch()
	pair.clock.Advance(Lease + Margin)
	is.True(!keeper.Expired(epoch))
	pair.clock.Advance(time.Millisecond)
	is.True(keeper.Expired(epoch))
}

// TestTakeoverBudget adds up the timers of a host's loss, with the control
// leader lost at once: the rest of the second is for commits and messages.
func TestTakeoverBudget(t *testing.T) {
	is := is.New(t)
	election := 2 * group.ElectionTimeout
	const plan = 20 * time.Millisecond
	is.True(Lease+Margin+plan <= 500*time.Millisecond)
	is.True(election+Lease+Margin+plan <= 800*time.Millisecond)
}

// TestNoProcessActsAfterExpiry delays, loses, repeats and reorders heartbeats
// and answers, pauses the host, and changes the leader: whenever a leader takes
// a session for expired, the host's lease has ended.
func TestNoProcessActsAfterExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pair := newPair()
		epoch := pair.pulse.Epoch()
		var beats, answers [][]byte
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 3:
				pair.clock.Advance(time.Duration(rapid.IntRange(1, 150).Draw(t, "milliseconds")) * time.Millisecond)
			case action < 5:
				beats = append(beats, pair.pulse.Next())
			case action < 7 && len(beats) > 0:
				beat := beats[rapid.IntRange(0, len(beats)-1).Draw(t, "beat")]
				if answer := pair.keeper.Answer(beat); answer != nil {
					answers = append(answers, answer)
				}
			case action < 9 && len(answers) > 0:
				pair.pulse.Receive(controlAddress, answers[rapid.IntRange(0, len(answers)-1).Draw(t, "answer")])
			case action == 9:
				pair.leader.term++
				pair.leader.since = pair.clock.Now()
			}
			if pair.keeper.Expired(epoch) && pair.pulse.Valid() {
				t.Fatalf("the session is expired, but the host acts for another %s", pair.pulse.Remaining())
			}
		}
	})
}

// TestLeaderIsKnown sends heartbeats to the control host that answers, and to
// all others once one went unanswered.
func TestLeaderIsKnown(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	_, known := pair.pulse.Leader()
	is.True(!known)
	pair.exchange()
	leader, known := pair.pulse.Leader()
	is.True(known)
	is.Equal(leader, controlAddress)
	pair.pulse.Next()
	_, known = pair.pulse.Leader()
	is.True(known) // its answer may be under way
	pair.pulse.Next()
	_, known = pair.pulse.Leader()
	is.True(!known)
}

// TestSmall bounds a heartbeat and its answer with their UDP and IP heads, so
// that they stay under three quarters of letter 1's 2 KB/s.
func TestSmall(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	pair.leader.machine.Catalog = pair.leader.machine.Catalog.Skip(1 << 40)
	beat := pair.pulse.Next()
	const heads = 2 * 28
	size := len(beat) + len(pair.keeper.Answer(beat)) + heads
	is.True(float64(size)/Interval.Seconds() < 1500)
}

func FuzzAnswer(f *testing.F) {
	pair := newPair()
	f.Add(pair.pulse.Next())
	f.Fuzz(func(_ *testing.T, data []byte) {
		pair.keeper.Answer(data)
		pair.pulse.Receive(controlAddress, data)
	})
}
