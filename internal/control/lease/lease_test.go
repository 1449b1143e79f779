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
	table   *Table
	holder  *Holder
	catalog *state.Catalog
}

func newPair() *pair {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	pair := &pair{clock: clock, leader: &fakeLeader{leads: true, term: 1, since: clock.Now(), machine: state.NewMachine()}}
	pair.leader.commit(state.OpenSession{Host: state.Host{Name: "h", Boot: 7}})
	pair.catalog = pair.leader.machine.Catalog
	pair.table = NewTable(fleetSecret, clock, pair.leader)
	pair.holder = NewHolder(fleetSecret, clock, "h", 7, func() *state.Catalog { return pair.catalog })
	return pair
}

// exchange delivers a heartbeat and its answer without delay.
func (pair *pair) exchange() {
	if answer := pair.table.HandleHeartbeat(pair.holder.NextHeartbeat()); answer != nil {
		pair.holder.HandleAck(controlAddress, answer)
	}
}

func TestLeaseRunsFromSendTime(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	heartbeat := pair.holder.NextHeartbeat()
	pair.clock.Advance(100 * time.Millisecond)
	answer := pair.table.HandleHeartbeat(heartbeat)
	pair.clock.Advance(100 * time.Millisecond)
	pair.holder.HandleAck(controlAddress, answer)
	is.True(pair.holder.Valid())
	pair.clock.Advance(Duration - 200*time.Millisecond)
	is.True(!pair.holder.Valid()) // expires Duration after sending, whenever the answer arrived
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
			heartbeat := pair.holder.NextHeartbeat()
			pair.table.HandleHeartbeat(heartbeat)
			return heartbeat
		}},
		{"other cluster secret", func(pair *pair) []byte {
			other := NewHolder(trust.Secret("another"), pair.clock, "h", 7, func() *state.Catalog { return pair.catalog })
			return other.NextHeartbeat()
		}},
		{"corrupted", func(pair *pair) []byte {
			heartbeat := pair.holder.NextHeartbeat()
			heartbeat[len(heartbeat)-1] ^= 1
			return heartbeat
		}},
		{"not the leader", func(pair *pair) []byte {
			pair.leader.leads = false
			return pair.holder.NextHeartbeat()
		}},
		{"garbage", func(*pair) []byte { return []byte("garbage") }},
		{"empty", func(*pair) []byte { return nil }},
		{"oversize", func(*pair) []byte { return make([]byte, 100000) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			pair := newPair()
			is.True(pair.table.HandleHeartbeat(test.fault(pair)) == nil)
		})
	}
}

func TestSessionOfOtherProcess(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	pair.exchange()
	is.True(pair.holder.Valid())
	pair.leader.commit(state.OpenSession{Host: state.Host{Name: "h", Boot: 8}})
	pair.exchange()
	is.True(pair.holder.SessionLost())
	pair.catalog = pair.leader.machine.Catalog
	is.True(!pair.holder.Valid()) // the session in the catalog belongs to another process
}

// TestLateAnswerKeepsNewerLease guards against a host that loses the lease of its new
// session to a late answer for its old one: datagrams can overtake each other.
func TestLateAnswerKeepsNewerLease(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	late := pair.table.HandleHeartbeat(pair.holder.NextHeartbeat())
	is.True(late != nil)
	pair.leader.commit(state.OpenSession{Host: state.Host{Name: "h", Boot: 7}})
	pair.catalog = pair.leader.machine.Catalog
	pair.exchange()
	is.True(pair.holder.Valid())
	pair.holder.HandleAck(controlAddress, late)
	is.True(pair.holder.Valid())
}

// TestStaleConfigurationEndsLease guards against a host that keeps its lease with a
// stale configuration. The host gets no configuration changes while its heartbeats
// are still answered: its lease must expire within MaxConfigAge plus Duration, and
// not before MaxConfigAge has passed.
func TestStaleConfigurationEndsLease(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	pair.exchange()
	pair.leader.commit(state.OpenSession{Host: state.Host{Name: "other"}})
	pair.table.Update()
	changed := pair.clock.Now()
	for pair.holder.Valid() {
		pair.clock.Advance(HeartbeatInterval)
		pair.exchange()
		is.True(pair.clock.Now().Sub(changed) <= MaxConfigAge+Duration+HeartbeatInterval)
	}
	is.True(pair.clock.Now().Sub(changed) >= MaxConfigAge) // not sooner
	pair.catalog = pair.leader.machine.Catalog
	pair.exchange()
	is.True(pair.holder.Valid()) // caught up
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
	epoch := pair.holder.Epoch()
	pair.clock.Advance(Duration + ClockMargin)
	is.True(!table.Expired(epoch))
	pair.clock.Advance(time.Millisecond)
	is.True(table.Expired(epoch))
}

// TestNewSessionIsNotExpired guards against a session that is closed as soon as it was
// opened: it was committed after the leader last updated the table and before it
// decided, so the table had no record of it, and the leader has led for long.
func TestNewSessionIsNotExpired(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	pair.clock.Advance(10 * time.Second)
	pair.table.Update()
	pair.leader.commit(state.OpenSession{Host: state.Host{Name: "other", Boot: 8}})
	epoch := pair.leader.machine.Catalog.Sessions["other"].Epoch
	is.True(!pair.table.Expired(epoch))
	pair.clock.Advance(Duration + ClockMargin)
	is.True(!pair.table.Expired(epoch))
	pair.clock.Advance(time.Millisecond)
	is.True(pair.table.Expired(epoch))
}

// TestFailoverTimeBudget adds up the timeouts until the shards of a failed host can
// move, without and with the loss of the control leader at the same time. What is
// left of one second is for commits and messages.
func TestFailoverTimeBudget(t *testing.T) {
	is := is.New(t)
	electionTime := 2 * group.ElectionTimeout
	const planInterval = 20 * time.Millisecond // between the planner's decisions
	is.True(Duration+ClockMargin+planInterval <= 500*time.Millisecond)
	is.True(electionTime+Duration+ClockMargin+planInterval <= 800*time.Millisecond)
}

// TestLeaseEndsBeforeSessionExpires delays, loses, repeats and reorders heartbeats
// and answers, pauses the host, and changes the leader. Whenever a leader treats a
// session as expired, the host's own lease must have ended; otherwise two hosts
// could act for the same shard. Once its planner has run in the term, the lease must
// not be renewed any more either, since the planner closes the session later.
func TestLeaseEndsBeforeSessionExpires(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pair := newPair()
		epoch := pair.holder.Epoch()
		var heartbeats, answers [][]byte
		planned, closing := false, false
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 10).Draw(t, "action"); {
			case action < 3:
				pair.clock.Advance(time.Duration(rapid.IntRange(1, 150).Draw(t, "milliseconds")) * time.Millisecond)
			case action < 5:
				heartbeats = append(heartbeats, pair.holder.NextHeartbeat())
			case action < 7 && len(heartbeats) > 0:
				heartbeat := heartbeats[rapid.IntRange(0, len(heartbeats)-1).Draw(t, "beat")]
				if answer := pair.table.HandleHeartbeat(heartbeat); answer != nil {
					answers = append(answers, answer)
				}
			case action < 9 && len(answers) > 0:
				pair.holder.HandleAck(controlAddress, answers[rapid.IntRange(0, len(answers)-1).Draw(t, "answer")])
			case action == 9:
				pair.leader.term++
				pair.leader.since = pair.clock.Now()
				planned, closing = false, false
			case action == 10:
				pair.table.Update()
				planned = true
			}
			expired := pair.table.Expired(epoch)
			closing = closing || planned && expired
			if (expired || closing) && pair.holder.Valid() {
				t.Fatalf("the leader considers the session expired, but the host's lease is valid for another %s", pair.holder.Remaining())
			}
		}
	})
}

// TestExpiredSessionIsNotRenewed guards against a late heartbeat that renews the lease
// of a session which the leader has just found expired and is about to close: its
// shards would move while the host may still act for them.
func TestExpiredSessionIsNotRenewed(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	pair.exchange()
	epoch := pair.holder.Epoch()
	pair.clock.Advance(Duration + ClockMargin + time.Millisecond)
	is.True(pair.table.Expired(epoch)) // the leader proposes to close the session
	pair.exchange()                    // the host comes back before that is committed
	is.True(!pair.holder.Valid())
	is.True(pair.holder.SessionLost())
	is.True(pair.table.Expired(epoch))
	pair.leader.commit(state.CloseSession{Host: "h", Epoch: epoch})
	pair.leader.commit(state.OpenSession{Host: state.Host{Name: "h", Boot: 7}})
	pair.catalog = pair.leader.machine.Catalog
	pair.exchange()
	is.True(pair.holder.Valid()) // under its new session
}

// TestLeaderFromAnswers checks that the control host that answers counts as the
// leader until two heartbeats in a row have no answer.
func TestLeaderFromAnswers(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	_, known := pair.holder.Leader()
	is.True(!known)
	pair.exchange()
	leader, known := pair.holder.Leader()
	is.True(known)
	is.Equal(leader, controlAddress)
	pair.holder.NextHeartbeat()
	_, known = pair.holder.Leader()
	is.True(known) // its answer may still be in flight
	pair.holder.NextHeartbeat()
	_, known = pair.holder.Leader()
	is.True(!known)
}

// TestHeartbeatBandwidth checks that one host's heartbeats and their answers, with
// UDP and IP headers, stay under three quarters of the required limit of 2 KB/s.
func TestHeartbeatBandwidth(t *testing.T) {
	is := is.New(t)
	pair := newPair()
	pair.leader.machine.Catalog = pair.leader.machine.Catalog.AdvanceTo(1 << 40)
	heartbeat := pair.holder.NextHeartbeat()
	const headerBytes = 2 * 28 // of UDP (8) and IPv4 (20), in both directions
	size := len(heartbeat) + len(pair.table.HandleHeartbeat(heartbeat)) + headerBytes
	is.True(float64(size)/HeartbeatInterval.Seconds() < 1500)
}

func FuzzAnswer(f *testing.F) {
	pair := newPair()
	f.Add(pair.holder.NextHeartbeat())
	f.Fuzz(func(_ *testing.T, data []byte) {
		pair.table.HandleHeartbeat(data)
		pair.holder.HandleAck(controlAddress, data)
	})
}
