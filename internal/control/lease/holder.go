package lease

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// maxPending is the number of latest heartbeats whose answers can still renew the
// lease.
const maxPending = 64

// Holder is a host's view of its own lease. It is safe for concurrent use, and
// reading the lease is cheap.
type Holder struct {
	secret  trust.Secret
	clock   clockwork.Clock
	host    string
	boot    uint64
	catalog func() *state.Catalog

	// expiry is when the lease expires, as nanoseconds after start.
	expiry atomic.Int64
	// epoch is the epoch of the session that the lease is for.
	epoch       atomic.Uint64
	leaderIndex atomic.Uint64
	sessionLost atomic.Bool
	// start is the reference point on the monotonic clock.
	start time.Time

	mutex    sync.Mutex
	sequence uint64
	// pending maps the sequence numbers of unanswered heartbeats to their send times.
	pending map[uint64]time.Time
	// answered is the highest sequence number that was answered, and source the
	// address that the latest answer came from.
	answered uint64
	source   netip.AddrPort
}

// NewHolder returns the Holder of a host that holds no lease yet. The boot number
// identifies the host's process.
func NewHolder(secret trust.Secret, clock clockwork.Clock, host string, boot uint64, catalog func() *state.Catalog) *Holder {
	return &Holder{
		secret: secret, clock: clock, host: host, boot: boot, catalog: catalog,
		start: clock.Now(), pending: map[uint64]time.Time{},
	}
}

// Epoch returns the epoch of this process's session in the host's catalog, or 0 if it
// has none.
func (holder *Holder) Epoch() uint64 {
	session, ok := holder.catalog().Sessions[holder.host]
	if !ok || session.Host.Boot != holder.boot {
		return 0
	}
	return session.Epoch
}

// NextHeartbeat returns the next heartbeat to send, or nil if the host has no
// session.
func (holder *Holder) NextHeartbeat() []byte {
	epoch := holder.Epoch()
	if epoch == 0 {
		return nil
	}
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.sequence++
	heartbeat := Heartbeat{Epoch: epoch, Sequence: holder.sequence, Applied: holder.catalog().Index}
	datagram, err := sign(holder.secret, trust.PurposeHeartbeat, heartbeat)
	if err != nil {
		return nil
	}
	holder.pending[holder.sequence] = holder.clock.Now()
	delete(holder.pending, holder.sequence-maxPending)
	return datagram
}

// HandleAck handles a control host's answer. A renewed lease runs from the time at
// which the heartbeat was sent.
func (holder *Holder) HandleAck(from netip.AddrPort, datagram []byte) {
	var ack Ack
	if err := verify(holder.secret, trust.PurposeHeartbeatBack, datagram, &ack); err != nil {
		return
	}
	holder.mutex.Lock()
	sentAt, ok := holder.pending[ack.Sequence]
	delete(holder.pending, ack.Sequence)
	if ok {
		holder.answered = max(holder.answered, ack.Sequence)
		holder.source = from
	}
	holder.mutex.Unlock()
	if !ok {
		return
	}
	holder.raiseLeaderIndex(ack.Index)
	holder.sessionLost.Store(ack.Refusal == RefusalNoSession && ack.Epoch == holder.Epoch())
	if ack.Refusal == RefusalNone {
		holder.extend(ack.Epoch, sentAt.Add(Duration))
	}
}

// Leader returns the control host that sent the latest answer. It returns false,
// since the leader is then unknown, if neither of the last two heartbeats has been
// answered.
func (holder *Holder) Leader() (netip.AddrPort, bool) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.source, holder.source.IsValid() && holder.answered+1 >= holder.sequence
}

func (holder *Holder) raiseLeaderIndex(index uint64) {
	for {
		current := holder.leaderIndex.Load()
		if index <= current || holder.leaderIndex.CompareAndSwap(current, index) {
			return
		}
	}
}

// extend extends the lease of the session, unless the host has one for a later session.
func (holder *Holder) extend(epoch uint64, expiry time.Time) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	offset := int64(expiry.Sub(holder.start))
	current := holder.epoch.Load()
	if epoch < current || epoch == current && offset <= holder.expiry.Load() {
		return
	}
	holder.epoch.Store(epoch)
	holder.expiry.Store(offset)
}

// Valid reports whether the host holds a lease now, by the monotonic clock, for the
// session in its catalog.
func (holder *Holder) Valid() bool {
	epoch := holder.Epoch()
	if epoch == 0 || holder.epoch.Load() != epoch {
		return false
	}
	return int64(holder.clock.Since(holder.start)) < holder.expiry.Load()
}

// Remaining returns the time until the lease expires, or 0 without a valid lease.
func (holder *Holder) Remaining() time.Duration {
	if !holder.Valid() {
		return 0
	}
	return time.Duration(holder.expiry.Load()) - holder.clock.Since(holder.start)
}

// SessionLost reports whether the leader no longer knows the host's session.
func (holder *Holder) SessionLost() bool { return holder.sessionLost.Load() }

// LeaderIndex returns the highest catalog index in any answer from a leader.
func (holder *Holder) LeaderIndex() uint64 { return holder.leaderIndex.Load() }
