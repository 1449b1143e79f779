package host

import (
	"context"
	"net/netip"
	"time"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/lease"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/quota"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

const (
	sessionPollInterval = 50 * time.Millisecond
	openSessionTimeout  = 2 * time.Second
	// catalogTimeout is how long a new session may take to appear in this host's
	// catalog before another one is opened.
	catalogTimeout = 2 * time.Second
)

// sendHeartbeats sends heartbeats to the control leader, or to all control hosts
// while the leader is not known; only the leader answers.
func (host *Host) sendHeartbeats() {
	ticker := host.options.Clock.NewTicker(lease.HeartbeatInterval)
	defer ticker.Stop()
	for {
		if datagram := host.lease.NextHeartbeat(); datagram != nil {
			host.sendHeartbeat(datagram)
		}
		select {
		case <-host.stop:
			return
		case <-ticker.Chan():
		}
	}
}

func (host *Host) sendHeartbeat(datagram []byte) {
	if leader, known := host.lease.Leader(); known {
		_ = host.links.Send(leader, datagram)
		return
	}
	for _, address := range host.options.Settings.Control.HeartbeatAddresses {
		_ = host.links.Send(address, datagram)
	}
}

// maintainSession opens a session whenever the host has none, unless it is draining.
func (host *Host) maintainSession() {
	ticker := host.options.Clock.NewTicker(sessionPollInterval)
	defer ticker.Stop()
	for {
		if !host.draining.Load() && (host.lease.Epoch() == 0 || host.lease.SessionLost()) {
			host.openSession()
		}
		select {
		case <-host.stop:
			return
		case <-ticker.Chan():
		}
	}
}

func (host *Host) openSession() {
	ctx, cancel := context.WithTimeout(context.Background(), openSessionTimeout)
	defer cancel()
	settings := host.options.Settings
	result, err := host.client.Propose(ctx, state.OpenSession{Host: state.Host{
		Name: settings.Host.Name, DataCentre: settings.Host.DataCentre, Peer: settings.Peer.Address, Boot: host.boot,
	}})
	if err != nil {
		host.options.Log.WithError(err).Debug(logPrefix + "opening a session failed, retrying")
		return
	}
	host.options.Log.Infof(logPrefix+"opened session %d", result.Index)
	host.awaitIndex(result.Index)
}

// awaitIndex waits until the host's catalog has reached the index, or for at most
// catalogTimeout.
func (host *Host) awaitIndex(index uint64) {
	deadline := host.options.Clock.Now().Add(catalogTimeout)
	for host.follower.Catalog().Index < index && host.options.Clock.Now().Before(deadline) {
		select {
		case <-host.stop:
			return
		case <-host.options.Clock.After(sessionPollInterval):
		}
	}
}

// dropStaleLinks closes the links to hosts whose session has ended, so that requests
// waiting for answers from them are sent elsewhere.
func (host *Host) dropStaleLinks() {
	watcher := host.follower.Watch()
	known := map[uint64]netip.AddrPort{}
	for {
		select {
		case <-host.stop:
			return
		case <-watcher:
		}
		present := map[uint64]netip.AddrPort{}
		for _, session := range host.follower.Catalog().Sessions {
			present[session.Epoch] = session.Host.Peer
		}
		for epoch, address := range known {
			if _, ok := present[epoch]; !ok {
				host.links.CloseLink(address)
			}
		}
		known = present
	}
}

// serveLink answers a request from another host. If that fails, it returns an empty
// refusal.
func (host *Host) serveLink(ctx context.Context, request links.Payload) links.Payload {
	reply, err := host.answerLink(ctx, request)
	if err != nil {
		host.options.Log.WithError(err).Warnf(logPrefix+"answering a link request of kind %q failed", request.Kind)
		return links.Payload{Kind: calls.KindRefusal, Head: codec.Raw{0xf6}} // CBOR null
	}
	return reply
}

func (host *Host) answerLink(ctx context.Context, request links.Payload) (links.Payload, error) {
	switch request.Kind {
	case calls.KindCall:
		call, err := calls.DecodeRequest(request)
		if err != nil {
			return links.Payload{}, Error.New("serve call: %w", err)
		}
		return calls.EncodeOutcome(host.shards.Serve(ctx, call))
	case calls.KindBorrow:
		borrowrequest, err := quota.DecodeBorrowRequest(request)
		if err != nil {
			return links.Payload{}, Error.New("serve borrow: %w", err)
		}
		return quota.EncodeBorrowResponse(host.shards.HandleBorrow(ctx, borrowrequest))
	case calls.KindStatus:
		return host.admin.HandleStatus()
	case calls.KindLoad:
		return host.admin.HandleLoad(request)
	default:
		return links.Payload{}, Error.New("unknown link request kind %q", request.Kind)
	}
}
