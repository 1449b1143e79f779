package plan

import (
	"maps"
	"slices"
	"strconv"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

// slotOwner is a slot with its current owner.
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

// nextOwner returns the upstream that owns the slot once its pending move is done.
func (slotowner slotOwner) nextOwner() string {
	if slotowner.owner.MovingTo != "" {
		return slotowner.owner.MovingTo
	}
	return slotowner.owner.Upstream
}

func (slotowner slotOwner) moveTo(upstream string) state.SlotMove {
	return state.SlotMove{Slot: slotowner.slot, Token: slotowner.owner.Token, To: upstream}
}

// stickyMoves moves only slots that have to move: those without an owner and those
// whose owner is leaving, each to the accepting upstream with the fewest slots.
// Rebalancing moves a few at a time, and only from upstreams above the mean.
func stickyMoves(table state.Table, upstreams, accepting []string, rebalance bool) []state.SlotMove {
	owned := map[string]int{}
	for _, name := range upstreams {
		owned[name] = 0
	}
	slots := slotsOf(table)
	for _, slot := range slots {
		if _, ok := owned[slot.nextOwner()]; ok {
			owned[slot.nextOwner()]++
		}
	}
	var moves []state.SlotMove
	for _, slot := range slots {
		if _, ok := owned[slot.nextOwner()]; ok {
			continue
		}
		target := fewestSlots(owned, accepting)
		owned[target]++
		moves = append(moves, slot.moveTo(target))
	}
	if rebalance && len(moves) == 0 {
		moves = balanceMoves(slots, owned, accepting)
	}
	return moves
}

func fewestSlots(owned map[string]int, upstreams []string) string {
	return slices.MinFunc(upstreams, func(left, right string) int { return owned[left] - owned[right] })
}

// balanceMoves moves partitions away from upstreams that own more than
// MaxSlotsPerUpstream allows, at most maxBalanceSlots to each upstream. Single keys
// stay, because they were placed on purpose.
func balanceMoves(slots []slotOwner, owned map[string]int, accepting []string) []state.SlotMove {
	limit := MaxSlotsPerUpstream(len(slots), len(owned))
	gained := map[string]int{}
	var moves []state.SlotMove
	for _, slot := range slots {
		source := slot.owner.Upstream
		if slot.slot.Key != "" || slot.owner.MovingTo != "" || owned[source] <= limit {
			continue
		}
		target := fewestSlots(owned, accepting)
		if owned[target]+1 >= owned[source] || gained[target] == maxBalanceSlots {
			break
		}
		owned[source]--
		owned[target]++
		gained[target]++
		moves = append(moves, slot.moveTo(target))
	}
	return moves
}

// rendezvousMoves moves each partition to the upstream with the highest score for
// it, all in one step. Single keys move only if their owner is leaving.
func rendezvousMoves(table state.Table, upstreams []string) []state.SlotMove {
	var moves []state.SlotMove
	for _, slot := range slotsOf(table) {
		item := slot.slot.Key
		if item == "" {
			item = strconv.Itoa(slot.slot.Partition)
		} else if slices.Contains(upstreams, slot.nextOwner()) {
			continue
		}
		target := slices.MaxFunc(upstreams, func(left, right string) int {
			return compareScores(item, left, right)
		})
		if slot.nextOwner() != target {
			moves = append(moves, slot.moveTo(target))
		}
	}
	return moves
}

func compareScores(item, left, right string) int {
	switch leftScore, rightScore := rendezvousScore(item, left), rendezvousScore(item, right); {
	case leftScore < rightScore:
		return -1
	case leftScore > rightScore:
		return 1
	default:
		return 0
	}
}
