package plan

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// reelectedNode loses the lead and wins it again while its controller decides.
type reelectedNode struct {
	fleet    *fleet
	term     uint64
	leaseEnd time.Time
}

func (reelectednode *reelectedNode) Catalog() *state.Catalog {
	return reelectednode.fleet.machine.Catalog
}

func (reelectednode *reelectedNode) Status() group.Status {
	return group.Status{Term: reelectednode.term, LeaseEnd: reelectednode.leaseEnd}
}

func (reelectednode *reelectedNode) Changed() <-chan struct{} { return nil }

func (reelectednode *reelectedNode) TransferLeadership() bool { return false }

func (reelectednode *reelectedNode) ProposeInTerm(_ context.Context, term uint64, command state.Command) (state.Result, error) {
	if term != reelectednode.term {
		return state.Result{}, group.ErrNotLeader
	}
	reelectednode.fleet.apply(command)
	return state.Result{Outcome: state.OutcomeDone}, nil
}

func (reelectednode *reelectedNode) Update() {}

func (reelectednode *reelectedNode) CountSilent(time.Duration) (silent, total int) { return 0, 0 }

// Expired finds all leases expired. An interim leader renews them right after.
func (reelectednode *reelectedNode) Expired(uint64) bool {
	reelectednode.term = 3
	return true
}

// TestDecisionOfEarlierTermIsNotCommitted guards against the end of a session whose lease
// an interim leader has renewed since the decision: its shards get a second holder.
func TestDecisionOfEarlierTermIsNotCommitted(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, spec.RoutingBoundedLoadSticky, 3, 4)
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	node := &reelectedNode{fleet: fleet, term: 1, leaseEnd: clock.Now().Add(time.Second)}
	controller := &Controller{node: node, leases: node, clock: clock, log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}
	sessions := fleet.machine.Catalog.Sessions
	controller.reconcile()
	is.Equal(fleet.machine.Catalog.Sessions, sessions)
}
