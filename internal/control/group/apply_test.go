package group

import (
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// loadNode returns a node with an empty disk, no listener and no event loop, so
// that the test decides when it handles what.
func loadNode(t *testing.T) (*Node, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	node, err := load(Options{
		Name: "c0", Address: netip.MustParseAddrPort("127.0.0.1:1"), DataFolder: t.TempDir(),
		Secret: trust.Secret(groupSecret), Clock: clock, Log: &log.Logger{Handler: discard.New()},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, sender := range node.senders {
			sender.close()
		}
		_ = node.disk.Close()
	})
	return node, clock
}

// recordEntry returns the log entry of a change to the record "w".
func recordEntry(t *testing.T, index, term, version uint64) raft.Entry {
	t.Helper()
	data, err := state.EncodeCommand(state.ApplyRecords{Records: []spec.Record{weightRecord(version, 1)}})
	if err != nil {
		t.Fatal(err)
	}
	return raft.Entry{Index: index, Term: term, Data: data}
}

// TestCatalogIsVisibleBeforeAcknowledgement guards against a proposer that learns of
// its commit while Catalog still returns the state before it, because the rest of the
// batch is not applied and answered yet.
func TestCatalogIsVisibleBeforeAcknowledgement(t *testing.T) {
	is := is.New(t)
	node, _ := loadNode(t)
	first, second := make(chan proposeAnswer, 1), make(chan proposeAnswer) // the second reply blocks the node
	node.proposals[2] = pendingProposal{term: 1, reply: first}
	node.proposals[3] = pendingProposal{term: 1, reply: second}
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		node.applyOutput(raft.Output{Committed: []raft.Entry{recordEntry(t, 2, 1, 1), recordEntry(t, 3, 1, 2)}})
	}()
	answer := <-first
	visible := node.Catalog().Index
	<-second
	<-applied
	is.Equal(answer.result, state.Result{Index: 2, Outcome: state.OutcomeDone})
	is.True(visible >= answer.result.Index)
}
