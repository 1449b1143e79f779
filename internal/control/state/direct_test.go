package state

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// newInstance returns an upstream of a service.
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
	reborn := newInstance("one", 20)
	successor := newInstance("two", 30)
	cold := first
	cold.Cold = true
	cases := []struct {
		name     string
		commands []Command
		want     map[string]Instance
	}{
		{
			"a late heartbeat does not undo that the upstream leaves",
			[]Command{SeeInstance{first}, SeeInstance{draining}, SeeInstance{first}},
			map[string]Instance{"one": draining},
		},
		{
			"a silent upstream keeps what was committed beside",
			[]Command{SeeInstance{draining}, MarkSilent{[]spans.Owner{first.Owner()}}},
			map[string]Instance{"one": {
				ID: "one", Born: 10, Service: "jobs", DataCentre: "north", Slots: 2, Address: first.Address,
				Draining: true, Silent: true,
			}},
		},
		{
			"a new life starts anew", []Command{SeeInstance{draining}, SeeInstance{reborn}},
			map[string]Instance{"one": reborn},
		},
		{
			"an older life is gone", []Command{SeeInstance{reborn}, SeeInstance{first}},
			map[string]Instance{"one": reborn},
		},
		{
			"a successor takes the address", []Command{SeeInstance{first}, SeeInstance{successor}},
			map[string]Instance{"two": successor},
		},
		{
			"upstreams are cold after an evacuation", []Command{
				SeeInstance{first}, EvacuateDataCentre{Name: "north", Evacuated: true}, EvacuateDataCentre{Name: "north"},
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

func TestStaleChangeOfSpans(t *testing.T) {
	is := is.New(t)
	owner := spans.Owner{ID: "one", Born: 10}
	change := ChangeSpans{Service: "jobs", Changes: []spans.Change{{From: 0, To: spans.MaxKey, Owner: owner}}}
	catalog, first := (&Catalog{}).Apply(5, change)
	is.Equal(first.Outcome, OutcomeDone)
	is.Equal(catalog.Spans["jobs"].Find(7).Fence, uint64(5))
	_, second := catalog.Apply(6, change)
	is.Equal(second.Outcome, OutcomeStale) // the table has changed since
}
