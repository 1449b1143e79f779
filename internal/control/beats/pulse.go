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

// trackedBeats bounds the heartbeats whose answer may still count.
const trackedBeats = 64

// Pulse is a host's side of its lease. Lease reads are cheap and safe from any
// goroutine.
type Pulse struct {
	secret  trust.Secret
	clock   clockwork.Clock
	host    string
	boot    uint64
	catalog func() *state.Catalog

	end    atomic.Int64
	epoch  atomic.Uint64
	leader atomic.Uint64
	lost   atomic.Bool
	// start anchors the monotonic clock that the lease's end is counted on.
	start time.Time

	mutex    sync.Mutex
	sequence uint64
	sent     map[uint64]time.Time
	// answered is the latest heartbeat that was answered, by source.
	answered uint64
	source   netip.AddrPort
}

// NewPulse returns a pulse without a lease.
func NewPulse(secret trust.Secret, clock clockwork.Clock, host string, boot uint64, catalog func() *state.Catalog) *Pulse {
	return &Pulse{
		secret: secret, clock: clock, host: host, boot: boot, catalog: catalog,
		start: clock.Now(), sent: map[uint64]time.Time{},
	}
}

// Epoch returns the epoch of the session in the host's catalog, or 0.
func (pulse *Pulse) Epoch() uint64 {
	session, ok := pulse.catalog().Sessions[pulse.host]
	if !ok || session.Host.Boot != pulse.boot {
		return 0
	}
	return session.Epoch
}

// Next returns the next heartbeat to send, or nil without a session.
func (pulse *Pulse) Next() []byte {
	epoch := pulse.Epoch()
	if epoch == 0 {
		return nil
	}
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	pulse.sequence++
	beat := Beat{Epoch: epoch, Sequence: pulse.sequence, Applied: pulse.catalog().Index}
	datagram, err := seal(pulse.secret, trust.PurposeHeartbeat, beat)
	if err != nil {
		return nil
	}
	pulse.sent[pulse.sequence] = pulse.clock.Now()
	delete(pulse.sent, pulse.sequence-trackedBeats)
	return datagram
}

// Receive handles an answer of a control host. The lease counts from when the
// heartbeat left.
func (pulse *Pulse) Receive(from netip.AddrPort, datagram []byte) {
	var ack Ack
	if err := open(pulse.secret, trust.PurposeHeartbeatBack, datagram, &ack); err != nil {
		return
	}
	pulse.mutex.Lock()
	sentAt, ok := pulse.sent[ack.Sequence]
	delete(pulse.sent, ack.Sequence)
	if ok {
		pulse.answered = max(pulse.answered, ack.Sequence)
		pulse.source = from
	}
	pulse.mutex.Unlock()
	if !ok {
		return
	}
	pulse.raiseLeaderIndex(ack.Index)
	pulse.lost.Store(ack.Refusal == RefusalNoSession && ack.Epoch == pulse.Epoch())
	if ack.Refusal == RefusalNone {
		pulse.extend(ack.Epoch, sentAt.Add(Lease))
	}
}

// Leader returns the control host that answered the heartbeat before the last
// one or a later one, or false where the leader is not known.
func (pulse *Pulse) Leader() (netip.AddrPort, bool) {
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	return pulse.source, pulse.source.IsValid() && pulse.answered+1 >= pulse.sequence
}

func (pulse *Pulse) raiseLeaderIndex(index uint64) {
	for {
		present := pulse.leader.Load()
		if index <= present || pulse.leader.CompareAndSwap(present, index) {
			return
		}
	}
}

func (pulse *Pulse) extend(epoch uint64, end time.Time) {
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	offset := int64(end.Sub(pulse.start))
	if pulse.epoch.Load() == epoch && offset <= pulse.end.Load() {
		return
	}
	pulse.epoch.Store(epoch)
	pulse.end.Store(offset)
}

// Valid tells whether the host holds its lease now, on the monotonic clock,
// under the session that its catalog shows.
func (pulse *Pulse) Valid() bool {
	epoch := pulse.Epoch()
	if epoch == 0 || pulse.epoch.Load() != epoch {
		return false
	}
	return int64(pulse.clock.Since(pulse.start)) < pulse.end.Load()
}

// Remaining returns how long the lease lasts, or 0 without one.
func (pulse *Pulse) Remaining() time.Duration {
	if !pulse.Valid() {
		return 0
	}
	return time.Duration(pulse.end.Load()) - pulse.clock.Since(pulse.start)
}

// SessionLost tells whether the leader no longer knows the host's session.
func (pulse *Pulse) SessionLost() bool { return pulse.lost.Load() }

// LeaderIndex is the highest catalog index that a leader has told of.
func (pulse *Pulse) LeaderIndex() uint64 { return pulse.leader.Load() }
