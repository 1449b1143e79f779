// Package plan decides, on the control leader, which host holds which shard
// and which upstream owns which keys. Decide is a pure function of the catalog
// and of what the leader knows of leases and time.
package plan

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	// BalanceInterval is the time between two steps that only serve balance, so
	// that what returns gets its share back slowly.
	BalanceInterval = 500 * time.Millisecond
	// balanceSlots is the number of slots that one upstream gets in a step that
	// only serves balance.
	balanceSlots = 2
	// balanceShards is the number of shards that one step moves for balance.
	balanceShards = 1
	// loadSlack is how many slots above the mean an upstream may own before
	// some are moved away from it.
	loadSlack = 1
)

// MaxOwned is the number of slots that the sticky policy leaves an upstream
// with at most, once it has settled.
func MaxOwned(slots, upstreams int) int {
	return (slots+upstreams-1)/upstreams + loadSlack
}

// Input is what a decision depends on.
type Input struct {
	Catalog *state.Catalog
	// Expired tells whether no process can act under a session any more.
	Expired func(epoch uint64) bool
	// Balance allows moves that only serve balance.
	Balance bool
	// Settled is set where this very catalog called for nothing a moment ago, so
	// that only sessions may have something to do.
	Settled bool
}

// Decide returns the commands to commit next. They are valid for the catalog
// given; commands that no longer fit when they are applied change nothing.
func Decide(input Input) []state.Command {
	var commands []state.Command
	commands = append(commands, closeSessions(input)...)
	if input.Settled && !input.Balance {
		return commands
	}
	commands = append(commands, placeShards(input)...)
	commands = append(commands, dropShards(input)...)
	for _, name := range input.Catalog.Services() {
		commands = append(commands, placeSlots(input, name)...)
	}
	return commands
}

// closeSessions ends each session whose lease has ended, also earlier sessions
// of hosts that have come back, as long as they hold shards.
func closeSessions(input Input) []state.Command {
	epochs := map[uint64]string{}
	for name, session := range input.Catalog.Sessions {
		epochs[session.Epoch] = name
	}
	for _, shard := range input.Catalog.Shards {
		if shard.Host != "" {
			epochs[shard.Session] = shard.Host
		}
	}
	var commands []state.Command
	for _, epoch := range slices.Sorted(maps.Keys(epochs)) {
		if input.Expired(epoch) {
			commands = append(commands, state.CloseSession{Host: epochs[epoch], Epoch: epoch})
		}
	}
	return commands
}

// neededShards lists the shards that the records and upstreams call for.
func neededShards(catalog *state.Catalog) []state.ShardID {
	var shards []state.ShardID
	for _, name := range catalog.Services() {
		service, _ := catalog.Service(name)
		if service.Partitions == 0 {
			shards = append(shards, state.DispatchShard(name, ""))
			continue
		}
		for _, upstream := range catalog.UpstreamsOf(name) {
			shards = append(shards, state.DispatchShard(name, upstream.ID.Name))
		}
	}
	for _, workspace := range catalog.Workspaces() {
		if _, limited := catalog.Rate(workspace); limited {
			shards = append(shards, state.QuotaShard(workspace))
		}
	}
	return shards
}

// hostLoad is a host that may take shards.
type hostLoad struct {
	session state.Session
	shards  int
}

// eligibleHosts returns the hosts that take shards and how many each has or is
// about to get.
func eligibleHosts(catalog *state.Catalog) map[string]*hostLoad {
	hosts := map[string]*hostLoad{}
	for name, session := range catalog.Sessions {
		if !session.Draining && catalog.DataCentreInService(session.Host.DataCentre) {
			hosts[name] = &hostLoad{session: session}
		}
	}
	for _, shard := range catalog.Shards {
		holder := shard.Host
		if shard.MovingTo != "" {
			holder = shard.MovingTo
		}
		if host, ok := hosts[holder]; ok {
			host.shards++
		}
	}
	return hosts
}

// placeShards gives shards without a holder away, and moves those whose holder
// is leaving.
func placeShards(input Input) []state.Command {
	catalog := input.Catalog
	hosts := eligibleHosts(catalog)
	if len(hosts) == 0 {
		return nil
	}
	var moves []state.ShardMove
	for _, id := range neededShards(catalog) {
		shard := catalog.Shards[id]
		if !mustMove(catalog, hosts, shard) || shard.Host != "" && emptying(catalog, id) {
			continue
		}
		host := chooseHost(catalog, hosts, id)
		hosts[host].shards++
		moves = append(moves, state.ShardMove{Shard: id, Epoch: shard.Epoch, Host: host})
	}
	if len(moves) == 0 && input.Balance {
		moves = balanceHosts(catalog, hosts)
	}
	if len(moves) == 0 {
		return nil
	}
	return []state.Command{state.MoveShards{Moves: moves}}
}

// mustMove tells whether a shard needs another holder than it has or is about
// to get.
func mustMove(catalog *state.Catalog, hosts map[string]*hostLoad, shard state.Shard) bool {
	if shard.Host == "" {
		return true
	}
	if shard.MovingTo != "" {
		_, ok := hosts[shard.MovingTo]
		return !ok
	}
	_, ok := hosts[shard.Host]
	live := catalog.Sessions[shard.Host].Epoch == shard.Session
	return !ok && live
}

// emptying tells whether a dispatch shard's upstream is leaving and its keys
// can go to others. Its primary stays until they have gone, so that each key is
// interrupted by one move and not by two.
func emptying(catalog *state.Catalog, id state.ShardID) bool {
	service, name, ok := id.Dispatch()
	upstream := state.UpstreamID{Service: service, Name: name}
	if !ok || name == "" || catalog.UpstreamInService(upstream) || len(eligibleUpstreams(catalog, service)) == 0 {
		return false
	}
	for _, slot := range slotsOf(catalog.Tables[service]) {
		if slot.owner.Upstream == name {
			return true
		}
	}
	return false
}

// chooseHost prefers the upstream's data centre, then the fewest shards, then
// the highest hash, so that equal hosts share evenly.
func chooseHost(catalog *state.Catalog, hosts map[string]*hostLoad, id state.ShardID) string {
	dataCentre := shardDataCentre(catalog, id)
	best := ""
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		if best == "" || betterHost(hosts, dataCentre, id, name, best) {
			best = name
		}
	}
	return best
}

func shardDataCentre(catalog *state.Catalog, id state.ShardID) string {
	service, upstream, ok := id.Dispatch()
	if !ok {
		return ""
	}
	return catalog.Upstreams[state.UpstreamID{Service: service, Name: upstream}].DataCentre
}

func betterHost(hosts map[string]*hostLoad, dataCentre string, id state.ShardID, left, right string) bool {
	leftNear := hosts[left].session.Host.DataCentre == dataCentre
	rightNear := hosts[right].session.Host.DataCentre == dataCentre
	if leftNear != rightNear {
		return leftNear
	}
	if hosts[left].shards != hosts[right].shards {
		return hosts[left].shards < hosts[right].shards
	}
	return rank(string(id), left) > rank(string(id), right)
}

// rank is the weight of a candidate for an item in rendezvous hashing.
func rank(item, candidate string) uint64 {
	return xxhash.Sum64String(item + "\x00" + candidate)
}

// balanceHosts moves a shard from the fullest host to the emptiest one where
// they differ by more than one.
func balanceHosts(catalog *state.Catalog, hosts map[string]*hostLoad) []state.ShardMove {
	var moves []state.ShardMove
	for _, id := range slices.Sorted(maps.Keys(catalog.Shards)) {
		shard := catalog.Shards[id]
		source, ok := hosts[shard.Host]
		if !ok || shard.MovingTo != "" {
			continue
		}
		target := chooseHost(catalog, hosts, id)
		if target == shard.Host || source.shards <= hosts[target].shards+1 {
			continue
		}
		source.shards--
		hosts[target].shards++
		moves = append(moves, state.ShardMove{Shard: id, Epoch: shard.Epoch, Host: target})
		if len(moves) == balanceShards {
			break
		}
	}
	return moves
}

// dropShards removes free shards that nothing calls for.
func dropShards(input Input) []state.Command {
	needed := map[state.ShardID]bool{}
	for _, id := range neededShards(input.Catalog) {
		needed[id] = true
	}
	var unused []state.ShardID
	for _, id := range slices.Sorted(maps.Keys(input.Catalog.Shards)) {
		if !needed[id] && input.Catalog.Shards[id].Host == "" {
			unused = append(unused, id)
		}
	}
	if len(unused) == 0 {
		return nil
	}
	return []state.Command{state.RemoveShards{Shards: unused}}
}

// placeSlots decides the ownership of one service's keys by its policy.
func placeSlots(input Input, service string) []state.Command {
	table, ok := input.Catalog.Tables[service]
	if !ok {
		return nil
	}
	upstreams := eligibleUpstreams(input.Catalog, service)
	if len(upstreams) == 0 {
		return nil
	}
	var moves []state.SlotMove
	if ownershipPolicy(input.Catalog, service) == spec.RoutingRendezvous {
		moves = rendezvousMoves(table, upstreams)
	} else {
		moves = stickyMoves(table, upstreams, takers(input.Catalog, service, upstreams), input.Balance)
	}
	if len(moves) == 0 {
		return nil
	}
	return []state.Command{state.MoveSlots{Service: service, Moves: moves}}
}

// takers returns the upstreams that may get more keys: all that are not full,
// or all if every one is.
func takers(catalog *state.Catalog, service string, upstreams []string) []string {
	var open []string
	for _, name := range upstreams {
		if !catalog.Upstreams[state.UpstreamID{Service: service, Name: name}].Full {
			open = append(open, name)
		}
	}
	if len(open) == 0 {
		return upstreams
	}
	return open
}

func eligibleUpstreams(catalog *state.Catalog, service string) []string {
	var names []string
	for _, upstream := range catalog.UpstreamsOf(service) {
		if catalog.UpstreamInService(upstream.ID) {
			names = append(names, upstream.ID.Name)
		}
	}
	return names
}

// ownershipPolicy is the routing of the service's first policy: ownership has
// one rule at a time, since a key has one owner.
func ownershipPolicy(catalog *state.Catalog, name string) string {
	service, _ := catalog.Service(name)
	if len(service.Policies) == 0 {
		return spec.RoutingSticky
	}
	policy, _ := catalog.Policy(service.Policies[0].Name)
	return policy.Routing
}
