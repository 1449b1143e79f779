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
	// The names are sent with each message, so they are short.
	gob.RegisterName("voteRequest", raft.VoteRequest{})
	gob.RegisterName("voteResponse", raft.VoteResponse{})
	gob.RegisterName("append", raft.AppendRequest{})
	gob.RegisterName("appended", raft.AppendResponse{})
	gob.RegisterName("snapshot", raft.SnapshotRequest{})
	gob.RegisterName("timeoutNow", raft.TimeoutNow{})
}

// compressMinSize is the size in bytes from which a command is compressed for
// hosts that follow the catalog, since their links may be slow.
const compressMinSize = 1024

// Delta is one catalog command and its index in the log.
type Delta struct {
	Index uint64
	// Command is the encoded command, compressed if Packed is set.
	Command []byte
	Packed  bool
}

// NewDelta returns the delta of a command, compressed if that makes it smaller.
func NewDelta(index uint64, command []byte) (Delta, error) {
	if len(command) < compressMinSize {
		return Delta{Index: index, Command: command}, nil
	}
	compressed, err := codec.Compress(command)
	if err != nil {
		return Delta{}, Error.New("compress change %d: %w", index, err)
	}
	if len(compressed) >= len(command) {
		return Delta{Index: index, Command: command}, nil
	}
	return Delta{Index: index, Command: compressed, Packed: true}, nil
}

// Decode decompresses and decodes the command.
func (delta Delta) Decode() (state.Command, error) {
	data := delta.Command
	if delta.Packed {
		decompressed, err := codec.Decompress(data)
		if err != nil {
			return nil, Error.New("decompress change %d: %w", delta.Index, err)
		}
		data = decompressed
	}
	command, err := state.DecodeCommand(data)
	if err != nil {
		return nil, Error.New("decode change %d: %w", delta.Index, err)
	}
	return command, nil
}

// FetchArgs requests the changes after an index. If there are none, the call
// waits for up to Wait.
type FetchArgs struct {
	After uint64
	Wait  time.Duration
	// Batches is set if the host accepts compressed batches. Earlier versions do not.
	Batches bool
}

// FetchReply brings a host's catalog up to index Upto: with the full compressed
// catalog if Catalog is set, otherwise with the deltas of Batch, if set, or Deltas.
type FetchReply struct {
	Upto    uint64
	Deltas  []Delta
	Batch   []byte
	Catalog []byte
}

// Changes returns the deltas of the reply.
func (fetchreply FetchReply) Changes() ([]Delta, error) {
	if fetchreply.Batch == nil {
		return fetchreply.Deltas, nil
	}
	return decodeBatch(fetchreply.Batch)
}

// ProposeArgs requests that the leader commit a command. Earlier versions give no ID.
type ProposeArgs struct {
	Command []byte
	ID      state.ProposalID
	// Ticket is zero for a command that is bound to nothing.
	Ticket Ticket
}

// ProposeReply holds the result of a committed command. NotLeader is set if the
// member is not the leader; Leader is the address of the leader it knows of. Stale is set if
// the ticket was not valid.
type ProposeReply struct {
	Result    state.Result
	Stale     bool
	NotLeader bool
	Leader    string
}

// StatusArgs requests the status of a member.
type StatusArgs struct{}

// MemberStatus is the state of one member as the leader knows it.
type MemberStatus struct {
	ID      raft.MemberID
	Address string
	Voter   bool
	// Match is the last log index that the member is known to hold.
	Match uint64
	// Contact is the sending time of the latest message that the member has
	// answered.
	Contact time.Time
}

// Status is the state of the group as one member sees it. Commit, Last and Snapshot
// are the log indexes of the last committed entry, the last entry and the latest
// snapshot. Members is the membership as of Commit.
type Status struct {
	ID         raft.MemberID
	Role       string
	Term       uint64
	Leader     raft.MemberID
	Commit     uint64
	Last       uint64
	Snapshot   uint64
	Formed     bool
	LedgerSize int
	// Format is the format of the log that the group uses.
	Format  uint64
	Members []MemberStatus
	// Losses is how many further voters the group may lose and still commit changes, as the
	// leader knows it. It is 0 on other members.
	Losses      int
	LeaseEnd    time.Time
	LeaderSince time.Time
}

// addresses returns the addresses of the members.
func (status Status) addresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, member := range status.Members {
		if address, err := netip.ParseAddrPort(member.Address); err == nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Voters returns the number of voters.
func (status Status) Voters() int {
	voters := 0
	for _, member := range status.Members {
		if member.Voter {
			voters++
		}
	}
	return voters
}

// LaggingArgs requests the live hosts that have not applied an index.
type LaggingArgs struct{ Index uint64 }

// LaggingReply lists the live hosts that have not applied the index.
type LaggingReply struct {
	NotLeader bool
	Hosts     []HostProgress
}

// HostProgress is how far a host's catalog has advanced.
type HostProgress struct {
	Host    string
	Applied uint64
	// Silent is the time since the host's last heartbeat.
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

// ChangeArgs requests one membership change from the leader.
type ChangeArgs struct {
	Kind   ChangeKind
	Member raft.Member
}

// ChangeReply holds the log index of the change.
type ChangeReply struct {
	NotLeader bool
	Index     uint64
}

// TransferArgs requests a leadership transfer to any other voter.
type TransferArgs struct{}

// TransferReply reports whether a transfer was started.
type TransferReply struct{ Started bool }

// DeliverArgs carries consensus messages.
type DeliverArgs struct {
	Envelopes []raft.Envelope
	// From is the address on which the sender accepts responses, since a new
	// member does not know the group's addresses yet.
	From netip.AddrPort
	// Format is the latest format of the log that the sender knows, 0 from versions that
	// know only the first.
	Format uint64
}

// DeliverReply is empty.
type DeliverReply struct{}

// JoinArgs requests that the leader add a control host to the group.
type JoinArgs struct {
	Member raft.Member
	// Format is the latest format of the log that the host knows.
	Format uint64
}

// JoinReply reports whether the host belongs to the group, and lists the
// addresses of the control hosts.
type JoinReply struct {
	Member  bool
	Leader  netip.AddrPort
	Members []netip.AddrPort
}

// HelloArgs requests the identity of a control host and its group.
type HelloArgs struct{}

// HelloReply holds the member ID of the host, and whether and with which
// membership its group was formed.
type HelloReply struct {
	ID     raft.MemberID
	Formed bool
	// First is the membership that the group was formed with, and FirstFormat is the format
	// of its log then.
	First       raft.Members
	FirstFormat uint64
	// Format is the latest format of the log that the host knows.
	Format uint64
}

// request is a message to the node's event loop.
type request interface{ request() }

type proposeRequest struct {
	command []byte
	id      state.ProposalID
	// inTerm binds the proposal to term.
	inTerm bool
	term   uint64
	ticket Ticket
	reply  chan proposeAnswer
}

type proposeAnswer struct {
	result    state.Result
	notLeader bool
	// stale is set if the ticket is not valid.
	stale bool
	err   error
}

type deliverRequest struct {
	envelopes []raft.Envelope
	from      netip.AddrPort
	format    uint64
}

type fetchRequest struct {
	after    uint64
	batches  bool
	deadline time.Time
	reply    chan FetchReply
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

// snapshotResult reports that a snapshot has been written, or failed, in the
// background.
type snapshotResult struct {
	snapshot raft.Snapshot
	err      error
}

type formRequest struct {
	first formation
	reply chan error
}

// formation is what a group is formed with.
type formation struct {
	members raft.Members
	// format is the format of the group's log.
	format uint64
}

type joinRequest struct {
	member raft.Member
	format uint64
	reply  chan JoinReply
}

func (joinRequest) request()     {}
func (proposeRequest) request()  {}
func (deliverRequest) request()  {}
func (fetchRequest) request()    {}
func (readRequest) request()     {}
func (changeRequest) request()   {}
func (transferRequest) request() {}
func (snapshotResult) request()  {}
func (formRequest) request()     {}
