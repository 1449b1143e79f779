package lease

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
	seeds.SetDefault()
	os.Exit(m.Run())
}

var controlAddress = netip.MustParseAddrPort("127.0.0.1:7402")

var fleetSecret = trust.Secret("the fleet's secret")

// fakeLeader is a control host whose leadership the test sets.
type fakeLeader struct {
	leads   bool
	term    uint64
	since   time.Time
	machine *state.Machine
}

func (fakeleader *fakeLeader) HoldsLease() bool { return fakeleader.leads }

func (fakeleader *fakeLeader) Status() group.Status {
	return group.Status{Term: fakeleader.term, LeaderSince: fakeleader.since}
}

func (fakeleader *fakeLeader) Catalog() *state.Catalog { return fakeleader.machine.Catalog }

func (fakeleader *fakeLeader) commit(command state.Command) {
	index := fakeleader.machine.Catalog.Index + 1
	fakeleader.machine.Apply(index, command)
}

// pair is a host and the control leader, both on the same clock.
type pair struct {
	clock   *clockwork.FakeClock
	leader  *fakeLeader
	keeper  *Table
	pulse   *Holder
	catalog *state.Catalog
}

func newPair() *pair {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	pair := &pair{clock: clock, leader: &fakeLeader{leads: true, term: 1, since: clock.Now(), machine: state.NewMachine()}}
	pair.leader.commit(state.OpenSession{Host: state.Host{Name: "h", Boot: 7}})
	pair.catalog = pair.leader.machine.Catalog
	pair.keeper = NewTable(fleetSecret, clock, pair.leader)
	pair.pulse = NewHolder(fleetSecret, clock, "h", 7, func() *state.Catalog { return pair.catalog })
	return pair
}

// exchange delivers a heartbeat and its answer without delay.
func (pair *pair) exchange() {
	if answer := pair.keeper.HandleHeartbeat(pair.pulse.NextHeartbeat()); answer != nil {
		pair.pulse.HandleAck(controlAddress, answer)
	}
}

func TestLeaseRunsFromSendTime(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	beat := pair.pulse.NextHeartbeat()
	pair.clock.Advance(100 * time.Millisecond)
	answer := pair.keeper.HandleHeartbeat(beat)
	pair.clock.Advance(100 * time.Millisecond)
	pair.pulse.HandleAck(controlAddress, answer)
	is.True(pair.pulse.Valid())
	pair.clock.Advance(Duration - 200*time.Millisecond)
	is.True(!pair.pulse.Valid()) // Lease after sending, whenever the answer arrived
}

// TestInvalidHeartbeatNotAnswered checks that a datagram which must not renew a lease
// gets no answer: one that is repeated, forged, corrupted or malformed, or sent to a
// host that does not lead.
func TestInvalidHeartbeatNotAnswered(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(pair *pair) []byte
	}{
		{"repeated heartbeat", func(pair *pair) []byte {
			beat := pair.pulse.NextHeartbeat()
			pair.keeper.HandleHeartbeat(beat)
			return beat
		}},
		{"other cluster secret", func(pair *pair) []byte {
			other := NewHolder(trust.Secret("another"), pair.clock, "h", 7, func() *state.Catalog { return pair.catalog })
			return other.NextHeartbeat()
		}},
		{"corrupted", func(pair *pair) []byte {
			beat := pair.pulse.NextHeartbeat()
			beat[len(beat)-1] ^= 1
			return beat
		}},
		{"not the leader", func(pair *pair) []byte {
			pair.leader.leads = false
			return pair.pulse.NextHeartbeat()
		}},
		{"garbage", func(*pair) []byte { return []byte("garbage") }},
		{"empty", func(*pair) []byte { return nil }},
		{"oversize", func(*pair) []byte { return make([]byte, 100000) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			pair := newPair()
			is.True(pair.keeper.HandleHeartbeat(test.fault(pair)) == nil)
		})
	}
}

func TestSessionOfOtherProcess(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	pair.exchange()
	is.True(pair.pulse.Valid())
	pair.leader.commit(state.OpenSession{Host: state.Host{Name: "h", Boot: 8}})
	pair.exchange()
	is.True(pair.pulse.SessionLost())
	pair.catalog = pair.leader.machine.Catalog
	is.True(!pair.pulse.Valid()) // the session in the catalog belongs to another process
}

// TestStaleConfigurationEndsLease guards against a host that goes on with a stale
// configuration. The host gets no configuration changes while its heartbeats are
// still answered: its lease must expire within MaxConfigAge plus Duration, and not
// before MaxConfigAge has passed.
func TestStaleConfigurationEndsLease(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	pair.exchange()
	pair.leader.commit(state.OpenSession{Host: state.Host{Name: "other"}})
	pair.keeper.Update()
	changed := pair.clock.Now()
	for pair.pulse.Valid() {
		pair.clock.Advance(HeartbeatInterval)
		pair.exchange()
		is.True(pair.clock.Now().Sub(changed) <= MaxConfigAge+Duration+HeartbeatInterval)
	}
	is.True(pair.clock.Now().Sub(changed) >= MaxConfigAge) // not sooner
	pair.catalog = pair.leader.machine.Catalog
	pair.exchange()
	is.True(pair.pulse.Valid()) // caught up
}

// TestNewLeaderWaitsOutLeases checks that a new leader treats no session as expired
// before a full lease has passed in its own term, since it does not know which leases
// the old leader granted.
func TestNewLeaderWaitsOutLeases(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	pair.exchange()
	pair.clock.Advance(10 * time.Second)
	successor := &fakeLeader{leads: true, term: 2, since: pair.clock.Now(), machine: pair.leader.machine}
	table := NewTable(fleetSecret, pair.clock, successor)
	epoch := pair.pulse.Epoch()
	pair.clock.Advance(Duration + ClockMargin)
	is.True(!table.Expired(epoch))
	pair.clock.Advance(time.Millisecond)
	is.True(table.Expired(epoch))
}

// TestFailoverTimeBudget adds up the timeouts until the shards of a failed host can
// move, without and with the loss of the control leader at the same time. What is
// left of one second is for commits and messages.
func TestFailoverTimeBudget(t *testing.T) {
	is := is.New(t)
	election := 2 * group.ElectionTimeout
	const plan = 20 * time.Millisecond
	is.True(Duration+ClockMargin+plan <= 500*time.Millisecond)
	is.True(election+Duration+ClockMargin+plan <= 800*time.Millisecond)
}

// TestLeaseEndsBeforeSessionExpires delays, loses, repeats and reorders heartbeats and
// answers, pauses the host, and changes the leader. Whenever a leader treats a
// session as expired, the host's own lease must have ended; otherwise two hosts could
// act for the same shard.
func TestLeaseEndsBeforeSessionExpires(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pair := newPair()
		epoch := pair.pulse.Epoch()
		var beats, answers [][]byte
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 3:
				pair.clock.Advance(time.Duration(rapid.IntRange(1, 150).Draw(t, "milliseconds")) * time.Millisecond)
			case action < 5:
				beats = append(beats, pair.pulse.NextHeartbeat())
			case action < 7 && len(beats) > 0:
				beat := beats[rapid.IntRange(0, len(beats)-1).Draw(t, "beat")]
				if answer := pair.keeper.HandleHeartbeat(beat); answer != nil {
					answers = append(answers, answer)
				}
			case action < 9 && len(answers) > 0:
				pair.pulse.HandleAck(controlAddress, answers[rapid.IntRange(0, len(answers)-1).Draw(t, "answer")])
			case action == 9:
				pair.leader.term++
				pair.leader.since = pair.clock.Now()
			}
			if pair.keeper.Expired(epoch) && pair.pulse.Valid() {
				t.Fatalf("the leader considers the session expired, but the host's lease is valid for another %s", pair.pulse.Remaining())
			}
		}
	})
}

// TestLeaderFromAnswers checks that the control host that answers counts as the
// leader until two heartbeats in a row have no answer.
func TestLeaderFromAnswers(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	_, known := pair.pulse.Leader()
	is.True(!known)
	pair.exchange()
	leader, known := pair.pulse.Leader()
	is.True(known)
	is.Equal(leader, controlAddress)
	pair.pulse.NextHeartbeat()
	_, known = pair.pulse.Leader()
	is.True(known) // its answer may still be in flight
	pair.pulse.NextHeartbeat()
	_, known = pair.pulse.Leader()
	is.True(!known)
}

// TestHeartbeatBandwidth checks that one host's heartbeats and their answers, with UDP
// and IP headers, stay under three quarters of the required limit of 2 KB/s.
func TestHeartbeatBandwidth(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	pair.leader.machine.Catalog = pair.leader.machine.Catalog.AdvanceTo(1 << 40)
	beat := pair.pulse.NextHeartbeat()
	const headers = 2 * 28
	size := len(beat) + len(pair.keeper.HandleHeartbeat(beat)) + headers
	is.True(float64(size)/HeartbeatInterval.Seconds() < 1500)
}

func FuzzAnswer(f *testing.F) {
	pair := newPair()
	f.Add(pair.pulse.NextHeartbeat())
	f.Fuzz(func(_ *testing.T, data []byte) {
		pair.keeper.HandleHeartbeat(data)
		pair.pulse.HandleAck(controlAddress, data)
	})
}
