package raft

import (
	"math"
	"slices"
	"time"
)

// snapshotRetry is the time after which an unanswered snapshot is sent again,
// as a multiple of the election timeout.
const snapshotRetry = 10

// alwaysInContact is a time in seconds that lies after any real one.
const alwaysInContact = 1 << 40

// maxTrackedRounds bounds the rounds whose sending time a leader remembers.
const maxTrackedRounds = 128

// syncPeers makes the leader's progress table match the membership.
func (core *Core) syncPeers() {
	for id := range core.peers {
		if !core.members.Voter(id) && !core.members.Learner(id) {
			delete(core.peers, id)
		}
	}
	for _, member := range core.members.All() {
		if _, ok := core.peers[member.ID]; !ok && member.ID != core.config.ID {
			core.peers[member.ID] = &progress{next: core.log.lastIndex() + 1, sentAt: map[uint64]time.Time{}}
		}
	}
}

// quorumContact returns the latest time at which messages were sent that a
// majority has answered. The leader itself counts as always in contact.
func (core *Core) quorumContact() time.Time {
	needed := core.members.Quorum()
	if core.members.Voter(core.config.ID) {
		needed--
	}
	if needed == 0 {
		return time.Unix(alwaysInContact, 0)
	}
	var times []time.Time
	for _, member := range core.members.Voters {
		if peer, ok := core.peers[member.ID]; ok {
			times = append(times, peer.ackedSentAt)
		}
	}
	if len(times) < needed {
		return time.Time{}
	}
	slices.SortFunc(times, func(left, right time.Time) int { return right.Compare(left) })
	return times[needed-1]
}

// Contact returns when the latest message was sent to a member that it has
// answered, as the leader knows it.
func (core *Core) Contact(id MemberID) time.Time {
	if peer, ok := core.peers[id]; ok {
		return peer.ackedSentAt
	}
	return time.Time{}
}

func (core *Core) propose(event Propose, now time.Time) {
	if core.role != RoleLeader || core.transfer != "" {
		core.output.Err = Error.New("member %s is not the leader", core.config.ID)
		return
	}
	core.output.FirstIndex = core.log.lastIndex() + 1
	for _, command := range event.Commands {
		core.append(Entry{Index: core.log.lastIndex() + 1, Term: core.hard.Term, Data: command})
	}
	core.broadcast(now)
}

func (core *Core) proposeMembers(event ProposeMembers, now time.Time) {
	if core.role != RoleLeader || core.transfer != "" {
		core.output.Err = Error.New("member %s is not the leader", core.config.ID)
		return
	}
	pending := core.history[len(core.history)-1].index > core.commit
	if pending || core.commit < core.termNoop {
		core.output.Err = Error.New("another membership change is not committed yet")
		return
	}
	if !singleChange(core.members, event.Members) {
		core.output.Err = Error.New("a membership change must concern exactly one member")
		return
	}
	members := event.Members.Clone()
	entry := Entry{Index: core.log.lastIndex() + 1, Term: core.hard.Term, Kind: EntryMembers, Members: &members}
	core.output.FirstIndex = entry.Index
	core.append(entry)
	core.broadcast(now)
}

// singleChange tells whether the sets of voters differ by at most one member
// and at least one voter remains.
func singleChange(before, after Members) bool {
	changes := 0
	for _, member := range before.Voters {
		if !after.Voter(member.ID) {
			changes++
		}
	}
	for _, member := range after.Voters {
		if !before.Voter(member.ID) {
			changes++
		}
	}
	return changes <= 1 && len(after.Voters) > 0
}

func (core *Core) requestRead(event RequestRead, now time.Time) {
	if core.role != RoleLeader || core.commit < core.termNoop {
		core.output.Reads = append(core.output.Reads, ReadReady{ID: event.ID})
		return
	}
	read := pendingRead{id: event.ID, index: core.commit, round: core.round + 1}
	core.broadcast(now)
	core.reads = append(core.reads, read)
	core.finishReads()
}

func (core *Core) failReads() {
	for _, read := range core.reads {
		core.output.Reads = append(core.output.Reads, ReadReady{ID: read.id})
	}
	core.reads = nil
}

// finishReads answers the reads whose round a quorum has confirmed.
func (core *Core) finishReads() {
	confirmed := core.confirmedRound()
	for len(core.reads) > 0 && core.reads[0].round <= confirmed {
		read := core.reads[0]
		core.reads = core.reads[1:]
		core.output.Reads = append(core.output.Reads, ReadReady{ID: read.id, Index: read.index, OK: true})
	}
}

// confirmedRound returns the latest round that a quorum has answered.
func (core *Core) confirmedRound() uint64 {
	var rounds []uint64
	for _, member := range core.members.Voters {
		if member.ID == core.config.ID {
			rounds = append(rounds, math.MaxUint64)
			continue
		}
		if peer, ok := core.peers[member.ID]; ok {
			rounds = append(rounds, peer.lastAcked)
		}
	}
	if len(rounds) < core.members.Quorum() {
		return 0
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-core.members.Quorum()]
}

// broadcast sends a message to each member.
func (core *Core) broadcast(now time.Time) {
	for _, member := range core.members.All() {
		if peer, ok := core.peers[member.ID]; ok {
			core.sendAppend(member.ID, peer, now)
		}
	}
}

func (core *Core) sendAppend(id MemberID, peer *progress, now time.Time) {
	peer.lastSent = now
	core.noteRound(peer, now)
	prevTerm, ok := core.log.term(peer.next - 1)
	if !ok {
		core.sendSnapshot(id, peer, now)
		return
	}
	last := min(core.log.lastIndex(), peer.next-1+uint64(core.config.MaxBatch))
	entries := slices.Clone(core.log.slice(peer.next, last))
	core.send(id, AppendRequest{
		Term:      core.hard.Term,
		PrevIndex: peer.next - 1,
		PrevTerm:  prevTerm,
		Entries:   entries,
		Commit:    core.commit,
		Round:     core.round,
	})
	peer.next += uint64(len(entries))
}

func (core *Core) sendSnapshot(id MemberID, peer *progress, now time.Time) {
	if now.Sub(peer.snapshotSent) < core.config.ElectionTimeout*snapshotRetry {
		return
	}
	peer.snapshotSent = now
	core.send(id, SnapshotRequest{Term: core.hard.Term, Snapshot: core.log.snapshot, Round: core.round})
}

// noteRound numbers the message and remembers when it was sent to the member.
func (core *Core) noteRound(peer *progress, now time.Time) {
	core.round++
	peer.sentAt[core.round] = now
	if len(peer.sentAt) > maxTrackedRounds {
		oldest := core.round
		for round := range peer.sentAt {
			oldest = min(oldest, round)
		}
		delete(peer.sentAt, oldest)
	}
}

func (core *Core) handleAppendResponse(from MemberID, response AppendResponse, now time.Time) {
	if response.Term > core.hard.Term {
		core.becomeFollower(response.Term, "", now)
		return
	}
	peer, ok := core.peers[from]
	if core.role != RoleLeader || !ok || response.Term < core.hard.Term {
		return
	}
	peer.acknowledge(response.Round)
	if response.Success {
		core.recordMatch(from, peer, response.Match, now)
	} else {
		peer.next = max(peer.match+1, min(response.Hint+1, core.log.lastIndex()+1))
		core.sendAppend(from, peer, now)
	}
	core.finishReads()
}

func (core *Core) recordMatch(from MemberID, peer *progress, match uint64, now time.Time) {
	if match > core.log.lastIndex() {
		return
	}
	peer.snapshotSent = time.Time{}
	if match > peer.match {
		peer.match = match
		core.advanceCommit(now)
	}
	if core.role != RoleLeader {
		return
	}
	peer.next = max(peer.next, peer.match+1)
	if peer.next <= core.log.lastIndex() {
		core.sendAppend(from, peer, now)
	}
	if from == core.transfer && peer.match == core.log.lastIndex() {
		core.send(from, TimeoutNow{Term: core.hard.Term})
	}
}

// advanceCommit commits what a majority has synced in this term.
func (core *Core) advanceCommit(now time.Time) {
	var matches []uint64
	for _, member := range core.members.Voters {
		matches = append(matches, core.Match(member.ID))
	}
	slices.Sort(matches)
	index := matches[len(matches)-core.members.Quorum()]
	term, _ := core.log.term(index)
	if index <= core.commit || term != core.hard.Term {
		return
	}
	core.commit = index
	core.broadcast(now)
	if !core.members.Voter(core.config.ID) && core.history[len(core.history)-1].index <= core.commit {
		core.becomeFollower(core.hard.Term, "", now)
	}
}

func (core *Core) startTransfer(event Transfer, now time.Time) {
	peer, ok := core.peers[event.To]
	if core.role != RoleLeader || !ok || !core.members.Voter(event.To) {
		core.output.Err = Error.New("leadership can't move from %s to %s", core.config.ID, event.To)
		return
	}
	core.transfer = event.To
	core.deadline = now.Add(core.config.ElectionTimeout * 2)
	if peer.match == core.log.lastIndex() {
		core.send(event.To, TimeoutNow{Term: core.hard.Term})
		return
	}
	core.sendAppend(event.To, peer, now)
}
