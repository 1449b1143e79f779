package beats

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// Leadership is the part of the control node that a Keeper uses.
type Leadership interface {
	// Leads reports whether this member leads and no other member can lead now.
	Leads() bool
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
}

// sample is the catalog's index at a point in time.
type sample struct {
	at    time.Time
	index uint64
}

// Keeper is the leader's table of leases. It is safe for concurrent use: the
// datagram loop and the planner share it.
type Keeper struct {
	secret  trust.Secret
	clock   clockwork.Clock
	leader  Leadership
	mutex   sync.Mutex
	leases  map[uint64]lease
	samples []sample
	term    uint64
	// observed is the latest catalog whose sessions are all in the table.
	observed *state.Catalog
}

// NewKeeper returns an empty table of leases.
func NewKeeper(secret trust.Secret, clock clockwork.Clock, leader Leadership) *Keeper {
	return &Keeper{secret: secret, clock: clock, leader: leader, leases: map[uint64]lease{}}
}

// Answer handles a datagram and returns the answer. It returns nil for a datagram
// that must not be answered: one that is not a valid heartbeat, that repeats or
// follows a later heartbeat, or that reaches a member which does not lead.
func (keeper *Keeper) Answer(datagram []byte) []byte {
	var beat Beat
	if err := verify(keeper.secret, trust.PurposeHeartbeat, datagram, &beat); err != nil {
		return nil
	}
	if !keeper.leader.Leads() {
		return nil
	}
	ack, due := keeper.renew(beat)
	if !due {
		return nil
	}
	answer, err := sign(keeper.secret, trust.PurposeHeartbeatBack, ack)
	if err != nil {
		return nil
	}
	return answer
}

// renew handles a heartbeat and renews its lease if possible. It returns false for a
// repeated or reordered heartbeat, which is not answered.
func (keeper *Keeper) renew(beat Beat) (Ack, bool) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.observe()
	now := keeper.clock.Now()
	catalog := keeper.leader.Catalog()
	ack := Ack{Epoch: beat.Epoch, Sequence: beat.Sequence, Index: catalog.Index}
	lease, known := keeper.leases[beat.Epoch]
	if !known || catalog.Sessions[lease.host].Epoch != beat.Epoch {
		ack.Refusal = RefusalNoSession
		return ack, true
	}
	if beat.Sequence <= lease.sequence {
		return Ack{}, false
	}
	lease.sequence = beat.Sequence
	lease.applied = max(lease.applied, beat.Applied)
	if beat.Applied < keeper.requiredIndex(now) {
		ack.Refusal = RefusalBehind
		keeper.leases[beat.Epoch] = lease
		return ack, true
	}
	lease.renewedAt = now
	keeper.leases[beat.Epoch] = lease
	return ack, true
}

// Observe samples the catalog's index and adds new sessions to the table. The
// planner calls it in each of its rounds.
func (keeper *Keeper) Observe() {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.observe()
}

func (keeper *Keeper) observe() {
	now := keeper.clock.Now()
	status := keeper.leader.Status()
	if status.Term != keeper.term {
		keeper.term = status.Term
		keeper.leases = map[uint64]lease{}
		keeper.samples = nil
		keeper.observed = nil
	}
	keeper.dropSamples(now)
	catalog := keeper.leader.Catalog()
	if catalog == keeper.observed {
		return
	}
	keeper.observed = catalog
	for name, session := range catalog.Sessions {
		if _, ok := keeper.leases[session.Epoch]; !ok {
			keeper.leases[session.Epoch] = lease{host: name, renewedAt: now}
		}
	}
	if count := len(keeper.samples); count == 0 || keeper.samples[count-1].index != catalog.Index {
		keeper.samples = append(keeper.samples, sample{at: now, index: catalog.Index})
	}
}

// dropSamples drops all samples before the latest one that is at least FreshWithin
// old.
func (keeper *Keeper) dropSamples(now time.Time) {
	old := 0
	for old+1 < len(keeper.samples) && now.Sub(keeper.samples[old+1].at) >= FreshWithin {
		old++
	}
	keeper.samples = keeper.samples[old:]
}

// requiredIndex returns the index that a host must have applied for its lease to be
// renewed.
func (keeper *Keeper) requiredIndex(now time.Time) uint64 {
	if len(keeper.samples) == 0 || now.Sub(keeper.samples[0].at) < FreshWithin {
		return 0
	}
	return keeper.samples[0].index
}

// Expired reports whether no process can act under the session any more: its lease
// has expired by this leader's clock, and so has any lease that an earlier leader
// may have granted.
func (keeper *Keeper) Expired(epoch uint64) bool {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	status := keeper.leader.Status()
	since := status.LeaderSince
	if lease, ok := keeper.leases[epoch]; ok && status.Term == keeper.term && lease.renewedAt.After(since) {
		since = lease.renewedAt
	}
	return keeper.clock.Now().Sub(since) > Lease+Margin
}

// Silent returns the number of live sessions whose lease has not been renewed for
// longer than the given time, and the number of all live sessions.
func (keeper *Keeper) Silent(than time.Duration) (silent, total int) {
	for _, host := range keeper.HostProgress() {
		total++
		if host.Silent > than {
			silent++
		}
	}
	return silent, total
}

// HostProgress returns, for each live session, the catalog index that its host has
// applied and the time since its lease was renewed.
func (keeper *Keeper) HostProgress() []group.HostProgress {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	now := keeper.clock.Now()
	var hosts []group.HostProgress
	for name, session := range keeper.leader.Catalog().Sessions {
		lease, ok := keeper.leases[session.Epoch]
		if !ok {
			continue
		}
		hosts = append(hosts, group.HostProgress{Host: name, Applied: lease.applied, Silent: now.Sub(lease.renewedAt)})
	}
	return hosts
}
