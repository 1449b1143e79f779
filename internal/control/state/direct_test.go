package state

import (
	"net/netip"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// newInstance returns an instance of the service jobs.
func newInstance(id string, born int64) Instance {
	return Instance{
		ID: id, Born: born, Service: "jobs", DataCentre: "north", Slots: 2,
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
}

func applyInOrder(catalog *Catalog, commands ...Command) *Catalog {
	for _, command := range commands {
		catalog, _ = catalog.Apply(catalog.Index+1, command)
	}
	return catalog
}

func TestInstances(t *testing.T) {
	first := newInstance("one", 10)
	draining := first
	draining.Draining = true
	restarted := newInstance("one", 20)
	successor := newInstance("two", 30)
	cold := first
	cold.Cold = true
	cases := []struct {
		name     string
		commands []Command
		want     map[string]Instance
	}{
		{
			"a late heartbeat does not undo draining",
			[]Command{RegisterInstance{first}, RegisterInstance{draining}, RegisterInstance{first}},
			map[string]Instance{"one": draining},
		},
		{
			"marking as silent keeps concurrently committed fields",
			[]Command{RegisterInstance{draining}, MarkSilent{[]spans.Owner{first.Owner()}}},
			map[string]Instance{"one": {
				ID: "one", Born: 10, Service: "jobs", DataCentre: "north", Slots: 2, Address: first.Address,
				Draining: true, Silent: true,
			}},
		},
		{
			"a process that leaves stays draining", []Command{RegisterInstance{first}, MarkDraining{[]spans.Owner{first.Owner()}}, RegisterInstance{first}},
			map[string]Instance{"one": draining},
		},
		{
			"a process that leaves is not the next one under its ID",
			[]Command{RegisterInstance{restarted}, MarkDraining{[]spans.Owner{first.Owner()}}},
			map[string]Instance{"one": restarted},
		},
		{
			"a new incarnation replaces the old one", []Command{RegisterInstance{draining}, RegisterInstance{restarted}},
			map[string]Instance{"one": restarted},
		},
		{
			"an older incarnation is ignored", []Command{RegisterInstance{restarted}, RegisterInstance{first}},
			map[string]Instance{"one": restarted},
		},
		{
			"a newer upstream replaces the one at its address", []Command{RegisterInstance{first}, RegisterInstance{successor}},
			map[string]Instance{"two": successor},
		},
		{
			"upstreams are cold after an evacuation", []Command{
				RegisterInstance{first}, EvacuateDataCentre{Name: "north", Evacuated: true}, EvacuateDataCentre{Name: "north"},
			},
			map[string]Instance{"one": cold},
		},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(applyInOrder(&Catalog{}, testcase.commands...).Instances, testcase.want)
		})
	}
}

func TestChangeSpansStaleBase(t *testing.T) {
	is := is.New(t)
	owner := spans.Owner{ID: "one", Born: 10}
	change := ChangeSpans{Service: "jobs", Changes: []spans.Change{{From: 0, To: spans.MaxKey, Owner: owner}}}
	catalog, first := (&Catalog{}).Apply(5, change)
	is.Equal(first.Outcome, OutcomeDone)
	is.Equal(catalog.Spans["jobs"].Find(7).Fence, uint64(5))
	_, second := catalog.Apply(6, change)
	is.Equal(second.Outcome, OutcomeStale) // the table has changed since
}

// TestDetailsAreBounded guards against results that are kept for repeats and quote names of
// any length.
func TestDetailsAreBounded(t *testing.T) {
	is := is.New(t)
	catalog, result := (&Catalog{}).Apply(1, PutItems{Items: []items.Item{{
		Kind: items.KindRoute, Name: strings.Repeat("ü", maxDetailBytes), Version: 1, Route: &items.Route{
			Timeout: time.Second, Attempts: 1, Split: []items.WeightedService{{Service: "nobody", Weight: 1}},
		},
	}}})
	is.Equal(result.Outcome, OutcomeInvalid)
	is.True(len(result.Detail) <= maxDetailBytes)
	is.True(utf8.ValidString(result.Detail))
	is.Equal(len(catalog.Items.Items), 0)
}

// TestDeletedWorkspacesSurviveRestarts guards against hosts that open all routes after a
// restart, as the last workspace was deleted before.
func TestDeletedWorkspacesSurviveRestarts(t *testing.T) {
	is := is.New(t)
	workspace := items.Item{Kind: items.KindWorkspace, Name: "w", Version: 1, Workspace: &items.Workspace{Keys: []string{"k"}}}
	gone := items.Item{Kind: items.KindWorkspace, Name: "w", Version: 2, Deleted: true}
	machine := NewMachine()
	machine.Apply(1, PutItems{Items: []items.Item{workspace}})
	machine.Apply(2, PutItems{Items: []items.Item{gone}})
	data, err := machine.Snapshot()
	is.NoErr(err)
	restored, err := RestoreMachine(data)
	is.NoErr(err)
	is.True(restored.Catalog.View().NeedsKeys())
	_, _, known := restored.Catalog.View().KeyOwner("k")
	is.True(!known)
}
