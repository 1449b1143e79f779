package direct

import (
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
)

// drainTime is how long an upstream that leaves gets requests for keys that it owns.
func (entry *Entry) drainTime() time.Duration {
	return time.Duration(entry.options.Settings.Bounds.Drain) / 2
}

// recordLeaving has this host's primary send nothing more to an upstream that said that it
// leaves, and the next poll report it.
func (entry *Entry) recordLeaving(target admit.Target, drainDeadline time.Time) {
	entry.primaryScheduler.MarkDraining(target.Service, target.Owner, drainDeadline)
	entry.mutex.Lock()
	entry.leaving = append(entry.leaving, target.Owner)
	entry.mutex.Unlock()
	entry.hastenPoll()
}

// takeLeaving returns the upstreams that told this host that they leave, without those
// that the catalog shows as draining or gone, which need no report any more.
func (entry *Entry) takeLeaving() []spans.Owner {
	catalog := entry.follower.Catalog()
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.leaving = slices.DeleteFunc(entry.leaving, func(owner spans.Owner) bool { return !catalog.IsActive(owner) })
	return slices.Clone(entry.leaving)
}
