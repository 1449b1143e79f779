package admit

import (
	"maps"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// maxDrainDeadlines bounds the upstreams of which a host remembers that they leave. The
// processes of the earliest have ended long since.
const maxDrainDeadlines = 4096

// MarkDraining records that an upstream said that it leaves: it gets no requests without a
// key any more, and none at all after the deadline. That holds for its process, whatever
// Update is told. It reports whether it was not known.
func (scheduler *Scheduler) MarkDraining(name string, owner spans.Owner, deadline time.Time) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if _, known := scheduler.drainDeadlines[owner]; known {
		return false
	}
	if scheduler.drainDeadlines == nil {
		scheduler.drainDeadlines = map[spans.Owner]time.Time{}
	}
	if len(scheduler.drainDeadlines) >= maxDrainDeadlines {
		scheduler.forgetEarliestDrainDeadlines()
	}
	scheduler.drainDeadlines[owner] = deadline
	state, now := scheduler.service(name), scheduler.clock.Now()
	if upstream, ok := state.upstreams[owner]; ok {
		upstream.setTarget(scheduler.withDrainDeadline(upstream.target), now)
		state.updateGroups()
	}
	close(state.changed)
	state.changed = make(chan struct{})
	scheduler.dispatch(state, now)
	return true
}

// withDrainDeadline returns the target as draining if its process said that it leaves.
func (scheduler *Scheduler) withDrainDeadline(target Target) Target {
	deadline, leaves := scheduler.drainDeadlines[target.Owner]
	if leaves && (!target.Draining || deadline.Before(target.DrainDeadline)) {
		target.Draining, target.DrainDeadline = true, deadline
	}
	return target
}

// forgetEarliestDrainDeadlines drops half of the deadlines.
func (scheduler *Scheduler) forgetEarliestDrainDeadlines() {
	var earliest, latest time.Time
	for _, deadline := range scheduler.drainDeadlines {
		if earliest.IsZero() || deadline.Before(earliest) {
			earliest = deadline
		}
		if deadline.After(latest) {
			latest = deadline
		}
	}
	middle := earliest.Add(latest.Sub(earliest) / 2)
	maps.DeleteFunc(scheduler.drainDeadlines, func(_ spans.Owner, deadline time.Time) bool { return !deadline.After(middle) })
}
