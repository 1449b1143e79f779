package steer

import (
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// letGo is a key range of a span that its owner no longer holds, as it released the
// range or left it out of its heartbeats, and the upstream that is to hold it next.
type letGo struct {
	Release
	span      spans.Span
	successor spans.Owner
	released  bool
}

// reserveLeftOut reserves keys that the upstream, as its latest heartbeat shows, no
// longer holds: moving ones for their next owners, others for itself under a new fence.
func (holdtable *holdTable) reserveLeftOut(term uint64, heartbeat Heartbeat) (*reservation, []letGo) {
	holdtable.mutex.Lock()
	defer holdtable.mutex.Unlock()
	owner, service := heartbeat.Instance.Owner(), heartbeat.Instance.Service
	known, ok := holdtable.upstreams[owner]
	if holdtable.term != term || !ok || known.sequence != heartbeat.Sequence {
		return nil, nil
	}
	catalog, now := holdtable.node.Catalog(), holdtable.clock.Now()
	stays := !canLeave(catalog, owner)
	var gone []letGo
	for _, span := range catalog.Spans[service].OwnedBy(owner) {
		released := holdtable.countedReleases(known, span, now)
		// Without a release, an answer in flight may still grant the keys.
		waited := span.Moving() && !heartbeat.HoldsUnknown && !overlaps(heartbeat.Holds, span) &&
			holdtable.movingLongerThan(service, span, answerExpiry, now) && holdtable.grantedInTerm(span, now)
		switch {
		case span.Moving() && len(released) > 0:
			gone = append(gone, letGoAll(span, released, span.Next)...)
		case waited:
			gone = append(gone, letGo{Release: Release{From: span.From, To: span.To}, span: span, successor: span.Next})
		case !span.Moving() && stays:
			gone = append(gone, letGoAll(span, known.endedOf(span), owner)...)
		}
	}
	return holdtable.reserveGone(catalog, service, gone, now)
}

func letGoAll(span spans.Span, releases []Release, successor spans.Owner) []letGo {
	gone := make([]letGo, 0, len(releases))
	for _, release := range releases {
		gone = append(gone, letGo{Release: release, span: span, successor: successor, released: true})
	}
	return gone
}

// reserveReleased reserves all moving keys of a service that their owners have released
// for their next owners. Releases are kept until then, as another change may be under way
// when they arrive.
func (holdtable *holdTable) reserveReleased(term uint64, service string) (*reservation, []letGo) {
	holdtable.mutex.Lock()
	defer holdtable.mutex.Unlock()
	if holdtable.term != term {
		return nil, nil
	}
	catalog, now := holdtable.node.Catalog(), holdtable.clock.Now()
	var gone []letGo
	for _, span := range catalog.Spans[service].Spans {
		known, ok := holdtable.upstreams[span.Owner]
		if ok && span.Moving() {
			gone = append(gone, letGoAll(span, holdtable.countedReleases(known, span, now), span.Next)...)
		}
	}
	return holdtable.reserveGone(catalog, service, gone, now)
}

func (holdtable *holdTable) reserveGone(catalog *state.Catalog, service string, gone []letGo, now time.Time) (*reservation, []letGo) {
	changes := make([]spans.Change, 0, len(gone))
	for _, letgo := range gone {
		changes = append(changes, spans.Change{
			From: letgo.From, To: letgo.To, Owner: letgo.successor, Handover: letgo.Handover,
			Settle: holdtable.untilNextHeartbeat(letgo.successor, now) + settleMargin,
		})
	}
	return holdtable.reserve(catalog, service, changes), gone
}

// countedReleases returns the releases of the span that are those of its present
// assignment. A release may repeat that of an earlier one until it is acknowledged, so it
// counts once the process has reported a hold that it learned of with this assignment or
// later, to this leader or to an earlier one before the span began to move, or if it can't
// hold the span by a grant of an earlier leader.
func (holdtable *holdTable) countedReleases(known *upstreamState, span spans.Span, now time.Time) []Release {
	switch {
	case known.newestFence >= span.Fence || holdtable.grantedInTerm(span, now):
		return known.releasedOf(span)
	case span.Reported > 0:
		return known.releasedSince(span, span.Reported)
	default:
		return nil
	}
}

// grantedInTerm reports whether all grants of a span that can still be in force were
// made in this term. Only then is a heartbeat that reports nothing of the span
// certainly later than them: heartbeats may arrive seconds late, and what earlier
// leaders answered is not known.
func (holdtable *holdTable) grantedInTerm(span spans.Span, now time.Time) bool {
	return span.Fence > holdtable.termIndex || now.After(holdtable.termStart.Add(holdExpiry))
}
