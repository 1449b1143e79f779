package steer

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// moveID identifies a span that is moving away from an owner.
type moveID struct {
	service string
	from    uint16
	fence   uint64
}

// holdTable knows which upstreams may hold keys in the leader's term. Granting
// holds, deciding that an owner holds nothing, and reserving key ranges for a change
// that relies on it are single steps under its mutex, each on the catalog as it is
// at that moment. Steps that were decided in another term than the table's fail.
type holdTable struct {
	node  Node
	clock clockwork.Clock

	mutex     sync.Mutex
	term      uint64
	termStart time.Time
	// termIndex is the log index that was applied when the term began. Spans with a
	// later fence were assigned in this term.
	termIndex uint64
	upstreams map[spans.Owner]*upstreamState
	// departed is when upstreams deregistered, and departedIDs is when those did that were
	// not registered then, by ID.
	departed    map[spans.Owner]time.Time
	departedIDs map[string]time.Time
	// reservations holds the latest reservation of each service.
	reservations map[string]*reservation
	// movingSince is when each span was first seen to be moving.
	movingSince map[moveID]time.Time
}

// reset discards the state of earlier terms. All commands of earlier terms must have
// been applied.
func (holdtable *holdTable) reset(term uint64) {
	holdtable.mutex.Lock()
	defer holdtable.mutex.Unlock()
	holdtable.term = term
	holdtable.termStart = holdtable.clock.Now()
	holdtable.termIndex = holdtable.node.Catalog().Index
	holdtable.upstreams = map[spans.Owner]*upstreamState{}
	holdtable.departed = map[spans.Owner]time.Time{}
	holdtable.departedIDs = map[string]time.Time{}
	holdtable.reservations = map[string]*reservation{}
	holdtable.movingSince = map[moveID]time.Time{}
}

// start returns the current term and when it began.
func (holdtable *holdTable) start() (term uint64, since time.Time) {
	holdtable.mutex.Lock()
	defer holdtable.mutex.Unlock()
	return holdtable.term, holdtable.termStart
}

// isCurrent reports whether the heartbeat comes from the newest known process of
// the upstream and at its address, and that no later one of that process has been
// recorded.
func (holdtable *holdTable) isCurrent(heartbeat Heartbeat) bool {
	holdtable.mutex.Lock()
	defer holdtable.mutex.Unlock()
	catalog := holdtable.node.Catalog()
	instance := heartbeat.Instance
	if isReplaced(catalog, instance.Owner()) {
		return false
	}
	for id, other := range catalog.Instances {
		if id != instance.ID && other.Address == instance.Address && other.Born > instance.Born {
			return false
		}
	}
	known, ok := holdtable.upstreams[instance.Owner()]
	return !ok || heartbeat.Sequence >= known.sequence
}

// isReplaced reports whether a later process of the upstream is known.
func isReplaced(catalog *state.Catalog, owner spans.Owner) bool {
	present, ok := catalog.Instances[owner.ID]
	return ok && present.Born > owner.Born
}

// record stores the time, sequence and holds of a heartbeat. It fails with
// errSuperseded if a later heartbeat of the upstream has been recorded. It reports false
// if this one has been, by another attempt to deliver it: what it says of holds may be
// out of date then, as the upstream may have been answered.
func (holdtable *holdTable) record(term uint64, heartbeat Heartbeat, received time.Time) (first bool, err error) {
	holdtable.mutex.Lock()
	defer holdtable.mutex.Unlock()
	if holdtable.term != term {
		return false, ErrNotLeader
	}
	owner := heartbeat.Instance.Owner()
	known, ok := holdtable.upstreams[owner]
	if !ok {
		// An earlier leader may have granted holds until just before this term.
		known = &upstreamState{holdsUntil: holdtable.holdsUntil(owner)}
		holdtable.upstreams[owner] = known
	} else if heartbeat.Sequence <= known.sequence {
		if heartbeat.Sequence < known.sequence {
			return false, errSuperseded
		}
		return false, nil
	}
	known.sequence = heartbeat.Sequence
	if since := received.Sub(known.lastHeartbeat); since > minHeartbeatInterval && since < silentAfter {
		known.interval = since
	}
	known.lastHeartbeat = received
	known.address = heartbeat.Instance.Address
	known.addReleases(heartbeat, holdtable.node.Catalog().Spans[heartbeat.Instance.Service].OwnedBy(owner))
	return true, nil
}

// grant decides which holds the upstream gets in the reply to its heartbeat, and
// records when they expire.
func (holdtable *holdTable) grant(term uint64, heartbeat Heartbeat, received time.Time) (HeartbeatReply, grantDecision, error) {
	holdtable.mutex.Lock()
	defer holdtable.mutex.Unlock()
	if holdtable.term != term {
		return HeartbeatReply{}, grantDecision{}, ErrNotLeader
	}
	catalog := holdtable.node.Catalog()
	owner, service := heartbeat.Instance.Owner(), heartbeat.Instance.Service
	known, ok := holdtable.upstreams[owner]
	if !ok || known.sequence != heartbeat.Sequence || isReplaced(catalog, owner) {
		return HeartbeatReply{}, grantDecision{}, errSuperseded
	}
	reserved, leaves := holdtable.reservations[service], canLeave(catalog, owner)
	if !reserved.isOpen(catalog) {
		reserved = nil
	}
	heartbeatreply := HeartbeatReply{Renewed: true, HoldTime: HoldTime}
	decision := grantDecision{term: term, index: catalog.Index, decidedAt: holdtable.clock.Now(), received: received}
	owned := catalog.Spans[service].OwnedBy(owner)
	for _, span := range owned {
		switch {
		case span.Moving():
			decision.moving = append(decision.moving, span)
		case leaves:
			decision.withheld = append(decision.withheld, span)
		default:
			decision.addHolds(span, reserved, known.endedOf(span))
		}
	}
	known.forget(owned)
	// Another attempt to deliver the heartbeat may have been received before this one.
	if until := known.lastHeartbeat.Add(holdExpiry); len(decision.holds) > 0 && until.After(known.holdsUntil) {
		known.holdsUntil = until
	}
	heartbeatreply.Holds, decision.holdsUntil = decision.holds, known.holdsUntil
	return heartbeatreply, decision, nil
}

// canLeave reports whether an upstream is draining and another one of its service can
// take its keys. It is granted none then, also while a change that marks them as moving
// has to wait for another one.
func canLeave(catalog *state.Catalog, owner spans.Owner) bool {
	instance := catalog.Instances[owner.ID]
	return instance.Draining && slices.ContainsFunc(catalog.InstancesOf(instance.Service), func(other state.Instance) bool {
		allowed := catalog.Rollouts[other.Service].Allows(other.Version) > 0
		return other.ID != owner.ID && allowed && catalog.Schedulable(other) && !other.Silent && !other.Cold
	})
}

// holdsUntil returns when all holds that an owner was granted have certainly expired.
func (holdtable *holdTable) holdsUntil(owner spans.Owner) time.Time {
	if known, ok := holdtable.upstreams[owner]; ok {
		return known.holdsUntil
	}
	return holdtable.termStart.Add(holdExpiry)
}

// holdsEnded reports whether an owner certainly holds no keys: its process is known
// to have ended, or all holds that it was granted have expired.
func (holdtable *holdTable) holdsEnded(catalog *state.Catalog, owner spans.Owner, now time.Time) bool {
	return owner == (spans.Owner{}) || holdtable.hasEnded(catalog, owner) || now.After(holdtable.holdsUntil(owner))
}

// hasEnded reports whether an owner's process has certainly ended: a later one of the
// upstream listens at its address. A record of a later process elsewhere proves nothing, as
// another writer may have sent it.
func (holdtable *holdTable) hasEnded(catalog *state.Catalog, owner spans.Owner) bool {
	known, ok := holdtable.upstreams[owner]
	return ok && isReplaced(catalog, owner) && catalog.Instances[owner.ID].Address == known.address
}

// assessment is what the placement of a service's keys is based on.
type assessment struct {
	catalog *state.Catalog
	term    uint64
	takenAt time.Time
	// expired is set for the owners that certainly hold no keys, and holdsUntil is
	// when the holds of each owner expire.
	expired    map[spans.Owner]bool
	holdsUntil map[spans.Owner]time.Time
	// released are, by first key of the span, the keys that stay with their owner although
	// it has released or lost them.
	released map[uint16][]Release
	// untilNextHeartbeat is the time until each upstream's next heartbeat.
	untilNextHeartbeat map[spans.Owner]time.Duration
}

// assess returns the inputs for placing a service's keys. What they say of holds may
// change until keys are reserved, so reservePlanned decides on it again.
func (holdtable *holdTable) assess(term uint64, service string) (assessment, bool) {
	holdtable.mutex.Lock()
	defer holdtable.mutex.Unlock()
	if holdtable.term != term {
		return assessment{}, false
	}
	assessment := assessment{
		catalog: holdtable.node.Catalog(), term: term, takenAt: holdtable.clock.Now(),
		expired: map[spans.Owner]bool{}, holdsUntil: map[spans.Owner]time.Time{},
		untilNextHeartbeat: map[spans.Owner]time.Duration{}, released: map[uint16][]Release{},
	}
	for _, span := range assessment.catalog.Spans[service].All() {
		if known, ok := holdtable.upstreams[span.Owner]; ok && !span.Moving() {
			if ended := known.endedOf(span); len(ended) > 0 {
				assessment.released[span.From] = ended
			}
		}
		if _, done := assessment.expired[span.Owner]; done {
			continue
		}
		assessment.expired[span.Owner] = holdtable.holdsEnded(assessment.catalog, span.Owner, assessment.takenAt)
		assessment.holdsUntil[span.Owner] = holdtable.holdsUntil(span.Owner)
	}
	for _, instance := range assessment.catalog.InstancesOf(service) {
		owner := instance.Owner()
		assessment.untilNextHeartbeat[owner] = holdtable.untilNextHeartbeat(owner, assessment.takenAt)
	}
	return assessment, true
}

// untilNextHeartbeat returns the time until an upstream's next heartbeat is expected.
func (holdtable *holdTable) untilNextHeartbeat(owner spans.Owner, now time.Time) time.Duration {
	known, ok := holdtable.upstreams[owner]
	if !ok {
		return defaultHeartbeatInterval
	}
	interval := known.interval
	if interval == 0 {
		interval = defaultHeartbeatInterval
	}
	return max(0, interval-now.Sub(known.lastHeartbeat))
}

// reservePlanned reserves key ranges for changes that were planned on an assessment.
// It leaves out each change that gives keys away at once although their owner may
// hold them now, and returns those as rejected. The reservation is nil if nothing can
// be reserved.
func (holdtable *holdTable) reservePlanned(
	assessment assessment, service string, changes []spans.Change,
) (reserved *reservation, rejected []spans.Change) {
	holdtable.mutex.Lock()
	defer holdtable.mutex.Unlock()
	catalog, now := holdtable.node.Catalog(), holdtable.clock.Now()
	table := catalog.Spans[service]
	if holdtable.term != assessment.term || table.Version != assessment.catalog.Spans[service].Version {
		return nil, nil
	}
	var valid []spans.Change
	for _, change := range changes {
		if change.Owner != (spans.Owner{}) && !holdtable.heldByNewOwnerOnly(catalog, table, change, now) {
			rejected = append(rejected, change)
			continue
		}
		valid = append(valid, change)
	}
	return holdtable.reserve(catalog, service, valid), rejected
}

// heldByNewOwnerOnly reports whether nobody but the new owner holds any key of the range
// that is to change.
func (holdtable *holdTable) heldByNewOwnerOnly(catalog *state.Catalog, table spans.Table, change spans.Change, now time.Time) bool {
	for _, span := range table.Overlapping(change.From, change.To) {
		if span.Owner != change.Owner && !holdtable.holdsEnded(catalog, span.Owner, now) {
			return false
		}
	}
	return true
}

// movingLongerThan reports whether a span has been moving for longer than the
// duration.
func (holdtable *holdTable) movingLongerThan(service string, span spans.Span, duration time.Duration, now time.Time) bool {
	move := moveID{service: service, from: span.From, fence: span.Fence}
	since, ok := holdtable.movingSince[move]
	if !ok {
		holdtable.movingSince[move] = now
		return false
	}
	return now.Sub(since) > duration
}

// reserve keeps the key ranges of the changes from being granted. It returns nil if
// there are none, or if another change of the service is under way.
func (holdtable *holdTable) reserve(catalog *state.Catalog, service string, changes []spans.Change) *reservation {
	if len(changes) == 0 || holdtable.reservations[service].isOpen(catalog) {
		return nil
	}
	for position := range changes {
		changes[position].Reported = holdtable.reported(catalog.Spans[service], changes[position])
	}
	reservation := &reservation{
		command: state.ChangeSpans{Service: service, Base: catalog.Spans[service].Version, Changes: changes},
		term:    holdtable.term, proposing: true,
	}
	holdtable.reservations[service] = reservation
	return reservation
}

// reported returns the latest heartbeat of the owner of keys that are to move, if it has
// reported that it holds something that it was granted with them or later, and else 0.
func (holdtable *holdTable) reported(table spans.Table, change spans.Change) uint64 {
	if change.Next == (spans.Owner{}) {
		return 0
	}
	moving := table.Overlapping(change.From, change.To)
	known, ok := holdtable.upstreams[moving[0].Owner]
	foreign := func(span spans.Span) bool { return span.Owner != moving[0].Owner || span.Fence > known.newestFence }
	if !ok || slices.ContainsFunc(moving, foreign) {
		return 0
	}
	return known.sequence
}

// resume returns the open reservation of a service that has to be proposed again,
// as its outcome is unknown. Open is also set if another proposal of it is under way.
func (holdtable *holdTable) resume(term uint64, service string) (unresolved *reservation, open bool) {
	holdtable.mutex.Lock()
	defer holdtable.mutex.Unlock()
	reserved := holdtable.reservations[service]
	if holdtable.term != term || !reserved.isOpen(holdtable.node.Catalog()) {
		return nil, false
	}
	if reserved.proposing {
		return nil, true
	}
	reserved.proposing = true
	return reserved, true
}

// endProposal records that a proposal of the reservation has ended. A change that is
// known to have no effect is discarded; any other stays reserved until the catalog shows
// a later table.
func (holdtable *holdTable) endProposal(reserved *reservation, noEffect bool) {
	holdtable.mutex.Lock()
	defer holdtable.mutex.Unlock()
	reserved.proposing = false
	if service := reserved.command.Service; noEffect && holdtable.reservations[service] == reserved {
		delete(holdtable.reservations, service)
	}
}

// trackMoves records since when each span of a service has been moving.
func (holdtable *holdTable) trackMoves(term uint64, service string) {
	holdtable.mutex.Lock()
	defer holdtable.mutex.Unlock()
	if holdtable.term != term {
		return
	}
	present := map[moveID]bool{}
	now := holdtable.clock.Now()
	for _, span := range holdtable.node.Catalog().Spans[service].Spans {
		if !span.Moving() {
			continue
		}
		move := moveID{service: service, from: span.From, fence: span.Fence}
		present[move] = true
		if _, ok := holdtable.movingSince[move]; !ok {
			holdtable.movingSince[move] = now
		}
	}
	for move := range holdtable.movingSince {
		if move.service == service && !present[move] {
			delete(holdtable.movingSince, move)
		}
	}
}

// silence returns the time since an upstream's last heartbeat.
func (holdtable *holdTable) silence(owner spans.Owner, now time.Time) time.Duration {
	holdtable.mutex.Lock()
	defer holdtable.mutex.Unlock()
	lastHeartbeat := holdtable.termStart
	if upstream, ok := holdtable.upstreams[owner]; ok {
		lastHeartbeat = upstream.lastHeartbeat
	}
	return now.Sub(lastHeartbeat)
}

// maxDepartures bounds the deregistrations that are remembered. Upstreams that are not
// registered may send any number.
const maxDepartures = 4096

// depart records that an upstream has deregistered, and returns it. If the start of its
// process is not known, the deregistration is taken for that of the process that is
// registered. If there is none, it counts for those that were started before it by the
// upstream's clock, which is compared with the leader's, and are heard within removeAfter. It
// is known only if the process that is registered has deregistered now.
func (holdtable *holdTable) depart(owner spans.Owner) (state.Instance, bool) {
	holdtable.mutex.Lock()
	defer holdtable.mutex.Unlock()
	instance, known := holdtable.node.Catalog().Instances[owner.ID]
	now := holdtable.clock.Now()
	switch {
	case owner.Born != 0:
		recordDeparture(holdtable.departed, owner, now)
		known = known && instance.Born == owner.Born
	case !known:
		recordDeparture(holdtable.departedIDs, owner.ID, now)
	case holdtable.predecessorDeparted(instance.Owner(), now):
		return instance, false
	default:
		recordDeparture(holdtable.departed, instance.Owner(), now)
	}
	return instance, known
}

// recordDeparture adds an upstream to a table, in place of the earliest one if it is full.
func recordDeparture[K comparable](table map[K]time.Time, upstream K, now time.Time) {
	if _, present := table[upstream]; !present && len(table) >= maxDepartures {
		earliest, at := upstream, now
		for other, departedAt := range table {
			if departedAt.Before(at) {
				earliest, at = other, departedAt
			}
		}
		delete(table, earliest)
	}
	table[upstream] = now
}

// predecessorDeparted reports whether an earlier process under the same ID deregistered a
// moment ago, so that another deregistration is a repeat of its call.
func (holdtable *holdTable) predecessorDeparted(owner spans.Owner, now time.Time) bool {
	for other, at := range holdtable.departed {
		if other.ID == owner.ID && other.Born < owner.Born && now.Sub(at) < departureRepeatTime {
			return true
		}
	}
	return false
}

// hasDeparted reports whether an upstream has deregistered in this term.
func (holdtable *holdTable) hasDeparted(owner spans.Owner) bool {
	holdtable.mutex.Lock()
	defer holdtable.mutex.Unlock()
	departedAt, unregistered := holdtable.departedIDs[owner.ID]
	if unregistered && holdtable.clock.Now().Sub(departedAt) > removeAfter {
		delete(holdtable.departedIDs, owner.ID)
		unregistered = false
	}
	_, departed := holdtable.departed[owner]
	return departed || unregistered && owner.Born <= departedAt.UnixMilli()
}
