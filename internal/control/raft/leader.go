package raft

import (
	"math"
	"slices"
	"time"
)

// snapshotRetryFactor is the time after which an unanswered snapshot is sent
// again, as a multiple of the election timeout.
const snapshotRetryFactor = 10

// alwaysInContactUnix is a Unix time in seconds that is later than any real one.
const alwaysInContactUnix = 1 << 40

// maxTrackedRounds bounds the rounds per member whose sending time the leader
// keeps.
const maxTrackedRounds = 128

// syncPeers updates the leader's progress table to match the membership.
func (core *Core) syncPeers() {
	for id := range core.peers {
		if !core.members.IsVoter(id) && !core.members.IsLearner(id) {
			delete(core.peers, id)
		}
	}
	for _, member := range core.members.All() {
		if _, ok := core.peers[member.ID]; !ok && member.ID != core.config.ID {
			core.peers[member.ID] = &progress{next: core.log.lastIndex() + 1, sentAt: map[uint64]time.Time{}}
		}
	}
}

// quorumContact returns the latest time such that a quorum has answered a
// message sent then or later. The leader itself always counts as in contact.
func (core *Core) quorumContact() time.Time {
	needed := core.members.Quorum()
	if core.members.IsVoter(core.config.ID) {
		needed--
	}
	if needed == 0 {
		return time.Unix(alwaysInContactUnix, 0)
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

// LastContact returns the sending time of the latest message that the member has
// answered. It is known only to the leader.
func (core *Core) LastContact(id MemberID) time.Time {
	if peer, ok := core.peers[id]; ok {
		return peer.ackedSentAt
	}
	return time.Time{}
}

func (core *Core) propose(event Propose, now time.Time) {
	if core.role != RoleLeader || core.transfer != "" {
		core.output.Err = Error.New("member %s is not the leader or is transferring leadership", core.config.ID)
		return
	}
	core.output.FirstIndex = core.log.lastIndex() + 1
	for _, command := range event.Commands {
		core.append(Entry{Index: core.log.lastIndex() + 1, Term: core.hardState.Term, Data: command})
	}
	core.broadcast(now)
}

func (core *Core) proposeMembers(event ProposeMembers, now time.Time) {
	if core.role != RoleLeader || core.transfer != "" {
		core.output.Err = Error.New("member %s is not the leader or is transferring leadership", core.config.ID)
		return
	}
	pending := core.history[len(core.history)-1].index > core.commit
	if pending || core.commit < core.noopIndex {
		core.output.Err = Error.New("a membership change or the first entry of the term is not committed yet")
		return
	}
	if !singleChange(core.members, event.Members) {
		core.output.Err = Error.New("a membership change must add or remove at most one voter and leave at least one")
		return
	}
	members := event.Members.Clone()
	entry := Entry{Index: core.log.lastIndex() + 1, Term: core.hardState.Term, Kind: EntryMembers, Members: &members}
	core.output.FirstIndex = entry.Index
	core.append(entry)
	core.broadcast(now)
}

// singleChange reports whether the sets of voters differ by at most one member
// and at least one voter remains.
func singleChange(before, after Members) bool {
	changes := 0
	for _, member := range before.Voters {
		if !after.IsVoter(member.ID) {
			changes++
		}
	}
	for _, member := range after.Voters {
		if !before.IsVoter(member.ID) {
			changes++
		}
	}
	return changes <= 1 && len(after.Voters) > 0
}

func (core *Core) requestRead(event RequestRead, now time.Time) {
	if core.role != RoleLeader || core.commit < core.noopIndex {
		core.output.Reads = append(core.output.Reads, ReadReady{ID: event.ID})
		return
	}
	read := pendingRead{id: event.ID, index: core.commit, round: core.round + 1}
	core.broadcast(now)
	core.reads = append(core.reads, read)
	core.finishReads()
}

// failReads fails all pending reads when leadership ends.
func (core *Core) failReads() {
	for _, read := range core.reads {
		core.output.Reads = append(core.output.Reads, ReadReady{ID: read.id})
	}
	core.reads = nil
}

// finishReads completes the reads whose round a quorum has confirmed.
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
			rounds = append(rounds, peer.lastAckedRound)
		}
	}
	if len(rounds) < core.members.Quorum() {
		return 0
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-core.members.Quorum()]
}

// broadcast sends an append request, or a snapshot where needed, to each member.
func (core *Core) broadcast(now time.Time) {
	for _, member := range core.members.All() {
		if peer, ok := core.peers[member.ID]; ok {
			core.sendAppend(member.ID, peer, now)
		}
	}
}

func (core *Core) sendAppend(id MemberID, peer *progress, now time.Time) {
	peer.lastSentAt = now
	core.recordRound(peer, now)
	prevTerm, ok := core.log.term(peer.next - 1)
	if !ok {
		core.sendSnapshot(id, peer, now)
		return
	}
	last := min(core.log.lastIndex(), peer.next-1+uint64(core.config.MaxBatch))
	entries := slices.Clone(firstBytes(core.log.slice(peer.next, last), core.config.MaxBatchBytes))
	core.send(id, AppendRequest{
		Term:      core.hardState.Term,
		PrevIndex: peer.next - 1,
		PrevTerm:  prevTerm,
		Entries:   entries,
		Commit:    core.commit,
		Round:     core.round,
	})
	peer.next += uint64(len(entries))
}

// firstBytes returns the first entries whose data together has at most limit bytes, but at
// least one.
func firstBytes(entries []Entry, limit int) []Entry {
	for position, entry := range entries {
		limit -= len(entry.Data)
		if limit < 0 && position > 0 {
			return entries[:position]
		}
	}
	return entries
}

func (core *Core) sendSnapshot(id MemberID, peer *progress, now time.Time) {
	if now.Sub(peer.snapshotSentAt) < core.config.ElectionTimeout*snapshotRetryFactor {
		return
	}
	peer.snapshotSentAt = now
	core.send(id, SnapshotRequest{Term: core.hardState.Term, Snapshot: core.log.snapshot, Round: core.round})
}

// recordRound assigns the next round to a message and records when it was sent
// to the member.
func (core *Core) recordRound(peer *progress, now time.Time) {
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
	if response.Term > core.hardState.Term {
		core.becomeFollower(response.Term, "", now)
		return
	}
	peer, ok := core.peers[from]
	if core.role != RoleLeader || !ok || response.Term < core.hardState.Term {
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
	peer.snapshotSentAt = time.Time{}
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
		core.send(from, TimeoutNow{Term: core.hardState.Term})
	}
}

// advanceCommit advances the commit index to the last index that a quorum has
// synced, provided that its entry is of the current term.
func (core *Core) advanceCommit(now time.Time) {
	var matches []uint64
	for _, member := range core.members.Voters {
		matches = append(matches, core.MatchIndex(member.ID))
	}
	slices.Sort(matches)
	index := matches[len(matches)-core.members.Quorum()]
	term, _ := core.log.term(index)
	if index <= core.commit || term != core.hardState.Term {
		return
	}
	core.commit = index
	core.broadcast(now)
	if !core.members.IsVoter(core.config.ID) && core.history[len(core.history)-1].index <= core.commit {
		core.becomeFollower(core.hardState.Term, "", now)
	}
}

func (core *Core) startTransfer(event Transfer, now time.Time) {
	peer, ok := core.peers[event.To]
	if core.role != RoleLeader || !ok || !core.members.IsVoter(event.To) {
		core.output.Err = Error.New("cannot transfer leadership from %s to %s", core.config.ID, event.To)
		return
	}
	core.transfer = event.To
	core.deadline = now.Add(core.config.ElectionTimeout * 2)
	if peer.match == core.log.lastIndex() {
		core.send(event.To, TimeoutNow{Term: core.hardState.Term})
		return
	}
	core.sendAppend(event.To, peer, now)
}
