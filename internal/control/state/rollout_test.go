package state

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/items"
)

// TestRolloutAllows guards against requests that reach a version which no order allowed, or one
// that was rolled back.
func TestRolloutAllows(t *testing.T) {
	running := Rollout{Stable: "v1", Target: "v2", State: RolloutRunning, Exposure: 50, Rejected: []string{"v0"}}
	finishing, completed, rolledBack := running, running, running
	finishing.State = RolloutFinishing
	completed.State, completed.Stable = RolloutCompleted, "v2"
	rolledBack.State, rolledBack.Rejected = RolloutRolledBack, []string{"v0", "v2"}
	for _, test := range []struct {
		name     string
		rollout  Rollout
		expected map[string]int
	}{
		{"versions are ignored", Rollout{}, map[string]int{"": 1000, "v1": 1000, "v2": 1000}},
		{"no order", Rollout{Stable: "v1"}, map[string]int{"": 0, "v1": 1000, "v2": 0}},
		{"running", running, map[string]int{"": 0, "v0": 0, "v1": 950, "v2": 50, "v3": 0}},
		{"finishing", finishing, map[string]int{"v0": 0, "v1": 0, "v2": 1000, "v3": 0}},
		{"completed", completed, map[string]int{"v0": 0, "v1": 0, "v2": 1000, "v3": 0}},
		{"rolled back", rolledBack, map[string]int{"v0": 0, "v1": 1000, "v2": 0, "v3": 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for version, expected := range test.expected {
				is.Equal(test.rollout.Allows(version), expected)
			}
		})
	}
}

const billing = "billing"

// rolloutMachine returns a machine in which a service has version v1 in use and upstreams of
// v1, v2 and v3, and a function that applies commands at the following indexes.
func rolloutMachine(t *testing.T) (*Machine, func(Command) Result) {
	t.Helper()
	machine := NewMachine()
	apply := func(command Command) Result {
		data, err := EncodeCommand(command)
		if err != nil {
			t.Fatal(err)
		}
		result, _, err := machine.ApplyEntry(machine.Catalog.Index+1, data)
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	apply(SetFormat{Format: FormatRollouts})
	apply(PutItems{Items: []items.Item{{Kind: items.KindService, Name: billing, Version: 1, Service: &items.Service{}}}})
	apply(RecordStable{Service: billing, Version: "v1"})
	for number, version := range []string{"v1", "v2", "v3"} {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 80)
		apply(RegisterInstance{Instance: Instance{ID: version, Service: billing, Version: version, Address: address}})
	}
	return machine, apply
}

// TestRolloutOrders guards against orders that are accepted although they can't be carried out,
// and repeats that start a rollout again.
func TestRolloutOrders(t *testing.T) {
	is := is.New(t)
	machine, apply := rolloutMachine(t)
	apply(RecordStable{Service: billing, Version: "v3"})
	is.Equal(machine.Catalog.Rollouts[billing].Stable, "v1") // only the first one counts
	order := StartRollout{Service: billing, Target: "v2", Duration: 12 * time.Second}
	for _, invalid := range []StartRollout{
		{Service: "other", Target: "v2", Duration: order.Duration}, {Service: billing, Duration: order.Duration},
		{Service: billing, Target: "v1", Duration: order.Duration},
		{Service: billing, Target: "v2"}, {Service: billing, Target: "v2", Duration: -time.Second},
	} {
		is.Equal(apply(invalid).Outcome, OutcomeInvalid)
	}
	is.Equal(apply(order).Outcome, OutcomeDone)
	is.Equal(apply(order).Outcome, OutcomeConflict)
	is.Equal(apply(StartRollout{Service: billing, Target: "v3", Duration: order.Duration}).Outcome, OutcomeConflict)
	is.Equal(machine.Catalog.Rollouts[billing].Allows("v2"), 0) // the leader sets the first exposure
	changed := machine.Catalog.Rollouts[billing].Changed
	is.Equal(apply(SetExposure{Service: billing, Base: changed, Exposure: 50, Started: 99}).Outcome, OutcomeDone)
	is.Equal(apply(SetExposure{Service: billing, Base: changed, Exposure: 1000}).Outcome, OutcomeStale)
	is.Equal(machine.Catalog.Rollouts[billing].Allows("v2"), 50)
	changed = machine.Catalog.Rollouts[billing].Changed
	is.Equal(apply(EndRollout{Service: billing, Base: changed, Reason: "failures"}).Outcome, OutcomeDone)
	is.Equal(apply(EndRollout{Service: billing, Base: changed, Completed: true}).Outcome, OutcomeStale)
	is.Equal(machine.Catalog.Rollouts[billing].Rejected, []string{"v2"})
	is.Equal(apply(order).Outcome, OutcomeInvalid) // a late repeat must not start it again
	// The upstreams of a version may start after the order.
	is.Equal(apply(StartRollout{Service: billing, Target: "v9", Duration: order.Duration}).Outcome, OutcomeDone)
}

// TestRolloutsOfDeletedServices guards against an order for a service that was deleted after the
// order was looked at, and against a rollout whose service was deleted and that nothing can end.
func TestRolloutsOfDeletedServices(t *testing.T) {
	gone := ChangeItems{Items: []items.Item{{Kind: items.KindService, Name: billing, Version: 2, Deleted: true}}}
	back := ChangeItems{Items: []items.Item{{Kind: items.KindService, Name: billing, Version: 3, Service: &items.Service{}}}}
	order := StartRollout{Service: billing, Target: "v2", Duration: time.Minute}
	is := is.New(t)
	machine, apply := rolloutMachine(t)
	is.Equal(apply(gone).Outcome, OutcomeDone)
	is.Equal(apply(order).Outcome, OutcomeInvalid)
	is.Equal(apply(back).Outcome, OutcomeDone)
	is.Equal(apply(order).Outcome, OutcomeDone)
	gone.Items[0].Version = 4
	is.Equal(apply(gone).Outcome, OutcomeDone)
	base := machine.Catalog.Rollouts[billing].Changed
	is.Equal(apply(SetExposure{Service: billing, Base: base, Exposure: 100}).Outcome, OutcomeDone)
	base = machine.Catalog.Rollouts[billing].Changed
	is.Equal(apply(EndRollout{Service: billing, Base: base, Reason: "test"}).Outcome, OutcomeDone)
	back.Items[0].Version = 5
	is.Equal(apply(back).Outcome, OutcomeDone)
	is.Equal(apply(StartRollout{Service: billing, Target: "v3", Duration: time.Minute}).Outcome, OutcomeDone)
}

// TestRolloutSurvivesSnapshot guards against an acknowledged order, or a rejected version, that
// is lost when a host restarts from a snapshot.
func TestRolloutSurvivesSnapshot(t *testing.T) {
	is := is.New(t)
	machine, apply := rolloutMachine(t)
	for _, target := range []string{"v2", "v3"} {
		apply(StartRollout{Service: billing, Target: target, Duration: 12 * time.Second})
		apply(SetExposure{Service: billing, Base: machine.Catalog.Rollouts[billing].Changed, Exposure: 1000, Started: 99})
		is.Equal(machine.Catalog.Rollouts[billing].State, RolloutFinishing)
		data, err := machine.Snapshot()
		is.NoErr(err)
		restored, err := RestoreMachine(data)
		is.NoErr(err)
		is.Equal(restored.Catalog.Rollouts, machine.Catalog.Rollouts)
		apply(EndRollout{Service: billing, Base: machine.Catalog.Rollouts[billing].Changed, Completed: target == "v3"})
	}
	rollout := machine.Catalog.Rollouts[billing]
	is.Equal(rollout.Stable, "v3")
	is.Equal(rollout.Rejected, []string{"v2"})
	is.Equal(rollout.Allows("v1"), 0)
}
