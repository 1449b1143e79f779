package raft

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	testElection  = 150 * time.Millisecond
	testHeartbeat = 40 * time.Millisecond
)

// disk is the persisted state of one member.
type disk struct {
	hardState HardState
	snapshot  Snapshot
	entries   []Entry
}

func (disk *disk) save(output Output) {
	if output.HardState != nil {
		disk.hardState = *output.HardState
	}
	if output.Snapshot != nil {
		disk.snapshot = *output.Snapshot
		disk.entries = nil
	}
	for _, entry := range output.Entries {
		keep := entry.Index - disk.snapshot.Index - 1
		disk.entries = append(disk.entries[:keep:keep], entry)
	}
}

// group runs cores over a simulated network that loses, delays and duplicates
// messages.
type group struct {
	now       time.Time
	cores     map[MemberID]*Core
	disks     map[MemberID]*disk
	frozen    map[MemberID]bool
	isolated  map[MemberID]bool
	network   []Envelope
	committed map[uint64]string
	leaders   map[uint64]MemberID
	random    *rand.Rand
	fail      func(format string, args ...any)
}

func newGroup(size int, seed uint64, fail func(string, ...any)) *group {
	group := &group{
		now:       time.Unix(1000, 0),
		cores:     map[MemberID]*Core{},
		disks:     map[MemberID]*disk{},
		frozen:    map[MemberID]bool{},
		isolated:  map[MemberID]bool{},
		committed: map[uint64]string{},
		leaders:   map[uint64]MemberID{},
		random:    rand.New(rand.NewPCG(seed, 1)),
		fail:      fail,
	}
	members := Members{}
	for number := range size {
		address := netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:1", number+1))
		members.Voters = append(members.Voters, Member{ID: memberName(number), Address: address})
	}
	for _, member := range members.Voters {
		group.disks[member.ID] = &disk{snapshot: Snapshot{Index: 1, Term: 1, Members: members}}
		group.restart(member.ID)
	}
	return group
}

func memberName(number int) MemberID {
	return MemberID(fmt.Sprintf("m%d", number))
}

func (group *group) config(id MemberID) Config {
	return Config{
		ID: id, ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat, MaxBatch: 3,
		Random: group.random.Int64N,
	}
}

func (group *group) restart(id MemberID) {
	disk := group.disks[id]
	entries := append([]Entry(nil), disk.entries...)
	group.cores[id] = NewCore(group.config(id), disk.hardState, disk.snapshot, entries, group.now)
	group.frozen[id] = false
}

func (group *group) step(id MemberID, event Event) Output {
	core := group.cores[id]
	output := core.Step(event, group.now)
	group.disks[id].save(output)
	group.network = append(group.network, output.Messages...)
	group.check(core, output.Committed)
	if len(output.Entries) > 0 {
		group.step(id, Persisted{Index: output.Entries[len(output.Entries)-1].Index})
	}
	return output
}

// check fails on two leaders in one term, two lease holders, or two different
// entries committed at one index.
func (group *group) check(core *Core, committed []Entry) {
	if core.Role() == RoleLeader {
		if other, ok := group.leaders[core.Term()]; ok && other != core.config.ID {
			group.fail("term %d has two leaders, %s and %s", core.Term(), other, core.config.ID)
		}
		group.leaders[core.Term()] = core.config.ID
	}
	holders := 0
	for _, other := range group.cores {
		if group.now.Before(other.LeaseEnd()) {
			holders++
		}
	}
	if holders > 1 {
		group.fail("%d members hold the lease at the same time", holders)
	}
	for _, entry := range committed {
		text := fmt.Sprintf("%d/%s", entry.Term, entry.Data)
		if before, ok := group.committed[entry.Index]; ok && before != text {
			group.fail("index %d was committed as both %q and %q", entry.Index, before, text)
		}
		group.committed[entry.Index] = text
	}
}

func (group *group) deliver(position int, keep bool) {
	envelope := group.network[position]
	if !keep {
		group.network = append(group.network[:position:position], group.network[position+1:]...)
	}
	if group.isolated[envelope.From] || group.isolated[envelope.To] || group.frozen[envelope.To] || group.cores[envelope.To] == nil {
		return
	}
	group.step(envelope.To, Receive{Envelope: envelope})
}

// advance runs the group for the duration over a reliable network.
func (group *group) advance(duration time.Duration) {
	for end := group.now.Add(duration); group.now.Before(end); {
		group.now = group.now.Add(10 * time.Millisecond)
		for id := range group.cores {
			if !group.frozen[id] {
				group.step(id, Tick{})
			}
		}
		for count := len(group.network); count > 0; count-- {
			group.deliver(0, false)
		}
	}
}

func (group *group) leader() *Core {
	for _, core := range group.cores {
		if core.Role() == RoleLeader && group.now.Before(core.LeaseEnd()) {
			return core
		}
	}
	return nil
}

func (group *group) heal() {
	group.isolated = map[MemberID]bool{}
	for id := range group.cores {
		group.frozen[id] = false
	}
	group.network = nil
	group.advance(3 * time.Second)
}

// TestSafetyUnderFaults runs groups through message loss, duplication and
// reordering, freezes, restarts, partitions, compaction and leadership
// transfers, and then checks that the group commits again once the faults have
// ended.
func TestSafetyUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		group := newGroup(size, rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		for number := range rapid.IntRange(20, 300).Draw(t, "steps") {
			id := memberName(rapid.IntRange(0, size-1).Draw(t, "member"))
			switch action := rapid.IntRange(0, 19).Draw(t, "action"); {
			case action < 5:
				group.now = group.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "milliseconds")) * time.Millisecond)
				for other := range size {
					if !group.frozen[memberName(other)] {
						group.step(memberName(other), Tick{})
					}
				}
			case action < 12 && len(group.network) > 0:
				for range min(len(group.network), 8) {
					group.deliver(rapid.IntRange(0, len(group.network)-1).Draw(t, "position"), action == 11)
				}
			case action == 12 && len(group.network) > 0:
				group.network = group.network[:len(group.network)/2]
			case action == 13:
				group.frozen[id] = !group.frozen[id]
			case action == 14:
				group.restart(id)
			case action == 15:
				group.isolated[id] = !group.isolated[id]
			case action == 16 && !group.frozen[id]:
				core := group.cores[id]
				group.step(id, Compact{Snapshot: Snapshot{Index: core.applied, Term: appliedTerm(core), Members: core.Members()}})
				group.disks[id].compact(core.log.snapshot)
			case action == 17 && !group.frozen[id]:
				group.step(id, Transfer{To: memberName(number % size)})
			case !group.frozen[id]:
				group.step(id, Propose{Commands: [][]byte{fmt.Appendf(nil, "command %d", number)}})
			}
		}
		group.heal()
		leader := group.leader()
		if leader == nil {
			t.Fatalf("no leader was elected within 3 s after the faults ended")
		}
		before := leader.CommitIndex()
		group.step(leader.config.ID, Propose{Commands: [][]byte{[]byte("last")}})
		group.advance(time.Second)
		for id, core := range group.cores {
			if core.CommitIndex() <= before {
				t.Fatalf("member %s is still at commit index %d, expected more than %d", id, core.CommitIndex(), before)
			}
		}
	})
}

func appliedTerm(core *Core) uint64 {
	term, _ := core.log.term(core.applied)
	return term
}

func (disk *disk) compact(snapshot Snapshot) {
	if snapshot.Index <= disk.snapshot.Index {
		return
	}
	disk.entries = append([]Entry(nil), disk.entries[snapshot.Index-disk.snapshot.Index:]...)
	disk.snapshot = snapshot
}

func TestFailover(t *testing.T) {
	is := is.New(t)
	group := newGroup(3, 7, t.Fatalf)
	group.advance(time.Second)
	old := group.leader()
	is.True(old != nil)
	group.frozen[old.config.ID] = true
	start := group.now
	for group.leader() == nil || group.leader() == old {
		group.advance(10 * time.Millisecond)
	}
	is.True(group.now.Sub(start) <= 3*testElection) // a follower takes over within three timeouts
	group.frozen[old.config.ID] = false
	group.advance(time.Second)
	is.Equal(old.Role(), RoleFollower) // the old leader becomes a follower once it is unfrozen
}

func TestIsolatedLeaderLosesLease(t *testing.T) {
	is := is.New(t)
	group := newGroup(3, 8, t.Fatalf)
	group.advance(time.Second)
	old := group.leader()
	group.isolated[old.config.ID] = true
	group.advance(testElection + testHeartbeat)
	is.True(!group.now.Before(old.LeaseEnd())) // no lease without a quorum
	group.advance(2 * testElection)
	is.True(old.Role() != RoleLeader) // check-quorum
	term := old.Term()
	group.advance(5 * time.Second)
	is.Equal(old.Term(), term) // pre-vote: the isolated member does not increase its term
}

func TestReplaceMember(t *testing.T) {
	is := is.New(t)
	group := newGroup(3, 9, t.Fatalf)
	group.advance(time.Second)
	leader := group.leader()
	lost := memberName(0)
	if leader.config.ID == lost {
		lost = memberName(1)
	}
	delete(group.cores, lost)
	replacement := Member{ID: "m9", Address: netip.MustParseAddrPort("127.0.0.9:1")}
	group.disks[replacement.ID] = &disk{}
	group.restart(replacement.ID)

	members := leader.Members()
	members.Learners = append(members.Learners, replacement)
	is.NoErr(group.step(leader.config.ID, ProposeMembers{Members: members}).Err)
	group.advance(time.Second)
	is.Equal(group.cores[replacement.ID].CommitIndex(), leader.CommitIndex()) // the learner caught up

	members = leader.Members()
	members.Learners = nil
	members.Voters = append(members.Voters, replacement)
	is.NoErr(group.step(leader.config.ID, ProposeMembers{Members: members}).Err)
	is.True(group.step(leader.config.ID, ProposeMembers{Members: leader.Members()}).Err != nil) // the previous change is not committed yet
	group.advance(time.Second)

	members = leader.Members()
	voters := members.Voters[:0]
	for _, member := range members.Voters {
		if member.ID != lost {
			voters = append(voters, member)
		}
	}
	members.Voters = voters
	is.NoErr(group.step(leader.config.ID, ProposeMembers{Members: members}).Err)
	group.advance(time.Second)

	// A second member is lost immediately after the replacement.
	for id := range group.cores {
		if id != replacement.ID && id != leader.config.ID {
			delete(group.cores, id)
		}
	}
	output := group.step(leader.config.ID, Propose{Commands: [][]byte{[]byte("after")}})
	group.advance(time.Second)
	is.True(leader.CommitIndex() >= output.FirstIndex) // the leader and the replacement are a majority
}

// TestTransferEndsLease checks that the leader's lease ends in the step that
// starts a transfer, and that it does not return in that term even if the other
// member never takes over.
func TestTransferEndsLease(t *testing.T) {
	is := is.New(t)
	group := newGroup(3, 11, t.Fatalf)
	group.advance(time.Second)
	old := group.leader()
	term := old.Term()
	target := memberName(0)
	if old.config.ID == target {
		target = memberName(1)
	}
	group.isolated[target] = true
	is.NoErr(group.step(old.config.ID, Transfer{To: target}).Err)
	is.True(old.LeaseEnd().IsZero())
	for old.Term() == term && old.Role() == RoleLeader {
		is.True(old.LeaseEnd().IsZero())
		group.advance(10 * time.Millisecond)
	}
	group.isolated[target] = false
	group.advance(time.Second)
	is.True(group.leader() != nil)
	is.True(group.leader().Term() > term)
}

// TestLearnerForgetsLostLeader guards against a host that never asks to join again, since it
// still knows the leader that added it and was lost before that change was committed, or that
// removed it while it was silent.
func TestLearnerForgetsLostLeader(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	core := NewCore(Config{ID: "learner", ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat, Random: func(int64) int64 { return 0 }},
		HardState{}, Snapshot{}, nil, now)
	heartbeat := Receive{Envelope{From: "leader", To: "learner", Message: AppendRequest{Term: 1}}}
	core.Step(heartbeat, now)
	is.Equal(core.Leader(), MemberID("leader"))
	core.Step(Tick{}, now.Add(testElection-1))
	is.Equal(core.Leader(), MemberID("leader"))
	core.Step(Tick{}, now.Add(testElection))
	is.Equal(core.Leader(), MemberID(""))
	core.Step(heartbeat, now.Add(2*testElection))
	is.Equal(core.Leader(), MemberID("leader"))
}

func TestRead(t *testing.T) {
	is := is.New(t)
	group := newGroup(3, 10, t.Fatalf)
	group.advance(time.Second)
	leader := group.leader()
	group.step(leader.config.ID, RequestRead{ID: 5})
	var reads []ReadReady
	for len(group.network) > 0 {
		envelope := group.network[0]
		group.network = group.network[1:]
		reads = append(reads, group.step(envelope.To, Receive{Envelope: envelope}).Reads...)
	}
	is.Equal(len(reads), 1)
	is.True(reads[0].OK)
	is.Equal(reads[0].Index, leader.CommitIndex())
	for id := range group.cores {
		if id != leader.config.ID {
			is.Equal(group.step(id, RequestRead{ID: 6}).Reads[0].OK, false) // a follower does not answer
		}
	}
}

// TestSnapshotKeepsAcknowledgedEntries guards against the loss of entries that a member
// has acknowledged: a snapshot that the leader sent on an outdated answer arrives after
// entries beyond it.
func TestSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	is := is.New(t)
	group := newGroup(3, 12, t.Fatalf)
	follower, leader := memberName(0), memberName(1)
	entries := []Entry{{Index: 2, Term: 1}, {Index: 3, Term: 1}, {Index: 4, Term: 1, Data: []byte("acknowledged")}}
	output := group.step(follower, Receive{Envelope: Envelope{From: leader, To: follower, Message: AppendRequest{
		Term: 1, PrevIndex: 1, PrevTerm: 1, Entries: entries, Commit: 2, Round: 1,
	}}})
	is.Equal(output.Messages[0].Message, AppendResponse{Term: 1, Success: true, Match: 4, Round: 1})

	snapshot := Snapshot{Index: 3, Term: 1, Members: group.cores[follower].Members()}
	output = group.step(follower, Receive{Envelope: Envelope{From: leader, To: follower, Message: SnapshotRequest{
		Term: 1, Snapshot: snapshot, Round: 2,
	}}})
	core := group.cores[follower]
	is.Equal(core.LastIndex(), uint64(4))
	is.Equal(core.CommitIndex(), uint64(3)) // a snapshot holds committed entries only
	is.Equal(len(output.Committed), 1)
	is.Equal(len(group.disks[follower].entries), 3)
	is.Equal(output.Messages[0].Message, AppendResponse{Term: 1, Success: true, Match: 3, Round: 2})
}

// TestLeaseNeedsFirstCommit guards against a leader that holds the lease before it has
// committed the first entry of its term, while followers still refuse its appends: its
// state may lack what earlier leaders have committed and acknowledged.
func TestLeaseNeedsFirstCommit(t *testing.T) {
	is := is.New(t)
	group := newGroup(3, 13, t.Fatalf)
	candidate := memberName(0)
	group.disks[candidate].entries = []Entry{{Index: 2, Term: 1}, {Index: 3, Term: 1}}
	group.restart(candidate)
	core := group.cores[candidate]
	group.now = group.now.Add(2 * testElection)
	group.step(candidate, Tick{})
	refusals := 0
	for core.Role() != RoleLeader || core.commit < core.noopIndex {
		response, ok := group.network[0].Message.(AppendResponse)
		if ok && !response.Success {
			refusals++
		}
		group.deliver(0, false)
		is.Equal(core.LeaseEnd().IsZero(), core.Role() != RoleLeader || core.commit < core.noopIndex)
	}
	is.True(refusals >= 2) // a quorum had answered before the first commit
	is.Equal(core.Role(), RoleLeader)
	is.True(group.now.Before(core.LeaseEnd()))
}

// TestAppendsAreBoundedByBytes guards against a member that was away and is sent hundreds of
// large entries in one message.
func TestAppendsAreBoundedByBytes(t *testing.T) {
	is := is.New(t)
	entries := make([]Entry, 0, 4)
	for _, size := range []int{40, 50, 20, 300} {
		entries = append(entries, Entry{Data: make([]byte, size)})
	}
	const limit = 100
	is.Equal(len(firstBytes(entries, limit)), 2)
	is.Equal(len(firstBytes(entries[2:], limit)), 1)
	is.Equal(len(firstBytes(entries[3:], limit)), 1) // larger than the limit by itself
	is.Equal(len(firstBytes(nil, limit)), 0)
	group := newGroup(3, 1, t.Fatalf)
	for _, core := range group.cores {
		is.Equal(core.config.MaxBatchBytes, defaultMaxBatchBytes)
	}
}
