package steer

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/rates/share"
)

// deposedNode is a control group member that loses its lease when the catalog is
// read, after it was found to hold the lease.
type deposedNode struct{ *fakeNode }

func (deposednode deposedNode) Catalog() *state.Catalog {
	deposednode.leads = false
	return deposednode.catalog
}

// TestDeposedLeaderLendsNoTokens guards against tokens and shares from a host whose
// lease as leader ended while it handled the request: the next leader lends the same
// tokens again.
func TestDeposedLeaderLendsNoTokens(t *testing.T) {
	is := is.New(t)
	node := newFakeNode()
	workspace := items.Item{Kind: items.KindWorkspace, Name: "callcentre", Version: 1, Workspace: &items.Workspace{PerSecond: 10, Burst: 10}}
	node.catalog, _ = node.catalog.Apply(2, state.PutItems{Items: []items.Item{workspace}})
	entry := state.Entry{Name: "entry"}
	node.catalog, _ = node.catalog.Apply(3, state.RegisterEntry{Entry: entry})
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	coordinator := New(node, clock, discardLogger())
	coordinator.reset(1)
	coordinator.node = deposedNode{node}

	reply, err := coordinator.Poll(context.Background(), PollArgs{Entry: entry})
	is.NoErr(err)
	is.True(reply.NotLeader)
	is.Equal(reply.Grant.Parts, nil)

	node.leads = true
	loan := coordinator.Lend(context.Background(), LoanArgs{Host: "entry", Workspace: "callcentre", Wanted: 2})
	is.True(loan.NotLeader)
	is.Equal(loan.Loan.Tokens, 0.0)
}

// reelectedNode runs a function once when the catalog is read.
type reelectedNode struct {
	*fakeNode
	reelect *func()
}

func (reelectednode reelectedNode) Catalog() *state.Catalog {
	if reelect := *reelectednode.reelect; reelect != nil {
		*reelectednode.reelect = nil
		reelect()
	}
	return reelectednode.fakeNode.Catalog()
}

// TestPollOfEarlierTermIsNotRecorded guards against shares beyond the rate: a report that
// a host sent to the leader of an earlier term counts as its report in the present one,
// although an interim leader has granted it other shares since.
func TestPollOfEarlierTermIsNotRecorded(t *testing.T) {
	is := is.New(t)
	node := newFakeNode()
	entry := state.Entry{Name: "entry"}
	node.catalog, _ = node.catalog.Apply(2, state.RegisterEntry{Entry: entry})
	coordinator := New(node, clockwork.NewFakeClockAt(time.Unix(1000, 0)), discardLogger())
	ctx := context.Background()
	_, leads := coordinator.lead(ctx)
	is.True(leads)
	reelect := func() {
		node.term = 3
		_, leads = coordinator.lead(ctx)
		is.True(leads)
	}
	coordinator.node = reelectedNode{node, &reelect}
	reply, err := coordinator.Poll(ctx, PollArgs{Entry: entry, Report: share.Report{Host: "entry"}})
	is.NoErr(err)
	is.True(reply.NotLeader)
	reply, err = coordinator.Poll(ctx, PollArgs{Entry: entry, Report: share.Report{Host: "entry", Got: 2<<32 + 1, Left: 4 * time.Second}})
	is.NoErr(err)
	is.True(!reply.NotLeader)
	is.True(reply.Grant.Unknown) // the leader asks for the shares of the second term
}
