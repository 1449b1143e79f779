package steer

import (
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// reservation is an ownership change that may be committed. It is open, and keeps
// its key ranges from being granted, while the service's table is still at the
// version that the change is based on.
type reservation struct {
	command state.ChangeSpans
	// term is the leadership term in which the change was decided. It is valid only
	// if it is also appended to the log in that term.
	term uint64
	// proposing is set while the outcome of a proposal is awaited.
	proposing bool
}

// isOpen reports whether the change may still be committed, and has not been as of
// the catalog.
func (reservation *reservation) isOpen(catalog *state.Catalog) bool {
	return reservation != nil && catalog.Spans[reservation.command.Service].Version == reservation.command.Base
}

// within returns the key ranges of the span that the change covers.
func (reservation *reservation) within(span spans.Span) []keyRange {
	var ranges []keyRange
	for _, change := range reservation.command.Changes {
		if change.From <= span.To && change.To >= span.From {
			ranges = append(ranges, keyRange{from: max(change.From, span.From), to: min(change.To, span.To)})
		}
	}
	return ranges
}

// keyRange is a range of keys, both ends included.
type keyRange struct{ from, to uint16 }

// without returns the parts of the range that none of the others covers.
func (keyrange keyRange) without(others []keyRange) []keyRange {
	rest := []keyRange{keyrange}
	for _, other := range others {
		var next []keyRange
		for _, part := range rest {
			if other.to < part.from || other.from > part.to {
				next = append(next, part)
				continue
			}
			if part.from < other.from {
				next = append(next, keyRange{from: part.from, to: other.from - 1})
			}
			if part.to > other.to {
				next = append(next, keyRange{from: other.to + 1, to: part.to})
			}
		}
		rest = next
	}
	return rest
}
