package plan

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/lease"
	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// fleet is a state machine that applies decisions, with immediate releases.
type fleet struct {
	machine *state.Machine
	expired map[uint64]bool
}

func newFleet(t testing.TB, policy string) *fleet {
	t.Helper()
	fleet := &fleet{machine: state.NewMachine(), expired: map[uint64]bool{}}
	records, err := spec.ParseDocument(fmt.Appendf(nil, `
[[policy]]
name = "main"
schema = 1
version = 1
routing = %q
[[workspace]]
name = "a"
schema = 1
version = 1
[[rate]]
name = "a"
schema = 1
version = 1
workspace = "a"
perSecond = 1
burst = 1
[[service]]
name = "keyed"
schema = 1
version = 1
partitions = 64
policies = ["main"]
[[service]]
name = "desk"
schema = 1
version = 1
`, policy), spec.FormatTOML)
	if err != nil {
		t.Fatal(err)
	}
	fleet.apply(state.ApplyRecords{Records: records, At: time.Unix(1, 0)})
	return fleet
}

func (fleet *fleet) apply(command state.Command) {
	fleet.machine.Apply(fleet.machine.Catalog.Index+1, command)
}

func (fleet *fleet) addHost(number int) {
	fleet.apply(state.OpenSession{Host: state.Host{Name: fmt.Sprintf("h%d", number), DataCentre: fmt.Sprintf("d%d", number%3)}})
}

func (fleet *fleet) addUpstream(number int) {
	fleet.apply(state.RegisterUpstream{Upstream: state.Upstream{
		ID: state.UpstreamID{Service: "keyed", Name: fmt.Sprintf("u%d", number)}, DataCentre: fmt.Sprintf("d%d", number%3), Slots: 2,
	}})
}

// loseUpstream removes an upstream as its primary does.
func (fleet *fleet) loseUpstream(number int) {
	id := state.UpstreamID{Service: "keyed", Name: fmt.Sprintf("u%d", number)}
	shard := state.DispatchShard("keyed", id.Name)
	fleet.apply(state.RemoveUpstream{
		ID: id, Epoch: fleet.machine.Catalog.Upstreams[id].Epoch, Shard: shard, ShardEpoch: fleet.machine.Catalog.Shards[shard].Epoch,
	})
}

// converge applies decisions until there are none, and returns how many
// partitions changed their owner.
func (fleet *fleet) converge(t testing.TB) int {
	t.Helper()
	before := fleet.machine.Catalog.Tables["keyed"].Partitions
	for range 1000 {
		commands := Decide(Input{
			Catalog: fleet.machine.Catalog, Rebalance: true, Expired: func(epoch uint64) bool { return fleet.expired[epoch] },
		})
		if len(commands) == 0 {
			changed := 0
			for partition, owner := range fleet.machine.Catalog.Tables["keyed"].Partitions {
				if owner.Upstream != before[partition].Upstream {
					changed++
				}
			}
			return changed
		}
		for _, command := range commands {
			fleet.apply(command)
		}
		fleet.release()
	}
	t.Fatal("decisions do not converge")
	return 0
}

// release releases the shards and partitions that are marked as moving, and the
// shards of upstreams that are gone, as their holders do.
func (fleet *fleet) release() {
	catalog := fleet.machine.Catalog
	for id, shard := range catalog.Shards {
		_, upstream, dispatch := id.Dispatch()
		gone := dispatch && upstream != "" && catalog.Upstreams[state.UpstreamID{Service: "keyed", Name: upstream}].Slots == 0
		if shard.MovingTo != "" || gone && shard.Host != "" {
			fleet.apply(state.ReleaseShards{Session: shard.Session, Shards: []state.ShardID{id}})
		}
	}
	for partition, owner := range fleet.machine.Catalog.Tables["keyed"].Partitions {
		if owner.MovingTo == "" {
			continue
		}
		shard := state.DispatchShard("keyed", owner.Upstream)
		fleet.apply(state.ReleaseSlots{
			Service: "keyed", Shard: shard, ShardEpoch: fleet.machine.Catalog.Shards[shard].Epoch,
			Releases: []state.SlotRelease{{Slot: state.Slot{Partition: partition}, Token: owner.Token}},
		})
	}
}

// owned counts partitions by upstream.
func (fleet *fleet) owned() map[string]int {
	owned := map[string]int{}
	for _, owner := range fleet.machine.Catalog.Tables["keyed"].Partitions {
		owned[owner.Upstream]++
	}
	return owned
}

func startFleet(t testing.TB, policy string, hosts, upstreams int) *fleet {
	t.Helper()
	fleet := newFleet(t, policy)
	for number := range hosts {
		fleet.addHost(number)
	}
	for number := range upstreams {
		fleet.addUpstream(number)
	}
	fleet.converge(t)
	return fleet
}

// TestChurn compares the moves that the ownership policies need when upstreams
// and hosts join or are lost. The bound of the sticky policy is the least that
// any policy can reach: what the lost upstream owned.
func TestChurn(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(fleet *fleet)
		// maxMoves is the bound for the sticky policy.
		maxMoves int
	}{
		{"an upstream is lost", func(fleet *fleet) { fleet.loseUpstream(1) }, 64/4 + loadSlack},
		{"an upstream joins", func(fleet *fleet) { fleet.addUpstream(9) }, 64 / 5},
		{"a host joins", func(fleet *fleet) { fleet.addHost(9) }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sticky := startFleet(t, spec.RoutingBoundedLoadSticky, 3, 4)
			test.change(sticky)
			moved := sticky.converge(t)
			is.True(moved <= test.maxMoves)
			rendezvous := startFleet(t, spec.RoutingRendezvous, 3, 4)
			test.change(rendezvous)
			t.Logf("moves: sticky %d, rendezvous %d", moved, rendezvous.converge(t))
		})
	}
}

// TestBalance checks the upper bound of the partitions that an upstream owns.
func TestBalance(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, spec.RoutingBoundedLoadSticky, 3, 5)
	for name, count := range fleet.owned() {
		is.True(name != "")
		is.True(count <= 64/5+1+loadSlack)
	}
}

// TestDataCentreOutOfService takes a data centre out of service and back. While it
// is out it has neither shards nor keys; afterwards it has both again.
func TestDataCentreOutOfService(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, spec.RoutingBoundedLoadSticky, 6, 6)
	for version, inService := range []bool{false, true} {
		records, err := spec.ParseDocument(fmt.Appendf(nil, "[[dataCentre]]\nname = \"d1\"\nschema = 1\nversion = %d\ninService = %t\n", version+1, inService), spec.FormatTOML)
		is.NoErr(err)
		fleet.apply(state.ApplyRecords{Records: records})
		fleet.converge(t)
		held := 0
		for _, shard := range fleet.machine.Catalog.Shards {
			if fleet.machine.Catalog.Sessions[shard.Host].Host.DataCentre == "d1" {
				held++
			}
		}
		owned := fleet.owned()
		is.Equal(held > 0, inService)
		is.Equal(owned["u1"] > 0, inService)
		is.Equal(owned["u4"] > 0, inService)
	}
}

// TestKeysMoveBeforeShards takes a data centre out of service: the shards of its
// upstreams stay where they are until the keys have moved.
func TestKeysMoveBeforeShards(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, spec.RoutingBoundedLoadSticky, 6, 6)
	records, err := spec.ParseDocument([]byte("[[dataCentre]]\nname = \"d1\"\nschema = 1\nversion = 1\ninService = false\n"), spec.FormatTOML)
	is.NoErr(err)
	fleet.apply(state.ApplyRecords{Records: records})
	input := Input{Catalog: fleet.machine.Catalog, Expired: func(uint64) bool { return false }}
	moved := 0
	for _, command := range Decide(input) {
		switch command := command.(type) {
		case state.MoveSlots:
			moved += len(command.Moves)
		case state.MoveShards:
			for _, move := range command.Moves {
				_, upstream, _ := move.Shard.Dispatch()
				is.True(upstream == "" || fleet.owned()[upstream] == 0)
			}
		}
	}
	is.Equal(moved, fleet.owned()["u1"]+fleet.owned()["u4"])
}

// TestBalanceStepLimit checks that an upstream that joins gets only a few
// partitions per rebalancing step.
func TestBalanceStepLimit(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, spec.RoutingBoundedLoadSticky, 3, 4)
	fleet.addUpstream(9)
	input := Input{Catalog: fleet.machine.Catalog, Rebalance: true, Expired: func(uint64) bool { return false }}
	total := 0
	for _, command := range Decide(input) {
		if move, ok := command.(state.MoveSlots); ok {
			total += len(move.Moves)
		}
	}
	is.Equal(total, maxBalanceSlots)
	input.Rebalance = false
	for _, command := range Decide(input) {
		_, ok := command.(state.MoveSlots)
		is.True(!ok) // no rebalancing between two steps
	}
}

// TestShardsKeptUntilLeaseExpiry checks that no shard is reassigned before its
// session has expired.
func TestShardsKeptUntilLeaseExpiry(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, spec.RoutingBoundedLoadSticky, 3, 4)
	lost := fleet.machine.Catalog.Sessions["h0"].Epoch
	fleet.converge(t)
	held := 0
	for _, shard := range fleet.machine.Catalog.Shards {
		if shard.Session == lost {
			held++
		}
	}
	is.True(held > 0) // silent, but its lease may still be valid
	fleet.expired[lost] = true
	fleet.converge(t)
	for _, shard := range fleet.machine.Catalog.Shards {
		is.True(shard.Session != lost)
		is.True(shard.Host != "")
	}
}

// leader is a control host that leads the fleet from the start.
type leader struct {
	fleet *fleet
	since time.Time
}

func (leader *leader) HoldsLease() bool { return true }

func (leader *leader) Status() group.Status {
	return group.Status{Term: 1, LeaderSince: leader.since}
}

func (leader *leader) Catalog() *state.Catalog { return leader.fleet.machine.Catalog }

// TestSessionToBeClosedIsNotRenewed lets the heartbeat of a paused host arrive after its
// session was found to have expired and before the session is closed. The heartbeat
// renews the lease, so the host goes on as the holder of shards that others get.
func TestSessionToBeClosedIsNotRenewed(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, spec.RoutingBoundedLoadSticky, 3, 4)
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	secret := trust.Secret("the fleet's secret")
	table := lease.NewTable(secret, clock, &leader{fleet: fleet, since: clock.Now()})
	table.Update()
	catalog := fleet.machine.Catalog // what the hosts know
	var holders []*lease.Holder
	for number := range 3 {
		holders = append(holders, lease.NewHolder(secret, clock, fmt.Sprintf("h%d", number), 0, func() *state.Catalog { return catalog }))
	}
	heartbeat := func(holder *lease.Holder) {
		if answer := table.HandleHeartbeat(holder.NextHeartbeat()); answer != nil {
			holder.HandleAck(netip.MustParseAddrPort("127.0.0.1:7402"), answer)
		}
	}
	for range 20 { // h0 is paused, and its lease expires
		clock.Advance(lease.HeartbeatInterval)
		heartbeat(holders[1])
		heartbeat(holders[2])
	}
	closing := Decide(Input{Catalog: fleet.machine.Catalog, Expired: table.Expired})
	is.Equal(closing, []state.Command{state.CloseSession{Host: "h0", Epoch: catalog.Sessions["h0"].Epoch}})
	heartbeat(holders[0])
	for _, command := range closing {
		fleet.apply(command)
	}
	fleet.converge(t)
	for _, shard := range fleet.machine.Catalog.Shards {
		is.True(shard.Host != "h0")
	}
	is.True(!holders[0].Valid()) // other hosts hold its shards
}

// TestEverythingAssigned removes and adds hosts and upstreams at random. Decisions
// must converge, and while there is an upstream and a host, every partition has a
// live owner and every shard a live holder.
func TestEverythingAssigned(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		policy := rapid.SampledFrom([]string{spec.RoutingBoundedLoadSticky, spec.RoutingRendezvous}).Draw(rt, "policy")
		fleet := startFleet(t, policy, 3, 3)
		for range rapid.IntRange(1, 15).Draw(rt, "steps") {
			number := rapid.IntRange(0, 5).Draw(rt, "number")
			switch rapid.IntRange(0, 3).Draw(rt, "action") {
			case 0:
				// The old session of a host that restarts expires.
				fleet.expired[fleet.machine.Catalog.Sessions[fmt.Sprintf("h%d", number)].Epoch] = true
				fleet.addHost(number)
			case 1:
				if len(fleet.machine.Catalog.Sessions) > 1 {
					fleet.expired[fleet.machine.Catalog.Sessions[fmt.Sprintf("h%d", number)].Epoch] = true
				}
			case 2:
				fleet.addUpstream(number)
			case 3:
				if len(fleet.machine.Catalog.Upstreams) > 1 {
					fleet.loseUpstream(number)
				}
			}
			fleet.converge(t)
			checkAssigned(rt, fleet.machine.Catalog)
		}
	})
}

func checkAssigned(t *rapid.T, catalog *state.Catalog) {
	if len(catalog.Sessions) == 0 {
		return
	}
	for partition, owner := range catalog.Tables["keyed"].Partitions {
		if _, ok := catalog.Upstreams[state.UpstreamID{Service: "keyed", Name: owner.Upstream}]; !ok {
			t.Fatalf("partition %d is owned by %q", partition, owner.Upstream)
		}
	}
	for _, id := range neededShards(catalog) {
		shard := catalog.Shards[id]
		if catalog.Sessions[shard.Host].Epoch != shard.Session || shard.Host == "" {
			t.Fatalf("shard %s is held by %q under session %d", id, shard.Host, shard.Session)
		}
	}
}

// TestIsolatedLeader distinguishes a leader that no longer receives heartbeats,
// though consensus works, from hosts that are really lost.
func TestIsolatedLeader(t *testing.T) {
	for _, test := range []struct {
		name     string
		members  int
		led      time.Duration
		silent   int
		total    int
		isolated bool
	}{
		{"all hosts silent", 3, time.Minute, 12, 12, true},
		{"most hosts silent", 3, time.Minute, 7, 12, true},
		{"a data centre lost", 3, time.Minute, 3, 12, false},
		{"half of the hosts lost", 3, time.Minute, 6, 12, false},
		{"new leader receives no heartbeats either", 3, isolationMinTenure - 1, 12, 12, false},
		{"no other member to lead", 1, time.Minute, 12, 12, false},
		{"only host", 3, time.Minute, 1, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(looksIsolated(test.members, test.led, test.silent, test.total), test.isolated)
		})
	}
}

// TestIsolationDetectedBeforeLeaseExpiry checks that leadership is handed over early
// enough for the next leader to receive heartbeats from all hosts before it may
// treat them as lost.
func TestIsolationDetectedBeforeLeaseExpiry(t *testing.T) {
	is.New(t).True(isolationSilence < lease.Duration)
}
