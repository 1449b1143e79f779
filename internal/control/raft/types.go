// Package raft implements the consensus core of the control hosts: Raft as
// published by Ongaro and Ousterhout, with pre-vote, check-quorum, read-index,
// leadership transfer, learners and single-member membership changes.
//
// The core is a pure state machine. It reads no clock, starts no goroutine and
// accesses no disk: Step takes an event and the current time, and returns what
// must be persisted, sent and applied.
package raft

import (
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("raft")

// MemberID identifies one member of the control group. It combines the host's
// name with the identity of its disk, so that a host with a new disk is a new
// member.
type MemberID string

// Member is one control host of the group.
type Member struct {
	ID      MemberID
	Address netip.AddrPort
}

// Members is the membership of the group: voters, and learners that only
// replicate.
type Members struct {
	Voters   []Member
	Learners []Member
}

// Clone returns a deep copy.
func (members Members) Clone() Members {
	return Members{Voters: slices.Clone(members.Voters), Learners: slices.Clone(members.Learners)}
}

// IsVoter reports whether the member is a voter.
func (members Members) IsVoter(id MemberID) bool {
	return slices.ContainsFunc(members.Voters, func(member Member) bool { return member.ID == id })
}

// IsLearner reports whether the member is a learner, which replicates without a
// vote.
func (members Members) IsLearner(id MemberID) bool {
	return slices.ContainsFunc(members.Learners, func(member Member) bool { return member.ID == id })
}

// All returns the voters followed by the learners.
func (members Members) All() []Member {
	return slices.Concat(members.Voters, members.Learners)
}

// Quorum returns the number of voters that form a majority.
func (members Members) Quorum() int {
	return len(members.Voters)/2 + 1
}

// EntryKind is the type of an entry.
type EntryKind uint8

const (
	// EntryCommand holds a command for the replicated state machine.
	EntryCommand EntryKind = iota
	// EntryMembers holds a new membership of the group.
	EntryMembers
	// EntryNoop is the entry a leader appends at the start of its term.
	EntryNoop
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Data    []byte
	Members *Members
}

// HardState is the state that a member must persist before it answers: its term
// and its vote.
type HardState struct {
	Term uint64
	Vote MemberID
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Members
	Data    []byte
}

// Role is the role of a member in its term.
type Role uint8

const (
	// RoleFollower accepts entries from a leader.
	RoleFollower Role = iota
	// RoleCandidate requests votes or pre-votes.
	RoleCandidate
	// RoleLeader appends entries and replicates them.
	RoleLeader
)

// String returns the role's name.
func (role Role) String() string {
	switch role {
	case RoleLeader:
		return "leader"
	case RoleCandidate:
		return "candidate"
	default:
		return "follower"
	}
}

// Message is a message between members.
type Message interface{ message() }

// Envelope is a message with its sender and recipient.
type Envelope struct {
	From    MemberID
	To      MemberID
	Message Message
}

// Size returns the size in bytes of the commands or the state that the message carries.
func (envelope Envelope) Size() int {
	switch message := envelope.Message.(type) {
	case AppendRequest:
		size := 0
		for _, entry := range message.Entries {
			size += len(entry.Data)
		}
		return size
	case SnapshotRequest:
		return len(message.Snapshot.Data)
	default:
		return 0
	}
}

// VoteRequest requests a vote, or a pre-vote if PreVote is set. Transfer marks
// an election that the leader asked for: voters then ignore that they recently
// heard from that leader.
type VoteRequest struct {
	Term      uint64
	LastIndex uint64
	LastTerm  uint64
	PreVote   bool
	Transfer  bool
}

// VoteResponse answers a VoteRequest.
type VoteResponse struct {
	Term    uint64
	PreVote bool
	Granted bool
}

// AppendRequest replicates entries, and serves as the leader's heartbeat. The
// response repeats Round, which tells the leader which of its messages was answered.
type AppendRequest struct {
	Term      uint64
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []Entry
	Commit    uint64
	Round     uint64
}

// AppendResponse answers an AppendRequest or a SnapshotRequest. On success Match
// is the last index known to match; otherwise Hint is the last index that may
// match.
type AppendResponse struct {
	Term    uint64
	Success bool
	Match   uint64
	Hint    uint64
	Round   uint64
}

// SnapshotRequest replaces a member's log up to the snapshot's index.
type SnapshotRequest struct {
	Term     uint64
	Snapshot Snapshot
	Round    uint64
}

// TimeoutNow tells a voter to start an election immediately.
type TimeoutNow struct {
	Term uint64
}

func (VoteRequest) message()     {}
func (VoteResponse) message()    {}
func (AppendRequest) message()   {}
func (AppendResponse) message()  {}
func (SnapshotRequest) message() {}
func (TimeoutNow) message()      {}

// Event is an input to Step.
type Event interface{ event() }

// Tick advances the timers.
type Tick struct{}

// Receive delivers a message from another member.
type Receive struct{ Envelope Envelope }

// Propose asks the leader to append commands, in order.
type Propose struct{ Commands [][]byte }

// ProposeMembers asks the leader to append a membership that differs from the
// current one by at most one voter.
type ProposeMembers struct{ Members Members }

// RequestRead asks the leader for an index at which a linearizable read is safe.
type RequestRead struct{ ID uint64 }

// Persisted reports that all entries up to Index have been synced to disk.
type Persisted struct{ Index uint64 }

// Compact removes entries up to the snapshot's index from memory.
type Compact struct{ Snapshot Snapshot }

// Transfer asks the leader to transfer leadership to another voter.
type Transfer struct{ To MemberID }

func (Tick) event()           {}
func (Receive) event()        {}
func (Propose) event()        {}
func (ProposeMembers) event() {}
func (RequestRead) event()    {}
func (Persisted) event()      {}
func (Compact) event()        {}
func (Transfer) event()       {}

// ReadReady reports that the read with this ID may be served once the state
// machine has applied Index. OK is false if the member is not, or no longer, the
// leader, or has not committed an entry of its term yet.
type ReadReady struct {
	ID    uint64
	Index uint64
	OK    bool
}

// Output is what the caller of Step must do, in this order: send each
// AppendRequest, persist HardState, Snapshot and Entries, send the other
// messages, apply Committed, answer Reads.
type Output struct {
	// HardState is set if the term or the vote changed.
	HardState *HardState
	// Snapshot is set if the log was replaced by a snapshot from the leader.
	Snapshot *Snapshot
	// Entries must be written at their indexes. They replace all entries already
	// at these or later indexes.
	Entries []Entry
	// Messages must be sent to other members.
	Messages []Envelope
	// Committed holds entries to apply, in order.
	Committed []Entry
	// Reads are the answers to RequestRead.
	Reads []ReadReady
	// FirstIndex is the index of the first entry of a Propose or ProposeMembers.
	FirstIndex uint64
	// Err is why a Propose, ProposeMembers or Transfer was rejected.
	Err error
}

// Config configures a Core.
type Config struct {
	ID MemberID
	// ElectionTimeout is the minimum time without a leader before an election.
	// The actual time is random, between once and twice this value.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's messages to a member.
	HeartbeatInterval time.Duration
	// MaxBatch bounds the entries in one AppendRequest; 0 means 256.
	MaxBatch int
	// MaxBatchBytes bounds their data, unless there is only one; 0 means 512 KiB.
	MaxBatchBytes int
	// Random returns a random number in [0, n).
	Random func(n int64) int64
}
