package steer

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// place commits the changes of ownership that are due for a service.
func (steer *Steer) place(ctx context.Context, catalog *state.Catalog, service string) {
	steer.mutex.Lock()
	unsettled, busy := steer.pending[service]
	steer.mutex.Unlock()
	if busy {
		steer.commitSpans(ctx, unsettled)
		return
	}
	placement := steer.placement(catalog, service)
	if steer.gathering(catalog, service) {
		return
	}
	changes := placement.settle()
	if len(changes) == 0 && steer.balanceDue() && steer.clock.Now().Sub(steer.since) > learnTime {
		var err error
		if changes, err = placement.balance(); err != nil {
			steer.log.WithError(err).WithField("service", service).Warn(logPrefix + "not all keys that should move do")
		}
	}
	steer.changeSpans(ctx, service, catalog.Spans[service], changes)
	steer.noteMoving(service)
}

// gathering tells whether a service's upstreams are still announcing themselves
// for the first time, so that its keys are better divided a moment later.
func (steer *Steer) gathering(catalog *state.Catalog, service string) bool {
	if len(catalog.Spans[service].Spans) > 0 {
		return false
	}
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	now := steer.clock.Now()
	first, ok := steer.gatherSince[service]
	if !ok && len(catalog.InstancesOf(service)) > 0 {
		steer.gatherSince[service] = now
	}
	return !ok || now.Sub(first) < gatherTime
}

// balanceDue tells whether keys may move for the sake of load.
func (steer *Steer) balanceDue() bool {
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	now := steer.clock.Now()
	if now.Sub(steer.balancedAt) < balanceInterval {
		return false
	}
	steer.balancedAt = now
	return true
}

// noteMoving remembers since when spans are moving.
func (steer *Steer) noteMoving(service string) {
	table := steer.node.Catalog().Spans[service]
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	present := map[spanMark]bool{}
	now := steer.clock.Now()
	for _, span := range table.Spans {
		if !span.Moving() {
			continue
		}
		mark := spanMark{service: service, from: span.From, owner: span.Owner}
		present[mark] = true
		if _, ok := steer.movingSince[mark]; !ok {
			steer.movingSince[mark] = now
		}
	}
	maps.DeleteFunc(steer.movingSince, func(mark spanMark, _ time.Time) bool {
		return mark.service == service && !present[mark]
	})
}

// placement gathers what the placement of a service's keys depends on.
func (steer *Steer) placement(catalog *state.Catalog, service string) *placement {
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	now := steer.clock.Now()
	loads, ok := steer.loads[service]
	if !ok {
		loads = newLoadMap(now)
		steer.loads[service] = loads
	}
	placement := &placement{
		table: catalog.Spans[service], loads: loads.sums(now), free: map[spans.Owner]bool{},
		owned: map[spans.Owner]float64{}, nextBeat: map[spans.Owner]time.Duration{},
	}
	instances := catalog.InstancesOf(service)
	slices.SortFunc(instances, compareInstances)
	warm := slices.ContainsFunc(instances, func(instance state.Instance) bool {
		return catalog.Wanted(instance) && !instance.Cold && !instance.Silent && !steer.speeds.avoided(instance.ID, now)
	})
	for _, instance := range instances {
		avoided := warm && steer.speeds.avoided(instance.ID, now)
		if catalog.Wanted(instance) && !instance.Silent && !avoided && (!instance.Cold || !warm) {
			placement.candidates = append(placement.candidates, instance.Owner())
			placement.nextBeat[instance.Owner()] = steer.nextBeat(instance.Owner(), now)
		}
	}
	placement.weights = steer.speeds.weights(instances)
	for _, span := range placement.table.All() {
		placement.free[span.Owner] = steer.holdsEnded(catalog, span.Owner, now)
		if !placement.free[span.Owner] {
			instance, known := catalog.Instances[span.Owner.ID]
			leaving := !known || instance.Born != span.Owner.Born || !catalog.Wanted(instance) ||
				warm && steer.speeds.avoided(instance.ID, now)
			placement.setLeaving(span.Owner, leaving)
		}
	}
	return placement
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

// nextBeat returns the time until an upstream's next heartbeat is expected.
func (steer *Steer) nextBeat(owner spans.Owner, now time.Time) time.Duration {
	known, ok := steer.holders[owner]
	if !ok {
		return usualInterval
	}
	interval := known.interval
	if interval == 0 {
		interval = usualInterval
	}
	return max(0, interval-now.Sub(known.heardAt))
}

// holdsEnded tells whether an owner surely holds nothing: its process is known
// to have been replaced, or all that it was granted has ended.
func (steer *Steer) holdsEnded(catalog *state.Catalog, owner spans.Owner, now time.Time) bool {
	if owner == (spans.Owner{}) {
		return true
	}
	if present, ok := catalog.Instances[owner.ID]; ok && present.Born > owner.Born {
		return true
	}
	until := steer.since.Add(holdEnd)
	if known, ok := steer.holders[owner]; ok {
		until = known.until
	}
	return now.After(until)
}

// placement decides who owns a service's keys. It is a pure function of its
// fields.
type placement struct {
	table spans.Table
	// candidates may get keys.
	candidates []spans.Owner
	// free owners surely hold nothing.
	free map[spans.Owner]bool
	// leaving owners hold keys but should let go.
	leaving map[spans.Owner]bool
	loads   *loadSums
	// owned is the load of each candidate, with what is moving to it.
	owned map[spans.Owner]float64
	// weights say how much load each candidate bears, 1 on average.
	weights map[spans.Owner]float64
	// nextBeat is the time until each candidate's next heartbeat.
	nextBeat map[spans.Owner]time.Duration
}

func (placement *placement) setLeaving(owner spans.Owner, leaving bool) {
	if placement.leaving == nil {
		placement.leaving = map[spans.Owner]bool{}
	}
	placement.leaving[owner] = leaving
}

func (placement *placement) candidate(owner spans.Owner) bool {
	return slices.Contains(placement.candidates, owner)
}

// weigh sums up what each candidate owns or is about to own.
func (placement *placement) weigh() {
	placement.owned = map[spans.Owner]float64{}
	for _, span := range placement.table.All() {
		owner := span.Owner
		if span.Moving() {
			owner = span.Next
		}
		placement.owned[owner] += placement.loads.of(span.From, span.To)
	}
}

// target is the load that a candidate of weight 1 should own.
func (placement *placement) target() float64 {
	total := 0.0
	for _, candidate := range placement.candidates {
		total += placement.weight(candidate)
	}
	return placement.loads.of(0, spans.MaxKey) / total
}

func (placement *placement) weight(owner spans.Owner) float64 {
	if weight, known := placement.weights[owner]; known {
		return weight
	}
	return 1
}

// use is an owner's load in relation to what it bears.
func (placement *placement) use(owner spans.Owner) float64 {
	return placement.owned[owner] / placement.weight(owner)
}

// least returns the candidate that is used least.
func (placement *placement) least(except spans.Owner) spans.Owner {
	var best spans.Owner
	for _, candidate := range placement.candidates {
		if candidate == except {
			continue
		}
		if best == (spans.Owner{}) || placement.use(candidate) < placement.use(best) {
			best = candidate
		}
	}
	return best
}

// taker returns the candidate that should take keys from the owner: among those
// that are used little, one whose heartbeat comes soon after the owner's, so that
// the keys are without a holder for a short time.
func (placement *placement) taker(from spans.Owner, target float64) spans.Owner {
	best := placement.least(from)
	bestCost := math.Inf(1)
	for _, candidate := range placement.candidates {
		room := 1 - placement.use(candidate)/target
		if candidate == from || room < balanceLeast {
			continue
		}
		gap := (placement.nextBeat[candidate] - placement.nextBeat[from] - releaseTime + 2*usualInterval) % usualInterval
		if cost := gapWeight*gap.Seconds()/usualInterval.Seconds() - room; cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

// settle gives keys without a holder away, and tells owners that leave to let
// go.
func (placement *placement) settle() []spans.Change {
	if len(placement.candidates) == 0 {
		return nil
	}
	placement.weigh()
	var changes []spans.Change
	for _, span := range placement.table.All() {
		switch {
		case placement.free[span.Owner] && !placement.candidate(span.Owner):
			if placement.candidate(span.Next) {
				changes = append(changes, spans.Change{
					From: span.From, To: span.To, Owner: span.Next, Settle: placement.nextBeat[span.Next] + settleMargin,
				})
				continue
			}
			changes = append(changes, placement.spread(span, true)...)
		case span.Moving() && !placement.candidate(span.Next):
			changes = append(changes, placement.spread(span, false)...)
		case placement.leaving[span.Owner] && !span.Moving():
			changes = append(changes, placement.spread(span, false)...)
		}
	}
	return changes
}

// spread cuts a span among the candidates that own least. With free set they
// own their part at once, else once the present owner has let go.
func (placement *placement) spread(span spans.Span, free bool) []spans.Change {
	if owner := span.Owner; span.Moving() {
		placement.owned[span.Next] -= placement.loads.of(span.From, span.To)
	} else {
		placement.owned[owner] -= placement.loads.of(span.From, span.To)
	}
	var changes []spans.Change
	target := placement.target()
	from := span.From
	for {
		taker := placement.least(span.Owner)
		if taker == (spans.Owner{}) {
			return changes
		}
		bears := target * placement.weight(taker)
		to := placement.loads.cut(from, span.To, max(bears-placement.owned[taker], bears/maxPieces))
		change := spans.Change{From: from, To: to, Next: taker}
		if free {
			change = spans.Change{From: from, To: to, Owner: taker, Settle: placement.nextBeat[taker] + settleMargin}
		}
		changes = append(changes, change)
		placement.owned[taker] += placement.loads.of(from, to)
		if to == span.To {
			return changes
		}
		from = to + 1
	}
}

const (
	// maxPieces bounds how finely a candidate's part is cut.
	maxPieces = 8
	// balanceRatio is the load over the target above which keys move.
	balanceRatio = 1.35
	// balanceLeast is the part of the target that a move must take off an upstream
	// to be worth it.
	balanceLeast = 0.15
	// releaseTime is how long an upstream takes to release keys, from its heartbeat
	// on: it sends another one within 100 ms once their requests have ended.
	releaseTime = 130 * time.Millisecond
	// gapWeight is how much a heartbeat interval without a holder counts against a
	// taker, in units of its room.
	gapWeight = 2.0
	// settleMargin is added to the time of a heartbeat for its way.
	settleMargin = 25 * time.Millisecond
	// usualInterval is the time between heartbeats that is assumed of an upstream
	// until two have come.
	usualInterval = 870 * time.Millisecond
	// leastInterval tells regular heartbeats from those that follow a release.
	leastInterval = 300 * time.Millisecond
	// movesAtOnce bounds the spans that move at a time for the sake of load, and
	// movesPart adds a part of the upstreams to it: a range of busy keys that
	// appears among hundreds of upstreams concerns tens of them.
	movesAtOnce = 4
	movesPart   = 4
)

// balance moves keys from the candidates with most load to those with least. With
// an error it returns the moves that are good all the same.
func (placement *placement) balance() ([]spans.Change, error) {
	if len(placement.candidates) < 2 {
		return nil, nil
	}
	moving := 0
	for _, span := range placement.table.All() {
		if span.Moving() {
			moving++
		}
	}
	placement.weigh()
	target := placement.target()
	var changes []spans.Change
	for ; moving < movesAtOnce+len(placement.candidates)/movesPart; moving++ {
		change, ok := placement.relieve(target)
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

// relieve moves one piece off a candidate that is used too much, if one can be
// relieved at all: a single busy key can't be cut.
func (placement *placement) relieve(target float64) (spans.Change, bool) {
	byUse := slices.Clone(placement.candidates)
	slices.SortFunc(byUse, func(left, right spans.Owner) int {
		return compareLoads(placement.use(right), placement.use(left))
	})
	for _, busy := range byUse {
		if placement.use(busy) < target*balanceRatio {
			return spans.Change{}, false
		}
		taker := placement.taker(busy, target)
		excess := min(placement.owned[busy]-target*placement.weight(busy),
			target*placement.weight(taker)-placement.owned[taker])
		if excess < target*balanceLeast {
			continue
		}
		piece, ok := placement.piece(busy, excess, target*balanceLeast)
		if !ok {
			continue
		}
		load := placement.loads.of(piece.From, piece.To)
		placement.owned[busy] -= load
		placement.owned[taker] += load
		piece.Next = taker
		return piece, true
	}
	return spans.Change{}, false
}

// piece returns the end of one of the owner's spans whose load is closest to the
// wanted one.
func (placement *placement) piece(owner spans.Owner, wanted, least float64) (spans.Change, bool) {
	var best spans.Change
	bestGap := math.Inf(1)
	for _, span := range placement.table.OwnedBy(owner) {
		if span.Moving() {
			continue
		}
		head := spans.Change{From: span.From, To: placement.loads.cut(span.From, span.To, wanted)}
		tail := spans.Change{From: placement.loads.cutBack(span.From, span.To, wanted), To: span.To}
		for _, piece := range []spans.Change{head, tail} {
			load := placement.loads.of(piece.From, piece.To)
			gap := math.Abs(load - wanted)
			if load >= least/2 && load < 2*wanted && gap < bestGap {
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
