package steer

import (
	"context"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

// maxPendingSuspects bounds the reported losses that wait to be committed. Entry hosts
// report what is left out again.
const maxPendingSuspects = 2048

// suspectTable collects what entry hosts report about suspect requests until it is
// committed. The zero value is ready to use.
type suspectTable struct {
	lost    []state.RecordSuspect
	cleared []string
}

// add adds the part of a report that the catalog does not show and that is not waiting
// already.
func (suspecttable *suspectTable) add(now time.Time, catalog *state.Catalog, report state.UpdateSuspects) {
	for _, loss := range report.Lost {
		loss.At = now
		waiting := slices.ContainsFunc(suspecttable.lost, func(other state.RecordSuspect) bool {
			return other.Fingerprint == loss.Fingerprint && other.Upstream == loss.Upstream
		})
		suspect := catalog.Quarantine[loss.Fingerprint]
		if waiting || suspect.QuarantinedDirect() || slices.Contains(suspect.Upstreams, loss.Upstream) || len(suspecttable.lost) >= maxPendingSuspects {
			continue
		}
		suspecttable.lost = append(suspecttable.lost, loss)
	}
	for _, content := range report.Cleared {
		_, known := catalog.Quarantine[content]
		if known && !slices.Contains(suspecttable.cleared, content) && len(suspecttable.cleared) < maxPendingSuspects {
			suspecttable.cleared = append(suspecttable.cleared, content)
		}
	}
}

// take returns what waits to be committed, and empties the table. What is not committed
// after all is reported again.
func (suspecttable *suspectTable) take() state.UpdateSuspects {
	update := state.UpdateSuspects{Lost: suspecttable.lost, Cleared: suspecttable.cleared}
	*suspecttable = suspectTable{}
	return update
}

// updateSuspects commits what entry hosts reported about suspect requests.
func (coordinator *Coordinator) updateSuspects(ctx context.Context, term uint64) {
	coordinator.mutex.Lock()
	update := coordinator.suspects.take()
	coordinator.mutex.Unlock()
	if len(update.Lost) == 0 && len(update.Cleared) == 0 {
		return
	}
	if !coordinator.propose(ctx, term, update) {
		return
	}
	catalog := coordinator.node.Catalog()
	for _, loss := range update.Lost {
		suspect := catalog.Quarantine[loss.Fingerprint]
		coordinator.log.WithField("content", loss.Fingerprint).WithField("upstream", loss.Upstream).
			WithField("ends", len(suspect.Upstreams)).WithField("quarantined", suspect.QuarantinedDirect()).
			WithField("version", catalog.Index).Info(logPrefix + "recorded an upstream that ended while it ran a request")
	}
	for _, content := range update.Cleared {
		coordinator.log.WithField("content", content).WithField("version", catalog.Index).
			Info(logPrefix + "cleared a suspect request")
	}
}
