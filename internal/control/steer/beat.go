package steer

import (
	"context"
	"net/netip"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// Row is a hold: a range of keys that an upstream serves under a lease, or that
// it is granted.
type Row struct {
	From, To uint16
	Fence    uint64
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

// Beat is an upstream's heartbeat.
type Beat struct {
	Instance state.Instance
	// Sequence increases with each heartbeat of one upstream process.
	Sequence uint64
	Holds    []Row
	Released []Release
}

// Answer is the reply to a heartbeat. Without Renewed it carries no holds, and
// the upstream keeps those it has until they expire.
type Answer struct {
	Renewed  bool
	Holds    []Row
	HoldTime time.Duration
	// Near is a control host in the upstream's data centre to which it should send
	// its next heartbeats. It is the zero address if there is none.
	Near netip.Addr
}

// Beat processes an upstream's heartbeat and returns the holds granted to it. An
// error means that this host can't answer as leader.
func (steer *Steer) Beat(ctx context.Context, beat Beat) (Answer, error) {
	if !steer.ensureLeader(ctx) {
		return Answer{}, ErrNotLeader
	}
	received := steer.clock.Now()
	owner := beat.Instance.Owner()
	if !steer.isCurrent(beat) {
		return Answer{}, nil
	}
	if err := steer.registerInstance(ctx, beat.Instance); err != nil {
		return Answer{}, err
	}
	steer.recordBeat(beat, received)
	steer.applyReleases(ctx, beat)
	if beat.Instance.Draining {
		// Mark its keys as moving now, so that this answer already asks the upstream
		// to release them.
		steer.updatePlacement(ctx, steer.node.Catalog(), beat.Instance.Service)
	}
	answer, ok := steer.grantHolds(owner, beat.Instance.Service, received)
	if !ok || !steer.node.Leads() {
		return Answer{}, ErrNotLeader
	}
	answer.Near = steer.nearbyControlHost(beat.Instance.DataCentre)
	return answer, nil
}

// nearbyControlHost returns a live control host in the data centre, so that
// heartbeats, which are long, stay within it. What control hosts forward to the
// leader is short.
func (steer *Steer) nearbyControlHost(dataCentre string) netip.Addr {
	catalog, status, now := steer.node.Catalog(), steer.node.Status(), steer.clock.Now()
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
func (steer *Steer) isCurrent(beat Beat) bool {
	catalog := steer.node.Catalog()
	instance := beat.Instance
	if present, ok := catalog.Instances[instance.ID]; ok && present.Born > instance.Born {
		return false
	}
	for id, other := range catalog.Instances {
		if id != instance.ID && other.Address == instance.Address && other.Born > instance.Born {
			return false
		}
	}
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	known, ok := steer.upstreams[instance.Owner()]
	return !ok || beat.Sequence > known.sequence
}

// registerInstance commits new or changed data of an upstream. An upstream that is
// draining or has deregistered stays draining until its process restarts.
func (steer *Steer) registerInstance(ctx context.Context, instance state.Instance) error {
	catalog := steer.node.Catalog()
	present, known := catalog.Instances[instance.ID]
	if known && present.Born == instance.Born && present.Draining {
		instance.Draining = true
	}
	if known && present == instance {
		return nil
	}
	if _, err := steer.node.Propose(ctx, state.SeeInstance{Instance: instance}); err != nil {
		return Error.New("register upstream: %w", err)
	}
	if !known || present.Born != instance.Born || present.Draining != instance.Draining || present.Cold != instance.Cold {
		steer.log.WithField("upstream", instance.ID).WithField("born", instance.Born).
			WithField("service", instance.Service).WithField("draining", instance.Draining).
			WithField("cold", instance.Cold).WithField("dataCentre", instance.DataCentre).
			Info(logPrefix + "upstream registered or changed state")
	}
	return nil
}

// recordBeat stores the time, sequence and holds of a heartbeat.
func (steer *Steer) recordBeat(beat Beat, now time.Time) {
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	owner := beat.Instance.Owner()
	known, ok := steer.upstreams[owner]
	if !ok {
		// An earlier leader may have granted holds until just before this term.
		known = &upstreamState{holdsUntil: steer.termStart.Add(holdExpiry)}
		steer.upstreams[owner] = known
	}
	known.sequence = max(known.sequence, beat.Sequence)
	if since := now.Sub(known.lastBeat); since > minBeatInterval && since < silentAfter {
		known.interval = since
	}
	known.lastBeat = now
	known.holds = beat.Holds
}

// applyReleases assigns moving keys that the upstream no longer holds to their
// next owner.
func (steer *Steer) applyReleases(ctx context.Context, beat Beat) {
	owner := beat.Instance.Owner()
	service := beat.Instance.Service
	table := steer.node.Catalog().Spans[service]
	var changes []spans.Change
	for _, span := range table.OwnedBy(owner) {
		if !span.Moving() || overlaps(beat.Holds, span) {
			continue
		}
		handover, released := releaseToken(beat.Released, span)
		if !released && !steer.movingLongerThan(service, span, answerExpiry) {
			continue
		}
		changes = append(changes, spans.Change{
			From: span.From, To: span.To, Owner: span.Next, Handover: handover, Settle: steer.settleTime(span.Next),
		})
	}
	steer.changeSpans(ctx, service, table, changes)
}

// settleTime returns the expected time until an upstream learns of new keys.
func (steer *Steer) settleTime(owner spans.Owner) time.Duration {
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	return steer.untilNextBeat(owner, steer.clock.Now()) + settleMargin
}

func overlaps(rows []Row, span spans.Span) bool {
	for _, row := range rows {
		if row.From <= span.To && row.To >= span.From {
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

// movingLongerThan reports whether a span has been moving for more than the
// duration.
func (steer *Steer) movingLongerThan(service string, span spans.Span, duration time.Duration) bool {
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	move := moveID{service: service, from: span.From, owner: span.Owner}
	now := steer.clock.Now()
	since, ok := steer.movingSince[move]
	if !ok {
		steer.movingSince[move] = now
		return false
	}
	return now.Sub(since) > duration
}

// grantHolds returns the holds of the upstream and records when they expire.
func (steer *Steer) grantHolds(owner spans.Owner, service string, received time.Time) (Answer, bool) {
	catalog := steer.node.Catalog()
	answer := Answer{Renewed: true, HoldTime: HoldTime}
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	known, ok := steer.upstreams[owner]
	if !ok {
		return Answer{}, false
	}
	for _, span := range catalog.Spans[service].OwnedBy(owner) {
		if span.Moving() || steer.isPending(service, span) {
			continue
		}
		answer.Holds = append(answer.Holds, Row{From: span.From, To: span.To, Fence: span.Fence, Handover: span.Handover})
	}
	if len(answer.Holds) > 0 {
		known.holdsUntil = received.Add(holdExpiry)
	}
	return answer, true
}

func (steer *Steer) isPending(service string, span spans.Span) bool {
	for _, change := range steer.pending[service].Changes {
		if change.From <= span.To && change.To >= span.From {
			return true
		}
	}
	return false
}

// changeSpans commits ownership changes. The ranges they cover are not granted to
// any upstream until the outcome is known.
func (steer *Steer) changeSpans(ctx context.Context, service string, table spans.Table, changes []spans.Change) {
	if len(changes) == 0 {
		return
	}
	steer.mutex.Lock()
	if _, busy := steer.pending[service]; busy {
		steer.mutex.Unlock()
		return
	}
	command := state.ChangeSpans{Service: service, Base: table.Version, Changes: changes}
	steer.pending[service] = command
	steer.mutex.Unlock()
	steer.commitSpans(ctx, command)
}

// commitSpans proposes an ownership change. If the outcome stays unknown, the change
// remains pending and is proposed again by updatePlacement. Repeating a change that
// was committed is rejected as stale, since the table version has changed.
func (steer *Steer) commitSpans(ctx context.Context, command state.ChangeSpans) {
	service := command.Service
	result, err := steer.node.Propose(ctx, command)
	if err != nil {
		steer.log.WithError(err).Warn(logPrefix + "outcome of an ownership change is unknown")
		return
	}
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	delete(steer.pending, service)
	if result.Outcome == state.OutcomeDone {
		for _, change := range command.Changes {
			steer.log.WithField("service", service).WithField("from", change.From).WithField("to", change.To).
				WithField("owner", change.Owner.ID).WithField("next", change.Next.ID).
				WithField("version", result.Index).Info(logPrefix + "key range reassigned")
		}
	}
}

// Leave deregisters an upstream that has stopped or is about to stop. It gets no
// more keys; those that it holds are reassigned once its holds have expired.
func (steer *Steer) Leave(ctx context.Context, id string) error {
	if !steer.ensureLeader(ctx) {
		return ErrNotLeader
	}
	instance, known := steer.node.Catalog().Instances[id]
	if !known {
		return nil
	}
	steer.mutex.Lock()
	steer.departing[instance.Owner()] = steer.clock.Now()
	steer.mutex.Unlock()
	if !instance.Draining {
		instance.Draining = true
		if _, err := steer.node.Propose(ctx, state.SeeInstance{Instance: instance}); err != nil {
			return Error.New("mark leaving upstream as draining: %w", err)
		}
	}
	steer.log.WithField("upstream", id).Info(logPrefix + "upstream deregistered")
	return nil
}
