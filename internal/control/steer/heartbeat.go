package steer

import (
	"context"
	"net/netip"
	"time"

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
	// Holds are those that the upstream has now.
	Holds    []Hold
	Released []Release
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
	if !coordinator.ensureLeader(ctx) {
		return HeartbeatReply{}, ErrNotLeader
	}
	received := coordinator.clock.Now()
	owner := heartbeat.Instance.Owner()
	if !coordinator.isCurrent(heartbeat) {
		return HeartbeatReply{}, nil
	}
	if err := coordinator.registerInstance(ctx, heartbeat.Instance); err != nil {
		return HeartbeatReply{}, err
	}
	coordinator.recordHeartbeat(heartbeat, received)
	coordinator.applyReleases(ctx, heartbeat)
	if heartbeat.Instance.Draining {
		// Mark its keys as moving now, so that this answer already requests their
		// release.
		coordinator.updatePlacement(ctx, coordinator.node.Catalog(), heartbeat.Instance.Service)
	}
	heartbeatreply, grant, ok := coordinator.grantHolds(owner, heartbeat.Instance.Service, received)
	coordinator.logGrant(heartbeat, grant)
	if !ok || !coordinator.node.HoldsLease() {
		return HeartbeatReply{}, ErrNotLeader
	}
	heartbeatreply.Near = coordinator.nearbyControlHost(heartbeat.Instance.DataCentre)
	return heartbeatreply, nil
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

// isCurrent reports whether the heartbeat comes from the newest known process of
// the upstream and at its address, and is later than all heartbeats received from
// that process.
func (coordinator *Coordinator) isCurrent(heartbeat Heartbeat) bool {
	catalog := coordinator.node.Catalog()
	instance := heartbeat.Instance
	if present, ok := catalog.Instances[instance.ID]; ok && present.Born > instance.Born {
		return false
	}
	for id, other := range catalog.Instances {
		if id != instance.ID && other.Address == instance.Address && other.Born > instance.Born {
			return false
		}
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	known, ok := coordinator.upstreams[instance.Owner()]
	return !ok || heartbeat.Sequence > known.sequence
}

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

// recordHeartbeat stores the time, sequence and holds of a heartbeat.
func (coordinator *Coordinator) recordHeartbeat(heartbeat Heartbeat, now time.Time) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	owner := heartbeat.Instance.Owner()
	known, ok := coordinator.upstreams[owner]
	if !ok {
		// An earlier leader may have granted holds until just before this term.
		known = &upstreamState{holdsUntil: coordinator.termStart.Add(holdExpiry)}
		coordinator.upstreams[owner] = known
	}
	known.sequence = max(known.sequence, heartbeat.Sequence)
	if since := now.Sub(known.lastHeartbeat); since > minHeartbeatInterval && since < silentAfter {
		known.interval = since
	}
	known.lastHeartbeat = now
	known.holds = heartbeat.Holds
}

// applyReleases assigns moving keys that the upstream no longer holds to their
// next owner. Without an explicit release it waits for answerExpiry, since an
// answer in flight may still grant the keys to the upstream.
func (coordinator *Coordinator) applyReleases(ctx context.Context, heartbeat Heartbeat) {
	owner := heartbeat.Instance.Owner()
	service := heartbeat.Instance.Service
	table := coordinator.node.Catalog().Spans[service]
	var changes []spans.Change
	for _, span := range table.OwnedBy(owner) {
		if !span.Moving() || overlaps(heartbeat.Holds, span) {
			continue
		}
		handover, released := releaseToken(heartbeat.Released, span)
		if !released && !coordinator.movingLongerThan(service, span, answerExpiry) {
			continue
		}
		coordinator.logReleased(heartbeat, span, released)
		changes = append(changes, spans.Change{
			From: span.From, To: span.To, Owner: span.Next, Handover: handover, Settle: coordinator.settleTime(span.Next),
		})
	}
	coordinator.changeSpans(ctx, service, table, changes)
}

// settleTime returns the expected time until an upstream receives its new keys in
// the answer to its next heartbeat.
func (coordinator *Coordinator) settleTime(owner spans.Owner) time.Duration {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	return coordinator.untilNextHeartbeat(owner, coordinator.clock.Now()) + settleMargin
}

func overlaps(holds []Hold, span spans.Span) bool {
	for _, hold := range holds {
		if hold.From <= span.To && hold.To >= span.From {
			return true
		}
	}
	return false
}

// releaseToken returns the handover token of the release that covers the span, and
// whether there is one.
func releaseToken(releases []Release, span spans.Span) (string, bool) {
	for _, release := range releases {
		if release.From <= span.From && release.To >= span.To {
			return release.Handover, true
		}
	}
	return "", false
}

// movingLongerThan reports whether a span has been moving for longer than the
// duration.
func (coordinator *Coordinator) movingLongerThan(service string, span spans.Span, duration time.Duration) bool {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	move := moveID{service: service, from: span.From, owner: span.Owner}
	now := coordinator.clock.Now()
	since, ok := coordinator.movingSince[move]
	if !ok {
		coordinator.movingSince[move] = now
		return false
	}
	return now.Sub(since) > duration
}

// grantHolds returns the holds of the upstream and records when they expire. The
// grant says what they were decided on.
func (coordinator *Coordinator) grantHolds(owner spans.Owner, service string, received time.Time) (HeartbeatReply, grant, bool) {
	catalog := coordinator.node.Catalog()
	heartbeatreply := HeartbeatReply{Renewed: true, HoldTime: HoldTime}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	grant := grant{term: coordinator.term, index: catalog.Index, decidedAt: coordinator.clock.Now(), received: received}
	known, ok := coordinator.upstreams[owner]
	if !ok {
		return HeartbeatReply{}, grant, false
	}
	for _, span := range catalog.Spans[service].OwnedBy(owner) {
		switch {
		case span.Moving():
			grant.moving = append(grant.moving, span)
			continue
		case coordinator.isPending(service, span):
			grant.pending = append(grant.pending, span)
			continue
		}
		heartbeatreply.Holds = append(heartbeatreply.Holds, Hold{From: span.From, To: span.To, Fence: span.Fence, Handover: span.Handover})
	}
	if len(heartbeatreply.Holds) > 0 {
		known.holdsUntil = received.Add(holdExpiry)
	}
	grant.holds, grant.holdsUntil = heartbeatreply.Holds, known.holdsUntil
	return heartbeatreply, grant, true
}

func (coordinator *Coordinator) isPending(service string, span spans.Span) bool {
	for _, change := range coordinator.pending[service].Changes {
		if change.From <= span.To && change.To >= span.From {
			return true
		}
	}
	return false
}

// changeSpans commits ownership changes. The ranges they cover are not granted to
// any upstream until the outcome is known.
func (coordinator *Coordinator) changeSpans(ctx context.Context, service string, table spans.Table, changes []spans.Change) {
	if len(changes) == 0 {
		return
	}
	coordinator.mutex.Lock()
	if _, busy := coordinator.pending[service]; busy {
		coordinator.mutex.Unlock()
		return
	}
	command := state.ChangeSpans{Service: service, Base: table.Version, Changes: changes}
	coordinator.pending[service] = command
	coordinator.mutex.Unlock()
	coordinator.commitSpans(ctx, command)
}

// commitSpans proposes an ownership change. If the outcome stays unknown, the change
// remains pending and is proposed again by updatePlacement. Repeating a change that
// was committed is rejected as stale, since the table version has changed.
func (coordinator *Coordinator) commitSpans(ctx context.Context, command state.ChangeSpans) {
	service := command.Service
	result, err := coordinator.node.Propose(ctx, command)
	if err != nil {
		coordinator.log.WithError(err).WithField("service", service).Warn(logPrefix + "outcome of an ownership change is unknown")
		return
	}
	coordinator.mutex.Lock()
	removed := coordinator.pending[service]
	delete(coordinator.pending, service)
	term := coordinator.term
	coordinator.mutex.Unlock()
	coordinator.logCommitted(command, removed, result, term)
}

// Deregister deregisters an upstream that has stopped or is about to stop. It gets
// no more keys; those that it holds are reassigned once its holds have expired.
func (coordinator *Coordinator) Deregister(ctx context.Context, id string) error {
	if !coordinator.ensureLeader(ctx) {
		return ErrNotLeader
	}
	instance, known := coordinator.node.Catalog().Instances[id]
	if !known {
		return nil
	}
	coordinator.mutex.Lock()
	coordinator.departing[instance.Owner()] = coordinator.clock.Now()
	coordinator.mutex.Unlock()
	if !instance.Draining {
		instance.Draining = true
		if _, err := coordinator.node.Propose(ctx, state.RegisterInstance{Instance: instance}); err != nil {
			return Error.New("mark upstream %q as draining: %w", id, err)
		}
	}
	coordinator.log.WithField("upstream", id).Info(logPrefix + "upstream deregistered")
	return nil
}
