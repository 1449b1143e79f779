package steer

import (
	"context"
	"maps"
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
	if len(changes) == 0 && steer.balanceDue() {
		changes = placement.balance()
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
		owned: map[spans.Owner]float64{},
	}
	instances := catalog.InstancesOf(service)
	slices.SortFunc(instances, func(left, right state.Instance) int { return compareInstances(left, right) })
	warm := slices.ContainsFunc(instances, func(instance state.Instance) bool {
		return catalog.Wanted(instance) && !instance.Cold && !instance.Silent
	})
	for _, instance := range instances {
		if catalog.Wanted(instance) && !instance.Silent && (!instance.Cold || !warm) {
			placement.candidates = append(placement.candidates, instance.Owner())
			placement.places = append(placement.places, instance.DataCentre)
		}
	}
	for _, span := range placement.table.All() {
		placement.free[span.Owner] = steer.holdsEnded(catalog, span.Owner, now)
		if !placement.free[span.Owner] {
			instance, known := catalog.Instances[span.Owner.ID]
			leaving := !known || instance.Born != span.Owner.Born || !catalog.Wanted(instance)
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
	// candidates may get keys; places are their data centres.
	candidates []spans.Owner
	places     []string
	// free owners surely hold nothing.
	free map[spans.Owner]bool
	// leaving owners hold keys but should let go.
	leaving map[spans.Owner]bool
	loads   *loadSums
	// owned is the load of each candidate, with what is moving to it.
	owned map[spans.Owner]float64
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

// target is the load that each candidate should own.
func (placement *placement) target() float64 {
	return placement.loads.of(0, spans.MaxKey) / float64(len(placement.candidates))
}

// least returns the candidate that owns least.
func (placement *placement) least(except spans.Owner) (spans.Owner, float64) {
	var best spans.Owner
	lowest := 0.0
	for _, candidate := range placement.candidates {
		if candidate == except {
			continue
		}
		if load := placement.owned[candidate]; best == (spans.Owner{}) || load < lowest {
			best, lowest = candidate, load
		}
	}
	return best, lowest
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
				changes = append(changes, spans.Change{From: span.From, To: span.To, Owner: span.Next})
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
		taker, load := placement.least(span.Owner)
		if taker == (spans.Owner{}) {
			return changes
		}
		to := placement.loads.cut(from, span.To, max(target-load, target/maxPieces))
		change := spans.Change{From: from, To: to, Next: taker}
		if free {
			change = spans.Change{From: from, To: to, Owner: taker}
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
	// movesAtOnce bounds the spans that move at a time for the sake of load.
	movesAtOnce = 4
)

// balance moves keys from the candidate with most load to the one with least.
func (placement *placement) balance() []spans.Change {
	if len(placement.candidates) < 2 {
		return nil
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
	for ; moving < movesAtOnce; moving++ {
		change, ok := placement.relieve(target, changes)
		if !ok {
			break
		}
		changes = append(changes, change)
	}
	return changes
}

// relieve moves one piece off the candidate that owns most.
func (placement *placement) relieve(target float64, changed []spans.Change) (spans.Change, bool) {
	most := slices.MaxFunc(placement.candidates, func(left, right spans.Owner) int {
		return compareLoads(placement.owned[left], placement.owned[right])
	})
	taker, low := placement.least(most)
	excess := min(placement.owned[most]-target, target-low)
	least := target * balanceLeast
	if placement.owned[most] < target*balanceRatio || excess < least {
		return spans.Change{}, false
	}
	for _, span := range placement.table.OwnedBy(most) {
		touched := slices.ContainsFunc(changed, func(change spans.Change) bool {
			return change.From <= span.To && change.To >= span.From
		})
		if span.Moving() || touched {
			continue
		}
		load := placement.loads.of(span.From, span.To)
		if load < least {
			continue
		}
		to := placement.loads.cut(span.From, span.To, min(excess, load))
		piece := placement.loads.of(span.From, to)
		if piece < least/2 || piece > 2*excess {
			continue
		}
		placement.owned[most] -= piece
		placement.owned[taker] += piece
		return spans.Change{From: span.From, To: to, Next: taker}, true
	}
	return spans.Change{}, false
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
