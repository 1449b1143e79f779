package plan

import (
	"maps"
	"slices"
	"strconv"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

// slotOwner is a slot with its present owner.
type slotOwner struct {
	slot  state.Slot
	owner state.Owner
}

// slotsOf lists a table's partitions and then its single keys, sorted.
func slotsOf(table state.Table) []slotOwner {
	var slots []slotOwner
	for partition, owner := range table.Partitions {
		slots = append(slots, slotOwner{slot: state.Slot{Partition: partition}, owner: owner})
	}
	for _, key := range slices.Sorted(maps.Keys(table.Keys)) {
		slots = append(slots, slotOwner{slot: state.Slot{Key: key}, owner: table.Keys[key]})
	}
	return slots
}

// goesTo is the upstream that owns the slot once present moves are done.
func (slotowner slotOwner) goesTo() string {
	if slotowner.owner.MovingTo != "" {
		return slotowner.owner.MovingTo
	}
	return slotowner.owner.Upstream
}

func (slotowner slotOwner) moveTo(upstream string) state.SlotMove {
	return state.SlotMove{Slot: slotowner.slot, Token: slotowner.owner.Token, To: upstream}
}

// stickyMoves moves only slots that have to: those without an owner and those
// whose owner is leaving, each to the taker with the fewest. Moves for balance
// come a few at a time, and only from upstreams above the mean.
func stickyMoves(table state.Table, upstreams, takers []string, balance bool) []state.SlotMove {
	owned := map[string]int{}
	for _, name := range upstreams {
		owned[name] = 0
	}
	slots := slotsOf(table)
	for _, slot := range slots {
		if _, ok := owned[slot.goesTo()]; ok {
			owned[slot.goesTo()]++
		}
	}
	var moves []state.SlotMove
	for _, slot := range slots {
		if _, ok := owned[slot.goesTo()]; ok {
			continue
		}
		target := fewest(owned, takers)
		owned[target]++
		moves = append(moves, slot.moveTo(target))
	}
	if balance && len(moves) == 0 {
		moves = balanceMoves(slots, owned, takers)
	}
	return moves
}

func fewest(owned map[string]int, upstreams []string) string {
	return slices.MinFunc(upstreams, func(left, right string) int { return owned[left] - owned[right] })
}

// balanceMoves takes partitions from upstreams that own more than the mean
// and the slack allow, and gives each upstream only a few at a time. Single keys stay: they were placed on purpose.
func balanceMoves(slots []slotOwner, owned map[string]int, takers []string) []state.SlotMove {
	limit := MaxOwned(len(slots), len(owned))
	gained := map[string]int{}
	var moves []state.SlotMove
	for _, slot := range slots {
		source := slot.owner.Upstream
		if slot.slot.Key != "" || slot.owner.MovingTo != "" || owned[source] <= limit {
			continue
		}
		target := fewest(owned, takers)
		if owned[target]+1 >= owned[source] || gained[target] == balanceSlots {
			break
		}
		owned[source]--
		owned[target]++
		gained[target]++
		moves = append(moves, slot.moveTo(target))
	}
	return moves
}

// rendezvousMoves places each partition on its highest-ranked upstream, at
// once; single keys move only when their owner is leaving.
func rendezvousMoves(table state.Table, upstreams []string) []state.SlotMove {
	var moves []state.SlotMove
	for _, slot := range slotsOf(table) {
		item := slot.slot.Key
		if item == "" {
			item = strconv.Itoa(slot.slot.Partition)
		} else if slices.Contains(upstreams, slot.goesTo()) {
			continue
		}
		target := slices.MaxFunc(upstreams, func(left, right string) int {
			return compareRank(item, left, right)
		})
		if slot.goesTo() != target {
			moves = append(moves, slot.moveTo(target))
		}
	}
	return moves
}

func compareRank(item, left, right string) int {
	switch leftRank, rightRank := rank(item, left), rank(item, right); {
	case leftRank < rightRank:
		return -1
	case leftRank > rightRank:
		return 1
	default:
		return 0
	}
}
