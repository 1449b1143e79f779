// Package steer implements the control leader's part in fleets whose entry hosts
// send requests directly to upstreams. It answers the heartbeats of upstreams with
// holds, which are leases on key ranges, places and rebalances keys, and divides
// the workspaces' rates among entry hosts.
package steer

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/rates/share"
)

// Error is the class of all errors of this package.
var Error = errs.Class("steer")

const (
	// HoldTime is how long an upstream holds its keys after it sent a heartbeat. It is
	// long enough to cover a failover of the control leader.
	HoldTime = 3600 * time.Millisecond
	// holdExpiry is the time after the receipt of a heartbeat at which its holds have
	// certainly expired. It exceeds HoldTime, since clocks of upstreams may run 2 %
	// slow.
	holdExpiry = HoldTime + HoldTime/25
	// silentAfter is the time without a heartbeat after which an upstream is marked
	// silent and used only as a last resort.
	silentAfter = 2200 * time.Millisecond
	// forgetAfter is the time without a heartbeat after which an upstream is removed.
	forgetAfter = 20 * time.Second
	// forgetEntryAfter is the time without a poll after which an entry host is
	// removed. It is longer than share.Term, so its shares of rates have expired.
	forgetEntryAfter = 6 * time.Second
	// answerExpiry is the time after which an upstream no longer accepts the answer to
	// a heartbeat: it waits one second for it.
	answerExpiry = 1200 * time.Millisecond
	// startupWait is how long the leader waits for a service's first upstreams to
	// register: somewhat more than the time between two heartbeats.
	startupWait = 1200 * time.Millisecond
	// maxContactAge is the maximum time since the leader's last contact with a control
	// host that it names to upstreams.
	maxContactAge = 800 * time.Millisecond
	// tickInterval is how often placement and missing heartbeats are checked.
	tickInterval = 100 * time.Millisecond
	// balanceInterval is the minimum time between two rounds of load balancing.
	balanceInterval = 500 * time.Millisecond
	proposeTimeout  = 3 * time.Second
	// logPrefix starts each line that this package logs.
	logPrefix = "steer: "
)

// Node is the local member of the control group.
type Node interface {
	Propose(ctx context.Context, command state.Command) (state.Result, error)
	Read(ctx context.Context) (*state.Catalog, error)
	Catalog() *state.Catalog
	Leads() bool
	Status() group.Status
}

// upstreamState is what the leader knows of one process of an upstream.
type upstreamState struct {
	sequence uint64
	lastBeat time.Time
	// holdsUntil is when all holds of this process have certainly expired.
	holdsUntil time.Time
	holds      []Row
	// interval is the time between two regular heartbeats.
	interval time.Duration
}

// moveID identifies a span that is moving away from an owner.
type moveID struct {
	service string
	from    uint16
	owner   spans.Owner
}

// Steer runs the leader's background work and serves its calls. Its state belongs
// to one leadership term and is reset at the start of the next.
type Steer struct {
	node  Node
	clock clockwork.Clock
	log   log.Interface
	stop  chan struct{}
	done  chan struct{}
	once  sync.Once

	mutex     sync.Mutex
	term      uint64
	termStart time.Time
	upstreams map[spans.Owner]*upstreamState
	// departing are upstreams that have deregistered, and when they did.
	departing map[spans.Owner]time.Time
	// pending are ownership changes whose outcome is unknown, by service. Their key
	// ranges are not granted to any upstream.
	pending map[string]state.ChangeSpans
	// movingSince is when a span was first seen to be moving.
	movingSince map[moveID]time.Time
	// firstSeen is when a service without owners was first seen to have upstreams.
	firstSeen  map[string]time.Time
	loads      map[string]*keyLoads
	health     healthTable
	entries    map[string]time.Time
	book       share.Book
	balancedAt time.Time
}

// New returns the Steer of a control host. Start must be called to run it.
func New(node Node, clock clockwork.Clock, logger log.Interface) *Steer {
	steer := &Steer{node: node, clock: clock, log: logger, stop: make(chan struct{}), done: make(chan struct{})}
	steer.reset(0)
	return steer
}

// Start starts the background work.
func (steer *Steer) Start() { go steer.run() }

// Close stops the background work and waits until it has ended.
func (steer *Steer) Close() {
	steer.once.Do(func() { close(steer.stop) })
	<-steer.done
}

func (steer *Steer) run() {
	defer close(steer.done)
	ticker := steer.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-steer.stop:
			return
		case <-ticker.Chan():
			steer.Tick()
		}
	}
}

// reset discards the state of earlier terms.
func (steer *Steer) reset(term uint64) {
	now := steer.clock.Now()
	steer.term = term
	steer.termStart = now
	steer.upstreams = map[spans.Owner]*upstreamState{}
	steer.departing = map[spans.Owner]time.Time{}
	steer.pending = map[string]state.ChangeSpans{}
	steer.movingSince = map[moveID]time.Time{}
	steer.firstSeen = map[string]time.Time{}
	steer.loads = map[string]*keyLoads{}
	steer.health = healthTable{}
	steer.entries = map[string]time.Time{}
	steer.book.Reset(now, term)
}

// ensureLeader reports whether this host may act as leader, and resets the state if
// a new term has begun.
func (steer *Steer) ensureLeader(ctx context.Context) bool {
	if !steer.node.Leads() {
		return false
	}
	term := steer.node.Status().Term
	steer.mutex.Lock()
	current := steer.term == term
	steer.mutex.Unlock()
	if current {
		return true
	}
	// Everything that earlier leaders committed must be applied before the first grant.
	if _, err := steer.node.Read(ctx); err != nil {
		return false
	}
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	if steer.term < term {
		steer.reset(term)
		steer.log.WithField("term", term).Info(logPrefix + "this host became leader")
	}
	return steer.term == term && steer.node.Leads()
}

// Tick checks for missing heartbeats and updates the placement once.
func (steer *Steer) Tick() {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	if !steer.ensureLeader(ctx) {
		return
	}
	steer.checkSilence(ctx)
	catalog := steer.node.Catalog()
	for name, service := range catalog.View().Services() {
		if service.Keyed {
			steer.updatePlacement(ctx, catalog, name)
		}
	}
	steer.forgetEntries(ctx, catalog)
}

// checkSilence marks upstreams that stopped sending heartbeats as silent, and
// removes those that are gone.
func (steer *Steer) checkSilence(ctx context.Context) {
	catalog := steer.node.Catalog()
	now := steer.clock.Now()
	var gone, silent []spans.Owner
	for _, instance := range catalog.Instances {
		silence, deregistered := steer.silence(instance.Owner(), now)
		switch {
		case silence > forgetAfter || deregistered && silence > holdExpiry:
			gone = append(gone, instance.Owner())
		case silence > silentAfter && !instance.Silent:
			silent = append(silent, instance.Owner())
			steer.log.WithField("upstream", instance.ID).WithField("silentFor", silence.String()).
				Info(logPrefix + "upstream stopped sending heartbeats")
		}
	}
	if len(silent) > 0 {
		steer.propose(ctx, state.MarkSilent{Owners: silent})
	}
	if len(gone) > 0 {
		steer.log.WithField("upstreams", len(gone)).Info(logPrefix + "removing upstreams that are gone")
		steer.propose(ctx, state.ForgetInstances{Owners: gone})
	}
}

// silence returns the time since an upstream's last heartbeat, and whether the
// upstream has deregistered.
func (steer *Steer) silence(owner spans.Owner, now time.Time) (silence time.Duration, deregistered bool) {
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	lastBeat := steer.termStart
	if upstream, ok := steer.upstreams[owner]; ok {
		lastBeat = upstream.lastBeat
	}
	_, deregistered = steer.departing[owner]
	return now.Sub(lastBeat), deregistered
}

// propose commits a command. A failure is only logged, since the next tick proposes
// the command again if it is still due.
func (steer *Steer) propose(ctx context.Context, command state.Command) {
	if _, err := steer.node.Propose(ctx, command); err != nil {
		steer.log.WithError(err).Warn(logPrefix + "could not commit a change")
	}
}
