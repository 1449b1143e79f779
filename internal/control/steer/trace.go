package steer

import (
	"strconv"
	"strings"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// maxLoggedRanges bounds the key ranges that one log field lists.
const maxLoggedRanges = 16

// grantDecision says which key ranges an upstream may hold, and on what that was
// decided.
type grantDecision struct {
	term uint64
	// index is the index of the catalog that the decision used.
	index               uint64
	received, decidedAt time.Time
	holdsUntil          time.Time
	holds               []Hold
	// moving, reserved and withheld are the owned spans that were not granted, since they
	// are moving away, are reserved for a change of their ownership, or the upstream has
	// released them or is draining.
	moving, reserved, withheld []spans.Span
}

// addHolds grants the parts of a span that are neither reserved nor released. The
// reservation may be nil.
func (grantdecision *grantDecision) addHolds(span spans.Span, reserved *reservation, releases []Release) {
	var taken []keyRange
	for _, release := range releases {
		taken = append(taken, keyRange{from: release.From, to: release.To})
	}
	if len(taken) > 0 {
		grantdecision.withheld = append(grantdecision.withheld, span)
	}
	if reserved != nil {
		if covered := reserved.within(span); len(covered) > 0 {
			grantdecision.reserved = append(grantdecision.reserved, span)
			taken = append(taken, covered...)
		}
	}
	for _, part := range (keyRange{from: span.From, to: span.To}).without(taken) {
		grantdecision.holds = append(grantdecision.holds, Hold{From: part.from, To: part.to, Fence: span.Fence, Handover: span.Handover})
	}
}

// logGrant logs the reply to a heartbeat if it grants other key ranges than the
// upstream reported, or if the upstream released some.
func (coordinator *Coordinator) logGrant(heartbeat Heartbeat, decision grantDecision) {
	if len(heartbeat.Released) == 0 && coveredByGrant(heartbeat.Holds, decision.holds) && coveredByGrant(decision.holds, heartbeat.Holds) {
		return
	}
	coordinator.log.WithField("upstream", heartbeat.Instance.ID).WithField("service", heartbeat.Instance.Service).
		WithField("born", heartbeat.Instance.Born).WithField("sequence", heartbeat.Sequence).
		WithField("term", decision.term).WithField("index", decision.index).
		WithField("after", decision.decidedAt.Sub(decision.received).String()).
		WithField("holdsFor", decision.holdsUntil.Sub(decision.decidedAt).String()).
		WithField("held", formatHolds(heartbeat.Holds)).WithField("released", formatReleases(heartbeat.Released)).
		WithField("granted", formatHolds(decision.holds)).WithField("moving", formatSpans(decision.moving)).
		WithField("reserved", formatSpans(decision.reserved)).
		WithField("withheld", formatSpans(decision.withheld)).Info(logPrefix + "granted holds changed")
}

// logReassigned logs the reserved changes that rely on an owner holding nothing, and
// since when it holds nothing.
func (coordinator *Coordinator) logReassigned(assessment assessment, reserved *reservation) {
	for _, change := range reserved.command.Changes {
		if change.Owner != (spans.Owner{}) {
			coordinator.logDirect(assessment, reserved.command.Service, change, "holds of a key range have ended")
		}
	}
}

// logRejected logs the ownership changes that were given up, since their owner has
// been granted holds or may have been.
func (coordinator *Coordinator) logRejected(assessment assessment, service string, changes []spans.Change) {
	for _, change := range changes {
		coordinator.logDirect(assessment, service, change, "key range stays, its owner was granted holds again")
	}
}

func (coordinator *Coordinator) logDirect(assessment assessment, service string, change spans.Change, message string) {
	span := assessment.catalog.Spans[service].Find(change.From)
	if span.Owner == (spans.Owner{}) || span.Owner == change.Owner {
		return
	}
	coordinator.log.WithField("service", service).WithField("from", change.From).WithField("to", change.To).
		WithField("owner", span.Owner.ID).WithField("born", span.Owner.Born).WithField("fence", span.Fence).
		WithField("successor", change.Owner.ID).WithField("base", assessment.catalog.Spans[service].Version).
		WithField("index", assessment.catalog.Index).WithField("term", assessment.term).
		WithField("expiredFor", assessment.takenAt.Sub(assessment.holdsUntil[span.Owner]).String()).
		Info(logPrefix + message)
}

// logReleased logs the key ranges that their owners no longer hold.
func (coordinator *Coordinator) logReleased(service string, gone []letGo) {
	for _, letgo := range gone {
		span := letgo.span
		coordinator.log.WithField("service", service).WithField("from", letgo.From).WithField("to", letgo.To).
			WithField("owner", span.Owner.ID).WithField("born", span.Owner.Born).WithField("fence", span.Fence).
			WithField("successor", letgo.successor.ID).WithField("released", letgo.released).
			Info(logPrefix + "key range was let go")
	}
}

// logCommitted logs the outcome of an ownership change.
func (coordinator *Coordinator) logCommitted(reserved *reservation, result state.Result) {
	command := reserved.command
	visible := coordinator.node.Catalog().Index
	if result.Outcome != state.OutcomeDone || visible < result.Index {
		coordinator.log.WithField("service", command.Service).WithField("outcome", result.Outcome).
			WithField("base", command.Base).WithField("term", reserved.term).WithField("version", result.Index).
			WithField("index", visible).Info(logPrefix + "ownership change resolved")
	}
	if result.Outcome != state.OutcomeDone {
		return
	}
	for _, change := range command.Changes {
		coordinator.log.WithField("service", command.Service).WithField("from", change.From).WithField("to", change.To).
			WithField("owner", change.Owner.ID).WithField("next", change.Next.ID).
			WithField("version", result.Index).Info(logPrefix + "key range reassigned")
	}
}

// coveredByGrant reports whether each hold lies within one hold of the grant with
// the same fence.
func coveredByGrant(holds, granted []Hold) bool {
	for _, hold := range holds {
		covered := false
		for _, other := range granted {
			covered = covered || other.From <= hold.From && other.To >= hold.To && other.Fence == hold.Fence
		}
		if !covered {
			return false
		}
	}
	return true
}

// formatHolds formats holds as "from-to/fence", at most maxLoggedRanges of them.
func formatHolds(holds []Hold) string {
	return formatRanges(len(holds), func(position int) string {
		return formatRange(holds[position].From, holds[position].To) + "/" + strconv.FormatUint(holds[position].Fence, 10)
	})
}

func formatSpans(owned []spans.Span) string {
	return formatRanges(len(owned), func(position int) string {
		return formatRange(owned[position].From, owned[position].To) + "/" + strconv.FormatUint(owned[position].Fence, 10)
	})
}

func formatReleases(releases []Release) string {
	return formatRanges(len(releases), func(position int) string {
		return formatRange(releases[position].From, releases[position].To)
	})
}

func formatRange(from, to uint16) string {
	return strconv.Itoa(int(from)) + "-" + strconv.Itoa(int(to))
}

func formatRanges(count int, format func(position int) string) string {
	var text strings.Builder
	for position := range min(count, maxLoggedRanges) {
		if position > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(format(position))
	}
	if count > maxLoggedRanges {
		text.WriteString(" and " + strconv.Itoa(count-maxLoggedRanges) + " more")
	}
	return text.String()
}
