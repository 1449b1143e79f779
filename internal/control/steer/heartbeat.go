package steer

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// Hold is a lease on a range of keys. Only the upstream that holds it may serve
// the keys.
type Hold struct {
	From, To uint16
	// Fence is the fencing token of the assignment.
	Fence uint64
	// Handover is the token that the previous holder released the range with, or
	// empty.
	Handover string
}

// Release is a range of keys that an upstream has released, and the handover
// token that lets the next holder skip a slow start.
type Release struct {
	From, To uint16
	Handover string
}

// Heartbeat is the message with which an upstream reports its state and renews its
// holds.
type Heartbeat struct {
	Instance state.Instance
	// Sequence increases with each heartbeat of one upstream process.
	Sequence uint64
	// Holds are those that the upstream has now, unless it says nothing of them.
	Holds        []Hold
	HoldsUnknown bool
	Released     []Release
}

// HeartbeatReply is the reply to a Heartbeat. Without Renewed it carries no holds,
// and the upstream keeps those it has until they expire.
type HeartbeatReply struct {
	Renewed bool
	Holds   []Hold
	// HoldTime is how long the holds last after the heartbeat was sent.
	HoldTime time.Duration
	// Near is a control host in the upstream's data centre to which it should send
	// its next heartbeats. It is the zero address if there is none.
	Near netip.Addr
}

// HandleHeartbeat processes an upstream's heartbeat and returns the holds granted to
// it. An error means that this host can't answer as leader.
func (coordinator *Coordinator) HandleHeartbeat(ctx context.Context, heartbeat Heartbeat) (HeartbeatReply, error) {
	term, leads := coordinator.lead(ctx)
	if !leads {
		return HeartbeatReply{}, ErrNotLeader
	}
	if _, known := coordinator.node.Catalog().View().Service(heartbeat.Instance.Service); !known {
		return HeartbeatReply{}, nil // it may be of another writer, and must not replace an upstream
	}
	received := coordinator.clock.Now()
	if coordinator.holds.hasDeparted(heartbeat.Instance.Owner()) {
		heartbeat.Instance.Draining = true
	}
	if !coordinator.holds.isCurrent(heartbeat) {
		return HeartbeatReply{}, nil
	}
	if err := coordinator.registerInstance(ctx, heartbeat.Instance); err != nil {
		return HeartbeatReply{}, err
	}
	// The upstream may have deregistered while its registration was committed.
	if !heartbeat.Instance.Draining && coordinator.holds.hasDeparted(heartbeat.Instance.Owner()) {
		heartbeat.Instance.Draining = true
		if err := coordinator.registerInstance(ctx, heartbeat.Instance); err != nil {
			return HeartbeatReply{}, err
		}
	}
	heartbeatreply, err := coordinator.renew(ctx, term, heartbeat, received)
	switch {
	case errors.Is(err, errSuperseded):
		return HeartbeatReply{}, nil
	case err != nil:
		return HeartbeatReply{}, err
	case !coordinator.leadsIn(term):
		return HeartbeatReply{}, ErrNotLeader
	}
	heartbeatreply.Near = coordinator.nearbyControlHost(heartbeat.Instance.DataCentre)
	return heartbeatreply, nil
}

// renew records the heartbeat, reassigns what the upstream has released, and grants
// it holds.
func (coordinator *Coordinator) renew(ctx context.Context, term uint64, heartbeat Heartbeat, received time.Time) (HeartbeatReply, error) {
	first, err := coordinator.holds.record(term, heartbeat, received)
	if err != nil {
		return HeartbeatReply{}, err
	}
	if first {
		coordinator.commitLeftOut(ctx, term, heartbeat)
	}
	services := coordinator.node.Catalog().View().Services()
	if heartbeat.Instance.Draining && services[heartbeat.Instance.Service].Keyed {
		// Mark its keys as moving now, so that this answer already requests their
		// release.
		coordinator.updatePlacement(ctx, term, heartbeat.Instance.Service)
	}
	heartbeatreply, decision, err := coordinator.holds.grant(term, heartbeat, received)
	if err != nil {
		return HeartbeatReply{}, err
	}
	coordinator.logGrant(heartbeat, decision)
	return heartbeatreply, nil
}

// commitLeftOut assigns keys that the upstream no longer holds to their next owners, or
// to it anew if they are not moving.
func (coordinator *Coordinator) commitLeftOut(ctx context.Context, term uint64, heartbeat Heartbeat) {
	reserved, gone := coordinator.holds.reserveLeftOut(term, heartbeat)
	if reserved == nil {
		return
	}
	coordinator.logReleased(heartbeat.Instance.Service, gone)
	coordinator.commit(ctx, reserved)
}

// nearbyControlHost returns a live control host in the data centre, so that
// heartbeats, which are long, stay within it. The messages that control hosts
// forward to the leader are short.
func (coordinator *Coordinator) nearbyControlHost(dataCentre string) netip.Addr {
	catalog, status, now := coordinator.node.Catalog(), coordinator.node.Status(), coordinator.clock.Now()
	for _, member := range status.Members {
		host, known := catalog.ControlHosts[member.Address]
		alive := member.ID == status.ID || now.Sub(member.Contact) < maxContactAge
		if known && alive && host.DataCentre == dataCentre {
			return host.Address.Addr()
		}
	}
	return netip.Addr{}
}

// ErrNotLeader is returned by calls that only the control leader can answer.
var ErrNotLeader = Error.New("this control host is not the leader")

// errSuperseded means that a heartbeat needs no holds in its answer, since the upstream
// has sent a later one or has been replaced by a new process.
var errSuperseded = Error.New("a later heartbeat of the upstream has been received")

// registerInstance commits new or changed data of an upstream. An upstream that is
// draining or has deregistered stays draining until its process restarts.
func (coordinator *Coordinator) registerInstance(ctx context.Context, instance state.Instance) error {
	catalog := coordinator.node.Catalog()
	present, known := catalog.Instances[instance.ID]
	if known && present.Born == instance.Born && present.Draining {
		instance.Draining = true
	}
	if known && present == instance {
		return nil
	}
	if err := coordinator.recordStable(ctx, instance); err != nil {
		return err
	}
	if _, err := coordinator.node.Propose(ctx, state.RegisterInstance{Instance: instance}); err != nil {
		return Error.New("register upstream %q: %w", instance.ID, err)
	}
	if !known || present.Born != instance.Born || present.Draining != instance.Draining || present.Cold != instance.Cold {
		coordinator.log.WithField("upstream", instance.ID).WithField("born", instance.Born).
			WithField("service", instance.Service).WithField("draining", instance.Draining).
			WithField("cold", instance.Cold).WithField("dataCentre", instance.DataCentre).
			Info(logPrefix + "upstream registered or changed state")
	}
	return nil
}

func overlaps(holds []Hold, span spans.Span) bool {
	for _, hold := range holds {
		if hold.From <= span.To && hold.To >= span.From {
			return true
		}
	}
	return false
}

// commit proposes the ownership change of a reservation. If the outcome stays
// unknown, the change remains reserved and is proposed again by updatePlacement.
// Repeating a change that was committed is rejected as stale, since the table version
// has changed.
func (coordinator *Coordinator) commit(ctx context.Context, reserved *reservation) {
	result, err := coordinator.node.ProposeInTerm(ctx, reserved.term, reserved.command)
	coordinator.holds.endProposal(reserved, err == nil && result.Outcome == state.OutcomeInvalid)
	if err != nil {
		message := "outcome of an ownership change is unknown"
		if errors.Is(err, group.ErrNotLeader) {
			message = "ownership change not proposed, as this host has lost the lead"
		}
		coordinator.log.WithError(err).WithField("service", reserved.command.Service).WithField("term", reserved.term).
			WithField("base", reserved.command.Base).Warn(logPrefix + message)
		return
	}
	coordinator.logCommitted(reserved, result)
}

// Registered returns the start of the process that is registered under an ID, 0 if there is
// none.
func (coordinator *Coordinator) Registered(ctx context.Context, id string) (int64, error) {
	if _, leads := coordinator.lead(ctx); !leads {
		return 0, ErrNotLeader
	}
	return coordinator.node.Catalog().Instances[id].Born, nil
}

// Deregister deregisters an upstream that has stopped or is about to stop. It gets
// no more keys; those that it holds are reassigned once its holds have expired. The start of
// the process is 0 if it is not known.
func (coordinator *Coordinator) Deregister(ctx context.Context, owner spans.Owner) error {
	if _, leads := coordinator.lead(ctx); !leads {
		return ErrNotLeader
	}
	id := owner.ID
	instance, known := coordinator.holds.depart(owner)
	if !known {
		coordinator.log.WithField("upstream", id).WithField("born", owner.Born).
			Info(logPrefix + "upstream deregistered that is not registered now")
		return nil
	}
	if !instance.Draining {
		instance.Draining = true
		if _, err := coordinator.node.Propose(ctx, state.RegisterInstance{Instance: instance}); err != nil {
			return Error.New("mark upstream %q as draining: %w", id, err)
		}
	}
	coordinator.log.WithField("upstream", id).Info(logPrefix + "upstream deregistered")
	return nil
}
