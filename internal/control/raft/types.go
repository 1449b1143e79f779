// Package raft is the consensus core of the control hosts: Raft as published
// by Ongaro and Ousterhout, with pre-vote, check-quorum, read-index, leadership
// transfer, learners and membership changes of one member at a time.
//
// The core is a pure state machine. It reads no clock, starts no goroutine and
// touches no disk: Step takes an event and the time, and returns what must be
// made durable, sent and applied.
package raft

import (
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("raft")

// MemberID names one member of the control group: the host's name and the
// identity of its disk, so that a host with a new disk is a new member.
type MemberID string

// Member is one control host as the group knows it.
type Member struct {
	ID      MemberID
	Address netip.AddrPort
}

// Members is the membership of the group: who votes and who only replicates.
type Members struct {
	Voters   []Member
	Learners []Member
}

// Clone returns a copy that shares no memory with members.
func (members Members) Clone() Members {
	return Members{Voters: slices.Clone(members.Voters), Learners: slices.Clone(members.Learners)}
}

// Voter tells whether the member votes.
func (members Members) Voter(id MemberID) bool {
	return slices.ContainsFunc(members.Voters, func(member Member) bool { return member.ID == id })
}

// Learner tells whether the member replicates without a vote.
func (members Members) Learner(id MemberID) bool {
	return slices.ContainsFunc(members.Learners, func(member Member) bool { return member.ID == id })
}

// All returns the voters followed by the learners.
func (members Members) All() []Member {
	return slices.Concat(members.Voters, members.Learners)
}

// Quorum is the number of voters that make a majority.
func (members Members) Quorum() int {
	return len(members.Voters)/2 + 1
}

// EntryKind tells what an entry's data is.
type EntryKind uint8

const (
	// EntryCommand holds a command for the replicated state machine.
	EntryCommand EntryKind = iota
	// EntryMembers holds a new membership of the group.
	EntryMembers
	// EntryNoop is the entry with which a leader starts its term.
	EntryNoop
)

// Entry is one position of the replicated log.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Data    []byte
	Members *Members
}

// HardState is what a member must not forget: its term and its vote.
type HardState struct {
	Term uint64
	Vote MemberID
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Members
	Data    []byte
}

// Role is the part that a member plays in its term.
type Role uint8

const (
	// RoleFollower accepts entries from a leader.
	RoleFollower Role = iota
	// RoleCandidate asks for votes, or for the promise of votes.
	RoleCandidate
	// RoleLeader appends entries.
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

// Message is what members send each other.
type Message interface{ message() }

// Envelope carries a message from one member to another.
type Envelope struct {
	From    MemberID
	To      MemberID
	Message Message
}

// VoteRequest asks for a vote, or with PreVote for the promise of one.
// Transfer marks an election that the leader asked for: voters then ignore
// that they heard from that leader a moment ago.
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

// AppendRequest replicates entries and serves as the leader's heartbeat.
type AppendRequest struct {
	Term      uint64
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []Entry
	Commit    uint64
	Round     uint64
}

// AppendResponse answers an AppendRequest. On success Match is the last index
// that is known to agree; otherwise Hint is the last index that may agree.
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

// TimeoutNow tells a voter to start an election at once.
type TimeoutNow struct {
	Term uint64
}

func (VoteRequest) message()     {}
func (VoteResponse) message()    {}
func (AppendRequest) message()   {}
func (AppendResponse) message()  {}
func (SnapshotRequest) message() {}
func (TimeoutNow) message()      {}

// Event is what Step takes.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// Receive hands over a message of another member.
type Receive struct{ Envelope Envelope }

// Propose asks the leader to append commands, in order.
type Propose struct{ Commands [][]byte }

// ProposeMembers asks the leader to append a membership that differs from the
// present one by a single member.
type ProposeMembers struct{ Members Members }

// RequestRead asks the leader for an index that is safe to read at.
type RequestRead struct{ ID uint64 }

// Persisted reports that all entries up to Index are synced to disk.
type Persisted struct{ Index uint64 }

// Compact drops entries up to the snapshot's index from memory.
type Compact struct{ Snapshot Snapshot }

// Transfer asks the leader to hand leadership to another voter.
type Transfer struct{ To MemberID }

func (Tick) event()           {}
func (Receive) event()        {}
func (Propose) event()        {}
func (ProposeMembers) event() {}
func (RequestRead) event()    {}
func (Persisted) event()      {}
func (Compact) event()        {}
func (Transfer) event()       {}

// ReadReady tells that the read with this ID may be served once the state
// machine has applied Index. A read that lost its leader has OK false.
type ReadReady struct {
	ID    uint64
	Index uint64
	OK    bool
}

// Output is what the caller of Step must do, in this order: send each
// AppendRequest, make HardState, Snapshot and Entries durable, send the other
// messages, apply Committed, answer Reads.
type Output struct {
	// HardState is set when term or vote changed.
	HardState *HardState
	// Snapshot is set when the log was replaced by a snapshot of the leader.
	Snapshot *Snapshot
	// Entries are to be written at their indexes; what stood there is void.
	Entries []Entry
	// Messages go to other members.
	Messages []Envelope
	// Committed entries are to be applied in order.
	Committed []Entry
	// Reads are answers to RequestRead.
	Reads []ReadReady
	// FirstIndex is the index of the first command of a Propose.
	FirstIndex uint64
	// Err is why a Propose, ProposeMembers or Transfer was refused.
	Err error
}

// Config sets up a Core.
type Config struct {
	ID MemberID
	// ElectionTimeout is the least time without a leader before an election;
	// the actual one is drawn from once to twice this.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's messages to a member.
	HeartbeatInterval time.Duration
	// MaxBatch bounds the entries in one AppendRequest; 0 means 256.
	MaxBatch int
	// Random draws a number in [0, n).
	Random func(n int64) int64
}
