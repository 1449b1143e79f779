// Package group runs one member of the control group: it drives the consensus
// core, keeps the log on disk, applies what is committed, and serves other
// hosts over net/rpc.
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

	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/control/store"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// Error is the class of all errors of this package.
var Error = errs.Class("group")

const (
	// ElectionTimeout is the least time without a leader before an election,
	// unless Options.Timing says otherwise.
	ElectionTimeout = 150 * time.Millisecond
	// HeartbeatInterval is the time between a leader's heartbeats, unless
	// Options.Timing says otherwise.
	HeartbeatInterval = 40 * time.Millisecond
	tickInterval      = 10 * time.Millisecond
	// fullPause is how long a member waits before it writes to a full disk again.
	fullPause = 100 * time.Millisecond
	// applyPoll is how often a read looks whether its entry is applied.
	applyPoll = 5 * time.Millisecond
	inboxSize = 4096
	// turnLimit bounds the requests that share one sync.
	turnLimit = 512
	// deltaLimit bounds the catalog commands kept for hosts that lag.
	deltaLimit = 4096
	// DefaultSnapshotEvery is the number of entries between two snapshots.
	DefaultSnapshotEvery = 20000
	// logPrefix starts each line that this package logs.
	logPrefix = "control: "
)

// Options set up a Node.
type Options struct {
	Name    string
	Address netip.AddrPort
	Folder  string
	Secret  trust.Secret
	// Initial lists the addresses of the control hosts that form the group,
	// this one included.
	Initial []netip.AddrPort
	Clock   clockwork.Clock
	Log     log.Interface
	// SnapshotEvery is the number of entries between two snapshots; 0 means
	// DefaultSnapshotEvery.
	SnapshotEvery uint64
	// OneByOne syncs each proposal alone, as a baseline for group commit.
	OneByOne bool
	// Timing replaces the default intervals where it is set.
	Timing Timing
	// Voters is the number of voters that the leader keeps by itself: it takes
	// in hosts that ask to join and drops members that are gone. 0 leaves the
	// membership to operators.
	Voters int
	// JoinOnly keeps the node from forming a group: it waits to be taken in.
	JoinOnly bool
}

// Timing is the pace of consensus.
type Timing struct {
	// Election is the least time without a leader before an election.
	Election time.Duration
	// Heartbeat is the time between a leader's messages to a member.
	Heartbeat time.Duration
	// Tick is how often the node looks at its clock.
	Tick time.Duration
}

// orDefault fills in what is not set.
func (timing Timing) orDefault() Timing {
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

// pendingProposal waits for its entry to be applied.
type pendingProposal struct {
	term  uint64
	reply chan proposeAnswer
}

// Node is one member of the control group. Its loop owns the core, the disk
// and the state machine; other tasks send it requests.
type Node struct {
	options  Options
	id       raft.MemberID
	inbox    chan request
	stop     chan struct{}
	done     chan struct{}
	catalog  atomic.Pointer[state.Catalog]
	status   atomic.Pointer[Status]
	progress atomic.Pointer[ProgressSource]

	core       *raft.Core
	disk       *store.Disk
	machine    *state.Machine
	formedWith atomic.Pointer[raft.Members]
	hard       raft.HardState
	proposals  map[uint64]pendingProposal
	reads      map[uint64]chan uint64
	nextRead   uint64
	deltas     []Delta
	deltaBase  uint64
	waiters    []fetchRequest
	senders    map[raft.MemberID]*sender
	// contacts are the addresses that members' messages came from.
	contacts   map[raft.MemberID]netip.AddrPort
	roster     roster
	packed     packedCatalog
	snapshotOn bool
	changed    chan struct{}
	server     *server
	failed     error
}

// ProgressSource tells the leader how far the live hosts are.
type ProgressSource interface {
	// HostProgress returns what each host last reported in a heartbeat.
	HostProgress() []HostProgress
}

// Open reads the disk, starts the listener and the node's loop. The node
// belongs to no group until it is formed or added.
func Open(options Options) (*Node, error) {
	disk, restored, err := store.Open(options.Folder)
	if err != nil {
		return nil, Error.New("open data folder: %w", err)
	}
	if options.SnapshotEvery == 0 {
		options.SnapshotEvery = DefaultSnapshotEvery
	}
	options.Timing = options.Timing.orDefault()
	node := &Node{
		options:   options,
		id:        raft.MemberID(options.Name + "#" + restored.Identity),
		inbox:     make(chan request, inboxSize),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		changed:   make(chan struct{}, 1),
		disk:      disk,
		proposals: map[uint64]pendingProposal{},
		reads:     map[uint64]chan uint64{},
		senders:   map[raft.MemberID]*sender{},
		contacts:  map[raft.MemberID]netip.AddrPort{},
	}
	if restored.TornBytes > 0 {
		options.Log.Warnf(logPrefix+"cut %d bytes of an unfinished write", restored.TornBytes)
	}
	if err := node.restore(restored); err != nil {
		return nil, err
	}
	node.publish()
	node.server, err = listen(node)
	if err != nil {
		return nil, err
	}
	go node.run()
	return node, nil
}

func (node *Node) restore(restored store.Restored) error {
	machine, err := state.RestoreMachine(restored.Snapshot.Data)
	if err != nil {
		return Error.New("restore: %w", err)
	}
	node.machine = machine
	node.machine.Catalog = machine.Catalog.Skip(restored.Snapshot.Index)
	node.deltaBase = restored.Snapshot.Index
	node.catalog.Store(node.machine.Catalog)
	node.hard = restored.HardState
	if restored.Snapshot.Index == 1 {
		node.formedWith.Store(&restored.Snapshot.Members)
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

// ID returns the member's ID.
func (node *Node) ID() raft.MemberID { return node.id }

// Catalog returns the member's latest catalog.
func (node *Node) Catalog() *state.Catalog { return node.catalog.Load() }

// Status returns the member's view of the group.
func (node *Node) Status() Status { return *node.status.Load() }

// Changed signals that the catalog or the member's role may have changed.
func (node *Node) Changed() <-chan struct{} { return node.changed }

// SetProgress says where the leader learns how far hosts are.
func (node *Node) SetProgress(source ProgressSource) { node.progress.Store(&source) }

// Leads tells whether the member leads and no other member can lead now.
func (node *Node) Leads() bool {
	return node.options.Clock.Now().Before(node.status.Load().LeaseEnd)
}

// Close ends the node without handing anything over.
func (node *Node) Close() error {
	close(node.stop)
	<-node.done
	if node.failed != nil {
		return node.failed
	}
	return nil
}

// Done is closed when the node has ended, also after a failed disk.
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
			node.turn(nil)
		case request := <-node.inbox:
			node.turn(request)
		}
		if node.failed != nil {
			node.options.Log.WithError(node.failed).Error(logPrefix + "the disk failed, the host stops")
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
		proposal.reply <- proposeAnswer{err: Error.New("the host stopped before entry %d was committed", index)}
	}
	for _, waiter := range node.waiters {
		waiter.reply <- FetchReply{}
	}
	if err := node.disk.Close(); err != nil && node.failed == nil {
		node.failed = err
	}
}

// turn handles waiting requests together, so that they share one sync.
func (node *Node) turn(first request) {
	work := turnWork{}
	if first != nil {
		node.handle(first, &work)
	}
	limit := turnLimit
	if node.options.OneByOne {
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
	node.tendRoster(&work)
	node.settle(&work)
	node.answerWaiters()
	node.publish()
}

// turnWork collects what the events of one turn ask for.
type turnWork struct {
	proposals []proposeRequest
	outputs   []raft.Output
}

func (node *Node) step(event raft.Event, work *turnWork) raft.Output {
	output := node.core.Step(event, node.options.Clock.Now())
	work.outputs = append(work.outputs, output)
	return output
}

func (node *Node) handle(message request, work *turnWork) {
	switch message := message.(type) {
	case proposeRequest:
		work.proposals = append(work.proposals, message)
	case deliverRequest:
		for _, envelope := range message.envelopes {
			if envelope.To == node.id {
				node.contacts[envelope.From] = message.from
				node.step(raft.Receive{Envelope: envelope}, work)
			}
		}
	case fetchRequest:
		node.waiters = append(node.waiters, message)
	case readRequest:
		node.nextRead++
		node.reads[node.nextRead] = message.reply
		node.step(raft.RequestRead{ID: node.nextRead}, work)
	case changeRequest:
		node.change(message, work)
	case joinRequest:
		message.reply <- node.noteJoiner(message.member)
	case transferRequest:
		started := node.transfer(work)
		// The lease ends before the other member is asked to take over.
		node.publish()
		message.reply <- started
	case snapshotRequest:
		node.finishSnapshot(message, work)
	case formRequest:
		message.reply <- node.form(message.members)
	}
}

// propose appends the turn's commands together.
func (node *Node) propose(work *turnWork) {
	if len(work.proposals) == 0 {
		return
	}
	commands := make([][]byte, 0, len(work.proposals))
	for _, proposal := range work.proposals {
		commands = append(commands, proposal.command)
	}
	output := node.step(raft.Propose{Commands: commands}, work)
	for offset, proposal := range work.proposals {
		if output.Err != nil {
			proposal.reply <- proposeAnswer{notLeader: true}
			continue
		}
		index := output.FirstIndex + uint64(offset)
		node.proposals[index] = pendingProposal{term: node.core.Term(), reply: proposal.reply}
	}
}

// settle makes the turn's outputs durable, sends, and applies. Messages with
// entries go out while the own disk syncs; all others wait for it.
func (node *Node) settle(work *turnWork) {
	for len(work.outputs) > 0 {
		outputs := work.outputs
		work.outputs = nil
		node.sendEarly(outputs)
		last, err := node.persistWhenRoom(outputs)
		if err != nil {
			node.failed = err
			return
		}
		node.sendLate(outputs)
		for _, output := range outputs {
			node.applyOutput(output)
		}
		if last > 0 {
			node.step(raft.Persisted{Index: last}, work)
		}
	}
}

// persistWhenRoom waits while the disk is full. The member takes no part in
// consensus meanwhile, as if it were paused.
func (node *Node) persistWhenRoom(outputs []raft.Output) (uint64, error) {
	told := false
	for {
		last, err := node.persist(outputs)
		if !errors.Is(err, store.ErrFull) {
			if told {
				node.options.Log.Info(logPrefix + "the disk has room again")
			}
			return last, err
		}
		if !told {
			told = true
			node.options.Log.Warn(logPrefix + "the disk is full, waiting for room")
		}
		select {
		case <-node.stop:
			return 0, err
		case <-node.options.Clock.After(fullPause):
		}
	}
}

// persist syncs the outputs in one write and returns the last index synced.
func (node *Node) persist(outputs []raft.Output) (uint64, error) {
	batch := store.Batch{}
	for _, output := range outputs {
		if output.HardState != nil {
			node.hard = *output.HardState
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

func (node *Node) publish() {
	members := node.core.Members()
	status := &Status{
		ID:          node.id,
		Role:        node.core.Role().String(),
		Term:        node.core.Term(),
		Leader:      node.core.Leader(),
		Commit:      node.core.CommitIndex(),
		Last:        node.core.LastIndex(),
		Snapshot:    node.core.SnapshotIndex(),
		Formed:      len(members.Voters) > 0,
		LedgerSize:  node.machine.Ledger.Len(),
		LeaseEnd:    node.core.LeaseEnd(),
		LeaderSince: node.core.LeaderSince(),
	}
	for _, member := range members.All() {
		status.Members = append(status.Members, MemberStatus{
			ID:      member.ID,
			Address: member.Address.String(),
			Voter:   members.Voter(member.ID),
			Match:   node.core.Match(member.ID),
			Contact: node.core.Contact(member.ID),
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

// ask sends a request to the loop unless the node has ended.
func (node *Node) ask(ctx context.Context, message request) error {
	select {
	case node.inbox <- message:
		return nil
	case <-node.done:
		return Error.New("the control host has stopped")
	case <-ctx.Done():
		return Error.New("hand over request: %w", ctx.Err())
	}
}

// Propose commits a command through this member, which must be the leader.
func (node *Node) Propose(ctx context.Context, command state.Command) (state.Result, error) {
	data, err := state.EncodeCommand(command)
	if err != nil {
		return state.Result{}, Error.New("propose: %w", err)
	}
	answer, err := node.proposeData(ctx, data)
	if err != nil {
		return state.Result{}, err
	}
	if answer.notLeader {
		return state.Result{}, ErrNotLeader
	}
	return answer.result, answer.err
}

// ErrNotLeader says that the member does not lead, so nothing was proposed.
var ErrNotLeader = Error.New("this control host does not lead")

func (node *Node) proposeData(ctx context.Context, data []byte) (proposeAnswer, error) {
	reply := make(chan proposeAnswer, 1)
	if err := node.ask(ctx, proposeRequest{command: data, reply: reply}); err != nil {
		return proposeAnswer{}, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return proposeAnswer{}, Error.New("wait for commit: %w", ctx.Err())
	}
}
