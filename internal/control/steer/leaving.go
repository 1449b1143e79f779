package steer

import (
	"context"
	"slices"

	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// maxPendingLeaving bounds the reported upstreams that wait to be committed. Entry hosts
// report what is left out again.
const maxPendingLeaving = 1024

// addLeaving keeps upstreams that told an entry host that they leave, until Tick commits
// them.
func (coordinator *Coordinator) addLeaving(catalog *state.Catalog, owners []spans.Owner) {
	for _, owner := range owners {
		waiting := slices.Contains(coordinator.leaving, owner)
		if !waiting && catalog.IsActive(owner) && len(coordinator.leaving) < maxPendingLeaving {
			coordinator.leaving = append(coordinator.leaving, owner)
		}
	}
}

// updateLeaving commits which upstreams told entry hosts that they leave.
func (coordinator *Coordinator) updateLeaving(ctx context.Context, term uint64) {
	coordinator.mutex.Lock()
	leaving := coordinator.leaving
	coordinator.leaving = nil
	coordinator.mutex.Unlock()
	if len(leaving) == 0 || !coordinator.propose(ctx, term, state.MarkDraining{Owners: leaving}) {
		return
	}
	for _, owner := range leaving {
		coordinator.log.WithField("upstream", owner.ID).WithField("born", owner.Born).WithField("version", coordinator.node.Catalog().Index).
			Info(logPrefix + "upstream told an entry host that it leaves")
	}
}
