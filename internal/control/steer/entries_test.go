package steer

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

// interruptedNode runs a function before it commits the removal of entry hosts.
type interruptedNode struct {
	*fakeNode
	interrupt func()
}

func (interruptednode interruptedNode) ProposeInTerm(ctx context.Context, term uint64, command state.Command) (state.Result, error) {
	if _, removal := command.(state.RemoveEntries); removal {
		interruptednode.interrupt()
	}
	return interruptednode.fakeNode.ProposeInTerm(ctx, term, command)
}

// TestPollDuringRemoval guards against an entry host that is granted shares of the
// rates while its removal is being committed: the next leader finds it nowhere and
// grants its shares to others.
func TestPollDuringRemoval(t *testing.T) {
	is := is.New(t)
	node := newFakeNode()
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	coordinator := New(node, clock, discardLogger())
	entry := state.Entry{Name: "entry"}
	_, err := coordinator.Poll(context.Background(), PollArgs{Entry: entry})
	is.NoErr(err)

	clock.Advance(removeEntryAfter + time.Second)
	granted := false
	coordinator.node = interruptedNode{node, func() {
		reply, err := coordinator.Poll(context.Background(), PollArgs{Entry: entry})
		granted = err == nil && !reply.NotLeader
	}}
	coordinator.Tick()
	_, present := node.catalog.Entries[entry.Name]
	is.True(present || !granted) // a host with shares is in the catalog

	clock.Advance(tickInterval)
	coordinator.Tick()
	reply, err := coordinator.Poll(context.Background(), PollArgs{Entry: entry})
	is.NoErr(err)
	is.True(!reply.NotLeader)
	_, present = node.catalog.Entries[entry.Name]
	is.True(present) // it is registered again once the removal is committed
}

// TestPollAfterRemoval guards against an entry host that polls just after its removal
// and is then removed again although it polls.
func TestPollAfterRemoval(t *testing.T) {
	is := is.New(t)
	node := newFakeNode()
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	coordinator := New(node, clock, discardLogger())
	entry := state.Entry{Name: "entry"}
	_, err := coordinator.Poll(context.Background(), PollArgs{Entry: entry})
	is.NoErr(err)
	clock.Advance(removeEntryAfter + time.Second)
	coordinator.Tick()
	refused := 0
	for range 10 {
		clock.Advance(tickInterval / 2)
		if _, err := coordinator.Poll(context.Background(), PollArgs{Entry: entry}); err != nil {
			refused++
		}
		clock.Advance(tickInterval / 2)
		coordinator.Tick()
	}
	is.Equal(refused, 0) // nothing is being removed any more
}
