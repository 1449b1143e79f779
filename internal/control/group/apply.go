package group

import (
	"errors"
	"time"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/control/store"
)

// completedProposal is the answer to a proposal whose entry was applied.
type completedProposal struct {
	reply  chan proposeAnswer
	answer proposeAnswer
}

// applyOutput applies committed entries, publishes the catalog, and then answers
// the proposals and the pending reads.
func (node *Node) applyOutput(output raft.Output) {
	var completed []completedProposal
	if output.Snapshot != nil {
		completed = node.endProposals(output.Snapshot.Index, output.Snapshot.Term)
	}
	for _, entry := range output.Committed {
		answer := node.applyEntry(entry)
		if node.failed != nil {
			return
		}
		proposal, ok := node.takeProposal(entry.Index)
		if !ok {
			continue
		}
		if proposal.term != entry.Term {
			answer = proposeAnswer{err: Error.New("entry %d was overwritten by another leader", entry.Index)}
		}
		completed = append(completed, completedProposal{reply: proposal.reply, answer: answer})
	}
	for _, entry := range output.Committed {
		if entry.Kind == raft.EntryNoop { // the first of its term
			completed = append(completed, node.endProposals(entry.Index, entry.Term)...)
		}
	}
	if len(output.Committed) > 0 {
		node.catalog.Store(node.machine.Catalog)
	}
	for _, proposal := range completed {
		proposal.reply <- proposal.answer
	}
	node.answerReads(output.Reads)
	if len(output.Committed) > 0 {
		node.startSnapshot()
	}
}

// endProposals removes the pending proposals that can not be completed any more once
// the entry with this index and term is committed: those of earlier terms, since terms
// never decrease along the log, and those whose entry was not applied here because a
// snapshot covers it.
func (node *Node) endProposals(index, term uint64) []completedProposal {
	var ended []completedProposal
	for position, proposal := range node.proposals {
		if position > index && proposal.term >= term {
			continue
		}
		node.takeProposal(position)
		err := Error.New("entry %d was overwritten by another leader, or a snapshot hides its result", position)
		ended = append(ended, completedProposal{reply: proposal.reply, answer: proposeAnswer{err: err}})
	}
	return ended
}

// answerReads sends the index of each read, or 0 if the member is not the leader.
func (node *Node) answerReads(reads []raft.ReadReady) {
	for _, read := range reads {
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

// applyEntry applies an entry and returns the answer to its proposal. An entry that
// is committed in the same batch as the installation of a later snapshot is skipped,
// since the state already includes it.
func (node *Node) applyEntry(entry raft.Entry) proposeAnswer {
	node.logBytes += len(entry.Data)
	if entry.Index <= node.machine.Catalog.Index {
		return proposeAnswer{err: Error.New("entry %d was committed, but a snapshot hides its result", entry.Index)}
	}
	if entry.Kind == raft.EntryCommand {
		return proposeAnswer{result: node.applyCommand(entry)}
	}
	node.machine.Catalog = node.machine.Catalog.AdvanceTo(entry.Index)
	return proposeAnswer{result: state.Result{Index: entry.Index, Outcome: state.OutcomeDone}}
}

// applyCommand applies a command. A malformed command is skipped, as on every member. One
// of a kind that only later versions know stops the member: it must not answer from a
// state that lacks the command.
func (node *Node) applyCommand(entry raft.Entry) state.Result {
	result, change, err := node.machine.ApplyEntry(entry.Index, entry.Data)
	if errors.Is(err, state.ErrUnknownCommand) {
		node.failed = Error.New("entry %d needs a later version of the program: %w", entry.Index, err)
		return state.Result{}
	}
	if err != nil {
		node.options.Log.WithError(err).Errorf(logPrefix+"skipping undecodable entry %d", entry.Index)
		node.machine.Catalog = node.machine.Catalog.AdvanceTo(entry.Index)
		return state.Result{Index: entry.Index, Outcome: state.OutcomeInvalid, Detail: err.Error()}
	}
	switch result.Outcome {
	case state.OutcomeInvalid, state.OutcomeConflict, state.OutcomeTooLarge:
		node.orders.refusals++
	default:
	}
	if change != nil {
		node.addDelta(entry.Index, change)
	}
	return result
}

func (node *Node) addDelta(index uint64, command []byte) {
	delta, err := NewDelta(index, command)
	if err != nil {
		node.options.Log.WithError(err).Warn(logPrefix + "cannot compress a catalog change, sending it uncompressed")
		delta = Delta{Index: index, Command: command}
	}
	node.deltas = append(node.deltas, delta)
	node.deltaBytes += len(delta.Command)
	if len(node.deltas) > 2*deltaLimit || node.deltaBytes > 2*maxDeltaBytes {
		node.trimDeltas()
	}
}

// trimDeltas drops the earliest deltas beyond deltaLimit and maxDeltaBytes.
func (node *Node) trimDeltas() {
	dropped := 0
	for len(node.deltas)-dropped > deltaLimit || node.deltaBytes > maxDeltaBytes {
		node.deltaBytes -= len(node.deltas[dropped].Command)
		dropped++
	}
	node.deltaBase = node.deltas[dropped-1].Index
	node.deltas = append([]Delta(nil), node.deltas[dropped:]...)
}

// compressedCatalog caches the encoded and compressed form of a catalog for
// hosts that need all of it. After an outage of all hosts, many request it at
// once.
type compressedCatalog struct {
	catalog *state.Catalog
	data    []byte
}

// compressCatalog encodes and compresses the current catalog, unless the cached
// form is up to date.
func (node *Node) compressCatalog() error {
	catalog := node.machine.Catalog
	if node.compressed.catalog == catalog {
		return nil
	}
	encoded, err := catalog.Encode()
	if err != nil {
		return Error.New("encode catalog: %w", err)
	}
	data, err := codec.Compress(encoded)
	if err != nil {
		return Error.New("compress catalog: %w", err)
	}
	node.compressed = compressedCatalog{catalog: catalog, data: data}
	return nil
}

// startSnapshot encodes and writes a snapshot in the background once enough
// entries, or enough bytes of them, have been applied since the last one. The event loop
// receives the result.
func (node *Node) startSnapshot() {
	index := node.machine.Catalog.Index
	enough := index >= node.core.SnapshotIndex()+node.options.SnapshotEvery ||
		node.logBytes >= max(node.options.SnapshotBytes, node.core.SnapshotSize())
	if node.snapshotRunning || !enough {
		return
	}
	entries, ok := node.core.EntriesAfter(index-1, 1)
	if !ok || len(entries) != 1 {
		return
	}
	node.snapshotRunning = true
	node.logBytes = 0
	image := node.machine.Clone()
	snapshot := raft.Snapshot{Index: index, Term: entries[0].Term, Members: node.core.CommittedMembers()}
	go func() {
		var err error
		snapshot.Data, err = image.Snapshot()
		if err == nil {
			err = node.disk.WriteSnapshot(snapshot)
		}
		select {
		case node.inbox <- snapshotResult{snapshot: snapshot, err: err}:
		case <-node.done:
		}
	}()
}

// finishSnapshot drops the log entries that a written snapshot covers.
func (node *Node) finishSnapshot(message snapshotResult, work *batchWork) {
	node.snapshotRunning = false
	if errors.Is(message.err, store.ErrDiskFull) {
		node.options.Log.WithError(message.err).Warn(logPrefix + "no disk space for a snapshot, keeping the log")
		return
	}
	if message.err != nil {
		node.failed = Error.New("write snapshot: %w", message.err)
		return
	}
	if message.snapshot.Index <= node.core.SnapshotIndex() {
		return
	}
	node.processOutputs(work)
	if node.failed != nil {
		return
	}
	node.step(raft.Compact{Snapshot: message.snapshot}, work)
	node.compactLog()
}

// compactLog drops from the disk what the latest snapshot covers. While the disk is full it
// keeps the log, and tries again later.
func (node *Node) compactLog() {
	err := node.disk.CompactLog(node.hardState, node.core.UncompactedEntries())
	switch {
	case err == nil:
		node.compactAt = time.Time{}
	case errors.Is(err, store.ErrDiskFull):
		node.compactAt = node.options.Clock.Now().Add(compactRetryDelay)
		node.options.Log.WithError(err).Warn(logPrefix + "no disk space to compact the log, keeping it")
	default:
		node.failed = Error.New("compact log: %w", err)
	}
}

// retryCompaction compacts the log if a full disk prevented that a while ago. All entries
// must be persisted.
func (node *Node) retryCompaction() {
	if !node.compactAt.IsZero() && !node.options.Clock.Now().Before(node.compactAt) {
		node.compactLog()
	}
}

// installSnapshot replaces the entire state with a snapshot.
func (node *Node) installSnapshot(snapshot raft.Snapshot) error {
	machine, err := state.RestoreMachine(snapshot.Data)
	if err != nil {
		return Error.New("install snapshot: %w", err)
	}
	if err := node.disk.WriteSnapshot(snapshot); err != nil {
		return Error.New("install snapshot: %w", err)
	}
	if err := node.disk.CompactLog(node.hardState, nil); err != nil {
		return Error.New("install snapshot: %w", err)
	}
	node.machine = machine
	node.machine.Catalog = machine.Catalog.AdvanceTo(snapshot.Index)
	node.deltas, node.deltaBytes = nil, 0
	node.deltaBase = snapshot.Index
	node.logBytes = 0
	node.catalog.Store(node.machine.Catalog)
	return nil
}
