package group

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// largeChange returns a change of a route of which nothing can be left out, with a random
// source of the size, which does not compress.
func largeChange(version uint64, size int) state.PutItems {
	source := make([]byte, size)
	random := rand.New(rand.NewPCG(version, 1))
	for position := range source {
		source[position] = byte(random.Uint32())
	}
	return state.PutItems{Items: []items.Item{{
		Kind: items.KindLimits, Version: version, Source: source, Limits: &items.Limits{BodyBytes: 1},
	}}}
}

func largeEntry(t *testing.T, index uint64, size int) raft.Entry {
	t.Helper()
	data, err := state.EncodeCommand(largeChange(index, size))
	if err != nil {
		t.Fatal(err)
	}
	return raft.Entry{Index: index, Term: 1, Data: data}
}

// TestLogIsCompactedByBytes guards against control hosts that need more memory than they
// have, also to start, because a few hundred large changes wait for thousands of small ones
// before the log is compacted.
func TestLogIsCompactedByBytes(t *testing.T) {
	is := is.New(t)
	const changes, changeBytes, snapshotBytes = 200, 64 << 10, 1 << 20
	addresses, folder := freeAddresses(t, 1), t.TempDir()
	options := Options{
		Name: "c0", Address: addresses[0], DataFolder: folder, Secret: trust.Secret(groupSecret),
		InitialMembers: addresses, Clock: clockwork.NewRealClock(), Log: &log.Logger{Handler: discard.New()}, SnapshotBytes: snapshotBytes,
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	node, err := Open(options)
	is.NoErr(err)
	is.NoErr(node.Form(ctx))
	for !node.HoldsLease() {
		<-time.After(time.Millisecond)
	}
	for version := range uint64(changes) {
		_, err := node.Propose(ctx, largeChange(version+1, changeBytes))
		is.NoErr(err)
	}
	for node.Status().Snapshot+changes/2 < node.Status().Last {
		is.NoErr(ctx.Err())
		<-time.After(time.Millisecond)
	}
	is.NoErr(node.Close())
	info, err := os.Stat(filepath.Join(folder, "log"))
	is.NoErr(err)
	is.True(info.Size() < changes*changeBytes/2)
	options.Address = freeAddresses(t, 1)[0]
	restarted, err := load(options)
	is.NoErr(err)
	is.True(len(restarted.core.UncompactedEntries()) < changes/2)
	is.NoErr(restarted.disk.Close())
}

// TestChangesForHostsAreBoundedByBytes guards against large changes that are kept for hosts
// that lag until there are thousands of them.
func TestChangesForHostsAreBoundedByBytes(t *testing.T) {
	is := is.New(t)
	node, _ := loadNode(t)
	const changes = 300
	for index := range uint64(changes) {
		entry := largeEntry(t, node.machine.Catalog.Index+1, 64<<10)
		node.applyOutput(raft.Output{Committed: []raft.Entry{entry}})
		is.Equal(node.machine.Catalog.Index, index+1)
	}
	kept := 0
	for _, delta := range node.deltas {
		kept += len(delta.Command)
	}
	is.Equal(kept, node.deltaBytes)
	is.True(kept <= 2*maxDeltaBytes)
	is.True(len(node.deltas) > 0)
	is.True(len(node.fetchReply(fetchRequest{}, changes).Catalog) > 0) // a host that lags gets the whole
	latest := node.fetchReply(fetchRequest{after: changes - 1}, changes)
	is.Equal(len(latest.Deltas), 1)
	for after := uint64(changes - 20); after < changes-minBatch; after++ {
		node.fetchReply(fetchRequest{after: after, batches: true}, changes)
	}
	is.True(node.batches.size <= maxCachedBytes || len(node.batches.order) == 1)
}

// TestMessagesToSilentMemberAreBounded guards against a member that stands still while the
// leader queues, by count, messages of any size for it.
func TestMessagesToSilentMemberAreBounded(t *testing.T) {
	is := is.New(t)
	sender := &sender{queue: make(chan raft.Envelope, senderQueueSize)}
	entries := []raft.Entry{{Data: make([]byte, 512<<10)}}
	for range senderQueueSize {
		sender.send(raft.Envelope{Message: raft.AppendRequest{Entries: entries}})
	}
	waiting := len(sender.queue)
	is.True(waiting*len(entries[0].Data) <= maxQueuedBytes)
	sender.send(raft.Envelope{Message: raft.AppendRequest{}})
	is.Equal(len(sender.queue), waiting+1) // messages without entries are not held back
	delivered := sender.drainQueue(<-sender.queue)
	is.True(len(delivered) <= 1+maxDeliveryBytes/len(entries[0].Data))
	for len(sender.queue) > 0 {
		sender.drainQueue(<-sender.queue)
	}
	is.Equal(sender.queued.Load(), int64(0))
	sender.send(raft.Envelope{Message: raft.SnapshotRequest{Snapshot: raft.Snapshot{Data: make([]byte, 2*maxQueuedBytes)}}})
	is.Equal(len(sender.queue), 1) // a message larger than the bound is sent alone
}

// TestProposalsInProgressAreBounded guards against a leader without a quorum that takes
// large commands without end.
func TestProposalsInProgressAreBounded(t *testing.T) {
	is := is.New(t)
	node, _ := loadLeader(t)
	work, accepted, refused := batchWork{}, 0, 0
	const size, proposals = 1 << 20, 40
	var replies []chan proposeAnswer
	for range proposals {
		reply := make(chan proposeAnswer, 1)
		replies = append(replies, reply)
		work.proposals = append(work.proposals, proposeRequest{command: make([]byte, size), reply: reply})
	}
	node.propose(&work)
	for _, reply := range replies {
		select {
		case answer := <-reply:
			is.True(answer.err != nil)
			refused++
		default:
			accepted++
		}
	}
	is.Equal(accepted, maxPendingBytes/size)
	is.Equal(refused, proposals-accepted)
	node.processOutputs(&work)
	is.Equal(fmt.Sprint(node.pendingBytes, len(node.proposals)), "0 0")
	is.True(node.snapshotRunning)
	<-node.inbox // the snapshot is written, so that the folder can be removed
}
