package admin

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/shard"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

const statusTimeout = time.Second

// HostReply is the status of one host.
type HostReply struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Peer       string `json:"peer"`
	Session    uint64 `json:"session"`
	Draining   bool   `json:"draining"`
	// Applied is the log index up to which the host's catalog is current.
	Applied uint64 `json:"applied"`
	// SilentMillis is the time since the leader last received a message from the
	// host, in milliseconds.
	SilentMillis int64 `json:"silentMillis"`
	Shards       int   `json:"shards"`
}

// ShardReply is the status of one shard.
type ShardReply struct {
	ID             state.ShardID          `json:"id"`
	Host           string                 `json:"host"`
	Epoch          uint64                 `json:"epoch"`
	MovingTo       string                 `json:"movingTo,omitempty"`
	Waiting        int                    `json:"waiting"`
	Running        int                    `json:"running"`
	WorstWorkspace string                 `json:"worstWorkspace,omitempty"`
	WorstWaiting   int                    `json:"worstWaiting,omitempty"`
	Upstreams      []shard.UpstreamStatus `json:"upstreams,omitempty"`
}

// OwnerReply is the part of a service's keys that an upstream owns: partitions,
// and single keys that are assigned apart from their partition.
type OwnerReply struct {
	Service    string   `json:"service"`
	Upstream   string   `json:"upstream"`
	DataCentre string   `json:"dataCentre"`
	InService  bool     `json:"inService"`
	Partitions int      `json:"partitions"`
	Moving     int      `json:"moving"`
	Keys       []string `json:"keys,omitempty"`
}

// StatusReply is the status of the whole fleet.
type StatusReply struct {
	Index   uint64       `json:"index"`
	Leader  string       `json:"leader"`
	Control group.Status `json:"control"`
	Hosts   []HostReply  `json:"hosts"`
	Shards  []ShardReply `json:"shards"`
	Owners  []OwnerReply `json:"owners"`
	// Free is the number of partitions without an owner, by service.
	Free        map[string]int `json:"free"`
	Quarantined []string       `json:"quarantined,omitempty"`
}

func (admin *Admin) fleetStatus(_ string, request *http.Request) (any, error) {
	ctx, cancel := context.WithTimeout(request.Context(), statusTimeout)
	defer cancel()
	catalog := admin.Catalogs.Catalog()
	answer := StatusReply{Index: catalog.Index, Free: map[string]int{}}
	if leader, err := admin.Control.LeaderStatus(ctx); err == nil {
		answer.Control = leader
		answer.Leader = string(leader.ID)
	}
	// No host has applied the highest possible index, so all live hosts are listed.
	progress, _ := admin.Control.Lagging(ctx, ^uint64(0))
	answer.Hosts = hostReplies(catalog, progress)
	answer.Shards = shardReplies(catalog, admin.collectShardStatus(ctx, catalog))
	for _, name := range catalog.Services() {
		answer.Owners = append(answer.Owners, ownerReplies(catalog, name)...)
		answer.Free[name] = freePartitions(catalog.Tables[name])
	}
	for fingerprint, suspect := range catalog.Quarantine {
		if suspect.Quarantined() {
			answer.Quarantined = append(answer.Quarantined, fingerprint)
		}
	}
	return answer, nil
}

func hostReplies(catalog *state.Catalog, progress []group.HostProgress) []HostReply {
	progressByHost := map[string]group.HostProgress{}
	for _, host := range progress {
		progressByHost[host.Host] = host
	}
	shardCounts := map[string]int{}
	for _, shard := range catalog.Shards {
		shardCounts[shard.Host]++
	}
	var hosts []HostReply
	for _, name := range slices.Sorted(maps.Keys(catalog.Sessions)) {
		session := catalog.Sessions[name]
		hosts = append(hosts, HostReply{
			Name: name, DataCentre: session.Host.DataCentre, Peer: session.Host.Peer.String(), Session: session.Epoch,
			Draining: session.Draining, Applied: progressByHost[name].Applied, Shards: shardCounts[name],
			SilentMillis: progressByHost[name].Silent.Milliseconds(),
		})
	}
	return hosts
}

func shardReplies(catalog *state.Catalog, statuses []shard.Status) []ShardReply {
	statusByShard := map[state.ShardID]shard.Status{}
	for _, status := range statuses {
		if catalog.Shards[status.ID].Epoch == status.Epoch {
			statusByShard[status.ID] = status
		}
	}
	var shards []ShardReply
	for _, id := range slices.Sorted(maps.Keys(catalog.Shards)) {
		assignment := catalog.Shards[id]
		status := statusByShard[id]
		shards = append(shards, ShardReply{
			ID: id, Host: assignment.Host, Epoch: assignment.Epoch, MovingTo: assignment.MovingTo, Waiting: status.Waiting,
			Running: status.Running, WorstWorkspace: status.Worst, WorstWaiting: status.WorstWaiting, Upstreams: status.Upstreams,
		})
	}
	return shards
}

func ownerReplies(catalog *state.Catalog, service string) []OwnerReply {
	table := catalog.Tables[service]
	var owners []OwnerReply
	for _, upstream := range catalog.UpstreamsOf(service) {
		owner := OwnerReply{
			Service: service, Upstream: upstream.ID.Name, DataCentre: upstream.DataCentre,
			InService: catalog.UpstreamInService(upstream.ID),
		}
		for _, partition := range table.Partitions {
			if partition.Upstream == upstream.ID.Name {
				owner.Partitions++
				if partition.MovingTo != "" {
					owner.Moving++
				}
			}
		}
		for _, key := range slices.Sorted(maps.Keys(table.Keys)) {
			if table.Keys[key].Upstream == upstream.ID.Name {
				owner.Keys = append(owner.Keys, key)
			}
		}
		owners = append(owners, owner)
	}
	return owners
}

func freePartitions(table state.Table) int {
	free := 0
	for _, owner := range table.Partitions {
		if owner.Upstream == "" {
			free++
		}
	}
	return free
}

// collectShardStatus queries all hosts for the status of their shards. Hosts
// that do not answer in time are left out.
func (admin *Admin) collectShardStatus(ctx context.Context, catalog *state.Catalog) []shard.Status {
	var wait sync.WaitGroup
	var mutex sync.Mutex
	statuses := admin.Shards.Status()
	for name, session := range catalog.Sessions {
		if name == admin.Host {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			reply, err := admin.Links.Call(ctx, session.Host.Peer, links.Payload{Kind: calls.KindStatus, Head: codec.Raw{0xf6}})
			if err != nil {
				return
			}
			var remote []shard.Status
			if err := codec.Unmarshal(reply.Head, &remote); err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			statuses = append(statuses, remote...)
		}()
	}
	wait.Wait()
	return statuses
}

// HandleStatus handles another host's query for the status of this host's shards.
func (admin *Admin) HandleStatus() (links.Payload, error) {
	head, err := codec.Marshal(admin.Shards.Status())
	if err != nil {
		return links.Payload{}, Error.New("encode status: %w", err)
	}
	return links.Payload{Kind: calls.KindStatus, Head: head}, nil
}

// PolicyReply holds a policy's results, merged over all primaries.
type PolicyReply struct {
	Service  string `json:"service"`
	Policy   string `json:"policy"`
	Answered uint64 `json:"answered"`
	Refused  uint64 `json:"refused"`
	// Median is the mean of the primaries' medians, weighted by answered requests.
	Median time.Duration `json:"median"`
	// P99 is the worst of the primaries' 99th percentiles.
	P99 time.Duration `json:"p99"`
	// Primaries is the number of primaries that served requests under it.
	Primaries int `json:"primaries"`
}

// policies returns the results of each service's policies for comparison.
func (admin *Admin) policies(_ string, request *http.Request) (any, error) {
	ctx, cancel := context.WithTimeout(request.Context(), statusTimeout)
	defer cancel()
	merged := map[string]*PolicyReply{}
	for _, status := range admin.collectShardStatus(ctx, admin.Catalogs.Catalog()) {
		service, _, _ := status.ID.Dispatch()
		for _, policy := range status.Policies {
			name := service + "\x00" + policy.Policy
			row, ok := merged[name]
			if !ok {
				row = &PolicyReply{Service: service, Policy: policy.Policy}
				merged[name] = row
			}
			row.add(policy)
		}
	}
	rows := []PolicyReply{}
	for _, name := range slices.SortedFunc(maps.Keys(merged), strings.Compare) {
		rows = append(rows, *merged[name])
	}
	return rows, nil
}

func (policyreply *PolicyReply) add(policy shard.PolicyStatus) {
	total := policyreply.Answered + policy.Answered
	if total > 0 {
		weighted := float64(policyreply.Median)*float64(policyreply.Answered) + float64(policy.Median)*float64(policy.Answered)
		policyreply.Median = time.Duration(weighted / float64(total))
	}
	policyreply.Answered = total
	policyreply.Refused += policy.Refused
	policyreply.P99 = max(policyreply.P99, policy.P99)
	policyreply.Primaries++
}
