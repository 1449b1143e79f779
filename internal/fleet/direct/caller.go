package direct

import (
	"context"
	"errors"
	"net"
	"time"

	"damaskcrank.example/damaskcrank/internal/base/sock"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/control/steer"
)

// settleTime is how long an order without a version waits before it is carried out. A client
// that gives up closes its connection, which a host sees up to a few round trips after the
// order if both were held up on their way.
const settleTime = 100 * time.Millisecond

// formationTime is how long after its start a host waits for further voters at the first start
// of the fleet. It leaves a second of the four in which a change is to be acknowledged.
const formationTime = 3 * time.Second

// ErrCallerLeft is returned for an order that was not carried out because its client has
// given it up, and may have sent it, or a later one, to another host.
var ErrCallerLeft = Error.New("the client of the call has left")

// connKey is the key of the context's value that is the connection of a call.
type connKey struct{}

// withConn returns the context of the calls that come on a connection.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// callerLeft reports whether the client of a call waits no more for its answer. The bytes of
// a call may have waited for this host while it was stopped, or cut off.
func callerLeft(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ctx.Err() != nil || ok && sock.Peek(conn) == sock.Ended
}

// awaitCaller waits for some time, and returns an error if the client has left by then.
func (control *Control) awaitCaller(ctx context.Context, settle time.Duration) error {
	if settle > 0 {
		select {
		case <-ctx.Done():
		case <-control.options.Clock.After(settle):
		}
	}
	if callerLeft(ctx) {
		control.options.Stats.Event("order", "callerLeft")
		return ErrCallerLeft
	}
	return nil
}

// awaitVoters holds back an acknowledgement at the first start of the fleet until the group
// that was formed by the seeds alone has the voters that bear the losses it has to bear. It
// does so for formationTime at most, since there may be fewer control hosts.
func (control *Control) awaitVoters(ctx context.Context) error {
	host, target := control.options.Settings.Host, control.options.Settings.TargetVoters()
	for host.FirstStart && control.node.Status().Voters() < target {
		if control.options.Clock.Since(control.startedAt) >= formationTime {
			control.options.Stats.Event("order", "fewVoters")
			control.options.Log.WithField("voters", control.node.Status().Voters()).WithField("targetVoters", target).
				Warn(logPrefix + "acknowledging a change of a group with too few voters for the losses that it has to bear")
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("wait for the voters of the control group: %w", ctx.Err())
		case <-control.options.Clock.After(tickInterval):
		}
	}
	return nil
}

// order commits an order of a client. What was committed after the client had given it up
// makes it invalid: the ticket is older than the last look for the client.
func (control *Control) order(ctx context.Context, settle time.Duration, command state.Command) (state.Result, error) {
	for {
		ticket, err := control.ticket(ctx)
		if err != nil {
			return state.Result{}, err
		}
		if putitems, ok := command.(state.PutItems); ok && ticket.Format < state.FormatCheckedItems {
			if result, err := control.judge(ctx, ticket, putitems.Items); err != nil || result.Outcome != "" {
				return result, err
			}
		}
		if err := control.awaitCaller(ctx, settle); err != nil {
			return state.Result{}, err
		}
		result, err := control.proposeWithTicket(ctx, ticket, command)
		if err == nil {
			return result, control.awaitVoters(ctx)
		}
		if !errors.Is(err, group.ErrStaleTicket) {
			return result, err
		}
		control.options.Stats.Event("order", "staleTicket")
	}
}

func (control *Control) ticket(ctx context.Context) (group.Ticket, error) {
	if control.node.HoldsLease() {
		ticket, err := control.node.Ticket(ctx)
		if !errors.Is(err, group.ErrNotLeader) {
			return ticket, err //nolint:wrapcheck // it says what failed
		}
	}
	ticket, err := control.client.Ticket(ctx)
	if err != nil {
		return group.Ticket{}, Error.New("get a ticket: %w", err)
	}
	return ticket, nil
}

func (control *Control) proposeWithTicket(ctx context.Context, ticket group.Ticket, command state.Command) (state.Result, error) {
	if control.node.HoldsLease() {
		result, err := control.node.ProposeWithTicket(ctx, ticket, command)
		if !errors.Is(err, group.ErrNotLeader) {
			return result, err //nolint:wrapcheck // it says what failed
		}
	}
	result, err := control.client.ProposeWithTicket(ctx, ticket, command)
	if err != nil {
		return state.Result{}, Error.New("propose: %w", err)
	}
	return result, nil
}

// registered returns the process that is registered under an ID. Its start is 0 if there is
// none, or if the leader is of an earlier version.
func (control *Control) registered(ctx context.Context, id string) (spans.Owner, error) {
	if born, err := control.steer.Registered(ctx, id); err == nil {
		return spans.Owner{ID: id, Born: born}, nil
	}
	reply, err := group.CallLeader[steer.RegisteredReply](ctx, control.client, "Steer.Registered", id)
	if err != nil && !errors.Is(err, group.ErrUnknownMethod) {
		return spans.Owner{}, Error.New("look up upstream %q: %w", id, err)
	}
	return spans.Owner{ID: id, Born: reply.Born}, nil
}
