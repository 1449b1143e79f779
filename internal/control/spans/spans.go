// Package spans records which upstream owns which keys of a service, as ranges of
// key numbers.
package spans

import (
	"slices"
	"sort"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("spans")

// MaxKey is the highest key.
const MaxKey = 1<<16 - 1

// Owner identifies one process of an upstream. The zero Owner stands for no owner.
type Owner struct {
	ID string
	// Born is the start time of the process in Unix milliseconds.
	Born int64
}

// Span is a range of keys, both ends included, and its owner.
type Span struct {
	From, To uint16
	Owner    Owner
	// Fence is the fencing token of the assignment: the log index of its command, which
	// increases with each assignment.
	Fence uint64
	// Next is the owner that gets the span once the present one has released it.
	Next Owner
	// Handover is the token with which the previous owner released the span to the
	// present one.
	Handover string
	// Settle is the expected time from the assignment until the owner learns of it
	// and serves the keys.
	Settle time.Duration
	// Reported is, while the span moves, the sequence of a heartbeat of the owner up to
	// which it was known to have reported the assignment, 0 if that is not known. What later
	// heartbeats release are keys of this assignment.
	Reported uint64 `cbor:"Reported,omitempty"`
}

// Moving reports whether the owner has to release the span.
func (span Span) Moving() bool { return span.Next != Owner{} }

// KeyCount returns the number of keys in the span.
func (span Span) KeyCount() int { return int(span.To) - int(span.From) + 1 }

func (span Span) mergeable(next Span) bool {
	return span.To != MaxKey && span.To+1 == next.From && span.Owner == next.Owner &&
		span.Fence == next.Fence && span.Next == next.Next && span.Handover == next.Handover && span.Settle == next.Settle && span.Reported == next.Reported
}

// Change assigns keys to an owner, or marks them as moving to one.
type Change struct {
	From, To uint16
	// Owner gets the keys at once. The proposer of the change must know that no other
	// upstream holds them.
	Owner Owner
	// Next is set instead of Owner if the present owner must release the keys first.
	// With both empty, the keys are no longer marked as moving.
	Next     Owner
	Handover string
	Settle   time.Duration
	// Reported is that of the span, for changes with Next.
	Reported uint64 `cbor:"Reported,omitempty"`
}

// Table is the ownership of one service's keys: spans in key order without gaps. It
// is immutable: Apply returns a new one. The zero Table has no owners.
type Table struct {
	// Version is the log index of the last change.
	Version uint64
	Spans   []Span
}

// All returns the spans, which cover all keys.
func (table Table) All() []Span {
	if len(table.Spans) == 0 {
		return []Span{{From: 0, To: MaxKey}}
	}
	return table.Spans
}

// Find returns the span that contains a key.
func (table Table) Find(key uint16) Span {
	all := table.All()
	return all[sort.Search(len(all), func(position int) bool { return all[position].To >= key })]
}

// Overlapping returns the spans that contain keys of the range, both ends included.
func (table Table) Overlapping(from, to uint16) []Span {
	all := table.All()
	first := sort.Search(len(all), func(position int) bool { return all[position].To >= from })
	end := first
	for end < len(all) && all[end].From <= to {
		end++
	}
	return all[first:end]
}

// OwnedBy returns the spans of an owner.
func (table Table) OwnedBy(owner Owner) []Span {
	var owned []Span
	for _, span := range table.Spans {
		if span.Owner == owner {
			owned = append(owned, span)
		}
	}
	return owned
}

// Apply returns the table with the changes of the command at the log index. With an
// error it returns the table unchanged.
func (table Table) Apply(index uint64, changes []Change) (Table, error) {
	spans := slices.Clone(table.All())
	for _, change := range changes {
		if change.From > change.To {
			return table, Error.New("key range starts at %d but ends at %d", change.From, change.To)
		}
		spans = splitAt(spans, change.From)
		if change.To != MaxKey {
			spans = splitAt(spans, change.To+1)
		}
		for position := range spans {
			if spans[position].From >= change.From && spans[position].To <= change.To {
				spans[position].apply(index, change)
			}
		}
	}
	return Table{Version: index, Spans: mergeAdjacent(spans)}, nil
}

func (span *Span) apply(index uint64, change Change) {
	if change.Owner == (Owner{}) {
		span.Next, span.Reported = change.Next, change.Reported
		return
	}
	span.Owner = change.Owner
	span.Fence = index
	span.Next, span.Reported = Owner{}, 0
	span.Handover = change.Handover
	span.Settle = change.Settle
}

// splitAt splits the span that contains the key, so that one begins at the key.
func splitAt(spans []Span, key uint16) []Span {
	position := sort.Search(len(spans), func(position int) bool { return spans[position].To >= key })
	if spans[position].From == key {
		return spans
	}
	left, right := spans[position], spans[position]
	left.To = key - 1
	right.From = key
	return slices.Replace(spans, position, position+1, left, right)
}

// mergeAdjacent merges neighbouring spans that differ in their range only.
func mergeAdjacent(spans []Span) []Span {
	merged := spans[:1]
	for _, span := range spans[1:] {
		last := &merged[len(merged)-1]
		if last.mergeable(span) {
			last.To = span.To
			continue
		}
		merged = append(merged, span)
	}
	return merged
}
