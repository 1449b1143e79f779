package group

import (
	"context"
	"errors"
	"net/rpc"
	"strings"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

// ticketTime is how long a ticket is valid.
const ticketTime = time.Second

// Ticket binds a proposal to a short time and to what was committed before. Orders of
// operators have no version of their own, so that a late copy would undo later ones: who
// passes on an order first gets a ticket, and then checks that the order still stands. The
// zero Ticket binds to nothing.
type Ticket struct {
	// Term is the term of the leader that issued the ticket.
	Term     uint64
	IssuedAt time.Time
	// Evacuations is the number of evacuations that were started or ended in the term
	// before, and Refusals that of refused changes of the configuration.
	Evacuations uint64
	Refusals    uint64
	// Format is the format of the log, and GuardsServices is set if the leader keeps services
	// that routes name, whatever the format is. Leaders of earlier versions set neither.
	Format         uint64
	GuardsServices bool
}

// ErrStaleTicket is returned for a proposal whose ticket is not valid any more. It may have
// been made before.
var ErrStaleTicket = Error.New("the ticket of the proposal is not valid any more")

// orderCounts counts, on the leader, what makes tickets invalid.
type orderCounts struct{ evacuations, refusals uint64 }

// issueTicket returns a ticket, or false if the member is not the leader.
func (node *Node) issueTicket() (Ticket, bool) {
	if !node.leadsIn(node.core.Term()) {
		return Ticket{}, false
	}
	return Ticket{
		Term: node.core.Term(), IssuedAt: node.options.Clock.Now(),
		Evacuations: node.orders.evacuations, Refusals: node.orders.refusals,
		Format: node.machine.Format, GuardsServices: true,
	}, true
}

// admits reports whether a proposal may be appended with its ticket, and counts it.
func (node *Node) admits(proposal proposeRequest) bool {
	ticket := proposal.ticket
	evacuation := state.IsEvacuation(proposal.command)
	if ticket.Term != 0 {
		valid := ticket.Term == node.core.Term() && node.options.Clock.Now().Sub(ticket.IssuedAt) <= ticketTime
		unchanged := ticket.Refusals == node.orders.refusals
		if evacuation {
			unchanged = ticket.Evacuations == node.orders.evacuations
		}
		if !valid || !unchanged {
			return false
		}
	}
	if evacuation {
		node.orders.evacuations++
	}
	return true
}

type ticketRequest struct{ reply chan TicketReply }

func (ticketRequest) request() {}

// TicketArgs requests a ticket from the leader.
type TicketArgs struct{}

// TicketReply holds a ticket, unless the member is not the leader.
type TicketReply struct {
	Ticket    Ticket
	NotLeader bool
	Leader    string
}

// Ticket issues a ticket if this member is the leader.
func (control *Control) Ticket(_ TicketArgs, reply *TicketReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	ticket, err := control.node.Ticket(ctx)
	if errors.Is(err, ErrNotLeader) {
		*reply = TicketReply{NotLeader: true, Leader: control.node.leaderAddress()}
		return nil
	}
	reply.Ticket = ticket
	return err
}

// Ticket returns a ticket. It fails with ErrNotLeader if the member is not the leader.
func (node *Node) Ticket(ctx context.Context) (Ticket, error) {
	reply := make(chan TicketReply, 1)
	if err := node.enqueue(ctx, ticketRequest{reply: reply}); err != nil {
		return Ticket{}, err
	}
	select {
	case answer := <-reply:
		if answer.NotLeader {
			return Ticket{}, ErrNotLeader
		}
		return answer.Ticket, nil
	case <-ctx.Done():
		return Ticket{}, Error.New("wait for a ticket: %w", ctx.Err())
	case <-node.done:
		return Ticket{}, Error.New("the control host has stopped")
	}
}

// ProposeWithTicket is like Propose, but fails with ErrStaleTicket if the ticket is not valid.
func (node *Node) ProposeWithTicket(ctx context.Context, ticket Ticket, command state.Command) (state.Result, error) {
	return node.proposeCommand(ctx, command, proposeRequest{ticket: ticket})
}

// Ticket returns a ticket of the leader. Leaders of earlier versions issue none: it is the
// zero Ticket then.
func (client *Client) Ticket(ctx context.Context) (Ticket, error) {
	var ticket Ticket
	err := client.withLeader(ctx, func(connection *connection) (bool, string, error) {
		reply := TicketReply{}
		err := connection.callWithin(ctx, "Control.Ticket", TicketArgs{}, &reply, leaderTimeout)
		switch {
		case isUnknownMethod(err):
			return true, "", nil
		case err != nil:
			return false, "", err
		}
		ticket = reply.Ticket
		return !reply.NotLeader, reply.Leader, nil
	})
	return ticket, err
}

// isUnknownMethod reports whether a call failed because the other host, of an earlier
// version, does not have the method.
func isUnknownMethod(err error) bool {
	var remote rpc.ServerError
	return errors.As(err, &remote) && strings.HasPrefix(remote.Error(), "rpc: can't find ")
}

// ProposeWithTicket is like Propose, but fails with ErrStaleTicket if the ticket is not valid
// when an attempt reaches the leader. Earlier attempts may have been made with it.
func (client *Client) ProposeWithTicket(ctx context.Context, ticket Ticket, command state.Command) (state.Result, error) {
	return client.propose(ctx, ticket, command)
}
