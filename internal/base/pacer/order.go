package pacer

import (
	"cmp"
	"slices"
	"time"
)

// lastChanceFactor is how many times the link's time that an answer needs is kept before its
// deadline.
const lastChanceFactor = 2

// order is what the order of waiting pieces depends on, by flow.
type order struct {
	position       int
	goal, deadline time.Time
	// need is how long the line needs for the answer, and after how long it takes from then
	// on until the answer has been passed on.
	need, after time.Duration
}

// onTime reports whether the answer can be passed on before a time if the line begins with it
// after a delay.
func (order order) onTime(now time.Time, delay time.Duration, limit time.Time) bool {
	return !now.Add(delay + order.need + order.after).After(limit)
}

// next returns the position of the piece that is passed on next. First come answers that
// would otherwise miss their deadline, then as many as can be passed on before their
// objectives, by these, and then those that are late, in the same way by their deadlines.
func (line *line) next(now time.Time, otherRate float64) int {
	orders := make([]order, 0, len(line.waiting))
	rate := line.largeRate(now)
	for position, piece := range line.waiting {
		flow := piece.flow
		orders = append(orders, order{
			position: position, goal: flow.goal, deadline: flow.deadline,
			need: seconds(flow.left[line.direction], rate), after: seconds(flow.leftAfter(line.direction), otherRate),
		})
	}
	byDeadline := slices.SortedFunc(slices.Values(orders), func(one, other order) int { return one.deadline.Compare(other.deadline) })
	for _, order := range byDeadline {
		reserve := time.Duration(float64(order.need+order.after) * (lastChanceFactor - 1))
		if order.onTime(now, 0, order.deadline) && !order.onTime(now, reserve, order.deadline) {
			return order.position
		}
	}
	if first, ok := firstOnTime(now, orders, func(order order) time.Time { return order.goal }); ok {
		return first.position
	}
	if first, ok := firstOnTime(now, orders, func(order order) time.Time { return order.deadline }); ok {
		return first.position
	}
	return byDeadline[0].position
}

// firstOnTime returns the first of the largest set of answers that can all be passed on
// before their limits, by the method of Moore and Hodgson: in the order of limits, the longest
// is left out whenever one would be late.
func firstOnTime(now time.Time, orders []order, limit func(order) time.Time) (order, bool) {
	var kept []order
	total := time.Duration(0)
	for _, next := range slices.SortedFunc(slices.Values(orders), func(one, other order) int {
		return cmp.Or(limit(one).Compare(limit(other)), cmp.Compare(one.need, other.need)) // one after the other if they are alike
	}) {
		kept = append(kept, next)
		total += next.need
		if next.onTime(now, total-next.need, limit(next)) {
			continue
		}
		longest := 0
		for position := range kept {
			if cmp.Compare(kept[position].need, kept[longest].need) >= 0 {
				longest = position
			}
		}
		total -= kept[longest].need
		kept = slices.Delete(kept, longest, longest+1)
	}
	if len(kept) == 0 {
		return order{}, false
	}
	return kept[0], true
}
