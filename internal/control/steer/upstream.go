package steer

import (
	"net/netip"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// upstreamState is what the leader knows of one process of an upstream.
type upstreamState struct {
	// sequence is that of the latest recorded heartbeat.
	sequence      uint64
	lastHeartbeat time.Time
	// address is where the process listens.
	address netip.AddrPort
	// holdsUntil is when all holds of this process have certainly expired.
	holdsUntil time.Time
	// newestFence is the highest fence that the process has reported as held in this term.
	newestFence uint64
	// released are the key ranges of its spans that the process has released. They are not
	// granted to it again under the same fence, so that a fence stands for one holding.
	released []endedHold
	// missing are the key ranges of its spans that its latest heartbeat does not report
	// although it reports a hold with the same fence or a later one. The process has lost
	// or released them, so they are not granted again under the same fence either.
	missing []endedHold
	// interval is the time between two regular heartbeats.
	interval time.Duration
}

// endedHold is a key range that an upstream has released, and the fence of the
// assignment under which it held the range.
type endedHold struct {
	Release
	fence uint64
	// sequence is that of the latest heartbeat that reported the release.
	sequence uint64
}

// addReleases keeps what the heartbeat releases of the spans that the process owns, and
// what is missing of them in its holds. What it reports as held it has been granted again.
func (upstreamstate *upstreamState) addReleases(heartbeat Heartbeat, owned []spans.Span) {
	var held []keyRange
	newest := uint64(0)
	for _, hold := range heartbeat.Holds {
		held = append(held, keyRange{from: hold.From, to: hold.To})
		newest = max(newest, hold.Fence)
	}
	upstreamstate.newestFence = max(upstreamstate.newestFence, newest)
	for _, span := range owned {
		for _, release := range heartbeat.Released {
			if release.From <= span.To && release.To >= span.From {
				upstreamstate.addRelease(endedHold{Release: release, fence: span.Fence, sequence: heartbeat.Sequence})
			}
		}
	}
	upstreamstate.released = withoutRanges(upstreamstate.released, held)
	upstreamstate.missing = nil
	for _, span := range owned {
		if newest >= span.Fence {
			whole := endedHold{Release: Release{From: span.From, To: span.To}, fence: span.Fence}
			upstreamstate.missing = append(upstreamstate.missing, withoutRanges([]endedHold{whole}, held)...)
		}
	}
}

// addRelease keeps a release, or the later sequence of one that is kept already.
func (upstreamstate *upstreamState) addRelease(ended endedHold) {
	for position := range upstreamstate.released {
		if kept := &upstreamstate.released[position]; kept.Release == ended.Release && kept.fence == ended.fence {
			kept.sequence = ended.sequence
			return
		}
	}
	upstreamstate.released = append(upstreamstate.released, ended)
}

// withoutRanges returns what remains of ended holds outside the ranges.
func withoutRanges(ended []endedHold, ranges []keyRange) []endedHold {
	var rest []endedHold
	for _, hold := range ended {
		for _, part := range (keyRange{from: hold.From, to: hold.To}).without(ranges) {
			rest = append(rest, endedHold{Release: Release{From: part.from, To: part.to, Handover: hold.Handover}, fence: hold.fence, sequence: hold.sequence})
		}
	}
	return rest
}

// releasedOf returns the releases of keys of the span, reduced to these keys.
func (upstreamstate *upstreamState) releasedOf(span spans.Span) []Release {
	return within(upstreamstate.released, span)
}

// releasedSince is like releasedOf for releases that heartbeats after the sequence reported.
func (upstreamstate *upstreamState) releasedSince(span spans.Span, sequence uint64) []Release {
	later := slices.DeleteFunc(slices.Clone(upstreamstate.released), func(ended endedHold) bool { return ended.sequence <= sequence })
	return within(later, span)
}

// endedOf returns the key ranges of the span that the process has released or lost.
func (upstreamstate *upstreamState) endedOf(span spans.Span) []Release {
	releases := upstreamstate.releasedOf(span)
	var covered []keyRange
	for _, release := range releases {
		covered = append(covered, keyRange{from: release.From, to: release.To})
	}
	return append(releases, within(withoutRanges(upstreamstate.missing, covered), span)...)
}

// within returns the ended holds of keys of the span, reduced to these keys.
func within(holds []endedHold, span spans.Span) []Release {
	var releases []Release
	for _, ended := range holds {
		if ended.fence == span.Fence && ended.From <= span.To && ended.To >= span.From {
			releases = append(releases, Release{From: max(ended.From, span.From), To: min(ended.To, span.To), Handover: ended.Handover})
		}
	}
	return releases
}

// forget drops the releases of keys that are not among the owned spans any more.
func (upstreamstate *upstreamState) forget(owned []spans.Span) {
	upstreamstate.released = slices.DeleteFunc(upstreamstate.released, func(ended endedHold) bool {
		return !slices.ContainsFunc(owned, func(span spans.Span) bool {
			return span.Fence == ended.fence && span.From <= ended.To && span.To >= ended.From
		})
	})
}
