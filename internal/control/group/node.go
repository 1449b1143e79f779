// Package group runs one member of the control group: it drives the Raft core,
// persists the log, applies committed entries, and serves other hosts over
// net/rpc.
package group

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/files"
	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/control/store"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// Error is the class of all errors of this package.
var Error = errs.Class("group")

const (
	// ElectionTimeout is the default minimum time without a leader before an
	// election; see Options.Timing.
	ElectionTimeout = 150 * time.Millisecond
	// HeartbeatInterval is the default time between a leader's heartbeats; see
	// Options.Timing.
	HeartbeatInterval = 40 * time.Millisecond
	tickInterval      = 10 * time.Millisecond
	// diskFullRetryDelay is the time between two attempts to write to a full
	// disk.
	diskFullRetryDelay = 100 * time.Millisecond
	// compactRetryDelay is the time between two attempts to compact the log on a full disk.
	compactRetryDelay = time.Second
	// applyPollInterval is how often a read checks whether its index has been
	// applied.
	applyPollInterval = 5 * time.Millisecond
	inboxSize         = 4096
	// maxBatchSize bounds the further requests that share a disk sync with the
	// first one.
	maxBatchSize = 512
	// deltaLimit is how many catalog commands remain in memory for lagging hosts
	// when the list is trimmed, which happens beyond twice this number.
	deltaLimit = 4096
	// maxDeltaBytes is how many bytes of catalog commands remain in memory for lagging
	// hosts, at most; like deltaLimit it may be exceeded twofold. Hosts that need more get
	// the whole catalog.
	maxDeltaBytes = 2 << 20
	// DefaultSnapshotEvery is the default number of entries between two
	// snapshots.
	DefaultSnapshotEvery = 20000
	// DefaultSnapshotBytes is the default number of bytes of commands between two
	// snapshots.
	DefaultSnapshotBytes = 4 << 20
	// logPrefix is the prefix of all log lines of this package.
	logPrefix = "control: "
)

// Options configures a Node.
type Options struct {
	Name       string
	Address    netip.AddrPort
	DataFolder string
	// Files are those of the data folder; nil means the operating system's.
	Files  files.Files
	Secret trust.Secret
	// InitialMembers lists the addresses of the control hosts that form the group,
	// including this one.
	InitialMembers []netip.AddrPort
	Clock          clockwork.Clock
	Log            log.Interface
	// SnapshotEvery is the number of entries between two snapshots; 0 means
	// DefaultSnapshotEvery.
	SnapshotEvery uint64
	// SnapshotBytes is the number of bytes of commands between two snapshots, or the
	// size of the last snapshot if that is more; 0 means DefaultSnapshotBytes.
	SnapshotBytes int
	// DisableGroupCommit disables group commit: each proposal is synced to disk
	// separately. It serves as the baseline in benchmarks.
	DisableGroupCommit bool
	// MessageBytes bounds a message from another host, and what several take together that are
	// being received; 0 means 64 MiB. The state and the largest change must fit.
	MessageBytes int64
	// Timing overrides the default intervals. Zero fields keep their defaults.
	Timing Timing
	// TargetVoters is the number of voters that the leader maintains automatically:
	// it adds hosts that ask to join, and replaces or removes unresponsive members.
	// 0 leaves the membership to operators.
	TargetVoters int
	// JoinOnly prevents the node from forming a group: it waits until it is
	// added to one.
	JoinOnly bool
}

// Timing holds the intervals of the consensus protocol.
type Timing struct {
	// Election is the minimum time without a leader before an election.
	Election time.Duration
	// Heartbeat is the time between a leader's messages to a member.
	Heartbeat time.Duration
	// Tick is how often the node checks its timers.
	Tick time.Duration
}

// withDefaults replaces zero fields with their defaults.
func (timing Timing) withDefaults() Timing {
	if timing.Election == 0 {
		timing.Election = ElectionTimeout
	}
	if timing.Heartbeat == 0 {
		timing.Heartbeat = HeartbeatInterval
	}
	if timing.Tick == 0 {
		timing.Tick = tickInterval
	}
	return timing
}

// Node is one member of the control group. Its event loop owns the Raft core,
// the disk and the state machine; other goroutines send it requests.
type Node struct {
	options  Options
	id       raft.MemberID
	inbox    chan request
	stop     chan struct{}
	done     chan struct{}
	catalog  atomic.Pointer[state.Catalog]
	status   atomic.Pointer[Status]
	progress atomic.Pointer[ProgressSource]

	core    *raft.Core
	disk    *store.Disk
	machine *state.Machine
	// formedWith is what the group was formed with, or nil if it is not known.
	formedWith atomic.Pointer[formation]
	hardState  raft.HardState
	// proposals maps log indexes to the proposals pending there.
	proposals map[uint64]pendingProposal
	// pendingBytes is the size of the commands of all proposals.
	pendingBytes int
	// reads maps read IDs to the channels that receive the index of the read, or 0
	// if the member is not the leader.
	reads    map[uint64]chan uint64
	nextRead uint64
	// deltas holds all catalog commands after the index deltaBase.
	deltas         []Delta
	deltaBase      uint64
	deltaBytes     int
	pendingFetches []fetchRequest
	senders        map[raft.MemberID]*sender
	// peerAddresses maps members to the address that their latest message named
	// for responses.
	peerAddresses map[raft.MemberID]netip.AddrPort
	membership    membership
	// leaving is set once the member is about to stop.
	leaving atomic.Bool
	formats formats
	// loggedLosses is the number of losses that was logged last, -1 if none was since the
	// member became leader.
	loggedLosses int
	compressed   compressedCatalog
	batches      batchCache
	// answerAt is when the pending fetches for which there are changes are answered, zero
	// if there are none.
	answerAt        time.Time
	snapshotRunning bool
	// compactAt is when to compact the log again after the disk was full, zero if it need not
	// be.
	compactAt time.Time
	orders    orderCounts
	items     itemsInLog
	// logBytes is the size of the commands applied since the last snapshot.
	logBytes int
	changed  chan struct{}
	server   *server
	// inbound bounds the messages from other hosts that are being received.
	inbound inboundMessages
	failed  error
}

// ProgressSource reports how far the catalogs of live hosts have advanced.
type ProgressSource interface {
	// HostProgress returns what each live host reported in its latest heartbeat.
	HostProgress() []HostProgress
}

// Open reads the disk, and starts the listener and the node's event loop. A new
// node belongs to no group until it is formed or added to one.
func Open(options Options) (*Node, error) {
	node, err := load(options)
	if err != nil {
		return nil, err
	}
	node.server, err = listen(node)
	if err != nil {
		return nil, err
	}
	go node.run()
	return node, nil
}

// load returns a node with the state of its disk. Its event loop is not running
// yet.
func load(options Options) (*Node, error) {
	if options.Files == nil {
		options.Files = files.OS{}
	}
	disk, restored, err := store.OpenWith(options.Files, options.DataFolder)
	if err != nil {
		return nil, Error.New("open data folder: %w", err)
	}
	if options.SnapshotEvery == 0 {
		options.SnapshotEvery = DefaultSnapshotEvery
	}
	if options.SnapshotBytes == 0 {
		options.SnapshotBytes = DefaultSnapshotBytes
	}
	options.Timing = options.Timing.withDefaults()
	node := &Node{
		options:       options,
		id:            raft.MemberID(options.Name + "#" + restored.Identity),
		inbox:         make(chan request, inboxSize),
		stop:          make(chan struct{}),
		done:          make(chan struct{}),
		changed:       make(chan struct{}, 1),
		disk:          disk,
		proposals:     map[uint64]pendingProposal{},
		reads:         map[uint64]chan uint64{},
		senders:       map[raft.MemberID]*sender{},
		peerAddresses: map[raft.MemberID]netip.AddrPort{},
	}
	node.inbound.setLimit(options.MessageBytes)
	if restored.TornBytes > 0 {
		options.Log.Warnf(logPrefix+"removed %d bytes of an incomplete write from the log", restored.TornBytes)
	}
	if err := node.restore(restored); err != nil {
		return nil, err
	}
	node.publishStatus()
	return node, nil
}

func (node *Node) restore(restored store.Restored) error {
	machine, err := state.RestoreMachine(restored.Snapshot.Data)
	if err != nil {
		return Error.New("restore: %w", err)
	}
	node.machine = machine
	node.machine.Catalog = machine.Catalog.AdvanceTo(restored.Snapshot.Index)
	node.deltaBase = restored.Snapshot.Index
	node.catalog.Store(node.machine.Catalog)
	node.hardState = restored.HardState
	if restored.Snapshot.Index == 1 {
		node.formedWith.Store(&formation{members: restored.Snapshot.Members, format: machine.Format})
	}
	now := node.options.Clock.Now()
	node.core = raft.NewCore(node.coreConfig(), restored.HardState, restored.Snapshot, restored.Entries, now)
	return nil
}

func (node *Node) coreConfig() raft.Config {
	return raft.Config{
		ID:                node.id,
		ElectionTimeout:   node.options.Timing.Election,
		HeartbeatInterval: node.options.Timing.Heartbeat,
		Random:            rand.Int64N,
	}
}

// ID returns the node's member ID.
func (node *Node) ID() raft.MemberID { return node.id }

// Catalog returns the latest catalog that this member has applied.
func (node *Node) Catalog() *state.Catalog { return node.catalog.Load() }

// Status returns the state of the group as this member sees it.
func (node *Node) Status() Status { return *node.status.Load() }

// Changed returns a channel that signals when the commit index or the member's
// role has changed. Signals may be merged.
func (node *Node) Changed() <-chan struct{} { return node.changed }

// SetProgress sets the source from which the leader learns the progress of
// hosts.
func (node *Node) SetProgress(source ProgressSource) { node.progress.Store(&source) }

// HoldsLease reports whether the member is the leader and holds the lease, so that
// no other member can be leader now. Catalog then includes all that earlier leaders
// have committed.
func (node *Node) HoldsLease() bool {
	return node.options.Clock.Now().Before(node.status.Load().LeaseEnd)
}

// Close stops the node without a leadership transfer.
func (node *Node) Close() error {
	close(node.stop)
	<-node.done
	if node.failed != nil {
		return node.failed
	}
	return nil
}

// Done returns a channel that is closed when the node has stopped, including
// after a disk failure.
func (node *Node) Done() <-chan struct{} { return node.done }

func (node *Node) run() {
	defer close(node.done)
	defer node.shutdown()
	ticker := node.options.Clock.NewTicker(node.options.Timing.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-node.stop:
			return
		case <-ticker.Chan():
			node.processBatch(nil)
		case request := <-node.inbox:
			node.processBatch(request)
		}
		if node.failed != nil {
			node.options.Log.WithError(node.failed).Error(logPrefix + "the disk failed, stopping the control host")
			return
		}
	}
}

func (node *Node) shutdown() {
	node.server.close()
	for _, sender := range node.senders {
		sender.close()
	}
	for index, proposal := range node.proposals {
		proposal.reply <- proposeAnswer{err: Error.New("the control host stopped before entry %d was committed", index)}
	}
	for _, fetch := range node.pendingFetches {
		fetch.reply <- FetchReply{}
	}
	if err := node.disk.Close(); err != nil && node.failed == nil {
		node.failed = err
	}
}

// processBatch handles the given request together with those already queued, so
// that they share one disk sync, and advances timers. On a timer tick first is
// nil.
func (node *Node) processBatch(first request) {
	work := batchWork{}
	if first != nil {
		node.handle(first, &work)
	}
	limit := maxBatchSize
	if node.options.DisableGroupCommit {
		limit = 0
	}
	for range limit {
		select {
		case request := <-node.inbox:
			node.handle(request, &work)
			continue
		default:
		}
		break
	}
	node.propose(&work)
	node.step(raft.Tick{}, &work)
	node.reconcileMembership(&work)
	node.reconcileFormat(&work)
	node.processOutputs(&work)
	if node.failed == nil {
		node.retryCompaction()
	}
	node.answerFetches()
	node.publishStatus()
}

// batchWork collects the proposals and core outputs of one batch.
type batchWork struct {
	proposals []proposeRequest
	outputs   []raft.Output
}

func (node *Node) step(event raft.Event, work *batchWork) raft.Output {
	output := node.core.Step(event, node.options.Clock.Now())
	work.outputs = append(work.outputs, output)
	return output
}

func (node *Node) handle(message request, work *batchWork) {
	switch message := message.(type) {
	case proposeRequest:
		work.proposals = append(work.proposals, message)
	case deliverRequest:
		if !node.formats.admits(message, node.machine.Format) {
			node.logOutdated(message)
			return
		}
		for _, envelope := range message.envelopes {
			if envelope.To == node.id {
				node.formats.record(envelope.From, message.format)
				node.peerAddresses[envelope.From] = message.from
				node.step(raft.Receive{Envelope: envelope}, work)
			}
		}
	case fetchRequest:
		node.pendingFetches = append(node.pendingFetches, message)
	case readRequest:
		node.nextRead++
		node.reads[node.nextRead] = message.reply
		node.step(raft.RequestRead{ID: node.nextRead}, work)
	case changeRequest:
		node.change(message, work)
	case joinRequest:
		message.reply <- node.recordJoiner(message.member, message.format)
	case leaveRequest:
		message.reply <- node.leave(message.member, work)
	case transferRequest:
		started := node.transfer(work)
		// Publish the end of the lease before the other member is told to take
		// over.
		node.publishStatus()
		message.reply <- started
	case snapshotResult:
		node.finishSnapshot(message, work)
	case ticketRequest:
		ticket, ok := node.issueTicket()
		message.reply <- TicketReply{Ticket: ticket, NotLeader: !ok}
	case formRequest:
		message.reply <- node.form(message.first, work)
	}
}

// processOutputs persists the outputs of the batch, sends their messages and
// applies committed entries. Append requests are sent before the local disk
// syncs; all other messages wait for the sync.
func (node *Node) processOutputs(work *batchWork) {
	for len(work.outputs) > 0 {
		outputs := work.outputs
		work.outputs = nil
		node.sendBeforeSync(outputs)
		last, err := node.persistWithRetry(outputs)
		if err != nil {
			node.failed = err
			return
		}
		node.sendAfterSync(outputs)
		for _, output := range outputs {
			node.applyOutput(output)
		}
		if last > 0 {
			node.step(raft.Persisted{Index: last}, work)
		}
	}
}

// persistWithRetry persists the outputs, and retries while the disk is full.
// Meanwhile the member takes no part in consensus, as if it were paused.
func (node *Node) persistWithRetry(outputs []raft.Output) (uint64, error) {
	warned := false
	for {
		last, err := node.persist(outputs)
		if !errors.Is(err, store.ErrDiskFull) {
			if warned {
				node.options.Log.Info(logPrefix + "the disk has free space again")
			}
			return last, err
		}
		if !warned {
			warned = true
			node.options.Log.Warn(logPrefix + "the disk is full, waiting for free space")
		}
		select {
		case <-node.stop:
			return 0, err
		case <-node.options.Clock.After(diskFullRetryDelay):
		}
	}
}

// persist writes and syncs the outputs together, and returns the last index
// synced.
func (node *Node) persist(outputs []raft.Output) (uint64, error) {
	batch := store.Batch{}
	for _, output := range outputs {
		if output.HardState != nil {
			node.hardState = *output.HardState
			batch.HardState = output.HardState
		}
		if output.Snapshot != nil {
			if err := node.installSnapshot(*output.Snapshot); err != nil {
				return 0, err
			}
			batch.Entries = nil
		}
		batch.Entries = append(batch.Entries, output.Entries...)
	}
	if batch.HardState == nil && len(batch.Entries) == 0 {
		return 0, nil
	}
	if err := node.disk.Save(batch); err != nil {
		return 0, Error.New("persist: %w", err)
	}
	if len(batch.Entries) == 0 {
		return 0, nil
	}
	return batch.Entries[len(batch.Entries)-1].Index, nil
}

func (node *Node) publishStatus() {
	members := node.core.CommittedMembers()
	status := &Status{
		ID:          node.id,
		Role:        node.core.Role().String(),
		Term:        node.core.Term(),
		Leader:      node.core.Leader(),
		Commit:      node.core.CommitIndex(),
		Last:        node.core.LastIndex(),
		Snapshot:    node.core.SnapshotIndex(),
		Formed:      len(node.core.Members().Voters) > 0,
		LedgerSize:  node.machine.Ledger.Len(),
		Format:      node.machine.Format,
		LeaseEnd:    node.core.LeaseEnd(),
		LeaderSince: node.core.LeaderSince(),
		Losses:      node.losses(),
	}
	for _, member := range members.All() {
		status.Members = append(status.Members, MemberStatus{
			ID:      member.ID,
			Address: member.Address.String(),
			Voter:   members.IsVoter(member.ID),
			Match:   node.core.MatchIndex(member.ID),
			Contact: node.core.LastContact(member.ID),
		})
	}
	previous := node.status.Swap(status)
	if previous == nil || previous.Role != status.Role || previous.Commit != status.Commit {
		select {
		case node.changed <- struct{}{}:
		default:
		}
	}
}

// losses returns how many further voters the group may lose, if the node is the leader, and
// logs changes of that number.
func (node *Node) losses() int {
	if node.core.Role() != raft.RoleLeader {
		node.loggedLosses = -1
		return 0
	}
	view := node.membershipView(node.options.Clock.Now())
	losses := view.losses(node.respondTime())
	if losses != node.loggedLosses {
		node.options.Log.WithField("losses", losses).WithField("voters", len(view.members.Voters)).
			WithField("targetVoters", node.options.TargetVoters).WithField("learners", len(view.members.Learners)).
			WithField("leaving", len(view.leavers)).Info(logPrefix + "the number of losses that the group bears changed")
		node.loggedLosses = losses
	}
	return losses
}

// enqueue sends a request to the event loop unless the node has stopped.
func (node *Node) enqueue(ctx context.Context, message request) error {
	select {
	case node.inbox <- message:
		return nil
	case <-node.done:
		return Error.New("the control host has stopped")
	case <-ctx.Done():
		return Error.New("queue request: %w", ctx.Err())
	}
}
