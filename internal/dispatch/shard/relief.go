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
	// reliefInterval is the time between two looks at an upstream's pressure.
	reliefInterval = 100 * time.Millisecond
	// pressureWait is the time in the queue that counts as pressure.
	pressureWait = 60 * time.Millisecond
	// pressureTime is how long pressure lasts before keys move away, so that a
	// moment's straggler keeps its keys.
	pressureTime = 400 * time.Millisecond
	// calmTime is how long it is absent before the upstream may get keys again.
	calmTime = 5 * time.Second
	// movePause is the time between the first two moves away from an upstream; it
	// doubles with each, so that an overload of all costs little churn.
	movePause    = time.Second
	maxMovePause = time.Minute
	// reliefShare is the share of the load that one move takes away.
	reliefShare = 0.3
	// maxReliefSlots bounds the slots of one move.
	maxReliefSlots = 4
	// demandDecay is what is left of a slot's counted demand after an interval.
	demandDecay = 0.8
)

// relief moves keys away from an upstream whose requests wait too long for a
// lasting time: from a straggler the busiest ones, from one that is merely full
// all but the busiest, which would only be too much elsewhere.
type relief struct {
	demand    map[state.Slot]float64
	looked    time.Time
	since     time.Time
	calmSince time.Time
	movedAt   time.Time
	// moves counts the moves since the last calm time.
	moves  int
	waited time.Duration
}

// observe counts a request for the slot, and how long it waited.
func (relief *relief) observe(slot state.Slot, waited time.Duration) {
	if relief.demand == nil {
		relief.demand = map[state.Slot]float64{}
	}
	relief.demand[slot]++
	relief.waited = max(relief.waited, waited)
}

// look ages the demand and tells for how long pressure has lasted.
func (relief *relief) look(now time.Time, oldest time.Duration) time.Duration {
	relief.looked = now
	for slot := range relief.demand {
		relief.demand[slot] *= demandDecay
		if relief.demand[slot] < 1-demandDecay {
			delete(relief.demand, slot)
		}
	}
	pressed := max(relief.waited, oldest) >= pressureWait
	relief.waited = 0
	if !pressed {
		relief.since = time.Time{}
		if relief.calmSince.IsZero() {
			relief.calmSince = now
		}
		return 0
	}
	relief.calmSince = time.Time{}
	if relief.since.IsZero() {
		relief.since = now
	}
	return now.Sub(relief.since)
}

// pause is the time from the last move to the next.
func (relief *relief) pause() time.Duration {
	pause := movePause
	for range relief.moves - 1 {
		pause = min(2*pause, maxMovePause)
	}
	return pause
}

// choose returns the slots to move away.
func (relief *relief) choose(straggling bool) []state.Slot {
	slots := slices.SortedFunc(maps.Keys(relief.demand), func(left, right state.Slot) int {
		return cmp.Or(
			cmp.Compare(relief.demand[right], relief.demand[left]),
			cmp.Compare(left.Partition, right.Partition),
			cmp.Compare(left.Key, right.Key),
		)
	})
	total := 0.0
	for _, demand := range relief.demand {
		total += demand
	}
	if !straggling && len(slots) > 0 {
		slots = slots[1:]
	}
	taken := 0.0
	for position, slot := range slots {
		if position == maxReliefSlots || taken >= total*reliefShare {
			return slots[:position]
		}
		taken += relief.demand[slot]
	}
	return slots
}

// relieve looks at the pressure on a keyed shard's upstream and acts on it.
func (shard *Shard) relieve(now time.Time) {
	target, ok := shard.targets[shard.upstream]
	if shard.upstream == "" || !ok || now.Sub(shard.relief.looked) < reliefInterval || !shard.mine() {
		return
	}
	lasted := shard.relief.look(now, shard.oldestWaiting(now))
	full := target.upstream.Full
	calm := !shard.relief.calmSince.IsZero() && now.Sub(shard.relief.calmSince) >= calmTime
	switch {
	case full && calm && !target.slow():
		shard.mark(target, false)
	case lasted >= pressureTime && !full:
		shard.mark(target, true)
	}
	if calm {
		shard.relief.moves = 0
	}
	if lasted >= pressureTime && now.Sub(shard.relief.movedAt) >= shard.relief.pause() {
		shard.relief.movedAt = now
		shard.relief.moves++
		shard.moveAway(shard.relief.choose(target.slow()))
	}
}

// oldestWaiting returns the age of the request that has waited longest.
func (shard *Shard) oldestWaiting(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, lane := range shard.lanes {
		if arrived, ok := lane.queue.Oldest(); ok {
			oldest = max(oldest, now.Sub(arrived))
		}
	}
	return oldest
}

// mark says whether the upstream may get more keys.
func (shard *Shard) mark(target *target, full bool) {
	reason := "ends"
	if full {
		reason = "begins"
	}
	shard.env.Stats.Event("full", reason)
	// The catalog confirms this, or corrects it if the command gets lost.
	target.upstream.Full = full
	command := state.MarkUpstream{ID: target.upstream.ID, Epoch: target.upstream.Epoch, Full: full}
	go shard.proposeOnce(command)
}

// proposeOnce commits a command that may get lost.
func (shard *Shard) proposeOnce(command state.Command) {
	ctx, cancel := context.WithTimeout(shard.ctx, proposeTimeout)
	defer cancel()
	_, _ = shard.env.Control.Propose(ctx, command)
}

// moveAway orders slots to the upstreams that own the fewest.
func (shard *Shard) moveAway(slots []state.Slot) {
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
