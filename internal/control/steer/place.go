package steer

import (
	"context"
	"math"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// updatePlacement commits the ownership changes that are due for a service.
func (coordinator *Coordinator) updatePlacement(ctx context.Context, term uint64, service string) {
	unresolved, open := coordinator.holds.resume(term, service)
	if unresolved != nil {
		coordinator.commit(ctx, unresolved)
	}
	if open {
		return
	}
	if released, gone := coordinator.holds.reserveReleased(term, service); released != nil {
		coordinator.logReleased(service, gone)
		coordinator.commit(ctx, released)
	}
	assessment, ok := coordinator.holds.assess(term, service)
	if !ok || coordinator.awaitingUpstreams(assessment.catalog, service) {
		return
	}
	placement := coordinator.newPlacement(assessment, service)
	changes := placement.reassign()
	if len(changes) == 0 && coordinator.measured() {
		var err error
		if changes, err = placement.expose(); err != nil {
			coordinator.log.WithError(err).WithField("service", service).Warn(logPrefix + "some keys could not be moved for a rollout")
		}
	}
	if len(changes) == 0 && coordinator.balanceDue() && coordinator.measured() {
		var err error
		if changes, err = placement.balance(); err != nil {
			coordinator.log.WithError(err).WithField("service", service).Warn(logPrefix + "some keys could not be rebalanced")
		}
	}
	coordinator.commitPlanned(ctx, assessment, service, changes)
	coordinator.holds.trackMoves(term, service)
}

// commitPlanned commits those of the planned changes that still hold.
func (coordinator *Coordinator) commitPlanned(ctx context.Context, assessment assessment, service string, changes []spans.Change) {
	if len(changes) == 0 {
		return
	}
	coordinator.log.WithField("service", service).WithField("changes", len(changes)).Debug(logPrefix + "ownership changes planned")
	reserved, rejected := coordinator.holds.reservePlanned(assessment, service, changes)
	coordinator.logRejected(assessment, service, rejected)
	if reserved != nil {
		coordinator.logReassigned(assessment, reserved)
		coordinator.commit(ctx, reserved)
	}
}

// measured reports whether loads and service times have been measured for long enough
// in this term to balance load.
func (coordinator *Coordinator) measured() bool {
	_, since := coordinator.holds.start()
	return coordinator.clock.Now().Sub(since) > measureTime
}

// awaitingUpstreams reports whether a service without owners should wait for more
// upstreams to register before its keys are divided among them.
func (coordinator *Coordinator) awaitingUpstreams(catalog *state.Catalog, service string) bool {
	if len(catalog.Spans[service].Spans) > 0 {
		return false
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	now := coordinator.clock.Now()
	firstSeen, ok := coordinator.firstSeen[service]
	if !ok && len(catalog.InstancesOf(service)) > 0 {
		coordinator.firstSeen[service] = now
	}
	return !ok || now.Sub(firstSeen) < startupWait
}

// balanceDue reports whether keys may be moved to balance load, at most once every
// balanceInterval.
func (coordinator *Coordinator) balanceDue() bool {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	now := coordinator.clock.Now()
	if now.Sub(coordinator.balancedAt) < balanceInterval {
		return false
	}
	coordinator.balancedAt = now
	return true
}

// newPlacement collects the inputs for placing a service's keys.
func (coordinator *Coordinator) newPlacement(assessment assessment, service string) *placement {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	catalog, now := assessment.catalog, assessment.takenAt
	loads, ok := coordinator.loads[service]
	if !ok {
		loads = newKeyLoads(now)
		coordinator.loads[service] = loads
	}
	placement := &placement{
		table: catalog.Spans[service], loads: loads.sums(now), expired: assessment.expired,
		ownedLoad: map[spans.Owner]float64{}, untilNextHeartbeat: assessment.untilNextHeartbeat, released: assessment.released,
	}
	instances := catalog.InstancesOf(service)
	slices.SortFunc(instances, compareInstances)
	rollout := catalog.Rollouts[service]
	hasWarm := coordinator.addCandidates(placement, catalog, rollout, instances, now)
	placement.weights = coordinator.health.weights(instances)
	placement.limited = coordinator.health.limited(instances)
	for owner, expired := range placement.expired {
		if expired {
			continue
		}
		instance, known := catalog.Instances[owner.ID]
		leaving := !known || instance.Born != owner.Born || !catalog.Schedulable(instance) || rollout.Allows(instance.Version) == 0 ||
			hasWarm && coordinator.health.avoided(instance.ID, now)
		placement.setLeaving(owner, leaving)
	}
	return placement
}

// addCandidates adds the upstreams that may get keys. It reports whether warm ones of the version
// in use are among them: others than these get keys only if there are none.
func (coordinator *Coordinator) addCandidates(placement *placement, catalog *state.Catalog, rollout state.Rollout, instances []state.Instance, now time.Time) bool {
	usable := func(instance state.Instance) bool {
		return catalog.Schedulable(instance) && rollout.Allows(instance.Version) > 0 && !instance.Silent
	}
	hasWarm := slices.ContainsFunc(instances, func(instance state.Instance) bool {
		inUse := rollout.State != state.RolloutRunning || instance.Version != rollout.Target
		return usable(instance) && inUse && !instance.Cold && !coordinator.health.avoided(instance.ID, now)
	})
	for _, instance := range instances {
		avoided := hasWarm && coordinator.health.avoided(instance.ID, now)
		if usable(instance) && !avoided && (!instance.Cold || !hasWarm) {
			placement.setExposure(rollout, instance.Owner(), instance.Version)
		}
	}
	return hasWarm
}

func compareInstances(left, right state.Instance) int {
	switch {
	case left.ID < right.ID:
		return -1
	case left.ID > right.ID:
		return 1
	default:
		return 0
	}
}

// placement decides which upstreams own a service's keys. Its decisions depend only
// on its fields.
type placement struct {
	table spans.Table
	// candidates are the upstreams that may get keys.
	candidates []spans.Owner
	// exposed are the upstreams of a running rollout's target, and exposure is the part of the
	// load that they may get together.
	exposed  []spans.Owner
	exposure float64
	// expired is set for owners that certainly hold no keys.
	expired map[spans.Owner]bool
	// leaving is set for owners that hold keys but should release them.
	leaving map[spans.Owner]bool
	loads   *loadSums
	// ownedLoad is the load of each owner's keys. Keys that are moving count for
	// their next owner.
	ownedLoad map[spans.Owner]float64
	// weights are the relative capacities of candidates, 1 on average.
	weights map[spans.Owner]float64
	// limited is set for candidates that name a rate limit.
	limited map[spans.Owner]bool
	// untilNextHeartbeat is the time until each candidate's next heartbeat.
	untilNextHeartbeat map[spans.Owner]time.Duration
	// released are, by first key of the span, the releases of keys that are not moving.
	released map[uint16][]Release
}

func (placement *placement) setLeaving(owner spans.Owner, leaving bool) {
	if placement.leaving == nil {
		placement.leaving = map[spans.Owner]bool{}
	}
	placement.leaving[owner] = leaving
}

func (placement *placement) isCandidate(owner spans.Owner) bool {
	return slices.Contains(placement.candidates, owner) || slices.Contains(placement.exposed, owner)
}

// sumOwnedLoad computes the load that each owner has or is about to have.
func (placement *placement) sumOwnedLoad() {
	placement.ownedLoad = map[spans.Owner]float64{}
	for _, span := range placement.table.All() {
		owner := span.Owner
		if span.Moving() {
			owner = span.Next
		}
		placement.ownedLoad[owner] += placement.loads.between(span.From, span.To)
	}
}

// targetLoad returns the load that a candidate of weight 1 should own.
func (placement *placement) targetLoad() float64 {
	total := 0.0
	for _, candidate := range placement.candidates {
		total += placement.weight(candidate)
	}
	return (placement.loads.between(0, spans.MaxKey) - placement.exposedLoad()) / total
}

func (placement *placement) weight(owner spans.Owner) float64 {
	if weight, known := placement.weights[owner]; known {
		return weight
	}
	return 1
}

// relativeLoad returns an owner's load divided by its weight.
func (placement *placement) relativeLoad(owner spans.Owner) float64 {
	return placement.ownedLoad[owner] / placement.weight(owner)
}

// leastLoaded returns the candidate with the lowest relative load, other than the
// given one.
func (placement *placement) leastLoaded(except spans.Owner) spans.Owner {
	var best spans.Owner
	for _, candidate := range placement.candidates {
		if candidate == except {
			continue
		}
		if best == (spans.Owner{}) || placement.relativeLoad(candidate) < placement.relativeLoad(best) {
			best = candidate
		}
	}
	return best
}

// selectRecipient returns the candidate that should take keys from the owner. Among
// candidates with headroom it prefers one whose heartbeat comes soon after the
// owner's, so that the keys are without a holder only for a short time.
func (placement *placement) selectRecipient(from spans.Owner, target float64) spans.Owner {
	best := placement.leastLoaded(from)
	bestCost := math.Inf(1)
	for _, candidate := range placement.candidates {
		headroom := 1 - placement.relativeLoad(candidate)/target
		if candidate == from || headroom < minMoveFraction {
			continue
		}
		gap := (placement.untilNextHeartbeat[candidate] - placement.untilNextHeartbeat[from] - releaseDelay + 2*defaultHeartbeatInterval) % defaultHeartbeatInterval
		if cost := gapWeight*gap.Seconds()/defaultHeartbeatInterval.Seconds() - headroom; cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

// reassign assigns keys without a holder to candidates, and marks the keys of
// leaving owners as moving. An owner that has released keys and keeps them gets them
// under a new fence.
func (placement *placement) reassign() []spans.Change {
	if len(placement.candidates) == 0 {
		return nil
	}
	placement.sumOwnedLoad()
	var changes []spans.Change
	for _, span := range placement.table.All() {
		switch {
		case placement.expired[span.Owner] && !placement.isCandidate(span.Owner):
			if placement.isCandidate(span.Next) {
				changes = append(changes, spans.Change{
					From: span.From, To: span.To, Owner: span.Next, Settle: placement.untilNextHeartbeat[span.Next] + settleMargin,
				})
				continue
			}
			changes = append(changes, placement.distribute(span, true)...)
		case span.Moving() && !placement.isCandidate(span.Next):
			changes = append(changes, placement.distribute(span, false)...)
		case placement.leaving[span.Owner] && !span.Moving():
			changes = append(changes, placement.distribute(span, false)...)
		default:
			for _, release := range placement.released[span.From] {
				changes = append(changes, spans.Change{
					From: release.From, To: release.To, Owner: span.Owner, Handover: release.Handover,
					Settle: placement.untilNextHeartbeat[span.Owner] + settleMargin,
				})
			}
		}
	}
	return changes
}

// distribute divides a span among the least loaded candidates. With immediate set
// they own their part at once, otherwise once the present owner has released it.
func (placement *placement) distribute(span spans.Span, immediate bool) []spans.Change {
	if owner := span.Owner; span.Moving() {
		placement.ownedLoad[span.Next] -= placement.loads.between(span.From, span.To)
	} else {
		placement.ownedLoad[owner] -= placement.loads.between(span.From, span.To)
	}
	var changes []spans.Change
	target := placement.targetLoad()
	from := span.From
	for {
		recipient := placement.leastLoaded(span.Owner)
		if recipient == (spans.Owner{}) {
			return changes
		}
		fairLoad := target * placement.weight(recipient)
		to := placement.loads.endForLoad(from, span.To, max(fairLoad-placement.ownedLoad[recipient], fairLoad/maxPieces))
		change := spans.Change{From: from, To: to, Next: recipient}
		if immediate {
			change = spans.Change{From: from, To: to, Owner: recipient, Settle: placement.untilNextHeartbeat[recipient] + settleMargin}
		}
		changes = append(changes, change)
		placement.ownedLoad[recipient] += placement.loads.between(from, to)
		if to == span.To {
			return changes
		}
		from = to + 1
	}
}

const (
	// maxPieces limits fragmentation: distribute gives a candidate at least one
	// maxPieces-th of its fair load at a time.
	maxPieces = 8
	// overloadRatio is the ratio of load to target from which keys are moved away.
	overloadRatio = 1.35
	// minMoveFraction is the fraction of the target load that a move must take off
	// an upstream to be worth its cost, for limited upstreams of their own target.
	minMoveFraction = 0.15
	// releaseDelay is how long after its heartbeat an upstream releases keys: it
	// sends another heartbeat within 100 ms once their requests have ended.
	releaseDelay = 130 * time.Millisecond
	// gapWeight is the cost of one heartbeat interval without a holder when a
	// recipient is selected, in units of its headroom.
	gapWeight = 2.0
	// settleMargin allows for the network transit time of a heartbeat.
	settleMargin = 25 * time.Millisecond
	// defaultHeartbeatInterval is the heartbeat interval that is assumed for an upstream
	// until two heartbeats have arrived.
	defaultHeartbeatInterval = 870 * time.Millisecond
	// minHeartbeatInterval separates regular heartbeats from the early ones that follow
	// a release.
	minHeartbeatInterval = 300 * time.Millisecond
	// baseConcurrentMoves limits the spans that balance has in motion at a time, and
	// one more is allowed for every upstreamsPerMove upstreams: with hundreds of
	// upstreams, a range of hot keys affects tens of them.
	baseConcurrentMoves = 4
	upstreamsPerMove    = 4
)

// balance moves keys from the most loaded candidates to the least loaded ones. With
// an error it also returns the moves that are valid.
func (placement *placement) balance() ([]spans.Change, error) {
	if len(placement.candidates) < 2 {
		return nil, nil
	}
	placement.sumOwnedLoad()
	target := placement.targetLoad()
	var changes []spans.Change
	for moves := placement.freeMoves(len(placement.candidates)); moves > 0; moves-- {
		change, ok := placement.planMove(target)
		if !ok {
			break
		}
		table, err := placement.table.Apply(placement.table.Version, []spans.Change{change})
		if err != nil {
			return changes, Error.New("balance: %w", err)
		}
		placement.table = table
		changes = append(changes, change)
	}
	return changes, nil
}

// planMove moves one key range away from an overloaded candidate. It reports false
// if none can be relieved: a single hot key can't be split.
func (placement *placement) planMove(target float64) (spans.Change, bool) {
	byLoad := slices.Clone(placement.candidates)
	slices.SortFunc(byLoad, func(left, right spans.Owner) int {
		return compareLoads(placement.relativeLoad(right), placement.relativeLoad(left))
	})
	for _, overloaded := range byLoad {
		if placement.relativeLoad(overloaded) < target*overloadRatio {
			return spans.Change{}, false
		}
		recipient := placement.selectRecipient(overloaded, target)
		excess := min(placement.ownedLoad[overloaded]-target*placement.weight(overloaded),
			target*placement.weight(recipient)-placement.ownedLoad[recipient])
		least := target * minMoveFraction
		if placement.limited[overloaded] {
			least *= min(1, placement.weight(overloaded))
		}
		if excess < least {
			continue
		}
		piece, ok := placement.selectRange(overloaded, excess, least)
		if !ok {
			continue
		}
		load := placement.loads.between(piece.From, piece.To)
		placement.ownedLoad[overloaded] -= load
		placement.ownedLoad[recipient] += load
		piece.Next = recipient
		return piece, true
	}
	return spans.Change{}, false
}

// selectRange returns a range at either end of one of the owner's spans whose load
// is closest to the wanted one.
func (placement *placement) selectRange(owner spans.Owner, wanted, minLoad float64) (spans.Change, bool) {
	var best spans.Change
	bestGap := math.Inf(1)
	for _, span := range placement.table.OwnedBy(owner) {
		if span.Moving() {
			continue
		}
		head := spans.Change{From: span.From, To: placement.loads.endForLoad(span.From, span.To, wanted)}
		tail := spans.Change{From: placement.loads.startForLoad(span.From, span.To, wanted), To: span.To}
		for _, piece := range []spans.Change{head, tail} {
			load := placement.loads.between(piece.From, piece.To)
			gap := math.Abs(load - wanted)
			if load >= minLoad/2 && load < 2*wanted && gap < bestGap {
				best, bestGap = piece, gap
			}
		}
	}
	return best, !math.IsInf(bestGap, 1)
}

func compareLoads(left, right float64) int {
	switch {
	case left < right:
		return -1
	case left > right:
		return 1
	default:
		return 0
	}
}
