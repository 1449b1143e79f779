package steer

import (
	"cmp"
	"slices"

	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// exposureFill is the part of the exposure up to which keys are moved to a rollout's target.
// Loads vary by some tens of percent from one second to the next, and keys are moved back from
// an upstream only when the target has more than its exposure.
const exposureFill = 0.75

// setExposure divides candidates between a running rollout's target, whose upstreams share its
// exposure, and the version in use.
func (placement *placement) setExposure(rollout state.Rollout, owner spans.Owner, version string) {
	if rollout.Stable != "" && rollout.State == state.RolloutRunning && version == rollout.Target {
		placement.exposed = append(placement.exposed, owner)
		placement.exposure = float64(rollout.Exposure) / state.FullExposure
		return
	}
	placement.candidates = append(placement.candidates, owner)
}

// exposedLoad returns the load that upstreams of the target have or are about to have.
func (placement *placement) exposedLoad() float64 {
	sum := 0.0
	for _, owner := range placement.exposed {
		sum += placement.ownedLoad[owner]
	}
	return sum
}

// expose moves keys to upstreams of a rollout's target until these have most of the exposure, or
// back if they have more than the exposure.
func (placement *placement) expose() ([]spans.Change, error) {
	if len(placement.exposed) == 0 || len(placement.candidates) == 0 {
		return nil, nil
	}
	placement.sumOwnedLoad()
	allowed := placement.exposure * placement.loads.between(0, spans.MaxKey)
	if placement.exposedLoad() > allowed {
		return placement.conceal(allowed), nil
	}
	var changes []spans.Change
	for moves := placement.freeMoves(len(placement.candidates) + len(placement.exposed)); moves > 0; moves-- {
		change, ok := placement.planExposure(allowed)
		if !ok {
			break
		}
		table, err := placement.table.Apply(placement.table.Version, []spans.Change{change})
		if err != nil {
			return changes, Error.New("expose: %w", err)
		}
		placement.table = table
		changes = append(changes, change)
	}
	return changes, nil
}

// planExposure moves one key range to the target. Its upstreams are filled one after the other
// up to their fair load, so that a small exposure takes few moves.
func (placement *placement) planExposure(allowed float64) (spans.Change, bool) {
	current := placement.exposedLoad()
	fair := placement.loads.between(0, spans.MaxKey) / float64(len(placement.candidates)+len(placement.exposed))
	recipient, room := spans.Owner{}, 0.0
	for _, owner := range placement.exposed {
		free := fair*placement.weight(owner) - placement.ownedLoad[owner]
		if free >= minMoveFraction*fair && (room == 0 || free < room) {
			recipient, room = owner, free
		}
	}
	wanted := min(room, exposureFill*allowed-current)
	if wanted < minMoveFraction*min(exposureFill*allowed, fair) {
		return spans.Change{}, false
	}
	byLoad := slices.Clone(placement.candidates)
	slices.SortFunc(byLoad, func(left, right spans.Owner) int {
		return cmp.Compare(placement.relativeLoad(right), placement.relativeLoad(left))
	})
	for _, owner := range byLoad {
		piece, ok := placement.selectRange(owner, wanted, wanted/2)
		if !ok {
			continue
		}
		load := placement.loads.between(piece.From, piece.To)
		if current+load > allowed {
			continue
		}
		placement.ownedLoad[owner] -= load
		placement.ownedLoad[recipient] += load
		piece.Next = recipient
		return piece, true
	}
	return spans.Change{}, false
}

// conceal moves keys back to the version in use until the target has at most the allowed load.
func (placement *placement) conceal(allowed float64) []spans.Change {
	var held []spans.Span
	for _, span := range placement.table.All() {
		if !span.Moving() && slices.Contains(placement.exposed, span.Owner) || slices.Contains(placement.exposed, span.Next) {
			held = append(held, span)
		}
	}
	slices.SortFunc(held, func(left, right spans.Span) int {
		return cmp.Compare(placement.loads.between(right.From, right.To), placement.loads.between(left.From, left.To))
	})
	var changes []spans.Change
	for _, span := range held {
		if placement.exposedLoad() <= allowed {
			break
		}
		changes = append(changes, placement.distribute(span, false)...)
	}
	return changes
}

// freeMoves returns the number of spans that may begin to move now, of a service with a number
// of upstreams.
func (placement *placement) freeMoves(upstreams int) int {
	moves := baseConcurrentMoves + upstreams/upstreamsPerMove
	for _, span := range placement.table.All() {
		if span.Moving() {
			moves--
		}
	}
	return moves
}

// keysElsewhere reports whether upstreams of other versions than the target own keys of a
// service.
func keysElsewhere(catalog *state.Catalog, service, target string) bool {
	return slices.ContainsFunc(catalog.Spans[service].Spans, func(span spans.Span) bool {
		instance, present := catalog.Instances[span.Owner.ID]
		return present && instance.Born == span.Owner.Born && instance.Version != target
	})
}
