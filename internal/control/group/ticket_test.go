package group

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

func evacuation(evacuated bool) state.Command {
	return state.EvacuateDataCentre{Name: "north", Evacuated: evacuated}
}

// issue returns a ticket of a node without an event loop.
func issue(t *testing.T, node *Node) Ticket {
	t.Helper()
	reply := make(chan TicketReply, 1)
	node.processBatch(ticketRequest{reply: reply})
	answer := <-reply
	if answer.NotLeader {
		t.Fatal("the leader issued no ticket")
	}
	return answer.Ticket
}

// proposeWith proposes a command with a ticket to a node without an event loop.
func proposeWith(t *testing.T, node *Node, ticket Ticket, command state.Command) (state.Result, error) {
	t.Helper()
	done := proposeQueued(node, func() (state.Result, error) { return node.ProposeWithTicket(t.Context(), ticket, command) })
	node.processBatch(nil)
	proposed := <-done
	return proposed.result, proposed.err
}

// TestLateOrders guards against a copy of an order, held up between control hosts, that is
// committed after a later order was acknowledged and undoes it: orders have no version.
func TestLateOrders(t *testing.T) {
	refused := state.PutItems{Items: []items.Item{{
		Kind: items.KindRoute, Name: "r", Version: 1,
		Route: &items.Route{Timeout: time.Second, Attempts: 1, Split: []items.WeightedService{{Service: "nobody", Weight: 1}}},
	}}}
	cases := []struct {
		name string
		// late is the order that is late, and between what happens after its ticket.
		late    state.Command
		between func(t *testing.T, node *Node, clock *clockwork.FakeClock)
		err     error
	}{
		{"in time", evacuation(false), func(*testing.T, *Node, *clockwork.FakeClock) {}, nil},
		{"after a later evacuation", evacuation(false), func(t *testing.T, node *Node, _ *clockwork.FakeClock) {
			_, _ = proposeWith(t, node, issue(t, node), evacuation(true))
		}, ErrStaleTicket},
		{"after a later end of the evacuation", evacuation(true), func(t *testing.T, node *Node, _ *clockwork.FakeClock) {
			_, _ = proposeWith(t, node, issue(t, node), evacuation(false))
		}, ErrStaleTicket},
		{"after an order of a host of an earlier version", evacuation(false), func(t *testing.T, node *Node, _ *clockwork.FakeClock) {
			_, _ = proposeWith(t, node, Ticket{}, evacuation(true))
		}, ErrStaleTicket},
		{"after other changes", evacuation(false), func(t *testing.T, node *Node, _ *clockwork.FakeClock) {
			_, _ = proposeWith(t, node, Ticket{}, weightChange(1))
		}, nil},
		{"long after", evacuation(false), func(_ *testing.T, _ *Node, clock *clockwork.FakeClock) {
			clock.Advance(ticketTime + time.Millisecond)
		}, ErrStaleTicket},
		{"in another term", evacuation(false), func(t *testing.T, node *Node, clock *clockwork.FakeClock) {
			loseAndWinLead(t, node, clock)
		}, ErrStaleTicket},
		{"a change of the configuration whose other copy was refused", weightChange(1), func(t *testing.T, node *Node, _ *clockwork.FakeClock) {
			result, err := proposeWith(t, node, issue(t, node), refused)
			if err != nil || result.Outcome != state.OutcomeInvalid {
				t.Fatalf("the change was not refused: %v, %v", result, err)
			}
		}, ErrStaleTicket},
		{"a change of the configuration after an evacuation", weightChange(1), func(t *testing.T, node *Node, _ *clockwork.FakeClock) {
			_, _ = proposeWith(t, node, issue(t, node), evacuation(true))
		}, nil},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			node, clock := loadLeader(t)
			ticket := issue(t, node)
			testcase.between(t, node, clock)
			before := node.Catalog().Evacuated
			_, err := proposeWith(t, node, ticket, testcase.late)
			is.True(errors.Is(err, testcase.err))
			if testcase.err != nil {
				is.Equal(node.Catalog().Evacuated, before)
			}
		})
	}
}

// TestTicketsComeFromTheLeader guards against a ticket of a member that does not know what
// the leader has committed.
func TestTicketsComeFromTheLeader(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 3)
	leader := cluster.leader(t.Context())
	for number, node := range cluster.nodes {
		_, err := node.Ticket(t.Context())
		is.Equal(errors.Is(err, ErrNotLeader), number != leader)
	}
	ticket, err := cluster.client.Ticket(t.Context())
	is.NoErr(err)
	is.True(ticket.Term > 0)
	_, err = cluster.client.ProposeWithTicket(t.Context(), ticket, evacuation(true))
	is.NoErr(err)
	_, err = cluster.client.ProposeWithTicket(t.Context(), ticket, evacuation(false))
	is.True(errors.Is(err, ErrStaleTicket))
}
