package canary

import (
	"math"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	// slotTime is the length of the time slots in which versions are compared: one poll.
	slotTime = 400 * time.Millisecond
	// spareSlots are kept beyond those of the test for sudden failures: their prediction may
	// still change as reports of the following slot arrive.
	spareSlots = 2
	// priorAnswers is the weight, in answers, of a route's share of bad responses in the
	// estimate for one data centre, and of the share over the whole term in that of the route.
	priorAnswers = 20.0
	// priorBad and priorOf are the share of bad responses that is assumed without any evidence.
	priorBad, priorOf = 1.0, 100.0
	// unmatchedShare is the least predicted share of bad responses where no request went to
	// the stable version at the same time, such as while a rollout finishes.
	unmatchedShare = 0.05
	// minWorkAnswers is the number of answers from which a mean of work is used.
	minWorkAnswers = 10
	// clustering is the factor by which counts of bad responses vary more than those of
	// independent ones.
	clustering = 2.0
	// minUpstreams is the number of the target's upstreams from which on one of them may cause
	// failures of its own, and soleShare is the least part of the failures that it causes then.
	minUpstreams = 3
	soleShare    = 0.7
)

// cell is what versions are compared within: requests on other routes, or of callers in other
// data centres, may fail for reasons of their own.
type cell struct{ route, dataCentre string }

// counts sums up requests to one version.
type counts struct {
	answered, bad int
	work          time.Duration
}

func (counts *counts) add(sample Sample) {
	counts.answered += sample.Answered
	counts.bad += sample.Bad
	counts.work += sample.Work
}

func (counts *counts) sum(other counts) {
	counts.answered += other.answered
	counts.bad += other.bad
	counts.work += other.work
}

// pair holds the counts of both versions.
type pair struct{ stable, target counts }

// slot holds what was reported in one period of slotTime.
type slot struct {
	start     time.Time
	cells     map[cell]pair
	upstreams map[string]Outcomes
}

// tally compares the target with what the stable version's responses predict for it.
type tally struct {
	pair
	// expected is the predicted number of bad responses, with its variance.
	expected, variance float64
	// expectedWork is the predicted work, in seconds, of the matched responses, for which there
	// is a prediction.
	expectedWork float64
	matched      counts
	// basis is the number of bad responses of the stable version that the prediction rests on.
	basis int
	// badSlots is the number of slots with bad responses, and worstSlot the most of one.
	badSlots, worstSlot int
}

func (tally *tally) sum(other tally) {
	tally.stable.sum(other.stable)
	tally.target.sum(other.target)
	tally.expected += other.expected
	tally.variance += other.variance
	tally.expectedWork += other.expectedWork
	tally.matched.sum(other.matched)
	tally.badSlots += other.badSlots
	tally.worstSlot = max(tally.worstSlot, other.worstSlot)
}

// exceeds reports whether the bad responses exceed their prediction by a factor and by a number
// of standard deviations, and by the same number of responses. A prediction that rests on few bad
// responses is itself uncertain.
func (tally *tally) exceeds(factor, deviations float64) bool {
	variance := tally.variance + tally.expected*tally.expected/float64(tally.basis+1)
	return float64(tally.target.bad) >= factor*tally.expected+deviations*math.Sqrt(clustering*variance)+deviations
}

// persists reports whether bad responses came in several slots, and not most of them in one.
func (tally *tally) persists(slots int) bool {
	return tally.badSlots >= slots && float64(tally.worstSlot) <= maxSlotShare*float64(tally.target.bad)
}

// workRatio returns the mean work of the target, as a multiple of what is predicted.
func (tally *tally) workRatio() float64 {
	if tally.expectedWork <= 0 || tally.matched.answered < minSlowAnswers {
		return 0
	}
	return tally.matched.work.Seconds() / tally.expectedWork
}

// tallies holds the tallies by route, and that of all routes under "".
type tallies map[string]tally

// discount leaves out the part of bad responses that a single upstream causes.
func (tallies tallies) discount(part float64) {
	for route, tally := range tallies {
		tally.target.bad -= int(math.Ceil(part * float64(tally.target.bad)))
		tallies[route] = tally
	}
}

// evidence holds the reports on both versions. The zero value is empty.
type evidence struct {
	// recent is how long the test for sudden failures looks back.
	recent time.Duration
	slots  []slot
	// past are the tallies of slots that are not kept any more, and stable all counts of the
	// stable version by route.
	past   tallies
	stable map[string]counts
	// upstreams are the outcomes of slots that are not kept any more.
	upstreams map[string]Outcomes
}

// add adds a report's statistics of a version.
func (evidence *evidence) add(now time.Time, dataCentre string, rollout state.Rollout, sample Sample) {
	if sample.Version != rollout.Stable && sample.Version != rollout.Target {
		return
	}
	latest := evidence.slotAt(now)
	key := cell{route: sample.Route, dataCentre: dataCentre}
	both := latest.cells[key]
	if sample.Version == rollout.Target {
		both.target.add(sample)
	} else {
		both.stable.add(sample)
		whole := evidence.stable[sample.Route]
		whole.add(sample)
		evidence.stable[sample.Route] = whole
	}
	latest.cells[key] = both
}

// addUpstreams adds a report's outcomes of requests to upstreams of the target.
func (evidence *evidence) addUpstreams(now time.Time, outcomes map[string]Outcomes) {
	if len(outcomes) > 0 {
		addOutcomes(evidence.slotAt(now).upstreams, outcomes)
	}
}

func addOutcomes(sums, outcomes map[string]Outcomes) {
	for upstream, counts := range outcomes {
		sum := sums[upstream]
		sum.Answered += counts.Answered
		sum.Failed += counts.Failed
		sums[upstream] = sum
	}
}

// soleFailures returns the part of the target's failed requests since a time that one upstream
// causes, if it causes most of them among minUpstreams or more, and otherwise 0. Such an upstream
// has crashed or is cut off; a bad version fails on all of them.
func (evidence *evidence) soleFailures(since time.Time) float64 {
	sums := map[string]Outcomes{}
	if since.IsZero() {
		addOutcomes(sums, evidence.upstreams)
	}
	for _, slot := range evidence.slots {
		if !slot.start.Before(since) {
			addOutcomes(sums, slot.upstreams)
		}
	}
	total, worst := 0, 0
	for _, counts := range sums {
		total += counts.Failed
		worst = max(worst, counts.Failed)
	}
	if len(sums) < minUpstreams || float64(worst) < soleShare*float64(total) || worst == 0 {
		return 0
	}
	return float64(worst) / float64(total)
}

// slotAt returns the slot of a time, which must not be before that of the latest report. It
// drops the oldest slots.
func (evidence *evidence) slotAt(now time.Time) *slot {
	if evidence.stable == nil {
		evidence.stable, evidence.past, evidence.upstreams = map[string]counts{}, tallies{}, map[string]Outcomes{}
	}
	start := now.Truncate(slotTime)
	if last := len(evidence.slots) - 1; last < 0 || evidence.slots[last].start.Before(start) {
		evidence.slots = append(evidence.slots, slot{start: start, cells: map[cell]pair{}, upstreams: map[string]Outcomes{}})
	}
	for len(evidence.slots) > int(evidence.recent/slotTime)+spareSlots {
		evidence.addSlot(evidence.past, 0)
		addOutcomes(evidence.upstreams, evidence.slots[0].upstreams)
		evidence.slots = evidence.slots[1:]
	}
	return &evidence.slots[len(evidence.slots)-1]
}

// sums returns the tallies of the latest slots and of all.
func (evidence *evidence) sums(now time.Time) (recent, all tallies) {
	recent, all = tallies{}, tallies{}
	for route, past := range evidence.past {
		all[route] = past
	}
	for position := range evidence.slots {
		evidence.addSlot(all, position)
		if now.Sub(evidence.slots[position].start) <= evidence.recent {
			evidence.addSlot(recent, position)
		}
	}
	evidence.setBasis(recent)
	evidence.setBasis(all)
	return recent, all
}

// setBasis sets the basis of tallies.
func (evidence *evidence) setBasis(sums tallies) {
	total := 0
	for route, counts := range evidence.stable {
		total += counts.bad
		if tally, ok := sums[route]; ok {
			tally.basis = counts.bad
			sums[route] = tally
		}
	}
	if tally, ok := sums[""]; ok {
		tally.basis = total
		sums[""] = tally
	}
}

// addSlot adds the tallies of one slot. The stable version's responses in the slots before and
// after count too: a request's answer may be reported one poll later.
func (evidence *evidence) addSlot(sums tallies, position int) {
	cells, routes := map[cell]counts{}, map[string]counts{}
	for near := max(0, position-1); near <= min(position+1, len(evidence.slots)-1); near++ {
		for key, both := range evidence.slots[near].cells {
			ofCell, ofRoute := cells[key], routes[key.route]
			ofCell.sum(both.stable)
			ofRoute.sum(both.stable)
			cells[key], routes[key.route] = ofCell, ofRoute
		}
	}
	byRoute := tallies{}
	for key, both := range evidence.slots[position].cells {
		part := predict(both, cells[key], routes[key.route], evidence.stable[key.route])
		whole := byRoute[key.route]
		whole.sum(part)
		byRoute[key.route] = whole
	}
	total := tally{}
	for route, part := range byRoute {
		part.countSlot()
		previous := sums[route]
		previous.sum(part)
		if route != "" {
			sums[route] = previous
		}
		part.badSlots, part.worstSlot = 0, 0
		total.sum(part)
	}
	total.countSlot()
	whole := sums[""]
	whole.sum(total)
	sums[""] = whole
}

// countSlot counts the slot that the tally is of.
func (tally *tally) countSlot() {
	tally.worstSlot = tally.target.bad
	tally.badSlots = min(1, tally.target.bad)
}

// predict compares the target's counts of a cell with the stable version's: those of the cell
// and of the route at the same time, and those of the route over the whole term.
func predict(both pair, ofCell, ofRoute, ofTerm counts) tally {
	answers := float64(both.target.answered)
	usual := (float64(ofTerm.bad) + priorBad) / (float64(ofTerm.answered) + priorOf)
	if ofRoute.answered == 0 {
		usual = max(2*usual, unmatchedShare)
	}
	share := (float64(ofRoute.bad) + usual*priorAnswers) / (float64(ofRoute.answered) + priorAnswers)
	weight := float64(ofCell.answered) + priorAnswers
	// Few answers without a bad one do not show that the share is less than usual.
	share = max(usual, (float64(ofCell.bad)+share*priorAnswers)/weight)
	spread := share * (1 - share)
	part := tally{pair: both, expected: answers * share, variance: answers*spread + answers*answers*spread/weight}
	for _, from := range []counts{ofCell, ofRoute, ofTerm} {
		if from.answered >= minWorkAnswers {
			part.expectedWork = answers * from.work.Seconds() / float64(from.answered)
			part.matched = both.target
			break
		}
	}
	return part
}
