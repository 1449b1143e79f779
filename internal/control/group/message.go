package group

import (
	"encoding/gob"
	"net/netip"
	"time"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

func init() {
	// The names go over the wire with each message, so they are short.
	gob.RegisterName("voteRequest", raft.VoteRequest{})
	gob.RegisterName("voteResponse", raft.VoteResponse{})
	gob.RegisterName("append", raft.AppendRequest{})
	gob.RegisterName("appended", raft.AppendResponse{})
	gob.RegisterName("snapshot", raft.SnapshotRequest{})
	gob.RegisterName("timeoutNow", raft.TimeoutNow{})
}

// packFrom is the size in bytes from which a command is compressed for hosts that
// follow the catalog, whose links may be narrow.
const packFrom = 1024

// Delta is one catalog command and its index in the log.
type Delta struct {
	Index uint64
	// Command is the encoded command, compressed where Packed is set.
	Command []byte
	Packed  bool
}

// NewDelta returns the change that a command made, compressed where that helps.
func NewDelta(index uint64, command []byte) (Delta, error) {
	if len(command) < packFrom {
		return Delta{Index: index, Command: command}, nil
	}
	packed, err := codec.Compress(command)
	if err != nil {
		return Delta{}, Error.New("pack change %d: %w", index, err)
	}
	if len(packed) >= len(command) {
		return Delta{Index: index, Command: command}, nil
	}
	return Delta{Index: index, Command: packed, Packed: true}, nil
}

// Decode returns the command.
func (delta Delta) Decode() (state.Command, error) {
	data := delta.Command
	if delta.Packed {
		unpacked, err := codec.Decompress(data)
		if err != nil {
			return nil, Error.New("unpack change %d: %w", delta.Index, err)
		}
		data = unpacked
	}
	command, err := state.DecodeCommand(data)
	if err != nil {
		return nil, Error.New("decode change %d: %w", delta.Index, err)
	}
	return command, nil
}

// FetchArgs asks for what came after an index, and to wait if nothing did.
type FetchArgs struct {
	After uint64
	Wait  time.Duration
}

// FetchReply brings a host's catalog up to Upto: by the whole catalog, compressed,
// where it is set, else by the deltas.
type FetchReply struct {
	Upto    uint64
	Deltas  []Delta
	Catalog []byte
}

// ProposeArgs asks the leader to commit a command.
type ProposeArgs struct{ Command []byte }

// ProposeReply holds the result of a committed command. NotLeader is set where
// the member does not lead; Leader is then the one it knows of.
type ProposeReply struct {
	Result    state.Result
	NotLeader bool
	Leader    string
}

// StatusArgs asks for a member's status.
type StatusArgs struct{}

// MemberStatus is what the leader knows of one member.
type MemberStatus struct {
	ID      raft.MemberID
	Address string
	Voter   bool
	Match   uint64
	// Contact is when the leader last sent something that the member answered.
	Contact time.Time
}

// Status is a member's view of the group.
type Status struct {
	ID          raft.MemberID
	Role        string
	Term        uint64
	Leader      raft.MemberID
	Commit      uint64
	Last        uint64
	Snapshot    uint64
	Formed      bool
	LedgerSize  int
	Members     []MemberStatus
	LeaseEnd    time.Time
	LeaderSince time.Time
}

// LaggingArgs asks which live hosts have not applied an index.
type LaggingArgs struct{ Index uint64 }

// LaggingReply names the hosts that have not applied it yet.
type LaggingReply struct {
	NotLeader bool
	Hosts     []HostProgress
}

// HostProgress is how far a host's catalog is.
type HostProgress struct {
	Host    string
	Applied uint64
	// Silent is how long the leader has not heard from the host.
	Silent time.Duration
}

// ChangeKind is a kind of membership change.
type ChangeKind string

// The kinds of membership changes.
const (
	ChangeAdd     ChangeKind = "add"
	ChangePromote ChangeKind = "promote"
	ChangeRemove  ChangeKind = "remove"
)

// ChangeArgs asks the leader for one membership change.
type ChangeArgs struct {
	Kind   ChangeKind
	Member raft.Member
}

// ChangeReply tells the index of the change.
type ChangeReply struct {
	NotLeader bool
	Index     uint64
}

// TransferArgs asks the leader to hand over leadership to any other voter.
type TransferArgs struct{}

// TransferReply tells whether a transfer was started.
type TransferReply struct{ Started bool }

// DeliverArgs carries consensus messages.
type DeliverArgs struct {
	Envelopes []raft.Envelope
	// From is where the sender takes answers: a new member knows no addresses.
	From netip.AddrPort
}

// DeliverReply is empty.
type DeliverReply struct{}

// JoinArgs asks the leader to take a control host in.
type JoinArgs struct{ Member raft.Member }

// JoinReply tells whether the host belongs to the group, and where the control
// hosts are.
type JoinReply struct {
	Member  bool
	Leader  netip.AddrPort
	Members []netip.AddrPort
}

// HelloArgs asks a control host whether it belongs to a group.
type HelloArgs struct{}

// HelloReply says which disk the host has, and which group it was formed into.
type HelloReply struct {
	ID     raft.MemberID
	Formed bool
	// First is the membership that the group was formed with.
	First raft.Members
}

// request is what other tasks send to the node's loop.
type request interface{ request() }

type proposeRequest struct {
	command []byte
	reply   chan proposeAnswer
}

type proposeAnswer struct {
	result    state.Result
	notLeader bool
	err       error
}

type deliverRequest struct {
	envelopes []raft.Envelope
	from      netip.AddrPort
}

type fetchRequest struct {
	after uint64
	until time.Time
	reply chan FetchReply
}

type readRequest struct{ reply chan uint64 }

type changeRequest struct {
	args  ChangeArgs
	reply chan changeAnswer
}

type changeAnswer struct {
	reply ChangeReply
	err   error
}

type transferRequest struct{ reply chan bool }

type snapshotRequest struct {
	snapshot raft.Snapshot
	err      error
}

type formRequest struct {
	members raft.Members
	reply   chan error
}

type joinRequest struct {
	member raft.Member
	reply  chan JoinReply
}

func (joinRequest) request()     {}
func (proposeRequest) request()  {}
func (deliverRequest) request()  {}
func (fetchRequest) request()    {}
func (readRequest) request()     {}
func (changeRequest) request()   {}
func (transferRequest) request() {}
func (snapshotRequest) request() {}
func (formRequest) request()     {}
