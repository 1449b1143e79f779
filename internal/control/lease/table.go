package lease

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// Leader is the part of the control node that a Table uses.
type Leader interface {
	// HoldsLease reports whether this member leads and no other member can lead now.
	HoldsLease() bool
	Status() group.Status
	Catalog() *state.Catalog
}

// lease is the leader's record of one session's lease.
type lease struct {
	host string
	// sequence is the highest sequence number of a heartbeat received.
	sequence uint64
	// applied is the highest catalog index that the host has reported.
	applied uint64
	// renewedAt is when the lease was last renewed, or when the session was first
	// seen.
	renewedAt time.Time
	// expired is set once the session was found expired. Its lease is not renewed any
	// more in this term.
	expired bool
}

// sample is the catalog's index at a point in time.
type sample struct {
	at    time.Time
	index uint64
}

// Table is the leader's table of leases. It is safe for concurrent use: the
// datagram loop and the planner share it.
type Table struct {
	secret  trust.Secret
	clock   clockwork.Clock
	leader  Leader
	mutex   sync.Mutex
	leases  map[uint64]lease
	samples []sample
	term    uint64
	// observed is the latest catalog whose sessions are all in the table.
	observed *state.Catalog
}

// NewTable returns an empty table of leases.
func NewTable(secret trust.Secret, clock clockwork.Clock, leader Leader) *Table {
	return &Table{secret: secret, clock: clock, leader: leader, leases: map[uint64]lease{}}
}

// HandleHeartbeat handles a datagram and returns the answer. It returns nil for a
// datagram that must not be answered: one that is not a valid heartbeat, that
// repeats an earlier one or arrives after a later one, or that reaches a member
// which does not lead.
func (table *Table) HandleHeartbeat(datagram []byte) []byte {
	var heartbeat Heartbeat
	if err := verify(table.secret, trust.PurposeHeartbeat, datagram, &heartbeat); err != nil {
		return nil
	}
	if !table.leader.HoldsLease() {
		return nil
	}
	ack, due := table.renew(heartbeat)
	if !due {
		return nil
	}
	answer, err := sign(table.secret, trust.PurposeHeartbeatBack, ack)
	if err != nil {
		return nil
	}
	return answer
}

// renew handles a heartbeat and renews its lease if possible. It returns false for a
// repeated or reordered heartbeat, which is not answered.
func (table *Table) renew(heartbeat Heartbeat) (Ack, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.observe(table.leader.Status())
	now := table.clock.Now()
	catalog := table.leader.Catalog()
	ack := Ack{Epoch: heartbeat.Epoch, Sequence: heartbeat.Sequence, Index: catalog.Index}
	lease, known := table.leases[heartbeat.Epoch]
	if !known || lease.expired || catalog.Sessions[lease.host].Epoch != heartbeat.Epoch {
		ack.Refusal = RefusalNoSession
		return ack, true
	}
	if heartbeat.Sequence <= lease.sequence {
		return Ack{}, false
	}
	lease.sequence = heartbeat.Sequence
	lease.applied = max(lease.applied, heartbeat.Applied)
	if heartbeat.Applied < table.requiredIndex(now) {
		ack.Refusal = RefusalStale
		table.leases[heartbeat.Epoch] = lease
		return ack, true
	}
	lease.renewedAt = now
	table.leases[heartbeat.Epoch] = lease
	return ack, true
}

// Update samples the catalog's index and adds new sessions to the table. The
// planner calls it each time that it runs.
func (table *Table) Update() {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.observe(table.leader.Status())
}

func (table *Table) observe(status group.Status) {
	now := table.clock.Now()
	if status.Term != table.term {
		table.term = status.Term
		table.leases = map[uint64]lease{}
		table.samples = nil
		table.observed = nil
	}
	table.dropSamples(now)
	catalog := table.leader.Catalog()
	if catalog == table.observed {
		return
	}
	table.observed = catalog
	for name, session := range catalog.Sessions {
		if _, ok := table.leases[session.Epoch]; !ok {
			table.leases[session.Epoch] = lease{host: name, renewedAt: now}
		}
	}
	if count := len(table.samples); count == 0 || table.samples[count-1].index != catalog.Index {
		table.samples = append(table.samples, sample{at: now, index: catalog.Index})
	}
}

// dropSamples drops all samples before the latest one that is at least MaxConfigAge
// old.
func (table *Table) dropSamples(now time.Time) {
	old := 0
	for old+1 < len(table.samples) && now.Sub(table.samples[old+1].at) >= MaxConfigAge {
		old++
	}
	table.samples = table.samples[old:]
}

// requiredIndex returns the index that a host must have applied for its lease to be
// renewed.
func (table *Table) requiredIndex(now time.Time) uint64 {
	if len(table.samples) == 0 || now.Sub(table.samples[0].at) < MaxConfigAge {
		return 0
	}
	return table.samples[0].index
}

// Expired reports whether no process can act under the session any more: its lease
// has expired by this leader's clock, and so has any lease that an earlier leader
// may have granted. Heartbeats do not renew the lease after that, since the caller
// closes the session only later.
func (table *Table) Expired(epoch uint64) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	status := table.leader.Status()
	if status.Term != table.term {
		return table.expiredSince(status.LeaderSince)
	}
	table.observe(status) // the session may be newer than the table
	lease, known := table.leases[epoch]
	since := status.LeaderSince
	if known && lease.renewedAt.After(since) {
		since = lease.renewedAt
	}
	if !table.expiredSince(since) {
		return false
	}
	if known {
		lease.expired = true
		table.leases[epoch] = lease
	}
	return true
}

// expiredSince reports whether a lease that was granted at the latest at the given
// time has expired.
func (table *Table) expiredSince(granted time.Time) bool {
	return table.clock.Now().Sub(granted) > Duration+ClockMargin
}

// CountSilent returns the number of live sessions whose lease has not been renewed
// for longer than the threshold, and the number of all live sessions.
func (table *Table) CountSilent(threshold time.Duration) (silent, total int) {
	for _, host := range table.HostProgress() {
		total++
		if host.Silent > threshold {
			silent++
		}
	}
	return silent, total
}

// HostProgress returns, for each live session, the catalog index that its host has
// applied and the time since its lease was renewed.
func (table *Table) HostProgress() []group.HostProgress {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	var hosts []group.HostProgress
	for name, session := range table.leader.Catalog().Sessions {
		lease, ok := table.leases[session.Epoch]
		if !ok {
			continue
		}
		hosts = append(hosts, group.HostProgress{Host: name, Applied: lease.applied, Silent: now.Sub(lease.renewedAt)})
	}
	return hosts
}
