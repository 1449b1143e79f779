// Package state implements the replicated state machine: the catalog, which is
// replicated to every host (records, sessions, shards, upstreams, ownership of
// keys, quarantine), and the ledger of requests, which only control hosts hold.
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

// Host describes a host that opens a session.
type Host struct {
	Name       string
	DataCentre string
	// Peer is the address where the host accepts links from other hosts.
	Peer netip.AddrPort
	// Boot is a number that each process draws at random to identify itself.
	Boot uint64
}

// Session is a host's membership in the fleet. Its epoch is the log index of the
// command that opened it.
type Session struct {
	Host     Host
	Epoch    uint64
	Draining bool
}

// ShardID identifies a unit of work that at most one host holds at a time.
type ShardID string

const (
	dispatchPrefix = "dispatch/"
	quotaPrefix    = "quota/"
)

// DispatchShard returns the ID of the shard that sends requests to one upstream,
// or with an empty upstream to all upstreams of a service whose keys are not
// partitioned.
func DispatchShard(service, upstream string) ShardID {
	if upstream == "" {
		return ShardID(dispatchPrefix + service)
	}
	return ShardID(dispatchPrefix + service + "/" + upstream)
}

// QuotaShard returns the ID of the shard that holds a workspace's token bucket.
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

// Shard records which host holds a shard. Its epoch is the log index at which the
// shard was last assigned or released.
type Shard struct {
	Host    string
	Session uint64
	Epoch   uint64
	// MovingTo is the host that gets the shard once the holder releases it.
	MovingTo string
}

// UpstreamID identifies an upstream.
type UpstreamID struct {
	Service string
	Name    string
}

// String returns the ID as service/name, the name of its record.
func (upstreamid UpstreamID) String() string { return upstreamid.Service + "/" + upstreamid.Name }

// Upstream is an upstream as announced. Its epoch is the log index of the
// announcement.
type Upstream struct {
	ID          UpstreamID
	DataCentre  string
	Address     netip.AddrPort
	Incarnation string
	Slots       int
	Connections int
	// ColdRate is the number of requests per second that the upstream can handle when
	// cold.
	ColdRate float64
	// ColdRamp is how long its warm-up to full load takes. If 0, the service's applies.
	ColdRamp time.Duration
	Epoch    uint64
	// SeenAt is when the announcement was received; the warm-up starts then.
	SeenAt time.Time
	// Full is set while its primary accepts no more keys for it.
	Full bool
	// ChecksToken is set if it rejects requests with an outdated fencing token.
	ChecksToken bool
}

// SameProcess reports whether two announcements describe the same process.
func (upstream Upstream) SameProcess(other Upstream) bool {
	upstream.Epoch = other.Epoch
	upstream.SeenAt = other.SeenAt
	upstream.Full = other.Full
	return upstream == other
}

// Loss records that an upstream stopped responding, so that one which fails
// repeatedly is readmitted after increasing delays.
type Loss struct {
	Incarnation string
	At          time.Time
	Count       int
}

const (
	initialReadmitDelay = 2 * time.Second
	maxReadmitDelay     = time.Minute
	// lossResetAfter is the time without a loss after which the count is reset.
	lossResetAfter = 5 * time.Minute
)

// ReadmitAt returns when the upstream may be readmitted. The delay doubles with each
// loss, up to maxReadmitDelay.
func (loss Loss) ReadmitAt() time.Time {
	delay := initialReadmitDelay
	for range loss.Count - 1 {
		delay = min(delay*2, maxReadmitDelay)
	}
	return loss.At.Add(delay)
}

// Owner records which upstream owns a partition or a single key. The token is the
// log index of the assignment or release, and is the fencing token of requests and
// grants.
type Owner struct {
	Upstream string
	Token    uint64
	// MovingTo is the upstream that gets the keys once the owner has released them.
	MovingTo string
}

// Table records which upstreams own the keys of one service.
type Table struct {
	Partitions []Owner
	// Keys holds the hot keys that are owned separately from their partition.
	Keys map[string]Owner
}

// PartitionOf returns the partition of a key among count partitions.
func PartitionOf(key string, count int) int {
	return int(xxhash.Sum64String(key) % uint64(count))
}

// Slot identifies a partition, or a single key if Key is set.
type Slot struct {
	Partition int
	Key       string
}

// Find returns the slot that a key belongs to, and its owner.
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

// Change is one accepted version of a record.
type Change struct {
	Index    uint64
	At       time.Time
	Operator string
	Record   spec.Record
}
