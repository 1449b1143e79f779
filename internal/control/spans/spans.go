// Package spans holds the ownership of a service's keys as ranges of numbers.
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

// Owner names one life of an upstream. The zero Owner is nobody.
type Owner struct {
	ID string
	// Born is the start of this life in Unix milliseconds.
	Born int64
}

// Span is a range of keys, both ends included, and who owns it.
type Span struct {
	From, To uint16
	Owner    Owner
	// Fence is the log index of the assignment; it grows with each one.
	Fence uint64
	// Next is who gets the span once the owner has released it.
	Next Owner
	// Handover is the token that the last owner left for the present one.
	Handover string
	// Settle is the expected time from the assignment until the owner learns of it
	// and serves the keys.
	Settle time.Duration
}

// Moving tells whether the owner is to let go of the span.
func (span Span) Moving() bool { return span.Next != Owner{} }

// Keys returns the number of keys.
func (span Span) Keys() int { return int(span.To) - int(span.From) + 1 }

func (span Span) joins(next Span) bool {
	return span.To != MaxKey && span.To+1 == next.From && span.Owner == next.Owner &&
		span.Fence == next.Fence && span.Next == next.Next && span.Handover == next.Handover && span.Settle == next.Settle
}

// Change gives keys to an owner, or marks them as moving to one.
type Change struct {
	From, To uint16
	// Owner gets the keys at once. The change's proposer must know that nobody
	// else holds them.
	Owner Owner
	// Next is set instead of Owner where the present owner must release first.
	// Both empty takes a mark back.
	Next     Owner
	Handover string
	Settle   time.Duration
}

// Table is the ownership of one service's keys: spans without gaps, in order.
// It never changes: Apply returns a new one. The zero Table has no owners.
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

// Find returns the span of a key.
func (table Table) Find(key uint16) Span {
	all := table.All()
	return all[sort.Search(len(all), func(position int) bool { return all[position].To >= key })]
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

// Apply returns the table after the changes of the command at index.
func (table Table) Apply(index uint64, changes []Change) (Table, error) {
	spans := slices.Clone(table.All())
	for _, change := range changes {
		if change.From > change.To {
			return table, Error.New("range %d to %d is reversed", change.From, change.To)
		}
		spans = cut(spans, change.From)
		if change.To != MaxKey {
			spans = cut(spans, change.To+1)
		}
		for position := range spans {
			if spans[position].From >= change.From && spans[position].To <= change.To {
				spans[position].apply(index, change)
			}
		}
	}
	return Table{Version: index, Spans: join(spans)}, nil
}

func (span *Span) apply(index uint64, change Change) {
	if change.Owner == (Owner{}) {
		span.Next = change.Next
		return
	}
	span.Owner = change.Owner
	span.Fence = index
	span.Next = Owner{}
	span.Handover = change.Handover
	span.Settle = change.Settle
}

// cut makes a span begin at the key.
func cut(spans []Span, key uint16) []Span {
	position := sort.Search(len(spans), func(position int) bool { return spans[position].To >= key })
	if spans[position].From == key {
		return spans
	}
	left, right := spans[position], spans[position]
	left.To = key - 1
	right.From = key
	return slices.Replace(spans, position, position+1, left, right)
}

// join merges neighbours that say the same.
func join(spans []Span) []Span {
	joined := spans[:1]
	for _, span := range spans[1:] {
		last := &joined[len(joined)-1]
		if last.joins(span) {
			last.To = span.To
			continue
		}
		joined = append(joined, span)
	}
	return joined
}
