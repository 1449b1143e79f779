package shard

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	// rebalanceInterval is the time between two overload checks.
	rebalanceInterval = 100 * time.Millisecond
	// overloadWait is the queueing time from which an upstream counts as
	// overloaded.
	overloadWait = 60 * time.Millisecond
	// overloadTime is how long an overload must last before keys are moved away,
	// so that an upstream that is slow only briefly keeps its keys.
	overloadTime = 400 * time.Millisecond
	// recoveryTime is how long an upstream must not be overloaded before it may
	// get keys again.
	recoveryTime = 5 * time.Second
	// moveBackoff is the time between the first two moves away from an upstream.
	// It doubles with each move, to limit churn when all upstreams are overloaded.
	moveBackoff    = time.Second
	maxMoveBackoff = time.Minute
	// moveShare is the share of the counted demand that one move takes away.
	moveShare = 0.3
	// maxMoveSlots bounds the slots of one move.
	maxMoveSlots = 4
	// demandDecay is the factor by which a slot's counted demand is multiplied per
	// interval.
	demandDecay = 0.8
)

// rebalancer decides which slots to move away from an upstream that stays
// overloaded: from a straggler the busiest slots, and from an upstream that is
// merely full the busiest slots except the first, which would overload any other
// upstream too.
type rebalancer struct {
	demand          map[state.Slot]float64
	checkedAt       time.Time
	overloadedSince time.Time
	normalSince     time.Time
	movedAt         time.Time
	// moves counts the moves since the upstream last recovered.
	moves   int
	maxWait time.Duration
}

// observe counts a request for the slot, and how long it waited.
func (rebalancer *rebalancer) observe(slot state.Slot, waited time.Duration) {
	if rebalancer.demand == nil {
		rebalancer.demand = map[state.Slot]float64{}
	}
	rebalancer.demand[slot]++
	rebalancer.maxWait = max(rebalancer.maxWait, waited)
}

// update decays the demand and returns how long the overload has lasted, or 0 if
// there is none. longestWait is the age of the oldest waiting request.
func (rebalancer *rebalancer) update(now time.Time, longestWait time.Duration) time.Duration {
	rebalancer.checkedAt = now
	for slot := range rebalancer.demand {
		rebalancer.demand[slot] *= demandDecay
		if rebalancer.demand[slot] < 1-demandDecay {
			delete(rebalancer.demand, slot)
		}
	}
	overloaded := max(rebalancer.maxWait, longestWait) >= overloadWait
	rebalancer.maxWait = 0
	if !overloaded {
		rebalancer.overloadedSince = time.Time{}
		if rebalancer.normalSince.IsZero() {
			rebalancer.normalSince = now
		}
		return 0
	}
	rebalancer.normalSince = time.Time{}
	if rebalancer.overloadedSince.IsZero() {
		rebalancer.overloadedSince = now
	}
	return now.Sub(rebalancer.overloadedSince)
}

// backoff returns the minimum time from the last move to the next.
func (rebalancer *rebalancer) backoff() time.Duration {
	backoff := moveBackoff
	for range rebalancer.moves - 1 {
		backoff = min(2*backoff, maxMoveBackoff)
	}
	return backoff
}

// chooseSlots returns the slots to move away.
func (rebalancer *rebalancer) chooseSlots(straggling bool) []state.Slot {
	slots := slices.SortedFunc(maps.Keys(rebalancer.demand), func(left, right state.Slot) int {
		return cmp.Or(
			cmp.Compare(rebalancer.demand[right], rebalancer.demand[left]),
			cmp.Compare(left.Partition, right.Partition),
			cmp.Compare(left.Key, right.Key),
		)
	})
	total := 0.0
	for _, demand := range rebalancer.demand {
		total += demand
	}
	if !straggling && len(slots) > 0 {
		slots = slots[1:]
	}
	chosen := 0.0
	for position, slot := range slots {
		if position == maxMoveSlots || chosen >= total*moveShare {
			return slots[:position]
		}
		chosen += rebalancer.demand[slot]
	}
	return slots
}

// rebalance checks whether a keyed shard's upstream is overloaded, marks it as
// full or not full, and moves slots away from it.
func (shard *Shard) rebalance(now time.Time) {
	target, ok := shard.targets[shard.upstream]
	if shard.upstream == "" || !ok || now.Sub(shard.rebalancer.checkedAt) < rebalanceInterval || !shard.isPrimary() {
		return
	}
	overloadedFor := shard.rebalancer.update(now, shard.longestWait(now))
	full := target.upstream.Full
	recovered := !shard.rebalancer.normalSince.IsZero() && now.Sub(shard.rebalancer.normalSince) >= recoveryTime
	switch {
	case full && recovered && !target.slow():
		shard.markFull(target, false)
	case overloadedFor >= overloadTime && !full:
		shard.markFull(target, true)
	}
	if recovered {
		shard.rebalancer.moves = 0
	}
	if overloadedFor >= overloadTime && now.Sub(shard.rebalancer.movedAt) >= shard.rebalancer.backoff() {
		shard.rebalancer.movedAt = now
		shard.rebalancer.moves++
		shard.moveSlots(shard.rebalancer.chooseSlots(target.slow()))
	}
}

// longestWait returns the age of the request that has waited longest.
func (shard *Shard) longestWait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, class := range shard.classes {
		if arrived, ok := class.queue.OldestArrival(); ok {
			longest = max(longest, now.Sub(arrived))
		}
	}
	return longest
}

// markFull records whether the upstream is full, so that it gets no more keys.
func (shard *Shard) markFull(target *target, full bool) {
	reason := "ends"
	if full {
		reason = "begins"
	}
	shard.env.Stats.Event("full", reason)
	// The catalog confirms this, or reverts it if the command is not committed.
	target.upstream.Full = full
	command := state.SetUpstreamFull{ID: target.upstream.ID, Epoch: target.upstream.Epoch, Full: full}
	go shard.proposeOnce(command)
}

// proposeOnce proposes a command without retries and ignores errors. It is only
// for commands that may be lost.
func (shard *Shard) proposeOnce(command state.Command) {
	ctx, cancel := context.WithTimeout(shard.ctx, proposeTimeout)
	defer cancel()
	_, _ = shard.env.Control.Propose(ctx, command)
}

// moveSlots proposes to move slots to the upstreams that own the fewest
// partitions.
func (shard *Shard) moveSlots(slots []state.Slot) {
	catalog := shard.env.Catalog()
	table := catalog.Tables[shard.service]
	owned := map[string]int{}
	for _, upstream := range catalog.UpstreamsOf(shard.service) {
		if upstream.ID.Name != shard.upstream && !upstream.Full && catalog.UpstreamInService(upstream.ID) {
			owned[upstream.ID.Name] = 0
		}
	}
	if len(owned) == 0 || len(slots) == 0 {
		return
	}
	for _, owner := range table.Partitions {
		if _, ok := owned[owner.Upstream]; ok {
			owned[owner.Upstream]++
		}
	}
	var moves []state.SlotMove
	for _, slot := range slots {
		owner, ok := table.Get(slot)
		if !ok || owner.Upstream != shard.upstream || owner.MovingTo != "" {
			continue
		}
		names := slices.Sorted(maps.Keys(owned))
		to := slices.MinFunc(names, func(left, right string) int { return owned[left] - owned[right] })
		owned[to]++
		moves = append(moves, state.SlotMove{Slot: slot, Token: owner.Token, To: to})
	}
	if len(moves) > 0 {
		shard.env.Stats.Event("relief", "moved")
		go shard.proposeOnce(state.MoveSlots{Service: shard.service, Moves: moves})
	}
}
