package raft

import (
	"slices"
	"time"
)

const (
	defaultMaxBatch = 256
	// leaseTenths is the part of an election timeout that a leader's lease lasts,
	// in tenths; the rest is for clocks that run at different speeds.
	leaseTenths = 9
)

// progress is what a leader knows of one member.
type progress struct {
	match        uint64
	next         uint64
	ackedSentAt  time.Time
	lastAcked    uint64
	sentAt       map[uint64]time.Time
	lastSent     time.Time
	snapshotSent time.Time
}

// acknowledge notes the sending time of an answered message.
func (progress *progress) acknowledge(round uint64) {
	sentAt, ok := progress.sentAt[round]
	if !ok {
		return
	}
	if sentAt.After(progress.ackedSentAt) {
		progress.ackedSentAt = sentAt
	}
	progress.lastAcked = max(progress.lastAcked, round)
	for old := range progress.sentAt {
		if old <= round {
			delete(progress.sentAt, old)
		}
	}
}

// pendingRead waits for a quorum to confirm the leader after its round.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// Core is one member's consensus state. It is not safe for concurrent use.
type Core struct {
	config   Config
	hard     HardState
	role     Role
	leader   MemberID
	log      memoryLog
	commit   uint64
	applied  uint64
	synced   uint64
	members  Members
	history  []membersAt
	peers    map[MemberID]*progress
	votes    map[MemberID]bool
	preVote  bool
	transfer MemberID
	round    uint64
	reads    []pendingRead
	deadline time.Time
	heardAt  time.Time
	termNoop uint64
	since    time.Time
	output   Output
}

// membersAt is a membership and the index that brought it.
type membersAt struct {
	index   uint64
	members Members
}

// NewCore restores a member from what its disk holds. All entries given are
// taken as synced. The member grants no vote for one election timeout, so that
// a restart can't shorten the lease of a leader it heard from before.
func NewCore(config Config, hard HardState, snapshot Snapshot, entries []Entry, now time.Time) *Core {
	if config.MaxBatch == 0 {
		config.MaxBatch = defaultMaxBatch
	}
	core := &Core{
		config:  config,
		hard:    hard,
		log:     memoryLog{snapshot: snapshot},
		commit:  snapshot.Index,
		applied: snapshot.Index,
		heardAt: now,
	}
	core.setMembers(snapshot.Index, snapshot.Members)
	for _, entry := range entries {
		core.append(entry)
	}
	core.output = Output{}
	core.synced = core.log.lastIndex()
	core.resetDeadline(now)
	return core
}

// Role returns the member's role.
func (core *Core) Role() Role { return core.role }

// Term returns the member's term.
func (core *Core) Term() uint64 { return core.hard.Term }

// Leader returns the leader that the member knows of, or an empty ID.
func (core *Core) Leader() MemberID { return core.leader }

// CommitIndex returns the last index known to be committed.
func (core *Core) CommitIndex() uint64 { return core.commit }

// LastIndex returns the last index of the log.
func (core *Core) LastIndex() uint64 { return core.log.lastIndex() }

// SnapshotIndex returns the index up to which the log is compacted.
func (core *Core) SnapshotIndex() uint64 { return core.log.snapshot.Index }

// Members returns the membership in force, which may not be committed yet.
func (core *Core) Members() Members { return core.members.Clone() }

// LeaderSince returns when the member became leader.
func (core *Core) LeaderSince() time.Time { return core.since }

// Match returns the last index that the leader knows the member to hold.
func (core *Core) Match(id MemberID) uint64 {
	if id == core.config.ID {
		return core.synced
	}
	if peer, ok := core.peers[id]; ok {
		return peer.match
	}
	return 0
}

// LeaseEnd returns until when no other member can be leader: a quorum promised
// at that time, counted from when the leader sent, to ignore candidates. It is
// the zero time for a member that does not lead or hands over leadership.
func (core *Core) LeaseEnd() time.Time {
	if core.role != RoleLeader || core.transfer != "" {
		return time.Time{}
	}
	contact := core.quorumContact()
	if contact.IsZero() {
		return time.Time{}
	}
	return contact.Add(core.config.ElectionTimeout * leaseTenths / 10)
}

// EntriesAfter returns committed entries after index, at most limit of them,
// and false if they are compacted away.
func (core *Core) EntriesAfter(index uint64, limit int) ([]Entry, bool) {
	if index < core.log.snapshot.Index {
		return nil, false
	}
	return slices.Clone(core.log.slice(index+1, min(core.commit, index+uint64(limit)))), true
}

// Step takes one event and returns what follows from it.
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
	silent := now.Sub(core.quorumContact()) > core.config.ElectionTimeout*2
	if silent && now.Sub(core.since) > core.config.ElectionTimeout*2 {
		core.becomeFollower(core.hard.Term, "", now)
		return
	}
	if core.transfer != "" && !now.Before(core.deadline) {
		// A TimeoutNow may still be under way, so this term's lease can't be
		// trusted again: only a new election restores it.
		core.becomeFollower(core.hard.Term, "", now)
		return
	}
	for id, peer := range core.peers {
		if now.Sub(peer.lastSent) >= core.config.HeartbeatInterval {
			core.sendAppend(id, peer, now)
		}
	}
}

// receive handles a message after the checks on terms that all kinds share.
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
		if message.Term == core.hard.Term && core.members.Voter(core.config.ID) {
			core.startElection(false, true, now)
		}
	}
}

// acceptLeader follows the sender if its term is current, and answers an old
// leader with the present term.
func (core *Core) acceptLeader(from MemberID, term, round uint64, now time.Time) bool {
	if term < core.hard.Term {
		core.send(from, AppendResponse{Term: core.hard.Term, Round: round})
		return false
	}
	if term > core.hard.Term || core.role != RoleFollower || core.leader != from {
		core.becomeFollower(term, from, now)
	}
	core.heardAt = now
	core.resetDeadline(now)
	return true
}

func (core *Core) send(to MemberID, message Message) {
	envelope := Envelope{From: core.config.ID, To: to, Message: message}
	core.output.Messages = append(core.output.Messages, envelope)
}

func (core *Core) setTerm(term uint64, vote MemberID) {
	hard := HardState{Term: term, Vote: vote}
	if hard == core.hard {
		return
	}
	core.hard = hard
	core.output.HardState = &hard
}

func (core *Core) becomeFollower(term uint64, leader MemberID, now time.Time) {
	core.failReads()
	core.role = RoleFollower
	core.leader = leader
	core.peers = nil
	core.transfer = ""
	if term > core.hard.Term {
		core.setTerm(term, "")
	}
	core.resetDeadline(now)
}

func (core *Core) resetDeadline(now time.Time) {
	spread := core.config.Random(int64(core.config.ElectionTimeout))
	core.deadline = now.Add(core.config.ElectionTimeout + time.Duration(spread))
}

// setMembers puts a membership in force as soon as its entry is in the log.
func (core *Core) setMembers(index uint64, members Members) {
	core.history = append(core.history, membersAt{index: index, members: members.Clone()})
	core.useLatestMembers()
}

func (core *Core) useLatestMembers() {
	core.members = core.history[len(core.history)-1].members
	if core.role == RoleLeader {
		core.syncPeers()
	}
}

// dropMembersFrom undoes memberships whose entries were overwritten.
func (core *Core) dropMembersFrom(index uint64) {
	for len(core.history) > 1 && core.history[len(core.history)-1].index >= index {
		core.history = core.history[:len(core.history)-1]
	}
	core.useLatestMembers()
}

// append writes the entry to the log in memory and to the output.
func (core *Core) append(entry Entry) {
	core.log.append(entry)
	core.output.Entries = append(core.output.Entries, entry)
	if entry.Kind == EntryMembers && entry.Members != nil {
		core.setMembers(entry.Index, *entry.Members)
	}
}

func (core *Core) persisted(event Persisted, now time.Time) {
	core.synced = max(core.synced, min(event.Index, core.log.lastIndex()))
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

// CommittedMembers returns the latest membership that is committed.
func (core *Core) CommittedMembers() Members {
	members := core.history[0].members
	for _, past := range core.history {
		if past.index <= core.commit {
			members = past.members
		}
	}
	return members.Clone()
}

// EntriesInMemory returns all entries after the last snapshot.
func (core *Core) EntriesInMemory() []Entry {
	return slices.Clone(core.log.entries)
}
