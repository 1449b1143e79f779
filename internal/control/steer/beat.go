package steer

import (
	"context"
	"net/netip"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// Row is a range of keys that an upstream holds or is to hold.
type Row struct {
	From, To uint16
	Fence    uint64
	// Handover is the token that the last holder left, or empty.
	Handover string
}

// Release is a range of keys that an upstream has let go of, and the token that
// spares the next holder a slow start.
type Release struct {
	From, To uint16
	Handover string
}

// Beat is an upstream's heartbeat.
type Beat struct {
	Instance state.Instance
	// Sequence grows with each heartbeat of one life.
	Sequence uint64
	Holds    []Row
	Released []Release
}

// Answer is the answer to a heartbeat. Without Renewed it says nothing about
// keys, so that holds go on until they end.
type Answer struct {
	Renewed  bool
	Holds    []Row
	HoldTime time.Duration
	// Near is a control host close to the upstream that takes its next
	// heartbeats, or none.
	Near netip.Addr
}

// Beat takes note of an upstream's heartbeat and grants its keys. An error
// means that this host can't answer as leader.
func (steer *Steer) Beat(ctx context.Context, beat Beat) (Answer, error) {
	if !steer.lead(ctx) {
		return Answer{}, ErrNotLeader
	}
	received := steer.clock.Now()
	owner := beat.Instance.Owner()
	if !steer.fresh(beat) {
		return Answer{}, nil
	}
	if err := steer.enter(ctx, beat.Instance); err != nil {
		return Answer{}, err
	}
	steer.hear(beat, received)
	steer.takeReleases(ctx, beat)
	if beat.Instance.Draining {
		// The answer itself tells the upstream to let go.
		steer.place(ctx, steer.node.Catalog(), beat.Instance.Service)
	}
	answer, ok := steer.grant(owner, beat.Instance.Service, received)
	if !ok || !steer.node.Leads() {
		return Answer{}, ErrNotLeader
	}
	answer.Near = steer.near(beat.Instance.DataCentre)
	return answer, nil
}

// near returns a live control host in the data centre, so that heartbeats, which
// are long, stay in it; what hosts pass on to the leader is short.
func (steer *Steer) near(dataCentre string) netip.Addr {
	catalog, status, now := steer.node.Catalog(), steer.node.Status(), steer.clock.Now()
	for _, member := range status.Members {
		host, known := catalog.ControlHosts[member.Address]
		alive := member.ID == status.ID || now.Sub(member.Contact) < nearContact
		if known && alive && host.DataCentre == dataCentre {
			return host.Address.Addr()
		}
	}
	return netip.Addr{}
}

// ErrNotLeader says that this host does not lead, so it can't answer.
var ErrNotLeader = Error.New("this control host does not lead")

// fresh tells whether the heartbeat is of the upstream's present life and later
// than all that were heard.
func (steer *Steer) fresh(beat Beat) bool {
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
	known, ok := steer.holders[instance.Owner()]
	return !ok || beat.Sequence > known.sequence
}

// enter commits what is new about an upstream. One that drains or said that it
// leaves stays that way for the rest of its life.
func (steer *Steer) enter(ctx context.Context, instance state.Instance) error {
	catalog := steer.node.Catalog()
	present, known := catalog.Instances[instance.ID]
	if known && present.Born == instance.Born && present.Draining {
		instance.Draining = true
	}
	if known && present == instance {
		return nil
	}
	if _, err := steer.node.Propose(ctx, state.SeeInstance{Instance: instance}); err != nil {
		return Error.New("enter upstream: %w", err)
	}
	if !known || present.Born != instance.Born || present.Draining != instance.Draining || present.Cold != instance.Cold {
		steer.log.WithField("upstream", instance.ID).WithField("born", instance.Born).
			WithField("service", instance.Service).WithField("draining", instance.Draining).
			WithField("cold", instance.Cold).WithField("dataCentre", instance.DataCentre).
			Info(logPrefix + "an upstream announced itself")
	}
	return nil
}

// hear notes the heartbeat.
func (steer *Steer) hear(beat Beat, now time.Time) {
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	owner := beat.Instance.Owner()
	known, ok := steer.holders[owner]
	if !ok {
		// An earlier leader may have granted until just before this term.
		known = &holder{until: steer.since.Add(holdEnd)}
		steer.holders[owner] = known
	}
	known.sequence = max(known.sequence, beat.Sequence)
	if since := now.Sub(known.heardAt); since > leastInterval && since < silentAfter {
		known.interval = since
	}
	known.heardAt = now
	known.holds = beat.Holds
}

// takeReleases passes keys on that the upstream no longer holds.
func (steer *Steer) takeReleases(ctx context.Context, beat Beat) {
	owner := beat.Instance.Owner()
	service := beat.Instance.Service
	table := steer.node.Catalog().Spans[service]
	var changes []spans.Change
	for _, span := range table.OwnedBy(owner) {
		if !span.Moving() || overlaps(beat.Holds, span) {
			continue
		}
		handover, released := releasedWith(beat.Released, span)
		if !released && !steer.movingFor(service, span, staleGrant) {
			continue
		}
		changes = append(changes, spans.Change{
			From: span.From, To: span.To, Owner: span.Next, Handover: handover, Settle: steer.settle(span.Next),
		})
	}
	steer.changeSpans(ctx, service, table, changes)
}

// settle returns the time until an upstream learns of new keys.
func (steer *Steer) settle(owner spans.Owner) time.Duration {
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	return steer.nextBeat(owner, steer.clock.Now()) + settleMargin
}

func overlaps(rows []Row, span spans.Span) bool {
	for _, row := range rows {
		if row.From <= span.To && row.To >= span.From {
			return true
		}
	}
	return false
}

// releasedWith returns the token of the release that covers the span.
func releasedWith(releases []Release, span spans.Span) (string, bool) {
	for _, release := range releases {
		if release.From <= span.From && release.To >= span.To {
			return release.Handover, true
		}
	}
	return "", false
}

// movingFor tells whether a span has been moving for so long.
func (steer *Steer) movingFor(service string, span spans.Span, time time.Duration) bool {
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	mark := spanMark{service: service, from: span.From, owner: span.Owner}
	now := steer.clock.Now()
	since, ok := steer.movingSince[mark]
	if !ok {
		steer.movingSince[mark] = now
		return false
	}
	return now.Sub(since) > time
}

// grant lists what the upstream is to hold, and notes until when it may.
func (steer *Steer) grant(owner spans.Owner, service string, received time.Time) (Answer, bool) {
	catalog := steer.node.Catalog()
	answer := Answer{Renewed: true, HoldTime: HoldTime}
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	known, ok := steer.holders[owner]
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
		known.until = received.Add(holdEnd)
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

// changeSpans commits changes of ownership. Ranges that change hands are
// granted to nobody until the outcome is known.
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

// commitSpans proposes a change of ownership until its outcome is known. A
// repeat of one that was committed is stale, since the table has changed.
func (steer *Steer) commitSpans(ctx context.Context, command state.ChangeSpans) {
	service := command.Service
	result, err := steer.node.Propose(ctx, command)
	if err != nil {
		steer.log.WithError(err).Warn(logPrefix + "a change of ownership is not known to be committed")
		return
	}
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	delete(steer.pending, service)
	if result.Outcome == state.OutcomeDone {
		for _, change := range command.Changes {
			steer.log.WithField("service", service).WithField("from", change.From).WithField("to", change.To).
				WithField("owner", change.Owner.ID).WithField("next", change.Next.ID).
				WithField("version", result.Index).Info(logPrefix + "keys change")
		}
	}
}

// Leave takes note that an upstream is gone or about to go. It gets no more
// keys; those that it holds are passed on once its holds have ended.
func (steer *Steer) Leave(ctx context.Context, id string) error {
	if !steer.lead(ctx) {
		return ErrNotLeader
	}
	instance, known := steer.node.Catalog().Instances[id]
	if !known {
		return nil
	}
	steer.mutex.Lock()
	steer.left[instance.Owner()] = steer.clock.Now()
	steer.mutex.Unlock()
	if !instance.Draining {
		instance.Draining = true
		if _, err := steer.node.Propose(ctx, state.SeeInstance{Instance: instance}); err != nil {
			return Error.New("enter leaving upstream: %w", err)
		}
	}
	steer.log.WithField("upstream", id).Info(logPrefix + "an upstream leaves")
	return nil
}
