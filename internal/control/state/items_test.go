package state

import (
	"testing"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/items"
)

// serviceItem returns the first version of a service.
func serviceItem(name string, size int) items.Item {
	return items.Item{Kind: items.KindService, Name: name, Version: 1, Source: make([]byte, size), Service: &items.Service{}}
}

// routeItem returns a route to the service jobs.
func routeItem() items.Item {
	return items.Item{
		Kind: items.KindRoute, Name: "r", Version: 1, Source: []byte("{}"),
		Route: &items.Route{Timeout: 1, Attempts: 1, Split: []items.WeightedService{{Service: "jobs", Weight: 1}}},
	}
}

// workspaceItem returns a workspace with the caller key k.
func workspaceItem(name string) items.Item {
	return items.Item{Kind: items.KindWorkspace, Name: name, Version: 1, Source: []byte("{}"), Workspace: &items.Workspace{Keys: []string{"k"}}}
}

// TestChangesAreJudgedWhereTheyAreApplied guards against two changes that are acknowledged and
// together make the configuration invalid, as each was judged before the other was committed.
// The outcome must be the same on a member that restores a snapshot between them, and hosts that
// follow the catalog must get what is in force, and nothing that was refused.
func TestChangesAreJudgedWhereTheyAreApplied(t *testing.T) {
	gone := items.Item{Kind: items.KindService, Name: "jobs", Version: 2, Deleted: true}
	large := func(name string) []items.Item { return []items.Item{serviceItem(name, items.MaxBytes*2/3)} }
	cases := []struct {
		name          string
		first, second []items.Item
		want          Outcome
	}{
		{"route, then deletion of its service", []items.Item{routeItem()}, []items.Item{gone}, OutcomeInvalid},
		{"deletion of a service, then route to it", []items.Item{gone}, []items.Item{routeItem()}, OutcomeInvalid},
		{"two that are too large together", large("a"), large("b"), OutcomeTooLarge},
		{"two workspaces with the same key", []items.Item{workspaceItem("a")}, []items.Item{workspaceItem("b")}, OutcomeInvalid},
		{"two contents of one version", []items.Item{serviceItem("desk", 1)}, []items.Item{serviceItem("desk", 2)}, OutcomeConflict},
		{"deletion that is sent again", []items.Item{gone}, []items.Item{gone}, OutcomeResent},
		{"route that is sent again", []items.Item{routeItem()}, []items.Item{routeItem()}, OutcomeResent},
		{"independent", []items.Item{gone}, []items.Item{serviceItem("desk", 1)}, OutcomeDone},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			machine, follower := NewMachine(), &Catalog{}
			for number, changes := range [][]items.Item{{serviceItem("jobs", 1)}, testcase.first, testcase.second} {
				snapshot, err := machine.Snapshot()
				is.NoErr(err)
				restored, err := RestoreMachine(snapshot)
				is.NoErr(err)
				data, err := EncodeCommand(PutItems{Items: changes})
				is.NoErr(err)
				data, err = Checked(data)
				is.NoErr(err)
				index := uint64(number + 1)
				result, change, err := machine.ApplyEntry(index, data)
				is.NoErr(err)
				again, _, err := restored.ApplyEntry(index, data)
				is.NoErr(err)
				is.Equal(again, result)
				is.Equal(restored.Catalog.Items, machine.Catalog.Items)
				is.Equal(change != nil, result.Outcome == OutcomeDone)
				if change != nil {
					command, err := DecodeCommand(change)
					is.NoErr(err)
					_, known := command.(PutItems) // hosts of the former version know no other
					is.True(known)
					follower, _ = follower.Apply(index, command)
				}
				is.Equal(follower.Items, machine.Catalog.Items)
				want := OutcomeDone
				if number == 2 {
					want = testcase.want
				}
				is.Equal(result.Outcome, want)
			}
		})
	}
}

// TestCheckedChangesNothingElse guards against other commands that are encoded anew.
func TestCheckedChangesNothingElse(t *testing.T) {
	is := is.New(t)
	data, err := EncodeCommand(EvacuateDataCentre{Name: "north", Evacuated: true})
	is.NoErr(err)
	checked, err := Checked(data)
	is.NoErr(err)
	is.Equal(checked, data)
	_, ok := ItemsOf(data)
	is.True(!ok)
}
