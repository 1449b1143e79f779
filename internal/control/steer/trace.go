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

// grant is a decision which key ranges an upstream may hold, and its inputs.
type grant struct {
	term uint64
	// index is the index of the catalog that the decision used.
	index               uint64
	received, decidedAt time.Time
	holdsUntil          time.Time
	holds               []Hold
	// moving and pending are the owned spans that were not granted, since they are
	// moving away or a change of their ownership is pending.
	moving, pending []spans.Span
}

// logGrant logs the reply to a heartbeat if it grants other key ranges than the
// upstream reported, or if the upstream released some.
func (coordinator *Coordinator) logGrant(heartbeat Heartbeat, grant grant) {
	if len(heartbeat.Released) == 0 && coveredByGrant(heartbeat.Holds, grant.holds) && coveredByGrant(grant.holds, heartbeat.Holds) {
		return
	}
	coordinator.log.WithField("upstream", heartbeat.Instance.ID).WithField("service", heartbeat.Instance.Service).
		WithField("born", heartbeat.Instance.Born).WithField("sequence", heartbeat.Sequence).
		WithField("term", grant.term).WithField("index", grant.index).
		WithField("after", grant.decidedAt.Sub(grant.received).String()).
		WithField("holdsFor", grant.holdsUntil.Sub(grant.decidedAt).String()).
		WithField("held", formatHolds(heartbeat.Holds)).WithField("released", formatReleases(heartbeat.Released)).
		WithField("granted", formatHolds(grant.holds)).WithField("moving", formatSpans(grant.moving)).
		WithField("pending", formatSpans(grant.pending)).Info(logPrefix + "granted holds changed")
}

// logReassigned logs the ownership changes that rely on an owner holding nothing,
// and why it holds nothing.
func (coordinator *Coordinator) logReassigned(catalog *state.Catalog, service string, placement *placement, changes []spans.Change) {
	for _, change := range changes {
		span := catalog.Spans[service].Find(change.From)
		if change.Owner == (spans.Owner{}) || span.Owner == (spans.Owner{}) {
			continue
		}
		coordinator.log.WithField("service", service).WithField("from", change.From).WithField("to", change.To).
			WithField("owner", span.Owner.ID).WithField("born", span.Owner.Born).WithField("fence", span.Fence).
			WithField("successor", change.Owner.ID).WithField("base", catalog.Spans[service].Version).
			WithField("index", catalog.Index).WithField("term", placement.term).WithField("expiredFor", placement.takenAt.Sub(placement.holdsUntil[span.Owner]).String()).
			Info(logPrefix + "holds of a key range have ended")
	}
}

// logReleased logs that an upstream no longer holds a span that is moving, as it
// released the span or left it out of its heartbeats.
func (coordinator *Coordinator) logReleased(heartbeat Heartbeat, span spans.Span, released bool) {
	coordinator.log.WithField("service", heartbeat.Instance.Service).WithField("from", span.From).WithField("to", span.To).
		WithField("owner", span.Owner.ID).WithField("born", span.Owner.Born).WithField("fence", span.Fence).
		WithField("successor", span.Next.ID).WithField("sequence", heartbeat.Sequence).WithField("released", released).
		Info(logPrefix + "key range was let go")
}

// logCommitted logs the outcome of an ownership change, and which pending change was
// removed with it.
func (coordinator *Coordinator) logCommitted(command, removed state.ChangeSpans, result state.Result, term uint64) {
	visible := coordinator.node.Catalog().Index
	if result.Outcome != state.OutcomeDone || removed.Base != command.Base || visible < result.Index {
		coordinator.log.WithField("service", command.Service).WithField("outcome", result.Outcome).
			WithField("base", command.Base).WithField("removedBase", removed.Base).WithField("term", term).
			WithField("version", result.Index).WithField("index", visible).Info(logPrefix + "ownership change resolved")
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
