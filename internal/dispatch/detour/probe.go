package detour

import (
	"context"
	"errors"
	"syscall"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/dispatch/crash"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

const (
	// confirmations is the number of other hosts that must find a port closed, if so many
	// can tell, and maxProbed the number of hosts that are asked at most.
	confirmations = 2
	maxProbed     = 5
)

// probeMessage asks another host whether it can connect to an upstream.
type probeMessage struct {
	_          struct{} `cbor:",toarray"`
	Service    string
	UpstreamID string
	Born       int64
}

// portState is what a host finds at an upstream's address.
type portState string

const (
	portOpen   portState = "open"
	portClosed portState = "closed"
	// portUnknown means that the host reaches neither the upstream nor others, that nothing
	// responds, or that it does not know the upstream.
	portUnknown portState = "unknown"
)

// probeReply is the reply to a probeMessage.
type probeReply struct {
	_    struct{} `cbor:",toarray"`
	Port portState
}

// PortClosed reports whether nothing listens at the upstream of an attempt. A refused
// connection may be refused on this host's path only, so that other hosts have to find the
// same, if there are any.
func (sender *Sender) PortClosed(ctx context.Context, attempt crash.Attempt) bool {
	target, known := sender.Scheduler.Target(attempt.Service, attempt.Owner)
	if !known {
		target = admit.Target{Service: attempt.Service, Owner: attempt.Owner, Address: attempt.Address}
	}
	if sender.probe(ctx, target) != portClosed {
		return false
	}
	others := sender.others(target, "")
	closed := 0
	for _, other := range others[:min(len(others), maxProbed)] {
		port, err := sender.askProbe(ctx, other, target)
		if err != nil {
			sender.Log.WithError(err).WithField("upstream", target.Owner.ID).Warn(logPrefix + "another host did not say whether an upstream's port is closed")
			continue
		}
		switch port {
		case portOpen:
			return false
		case portClosed:
			closed++
		case portUnknown:
		}
		if closed == confirmations {
			return true
		}
	}
	return closed > 0 || len(others) == 0
}

// probe connects to an upstream on this host's own path.
func (sender *Sender) probe(ctx context.Context, target admit.Target) portState {
	err := sender.Pool.Probe(ctx, target.Address)
	switch {
	case err == nil:
		return portOpen
	case errors.Is(err, syscall.ECONNREFUSED):
		return portClosed
	default:
		return portUnknown
	}
}

// askProbe asks another host what it finds at an upstream's address.
func (sender *Sender) askProbe(ctx context.Context, other state.Entry, target admit.Target) (portState, error) {
	if err := sender.open(ctx, other); err != nil {
		return portUnknown, err
	}
	head, err := codec.Marshal(probeMessage{Service: target.Service, UpstreamID: target.Owner.ID, Born: target.Owner.Born})
	if err != nil {
		return portUnknown, Error.New("encode the probe: %w", err)
	}
	payload, err := sender.Caller.Call(ctx, other.Peer, links.Payload{Kind: kindProbe, Head: head})
	if err != nil {
		return portUnknown, Error.New("ask %s for a probe: %w", other.Name, err)
	}
	if payload.Kind != kindProbed {
		return portUnknown, nil
	}
	var reply probeReply
	if err := codec.Unmarshal(payload.Head, &reply); err != nil {
		return portUnknown, Error.New("decode the probe of %s: %w", other.Name, err)
	}
	return reply.Port, nil
}

// serveProbe handles a probeMessage.
func (sender *Sender) serveProbe(ctx context.Context, request links.Payload) (links.Payload, error) {
	var message probeMessage
	if err := codec.Unmarshal(request.Head, &message); err != nil {
		return links.Payload{}, Error.New("decode a probe: %w", err)
	}
	port := portUnknown
	target, known := sender.Scheduler.Target(message.Service, spans.Owner{ID: message.UpstreamID, Born: message.Born})
	if known && !sender.Paths.Isolated() {
		port = sender.probe(ctx, target)
	}
	head, err := codec.Marshal(probeReply{Port: port})
	if err != nil {
		return links.Payload{}, Error.New("encode a probe's reply: %w", err)
	}
	return links.Payload{Kind: kindProbed, Head: head}, nil
}
