package spans

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	noOwner = Owner{}
	one     = Owner{ID: "one", Born: 1}
	two     = Owner{ID: "two", Born: 1}
)

func TestApply(t *testing.T) {
	all := []Change{{From: 0, To: MaxKey, Owner: one}}
	cases := []struct {
		name    string
		changes [][]Change
		want    []Span
	}{
		{"an empty table has no owners", nil, []Span{{From: 0, To: MaxKey}}},
		{"one owner", [][]Change{all}, []Span{{From: 0, To: MaxKey, Owner: one, Fence: 1}}},
		{
			"a range in the middle moves", [][]Change{all, {{From: 10, To: 19, Next: two}}},
			[]Span{
				{From: 0, To: 9, Owner: one, Fence: 1},
				{From: 10, To: 19, Owner: one, Fence: 1, Next: two},
				{From: 20, To: MaxKey, Owner: one, Fence: 1},
			},
		},
		{
			"a cancelled move merges the neighbours", [][]Change{all, {{From: 10, To: 19, Next: two}}, {{From: 10, To: 19}}},
			[]Span{{From: 0, To: MaxKey, Owner: one, Fence: 1}},
		},
		{
			"a new owner gets a higher fence and the handover token", [][]Change{all, {{From: 100, To: MaxKey, Owner: two, Handover: "token"}}},
			[]Span{
				{From: 0, To: 99, Owner: one, Fence: 1},
				{From: 100, To: MaxKey, Owner: two, Fence: 2, Handover: "token"},
			},
		},
		{
			"single keys at both ends", [][]Change{all, {{From: 0, To: 0, Owner: two}, {From: MaxKey, To: MaxKey, Owner: two}}},
			[]Span{
				{From: 0, To: 0, Owner: two, Fence: 2},
				{From: 1, To: MaxKey - 1, Owner: one, Fence: 1},
				{From: MaxKey, To: MaxKey, Owner: two, Fence: 2},
			},
		},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			table := Table{}
			for index, changes := range testcase.changes {
				var err error
				table, err = table.Apply(uint64(index+1), changes)
				is.NoErr(err)
			}
			is.Equal(table.All(), testcase.want)
		})
	}
}

func TestReversedRangeChangesNothing(t *testing.T) {
	is := is.New(t)
	table, err := Table{}.Apply(1, []Change{{From: 9, To: 3, Owner: one}})
	is.True(err != nil)
	is.Equal(len(table.Spans), 0)
}

// TestTableCoversAllKeys applies random changes. The spans must cover all keys
// without gaps, and the owners of sampled keys must match a map of keys.
func TestTableCoversAllKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := Table{}
		owners := map[uint16]Owner{}
		probes := rapid.SliceOfN(rapid.Uint16(), 1, 20).Draw(t, "probes")
		for index := range rapid.IntRange(1, 12).Draw(t, "changes") {
			from, to := rapid.Uint16().Draw(t, "from"), rapid.Uint16().Draw(t, "to")
			from, to = min(from, to), max(from, to)
			owner := rapid.SampledFrom([]Owner{one, two}).Draw(t, "owner")
			var err error
			table, err = table.Apply(uint64(index+1), []Change{{From: from, To: to, Owner: owner}})
			if err != nil {
				t.Fatal(err)
			}
			for _, probe := range probes {
				if probe >= from && probe <= to {
					owners[probe] = owner
				}
			}
		}
		next := 0
		for _, span := range table.All() {
			if int(span.From) != next || span.To < span.From {
				t.Fatalf("span %d to %d follows key %d", span.From, span.To, next-1)
			}
			next = int(span.To) + 1
		}
		if next != MaxKey+1 {
			t.Fatalf("the table ends at %d", next-1)
		}
		for _, probe := range probes {
			if got := table.Find(probe).Owner; got != owners[probe] {
				t.Fatalf("key %d: %v, want %v", probe, got, owners[probe])
			}
		}
	})
}

func TestOwnedBy(t *testing.T) {
	is := is.New(t)
	table, err := Table{}.Apply(1, []Change{{From: 5, To: 6, Owner: one}})
	is.NoErr(err)
	is.Equal(len(table.OwnedBy(one)), 1)
	is.Equal(table.Find(7).Owner, noOwner)
	is.Equal(table.Find(5).KeyCount(), 2)
}
