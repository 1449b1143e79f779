package beats

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// Leadership is what the keeper asks of the control node.
type Leadership interface {
	// Leads tells whether this member leads and no other can lead now.
	Leads() bool
	Status() group.Status
	Catalog() *state.Catalog
}

// renewal is what the keeper knows of one session.
type renewal struct {
	host     string
	sequence uint64
	applied  uint64
	// at is when the lease was last renewed, or the session first seen.
	at time.Time
}

// sample is the catalog's index at a time.
type sample struct {
	at    time.Time
	index uint64
}

// Keeper is the leader's table of leases. The datagram loop and the planner
// share it under a lock.
type Keeper struct {
	secret  trust.Secret
	clock   clockwork.Clock
	leader  Leadership
	mutex   sync.Mutex
	leases  map[uint64]renewal
	samples []sample
	term    uint64
	// seen is the catalog whose sessions are all in the table.
	seen *state.Catalog
}

// NewKeeper returns a keeper without leases.
func NewKeeper(secret trust.Secret, clock clockwork.Clock, leader Leadership) *Keeper {
	return &Keeper{secret: secret, clock: clock, leader: leader, leases: map[uint64]renewal{}}
}

// Answer handles a datagram and returns the answer, or nil where none is due.
func (keeper *Keeper) Answer(datagram []byte) []byte {
	var beat Beat
	if err := open(keeper.secret, trust.PurposeHeartbeat, datagram, &beat); err != nil {
		return nil
	}
	if !keeper.leader.Leads() {
		return nil
	}
	ack, due := keeper.renew(beat)
	if !due {
		return nil
	}
	answer, err := seal(keeper.secret, trust.PurposeHeartbeatBack, ack)
	if err != nil {
		return nil
	}
	return answer
}

// renew extends a lease. A repeated or reordered heartbeat is not answered.
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
	if beat.Applied < keeper.required(now) {
		ack.Refusal = RefusalBehind
		keeper.leases[beat.Epoch] = lease
		return ack, true
	}
	lease.at = now
	keeper.leases[beat.Epoch] = lease
	return ack, true
}

// Observe samples the catalog's index and notes new sessions. The planner
// calls it on each turn.
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
		keeper.leases = map[uint64]renewal{}
		keeper.samples = nil
		keeper.seen = nil
	}
	keeper.dropSamples(now)
	catalog := keeper.leader.Catalog()
	if catalog == keeper.seen {
		return
	}
	keeper.seen = catalog
	for name, session := range catalog.Sessions {
		if _, ok := keeper.leases[session.Epoch]; !ok {
			keeper.leases[session.Epoch] = renewal{host: name, at: now}
		}
	}
	if count := len(keeper.samples); count == 0 || keeper.samples[count-1].index != catalog.Index {
		keeper.samples = append(keeper.samples, sample{at: now, index: catalog.Index})
	}
}

// dropSamples keeps the latest sample that is old enough, and all after it.
func (keeper *Keeper) dropSamples(now time.Time) {
	old := 0
	for old+1 < len(keeper.samples) && now.Sub(keeper.samples[old+1].at) >= FreshWithin {
		old++
	}
	keeper.samples = keeper.samples[old:]
}

// required is the index that a host must have applied.
func (keeper *Keeper) required(now time.Time) uint64 {
	if len(keeper.samples) == 0 || now.Sub(keeper.samples[0].at) < FreshWithin {
		return 0
	}
	return keeper.samples[0].index
}

// Expired tells whether no process can act under the session any more: its
// lease has ended by this leader's clock, and so has any lease that an earlier
// leader may have given.
func (keeper *Keeper) Expired(epoch uint64) bool {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	status := keeper.leader.Status()
	since := status.LeaderSince
	if lease, ok := keeper.leases[epoch]; ok && status.Term == keeper.term && lease.at.After(since) {
		since = lease.at
	}
	return keeper.clock.Now().Sub(since) > Lease+Margin
}

// Silent counts the live sessions whose lease was not renewed for longer than
// the time given.
func (keeper *Keeper) Silent(than time.Duration) (silent, total int) {
	for _, host := range keeper.HostProgress() {
		total++
		if host.Silent > than {
			silent++
		}
	}
	return silent, total
}

// HostProgress returns how far each live session's host is.
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
		hosts = append(hosts, group.HostProgress{Host: name, Applied: lease.applied, Silent: now.Sub(lease.at)})
	}
	return hosts
}
