package state

import (
	"maps"
	"slices"
	"time"
)

const (
	// quarantineTTL is how long a suspect request is kept after an upstream was last
	// lost with it. Older ones are removed when the next suspect is recorded.
	quarantineTTL = time.Hour
	// QuarantineThreshold is the number of lost upstreams after which a request is
	// refused on all hosts.
	QuarantineThreshold = 2
	// DirectQuarantineThreshold is the number of ended upstreams after which entry hosts that send
	// requests directly to upstreams refuse a request.
	DirectQuarantineThreshold = 3
	// maxSuspects bounds the suspects that UpdateSuspects leaves in the catalog.
	maxSuspects = 512
	// maxSuspectUpstreams bounds the upstreams that are kept for one suspect.
	maxSuspectUpstreams = 8
)

// Suspect is a request that was running when upstreams were lost.
type Suspect struct {
	// Upstreams holds the distinct processes that were lost while they ran it.
	Upstreams []string
	At        time.Time
}

// Quarantined reports whether the request is refused on all hosts.
func (suspect Suspect) Quarantined() bool {
	return len(suspect.Upstreams) >= QuarantineThreshold
}

// QuarantinedDirect reports whether entry hosts that send requests directly to upstreams refuse
// the request.
func (suspect Suspect) QuarantinedDirect() bool {
	return len(suspect.Upstreams) >= DirectQuarantineThreshold
}

// add returns the suspect with one more lost process.
func (suspect Suspect) add(upstream string, at time.Time) Suspect {
	if !slices.Contains(suspect.Upstreams, upstream) && len(suspect.Upstreams) < maxSuspectUpstreams {
		suspect.Upstreams = append(slices.Clone(suspect.Upstreams), upstream)
	}
	suspect.At = at
	return suspect
}

// RecordSuspect records that an upstream was lost while it ran a request.
type RecordSuspect struct {
	Fingerprint string
	Upstream    string
	At          time.Time
}

// ClearSuspect deletes the recorded losses of a request that ran to completion.
type ClearSuspect struct{ Fingerprint string }

// UpdateSuspects records the upstreams that ended while they ran requests, and deletes
// the records of the cleared requests. Quarantined requests stay until they are cleared.
type UpdateSuspects struct {
	Lost    []RecordSuspect
	Cleared []string
}

const (
	kindRecordSuspect  commandKind = "strikeRequest"
	kindClearSuspect   commandKind = "absolveRequest"
	kindUpdateSuspects commandKind = "updateSuspects"
)

func (RecordSuspect) kind() commandKind  { return kindRecordSuspect }
func (ClearSuspect) kind() commandKind   { return kindClearSuspect }
func (UpdateSuspects) kind() commandKind { return kindUpdateSuspects }

func (catalog *Catalog) recordSuspect(command RecordSuspect) Outcome {
	suspect := catalog.Quarantine[command.Fingerprint].add(command.Upstream, command.At)
	catalog.Quarantine = with(catalog.Quarantine, command.Fingerprint, suspect)
	for fingerprint, old := range catalog.Quarantine {
		if command.At.Sub(old.At) > quarantineTTL {
			catalog.Quarantine = without(catalog.Quarantine, fingerprint)
		}
	}
	if suspect.Quarantined() {
		return OutcomeQuarantined
	}
	return OutcomeDone
}

func (catalog *Catalog) updateSuspects(command UpdateSuspects) {
	next := make(map[string]Suspect, len(catalog.Quarantine)+len(command.Lost))
	maps.Copy(next, catalog.Quarantine)
	latest := time.Time{}
	for _, loss := range command.Lost {
		next[loss.Fingerprint] = next[loss.Fingerprint].add(loss.Upstream, loss.At)
		if loss.At.After(latest) {
			latest = loss.At
		}
	}
	maps.DeleteFunc(next, func(_ string, suspect Suspect) bool {
		return !suspect.QuarantinedDirect() && latest.Sub(suspect.At) > quarantineTTL
	})
	for _, fingerprint := range command.Cleared {
		delete(next, fingerprint)
	}
	for len(next) > maxSuspects {
		delete(next, leastSuspect(next))
	}
	catalog.Quarantine = next
}

// leastSuspect returns the fingerprint of the suspect to drop first: the one with the
// fewest ended upstreams and, among these, the oldest.
func leastSuspect(suspects map[string]Suspect) string {
	least, found := "", false
	for fingerprint, suspect := range suspects {
		other := suspects[least]
		order := len(suspect.Upstreams) - len(other.Upstreams)
		if order == 0 {
			order = suspect.At.Compare(other.At)
		}
		if order == 0 {
			order = compareStrings(fingerprint, least)
		}
		if !found || order < 0 {
			least, found = fingerprint, true
		}
	}
	return least
}
