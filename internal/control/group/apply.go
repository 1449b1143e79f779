package group

import (
	"errors"
	"syscall"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// applyOutput applies committed entries and answers reads.
func (node *Node) applyOutput(output raft.Output) {
	for _, entry := range output.Committed {
		node.applyEntry(entry)
	}
	if len(output.Committed) > 0 {
		node.catalog.Store(node.machine.Catalog)
		node.startSnapshot()
	}
	for _, read := range output.Reads {
		reply, ok := node.reads[read.ID]
		if !ok {
			continue
		}
		delete(node.reads, read.ID)
		if read.OK {
			reply <- read.Index
			continue
		}
		reply <- 0
	}
}

func (node *Node) applyEntry(entry raft.Entry) {
	result := state.Result{Index: entry.Index, Outcome: state.OutcomeDone}
	if entry.Kind == raft.EntryCommand {
		result = node.applyCommand(entry)
	} else {
		node.machine.Catalog = node.machine.Catalog.Skip(entry.Index)
	}
	proposal, ok := node.proposals[entry.Index]
	if !ok {
		return
	}
	delete(node.proposals, entry.Index)
	if proposal.term != entry.Term {
		proposal.reply <- proposeAnswer{err: Error.New("entry %d went to another leader", entry.Index)}
		return
	}
	proposal.reply <- proposeAnswer{result: result}
}

// applyCommand applies a command. One that this version can't decode changes
// nothing on any member.
func (node *Node) applyCommand(entry raft.Entry) state.Result {
	command, err := state.DecodeCommand(entry.Data)
	if err != nil {
		node.options.Log.WithError(err).Errorf(logPrefix+"entry %d is skipped", entry.Index)
		node.machine.Catalog = node.machine.Catalog.Skip(entry.Index)
		return state.Result{Index: entry.Index, Outcome: state.OutcomeInvalid, Detail: err.Error()}
	}
	result := node.machine.Apply(entry.Index, command)
	if !state.LedgerOnly(command) {
		node.addDelta(entry)
	}
	return result
}

func (node *Node) addDelta(entry raft.Entry) {
	delta, err := NewDelta(entry.Index, entry.Data)
	if err != nil {
		node.options.Log.WithError(err).Warn(logPrefix + "a change is sent uncompressed")
		delta = Delta{Index: entry.Index, Command: entry.Data}
	}
	node.deltas = append(node.deltas, delta)
	if len(node.deltas) > 2*deltaLimit {
		dropped := len(node.deltas) - deltaLimit
		node.deltaBase = node.deltas[dropped-1].Index
		node.deltas = append([]Delta(nil), node.deltas[dropped:]...)
	}
}

// answerWaiters answers each fetch that has news or has waited long enough.
func (node *Node) answerWaiters() {
	if len(node.waiters) == 0 {
		return
	}
	now := node.options.Clock.Now()
	index := node.machine.Catalog.Index
	var rest []fetchRequest
	for _, waiter := range node.waiters {
		news := node.newsAfter(waiter.after)
		if !news && now.Before(waiter.until) {
			rest = append(rest, waiter)
			continue
		}
		waiter.reply <- node.fetchReply(waiter.after, index)
	}
	node.waiters = rest
}

func (node *Node) newsAfter(after uint64) bool {
	if after < node.deltaBase {
		return true
	}
	return len(node.deltas) > 0 && node.deltas[len(node.deltas)-1].Index > after
}

func (node *Node) fetchReply(after, index uint64) FetchReply {
	reply := FetchReply{Upto: index}
	if after < node.deltaBase {
		if err := node.packCatalog(); err != nil {
			node.options.Log.WithError(err).Error(logPrefix + "the catalog can't be sent")
			return FetchReply{}
		}
		reply.Catalog = node.packed.data
		return reply
	}
	for _, delta := range node.deltas {
		if delta.Index > after {
			reply.Deltas = append(reply.Deltas, delta)
		}
	}
	return reply
}

// packedCatalog is a catalog as hosts get it that know none. After a loss of all
// hosts many ask for it at once.
type packedCatalog struct {
	catalog *state.Catalog
	data    []byte
}

// packCatalog encodes and compresses the present catalog, unless that is done.
func (node *Node) packCatalog() error {
	catalog := node.machine.Catalog
	if node.packed.catalog == catalog {
		return nil
	}
	encoded, err := catalog.Encode()
	if err != nil {
		return Error.New("pack catalog: %w", err)
	}
	data, err := codec.Compress(encoded)
	if err != nil {
		return Error.New("pack catalog: %w", err)
	}
	node.packed = packedCatalog{catalog: catalog, data: data}
	return nil
}

// startSnapshot encodes and writes a snapshot beside the loop.
func (node *Node) startSnapshot() {
	index := node.machine.Catalog.Index
	if node.snapshotOn || index < node.core.SnapshotIndex()+node.options.SnapshotEvery {
		return
	}
	entries, ok := node.core.EntriesAfter(index-1, 1)
	if !ok || len(entries) != 1 {
		return
	}
	node.snapshotOn = true
	image := state.Machine{Catalog: node.machine.Catalog, Ledger: node.machine.Ledger.Clone()}
	snapshot := raft.Snapshot{Index: index, Term: entries[0].Term, Members: node.core.CommittedMembers()}
	go func() {
		var err error
		snapshot.Data, err = image.Snapshot()
		if err == nil {
			err = node.disk.WriteSnapshot(snapshot)
		}
		select {
		case node.inbox <- snapshotRequest{snapshot: snapshot, err: err}:
		case <-node.done:
		}
	}()
}

// finishSnapshot drops the entries that a written snapshot covers.
func (node *Node) finishSnapshot(message snapshotRequest, work *turnWork) {
	node.snapshotOn = false
	if errors.Is(message.err, syscall.ENOSPC) {
		node.options.Log.WithError(message.err).Warn(logPrefix + "no room for a snapshot, the log stays")
		return
	}
	if message.err != nil {
		node.failed = Error.New("write snapshot: %w", message.err)
		return
	}
	if message.snapshot.Index <= node.core.SnapshotIndex() {
		return
	}
	node.settle(work)
	if node.failed != nil {
		return
	}
	node.step(raft.Compact{Snapshot: message.snapshot}, work)
	if err := node.disk.TrimLog(node.hard, node.core.EntriesInMemory()); err != nil {
		node.failed = Error.New("trim log: %w", err)
	}
}

// installSnapshot replaces the whole state by the leader's snapshot.
func (node *Node) installSnapshot(snapshot raft.Snapshot) error {
	machine, err := state.RestoreMachine(snapshot.Data)
	if err != nil {
		return Error.New("install snapshot: %w", err)
	}
	if err := node.disk.WriteSnapshot(snapshot); err != nil {
		return Error.New("install snapshot: %w", err)
	}
	if err := node.disk.TrimLog(node.hard, nil); err != nil {
		return Error.New("install snapshot: %w", err)
	}
	node.machine = machine
	node.machine.Catalog = machine.Catalog.Skip(snapshot.Index)
	node.deltas = nil
	node.deltaBase = snapshot.Index
	node.catalog.Store(node.machine.Catalog)
	return nil
}
