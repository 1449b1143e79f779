package beats

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// maxPending bounds the heartbeats whose answer can still renew the lease.
const maxPending = 64

// Pulse is a host's view of its own lease. It is safe for concurrent use, and
// reading the lease is cheap.
type Pulse struct {
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

// NewPulse returns the Pulse of a host that holds no lease yet. The boot number
// identifies the host's process.
func NewPulse(secret trust.Secret, clock clockwork.Clock, host string, boot uint64, catalog func() *state.Catalog) *Pulse {
	return &Pulse{
		secret: secret, clock: clock, host: host, boot: boot, catalog: catalog,
		start: clock.Now(), pending: map[uint64]time.Time{},
	}
}

// Epoch returns the epoch of this process's session in the host's catalog, or 0 if it
// has none.
func (pulse *Pulse) Epoch() uint64 {
	session, ok := pulse.catalog().Sessions[pulse.host]
	if !ok || session.Host.Boot != pulse.boot {
		return 0
	}
	return session.Epoch
}

// Next returns the next heartbeat to send, or nil if the host has no session.
func (pulse *Pulse) Next() []byte {
	epoch := pulse.Epoch()
	if epoch == 0 {
		return nil
	}
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	pulse.sequence++
	beat := Beat{Epoch: epoch, Sequence: pulse.sequence, Applied: pulse.catalog().Index}
	datagram, err := sign(pulse.secret, trust.PurposeHeartbeat, beat)
	if err != nil {
		return nil
	}
	pulse.pending[pulse.sequence] = pulse.clock.Now()
	delete(pulse.pending, pulse.sequence-maxPending)
	return datagram
}

// Receive handles a control host's answer. The lease runs from the time at which the
// heartbeat was sent.
func (pulse *Pulse) Receive(from netip.AddrPort, datagram []byte) {
	var ack Ack
	if err := verify(pulse.secret, trust.PurposeHeartbeatBack, datagram, &ack); err != nil {
		return
	}
	pulse.mutex.Lock()
	sentAt, ok := pulse.pending[ack.Sequence]
	delete(pulse.pending, ack.Sequence)
	if ok {
		pulse.answered = max(pulse.answered, ack.Sequence)
		pulse.source = from
	}
	pulse.mutex.Unlock()
	if !ok {
		return
	}
	pulse.raiseLeaderIndex(ack.Index)
	pulse.sessionLost.Store(ack.Refusal == RefusalNoSession && ack.Epoch == pulse.Epoch())
	if ack.Refusal == RefusalNone {
		pulse.extend(ack.Epoch, sentAt.Add(Lease))
	}
}

// Leader returns the control host that sent the latest answer. It returns false,
// since the leader is then unknown, if neither of the last two heartbeats has been
// answered.
func (pulse *Pulse) Leader() (netip.AddrPort, bool) {
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	return pulse.source, pulse.source.IsValid() && pulse.answered+1 >= pulse.sequence
}

func (pulse *Pulse) raiseLeaderIndex(index uint64) {
	for {
		current := pulse.leaderIndex.Load()
		if index <= current || pulse.leaderIndex.CompareAndSwap(current, index) {
			return
		}
	}
}

func (pulse *Pulse) extend(epoch uint64, expiry time.Time) {
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	offset := int64(expiry.Sub(pulse.start))
	if pulse.epoch.Load() == epoch && offset <= pulse.expiry.Load() {
		return
	}
	pulse.epoch.Store(epoch)
	pulse.expiry.Store(offset)
}

// Valid reports whether the host holds a lease now, by the monotonic clock, for the
// session in its catalog.
func (pulse *Pulse) Valid() bool {
	epoch := pulse.Epoch()
	if epoch == 0 || pulse.epoch.Load() != epoch {
		return false
	}
	return int64(pulse.clock.Since(pulse.start)) < pulse.expiry.Load()
}

// Remaining returns the time until the lease expires, or 0 without a valid lease.
func (pulse *Pulse) Remaining() time.Duration {
	if !pulse.Valid() {
		return 0
	}
	return time.Duration(pulse.expiry.Load()) - pulse.clock.Since(pulse.start)
}

// SessionLost reports whether the leader no longer knows the host's session.
func (pulse *Pulse) SessionLost() bool { return pulse.sessionLost.Load() }

// LeaderIndex returns the highest catalog index in any answer from a leader.
func (pulse *Pulse) LeaderIndex() uint64 { return pulse.leaderIndex.Load() }
