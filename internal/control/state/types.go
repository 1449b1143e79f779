// Package state is the replicated state machine: the catalog that every host
// follows (records, sessions, shards, upstreams, ownership of keys,
// quarantine) and the ledger of requests that only control hosts hold.
package state

import (
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/control/spec"
)

// Error is the class of all errors of this package.
var Error = errs.Class("state")

// Host is what a host says of itself when it opens a session.
type Host struct {
	Name       string
	DataCentre string
	// Peer is where the host takes links of other hosts.
	Peer netip.AddrPort
	// Boot is drawn anew by each process.
	Boot uint64
}

// Session is a host's membership in the fleet. Its epoch is the log index that
// opened it.
type Session struct {
	Host     Host
	Epoch    uint64
	Draining bool
}

// ShardID names a duty that exactly one host has at a time.
type ShardID string

const (
	dispatchPrefix = "dispatch/"
	quotaPrefix    = "quota/"
)

// DispatchShard names the shard that sends to one upstream, or with an empty
// upstream to all upstreams of a service whose keys are not divided.
func DispatchShard(service, upstream string) ShardID {
	if upstream == "" {
		return ShardID(dispatchPrefix + service)
	}
	return ShardID(dispatchPrefix + service + "/" + upstream)
}

// QuotaShard names the shard that holds a workspace's token bucket.
func QuotaShard(workspace string) ShardID {
	return ShardID(quotaPrefix + workspace)
}

// Dispatch returns the service and upstream of a dispatch shard.
func (shardid ShardID) Dispatch() (service, upstream string, ok bool) {
	rest, ok := strings.CutPrefix(string(shardid), dispatchPrefix)
	if !ok {
		return "", "", false
	}
	service, upstream, _ = strings.Cut(rest, "/")
	return service, upstream, true
}

// Quota returns the workspace of a quota shard.
func (shardid ShardID) Quota() (workspace string, ok bool) {
	return strings.CutPrefix(string(shardid), quotaPrefix)
}

// Shard says which host has a duty. Its epoch is the log index that gave the
// duty to that host.
type Shard struct {
	Host    string
	Session uint64
	Epoch   uint64
	// MovingTo is the host that gets the shard once the holder lets go.
	MovingTo string
}

// UpstreamID names an upstream.
type UpstreamID struct {
	Service string
	Name    string
}

// String returns the ID as service/name, the name of its record.
func (upstreamid UpstreamID) String() string { return upstreamid.Service + "/" + upstreamid.Name }

// Upstream is what an upstream announced. Its epoch is the log index of the
// announcement.
type Upstream struct {
	ID          UpstreamID
	DataCentre  string
	Address     netip.AddrPort
	Incarnation string
	Slots       int
	Connections int
	// ColdRate is the number of requests per second that it bears when cold.
	ColdRate float64
	ColdRamp time.Duration
	Epoch    uint64
	// SeenAt is when the announcement came in; the warm-up counts from it.
	SeenAt time.Time
	// Full is set while its primary wants no more keys for it.
	Full bool
	// ChecksToken tells whether it refuses requests with an old token.
	ChecksToken bool
}

// Same tells whether two announcements describe the same process.
func (upstream Upstream) Same(other Upstream) bool {
	upstream.Epoch = other.Epoch
	upstream.SeenAt = other.SeenAt
	upstream.Full = other.Full
	return upstream == other
}

// Loss remembers that an upstream stopped answering, so that one which comes
// and goes is let back in more and more slowly.
type Loss struct {
	Incarnation string
	At          time.Time
	Count       int
}

const (
	firstHold = 2 * time.Second
	maxHold   = time.Minute
	// lossMemory is the time without a loss after which the count starts anew.
	lossMemory = 5 * time.Minute
)

// Until returns when the upstream may be let back in.
func (loss Loss) Until() time.Time {
	hold := firstHold
	for range loss.Count - 1 {
		hold = min(hold*2, maxHold)
	}
	return loss.At.Add(hold)
}

// Owner says which upstream owns a partition or a single key. The token is the
// log index that gave it, and fences requests and grants.
type Owner struct {
	Upstream string
	Token    uint64
	// MovingTo is the upstream that gets the keys once the owner let go.
	MovingTo string
}

// Table is the ownership of one service's keys.
type Table struct {
	Partitions []Owner
	// Keys holds the hot keys that are owned apart from their partition.
	Keys map[string]Owner
}

// PartitionOf returns the partition of a key among count partitions.
func PartitionOf(key string, count int) int {
	return int(xxhash.Sum64String(key) % uint64(count))
}

// Slot names a partition, or a single key where Key is set.
type Slot struct {
	Partition int
	Key       string
}

// Find returns the slot that a key belongs to and its owner.
func (table Table) Find(key string) (Slot, Owner) {
	if owner, ok := table.Keys[key]; ok {
		return Slot{Key: key}, owner
	}
	if len(table.Partitions) == 0 {
		return Slot{}, Owner{}
	}
	partition := PartitionOf(key, len(table.Partitions))
	return Slot{Partition: partition}, table.Partitions[partition]
}

// Get returns the owner of a slot.
func (table Table) Get(slot Slot) (Owner, bool) {
	if slot.Key != "" {
		owner, ok := table.Keys[slot.Key]
		return owner, ok
	}
	if slot.Partition < 0 || slot.Partition >= len(table.Partitions) {
		return Owner{}, false
	}
	return table.Partitions[slot.Partition], true
}

// Suspect is a request that was running when upstreams were lost.
type Suspect struct {
	// Upstreams are the distinct processes that were lost with it.
	Upstreams []string
	At        time.Time
}

// QuarantineStrikes is the number of lost upstreams after which a request is
// refused everywhere.
const QuarantineStrikes = 2

// Quarantined tells whether the request is refused everywhere.
func (suspect Suspect) Quarantined() bool {
	return len(suspect.Upstreams) >= QuarantineStrikes
}

// Change is one accepted version of a record.
type Change struct {
	Index    uint64
	At       time.Time
	Operator string
	Record   spec.Record
}
