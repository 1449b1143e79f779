package raft

import (
	"slices"
	"time"
)

const (
	// defaultMaxBatch is the default of Config.MaxBatch, in entries.
	defaultMaxBatch = 256
	// defaultMaxBatchBytes is the default of Config.MaxBatchBytes, in bytes.
	defaultMaxBatchBytes = 512 << 10
	// leaseTenths is the duration of a leader's lease in tenths of the election
	// timeout. The rest allows for clocks that run at different rates.
	leaseTenths = 9
)

// progress is the replication state of one member as the leader knows it.
type progress struct {
	// match is the last index that the member is known to hold, and next the index
	// of the next entry to send.
	match uint64
	next  uint64
	// ackedSentAt is the sending time of the latest message that the member has
	// answered, and lastAckedRound its round.
	ackedSentAt    time.Time
	lastAckedRound uint64
	// sentAt holds the sending times of messages that are not answered yet, by
	// round.
	sentAt         map[uint64]time.Time
	lastSentAt     time.Time
	snapshotSentAt time.Time
}

// acknowledge records that the message of a round was answered: it updates the
// sending time of the latest answered message, and forgets this and earlier
// rounds.
func (progress *progress) acknowledge(round uint64) {
	sentAt, ok := progress.sentAt[round]
	if !ok {
		return
	}
	if sentAt.After(progress.ackedSentAt) {
		progress.ackedSentAt = sentAt
	}
	progress.lastAckedRound = max(progress.lastAckedRound, round)
	for old := range progress.sentAt {
		if old <= round {
			delete(progress.sentAt, old)
		}
	}
}

// pendingRead is a read that completes once a quorum has answered its round or a
// later one, which confirms that this member is still the leader.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// Core is the Raft state machine of one member. It is not safe for concurrent
// use.
type Core struct {
	config      Config
	hardState   HardState
	role        Role
	leader      MemberID
	log         memoryLog
	commit      uint64
	applied     uint64
	syncedIndex uint64
	members     Members
	// history holds the membership of the latest snapshot and all later ones. The last
	// one is in effect.
	history []membersAt
	peers   map[MemberID]*progress
	votes   map[MemberID]bool
	// preVote is set while a candidate requests pre-votes.
	preVote bool
	// transfer is the voter that leadership is being transferred to, or empty.
	transfer MemberID
	// round is the number of the latest message that the member sent as the leader.
	round uint64
	reads []pendingRead
	// deadline is when the member starts an election or, as a leader, aborts a
	// leadership transfer.
	deadline        time.Time
	leaderContactAt time.Time
	// noopIndex is the index of the first entry of this leader's term.
	noopIndex   uint64
	leaderSince time.Time
	output      Output
}

// membersAt is a membership and the index of its entry or snapshot.
type membersAt struct {
	index   uint64
	members Members
}

// NewCore restores a member from the contents of its disk. All given entries
// count as synced. The member grants no vote for one election timeout, so that a
// restart cannot shorten the lease of a leader it had contact with before.
func NewCore(config Config, hardState HardState, snapshot Snapshot, entries []Entry, now time.Time) *Core {
	if config.MaxBatch == 0 {
		config.MaxBatch = defaultMaxBatch
	}
	if config.MaxBatchBytes == 0 {
		config.MaxBatchBytes = defaultMaxBatchBytes
	}
	core := &Core{
		config:          config,
		hardState:       hardState,
		log:             memoryLog{snapshot: snapshot},
		commit:          snapshot.Index,
		applied:         snapshot.Index,
		leaderContactAt: now,
	}
	core.setMembers(snapshot.Index, snapshot.Members)
	for _, entry := range entries {
		core.append(entry)
	}
	core.output = Output{}
	core.syncedIndex = core.log.lastIndex()
	core.resetDeadline(now)
	return core
}

// Role returns the member's role.
func (core *Core) Role() Role { return core.role }

// Term returns the member's term.
func (core *Core) Term() uint64 { return core.hardState.Term }

// Transferring reports whether the member is transferring leadership.
func (core *Core) Transferring() bool { return core.transfer != "" }

// Leader returns the known leader, or an empty ID.
func (core *Core) Leader() MemberID { return core.leader }

// CommitIndex returns the last index known to be committed.
func (core *Core) CommitIndex() uint64 { return core.commit }

// LastIndex returns the last index of the log.
func (core *Core) LastIndex() uint64 { return core.log.lastIndex() }

// SnapshotIndex returns the index up to which the log is compacted.
func (core *Core) SnapshotIndex() uint64 { return core.log.snapshot.Index }

// SnapshotSize returns the size of the latest snapshot in bytes.
func (core *Core) SnapshotSize() int { return len(core.log.snapshot.Data) }

// Members returns the membership in effect, which may not be committed yet.
func (core *Core) Members() Members { return core.members.Clone() }

// LeaderSince returns when the member became leader.
func (core *Core) LeaderSince() time.Time { return core.leaderSince }

// MatchIndex returns the last index that the member is known to hold. It is
// meaningful only on the leader.
func (core *Core) MatchIndex(id MemberID) uint64 {
	if id == core.config.ID {
		return core.syncedIndex
	}
	if peer, ok := core.peers[id]; ok {
		return peer.match
	}
	return 0
}

// LeaseEnd returns the time until which no other member can become leader: a
// quorum has promised to ignore candidates until then, counted from when the
// leader sent the messages that they answered. It is the zero time if this
// member is not the leader, is transferring leadership, or has not committed an entry
// of its term yet, since it may then lack entries that earlier leaders committed.
func (core *Core) LeaseEnd() time.Time {
	if core.role != RoleLeader || core.transfer != "" || core.commit < core.noopIndex {
		return time.Time{}
	}
	contact := core.quorumContact()
	if contact.IsZero() {
		return time.Time{}
	}
	return contact.Add(core.config.ElectionTimeout * leaseTenths / 10)
}

// EntriesAfter returns at most limit committed entries after index. It returns
// false if they have been compacted.
func (core *Core) EntriesAfter(index uint64, limit int) ([]Entry, bool) {
	if index < core.log.snapshot.Index {
		return nil, false
	}
	return slices.Clone(core.log.slice(index+1, min(core.commit, index+uint64(limit)))), true
}

// Step processes one event and returns the resulting actions.
func (core *Core) Step(event Event, now time.Time) Output {
	core.output = Output{}
	switch event := event.(type) {
	case Tick:
		core.tick(now)
	case Receive:
		core.receive(event.Envelope, now)
	case Propose:
		core.propose(event, now)
	case ProposeMembers:
		core.proposeMembers(event, now)
	case RequestRead:
		core.requestRead(event, now)
	case Persisted:
		core.persisted(event, now)
	case Compact:
		core.compact(event)
	case Transfer:
		core.startTransfer(event, now)
	}
	core.collectCommitted()
	return core.output
}

func (core *Core) tick(now time.Time) {
	if core.role == RoleLeader {
		core.tickLeader(now)
		return
	}
	if !now.Before(core.deadline) {
		core.startElection(true, false, now)
	}
}

func (core *Core) tickLeader(now time.Time) {
	lostQuorum := now.Sub(core.quorumContact()) > core.config.ElectionTimeout*2
	if lostQuorum && now.Sub(core.leaderSince) > core.config.ElectionTimeout*2 {
		core.becomeFollower(core.hardState.Term, "", now)
		return
	}
	if core.transfer != "" && !now.Before(core.deadline) {
		// A TimeoutNow may still be in flight, so the lease of this term cannot
		// be relied on again. Only a new election restores it.
		core.becomeFollower(core.hardState.Term, "", now)
		return
	}
	for id, peer := range core.peers {
		if now.Sub(peer.lastSentAt) >= core.config.HeartbeatInterval {
			core.sendAppend(id, peer, now)
		}
	}
}

// receive dispatches a message to the handler of its type.
func (core *Core) receive(envelope Envelope, now time.Time) {
	from := envelope.From
	switch message := envelope.Message.(type) {
	case VoteRequest:
		core.handleVoteRequest(from, message, now)
	case VoteResponse:
		core.handleVoteResponse(from, message, now)
	case AppendRequest:
		if core.acceptLeader(from, message.Term, message.Round, now) {
			core.handleAppend(from, message)
		}
	case SnapshotRequest:
		if core.acceptLeader(from, message.Term, message.Round, now) {
			core.handleSnapshot(from, message)
		}
	case AppendResponse:
		core.handleAppendResponse(from, message, now)
	case TimeoutNow:
		if message.Term == core.hardState.Term && core.members.IsVoter(core.config.ID) {
			core.startElection(false, true, now)
		}
	}
}

// acceptLeader follows the sender if its term is current. It answers a leader of
// an earlier term with the current term.
func (core *Core) acceptLeader(from MemberID, term, round uint64, now time.Time) bool {
	if term < core.hardState.Term {
		core.send(from, AppendResponse{Term: core.hardState.Term, Round: round})
		return false
	}
	if term > core.hardState.Term || core.role != RoleFollower || core.leader != from {
		core.becomeFollower(term, from, now)
	}
	core.leaderContactAt = now
	core.resetDeadline(now)
	return true
}

func (core *Core) send(to MemberID, message Message) {
	envelope := Envelope{From: core.config.ID, To: to, Message: message}
	core.output.Messages = append(core.output.Messages, envelope)
}

func (core *Core) setTerm(term uint64, vote MemberID) {
	hardState := HardState{Term: term, Vote: vote}
	if hardState == core.hardState {
		return
	}
	core.hardState = hardState
	core.output.HardState = &hardState
}

func (core *Core) becomeFollower(term uint64, leader MemberID, now time.Time) {
	core.failReads()
	core.role = RoleFollower
	core.leader = leader
	core.peers = nil
	core.transfer = ""
	if term > core.hardState.Term {
		core.setTerm(term, "")
	}
	core.resetDeadline(now)
}

func (core *Core) resetDeadline(now time.Time) {
	jitter := core.config.Random(int64(core.config.ElectionTimeout))
	core.deadline = now.Add(core.config.ElectionTimeout + time.Duration(jitter))
}

// setMembers applies a membership, which takes effect as soon as its entry is in
// the log.
func (core *Core) setMembers(index uint64, members Members) {
	core.history = append(core.history, membersAt{index: index, members: members.Clone()})
	core.applyLatestMembers()
}

func (core *Core) applyLatestMembers() {
	core.members = core.history[len(core.history)-1].members
	if core.role == RoleLeader {
		core.syncPeers()
	}
}

// revertMembersFrom reverts memberships whose entries were overwritten.
func (core *Core) revertMembersFrom(index uint64) {
	for len(core.history) > 1 && core.history[len(core.history)-1].index >= index {
		core.history = core.history[:len(core.history)-1]
	}
	core.applyLatestMembers()
}

// append adds the entry to the in-memory log and to the output.
func (core *Core) append(entry Entry) {
	core.log.append(entry)
	core.output.Entries = append(core.output.Entries, entry)
	if entry.Kind == EntryMembers && entry.Members != nil {
		core.setMembers(entry.Index, *entry.Members)
	}
}

func (core *Core) persisted(event Persisted, now time.Time) {
	core.syncedIndex = max(core.syncedIndex, min(event.Index, core.log.lastIndex()))
	if core.role == RoleLeader {
		core.advanceCommit(now)
	}
}

func (core *Core) compact(event Compact) {
	snapshot := event.Snapshot
	if snapshot.Index <= core.log.snapshot.Index || snapshot.Index > core.applied {
		return
	}
	core.log.compact(snapshot)
	keep := 0
	for keep+1 < len(core.history) && core.history[keep+1].index <= snapshot.Index {
		keep++
	}
	core.history = slices.Clone(core.history[keep:])
}

func (core *Core) collectCommitted() {
	if core.applied >= core.commit {
		return
	}
	core.output.Committed = slices.Clone(core.log.slice(core.applied+1, core.commit))
	core.applied = core.commit
}

// CommittedMembers returns the latest committed membership.
func (core *Core) CommittedMembers() Members {
	members := core.history[0].members
	for _, past := range core.history {
		if past.index <= core.commit {
			members = past.members
		}
	}
	return members.Clone()
}

// UncompactedEntries returns all entries after the latest snapshot.
func (core *Core) UncompactedEntries() []Entry {
	return slices.Clone(core.log.entries)
}
