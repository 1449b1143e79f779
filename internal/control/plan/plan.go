// Package plan decides, on the control leader, which host holds which shard
// and which upstream owns which keys. Decide is a pure function of the catalog
// and of the leader's knowledge of leases and time.
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
	// RebalanceInterval is the minimum time between two rebalancing steps, so that
	// hosts and upstreams that return get their share back slowly.
	RebalanceInterval = 500 * time.Millisecond
	// maxBalanceSlots is the maximum number of slots that one upstream receives in a
	// rebalancing step.
	maxBalanceSlots = 2
	// maxBalanceShards is the maximum number of shards that a rebalancing step moves.
	maxBalanceShards = 1
	// loadSlack is how many slots above the mean an upstream may own before
	// rebalancing moves some away from it.
	loadSlack = 1
)

// MaxSlotsPerUpstream returns the maximum number of slots per upstream once
// placement by the sticky policy has converged.
func MaxSlotsPerUpstream(slots, upstreams int) int {
	return (slots+upstreams-1)/upstreams + loadSlack
}

// Input is what a decision depends on.
type Input struct {
	Catalog *state.Catalog
	// Expired reports whether a session's lease has certainly expired, so that no
	// process can act under it any more.
	Expired func(epoch uint64) bool
	// Rebalance allows rebalancing moves.
	Rebalance bool
	// Converged is set if the last decision on this same catalog was empty, so that
	// only sessions need to be checked.
	Converged bool
}

// Decide returns the commands to commit next. They are valid for the given
// catalog; commands that are outdated when they are applied change nothing.
func Decide(input Input) []state.Command {
	var commands []state.Command
	commands = append(commands, closeSessions(input)...)
	if input.Converged && !input.Rebalance {
		return commands
	}
	commands = append(commands, placeShards(input)...)
	commands = append(commands, removeUnusedShards(input)...)
	for _, name := range input.Catalog.Services() {
		commands = append(commands, placeSlots(input, name)...)
	}
	return commands
}

// closeSessions closes each session whose lease has expired. This includes earlier
// sessions of hosts that have come back, as long as they hold shards.
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

// neededShards lists the shards that the records and upstreams require.
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

// hostLoad is a host that may take shards, and the number of shards that it holds
// or is about to get.
type hostLoad struct {
	session state.Session
	shards  int
}

// eligibleHosts returns the hosts that may take shards, and how many each holds or
// is about to get.
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

// placeShards assigns shards without a holder, and moves those whose holder is
// leaving.
func placeShards(input Input) []state.Command {
	catalog := input.Catalog
	hosts := eligibleHosts(catalog)
	if len(hosts) == 0 {
		return nil
	}
	var moves []state.ShardMove
	for _, id := range neededShards(catalog) {
		shard := catalog.Shards[id]
		if !mustMove(catalog, hosts, shard) || shard.Host != "" && hasKeysToMove(catalog, id) {
			continue
		}
		host := chooseHost(catalog, hosts, id)
		hosts[host].shards++
		moves = append(moves, state.ShardMove{Shard: id, Epoch: shard.Epoch, Host: host})
	}
	if len(moves) == 0 && input.Rebalance {
		moves = balanceHosts(catalog, hosts)
	}
	if len(moves) == 0 {
		return nil
	}
	return []state.Command{state.MoveShards{Moves: moves}}
}

// mustMove reports whether a shard needs a holder other than the one that it has or
// is about to get.
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

// hasKeysToMove reports whether a dispatch shard's upstream is leaving and still
// owns keys that can move to others. Its primary stays until they have moved, so
// that each key is interrupted by one move and not by two.
func hasKeysToMove(catalog *state.Catalog, id state.ShardID) bool {
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

// chooseHost prefers the upstream's data centre, then the fewest shards, then the
// highest rendezvous score, so that shards spread evenly over equal hosts.
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
	return rendezvousScore(string(id), left) > rendezvousScore(string(id), right)
}

// rendezvousScore returns the score of a candidate for an item in rendezvous
// hashing.
func rendezvousScore(item, candidate string) uint64 {
	return xxhash.Sum64String(item + "\x00" + candidate)
}

// balanceHosts moves up to maxBalanceShards shards, each to the host that chooseHost
// prefers for it, if the current holder has at least two shards more than that host.
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
		if len(moves) == maxBalanceShards {
			break
		}
	}
	return moves
}

// removeUnusedShards removes shards that have no holder and are no longer needed.
func removeUnusedShards(input Input) []state.Command {
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

// placeSlots assigns the keys of one service to upstreams by its ownership policy.
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
		moves = stickyMoves(table, upstreams, acceptingUpstreams(input.Catalog, service, upstreams), input.Rebalance)
	}
	if len(moves) == 0 {
		return nil
	}
	return []state.Command{state.MoveSlots{Service: service, Moves: moves}}
}

// acceptingUpstreams returns the upstreams that may get more keys: those that are
// not full, or all if every one is.
func acceptingUpstreams(catalog *state.Catalog, service string, upstreams []string) []string {
	var accepting []string
	for _, name := range upstreams {
		if !catalog.Upstreams[state.UpstreamID{Service: service, Name: name}].Full {
			accepting = append(accepting, name)
		}
	}
	if len(accepting) == 0 {
		return upstreams
	}
	return accepting
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

// ownershipPolicy returns the routing of the service's first policy. Only one
// policy can govern ownership, since a key has one owner.
func ownershipPolicy(catalog *state.Catalog, name string) string {
	service, _ := catalog.Service(name)
	if len(service.Policies) == 0 {
		return spec.RoutingBoundedLoadSticky
	}
	policy, _ := catalog.Policy(service.Policies[0].Name)
	return policy.Routing
}
