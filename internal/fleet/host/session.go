package host

import (
	"context"
	"net/netip"
	"time"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/beats"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/quota"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

const (
	sessionPoll    = 50 * time.Millisecond
	sessionTimeout = 2 * time.Second
	// sessionSettle is how long a new session may take to reach this host's
	// catalog before another one is opened.
	sessionSettle = 2 * time.Second
)

// beat sends heartbeats to the control leader, or to all control hosts while
// the leader is not known; only the leader answers.
func (host *Host) beat() {
	ticker := host.options.Clock.NewTicker(beats.Interval)
	defer ticker.Stop()
	for {
		if datagram := host.pulse.Next(); datagram != nil {
			host.sendBeat(datagram)
		}
		select {
		case <-host.stop:
			return
		case <-ticker.Chan():
		}
	}
}

func (host *Host) sendBeat(datagram []byte) {
	if leader, known := host.pulse.Leader(); known {
		_ = host.links.Send(leader, datagram)
		return
	}
	for _, address := range host.options.Settings.Control.Heartbeats {
		_ = host.links.Send(address, datagram)
	}
}

// keepSession opens a session whenever the host has none.
func (host *Host) keepSession() {
	ticker := host.options.Clock.NewTicker(sessionPoll)
	defer ticker.Stop()
	for {
		if !host.draining.Load() && (host.pulse.Epoch() == 0 || host.pulse.SessionLost()) {
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
	ctx, cancel := context.WithTimeout(context.Background(), sessionTimeout)
	defer cancel()
	settings := host.options.Settings
	result, err := host.client.Propose(ctx, state.OpenSession{Host: state.Host{
		Name: settings.Host.Name, DataCentre: settings.Host.DataCentre, Peer: settings.Peer.Address, Boot: host.boot,
	}})
	if err != nil {
		host.options.Log.WithError(err).Debug(logPrefix + "no session was opened")
		return
	}
	host.options.Log.Infof(logPrefix+"session %d is open", result.Index)
	host.awaitIndex(result.Index)
}

// awaitIndex waits until the host's catalog has reached an index.
func (host *Host) awaitIndex(index uint64) {
	deadline := host.options.Clock.Now().Add(sessionSettle)
	for host.follower.Catalog().Index < index && host.options.Clock.Now().Before(deadline) {
		select {
		case <-host.stop:
			return
		case <-host.options.Clock.After(sessionPoll):
		}
	}
}

// dropLinks ends the links to hosts whose session has ended, so that requests
// which wait for their answers go elsewhere.
func (host *Host) dropLinks() {
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
				host.links.Drop(address)
			}
		}
		known = present
	}
}

// serveLink answers other hosts' requests.
func (host *Host) serveLink(ctx context.Context, request links.Payload) links.Payload {
	reply, err := host.answerLink(ctx, request)
	if err != nil {
		host.options.Log.WithError(err).Warn(logPrefix + "a link's request can't be answered")
		return links.Payload{Kind: calls.KindRefusal, Head: codec.Raw{0xf6}}
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
		return calls.EncodeOutcome(host.duties.Serve(ctx, call))
	case calls.KindBorrow:
		ask, err := quota.DecodeAsk(request)
		if err != nil {
			return links.Payload{}, Error.New("serve ask: %w", err)
		}
		return quota.EncodeLent(host.duties.Lend(ctx, ask))
	case calls.KindStatus:
		return host.admin.LinkStatus()
	case calls.KindLoad:
		return host.admin.LinkLoad(request)
	default:
		return links.Payload{}, Error.New("request kind %q is not known", request.Kind)
	}
}
