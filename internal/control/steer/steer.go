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
	// silent, so that it is used only as a last resort.
	silentAfter = 2200 * time.Millisecond
	// removeAfter is the time without a heartbeat after which an upstream is removed. It
	// is as long for one that has deregistered, since the record keeps later leaders from
	// taking a late heartbeat for that of a new upstream.
	removeAfter = 20 * time.Second
	// departureRepeatTime is how long an upstream may repeat its deregistration. The next
	// process under its ID does not deregister within that time.
	departureRepeatTime = 5 * time.Second
	// removeEntryAfter is the time without a poll after which an entry host is
	// removed. It is longer than share.ShareTerm, so its shares of rates have expired.
	removeEntryAfter = 6 * time.Second
	// answerExpiry is the time after which an upstream no longer accepts the answer to
	// a heartbeat: it waits one second for it.
	answerExpiry = 1200 * time.Millisecond
	// startupWait is how long the leader waits for a service's first upstreams to
	// register: somewhat more than the time between two heartbeats.
	startupWait = 1200 * time.Millisecond
	// maxContactAge is the maximum time since the leader's last contact with a control
	// host that it names to upstreams.
	maxContactAge = 800 * time.Millisecond
	// minPollInterval is the shortest time between two polls of an entry host, and
	// maxPollsPerSecond bounds those of all hosts together.
	minPollInterval   = 400 * time.Millisecond
	maxPollsPerSecond = 500
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
	// ProposeInTerm proposes a command only if this member leads in the term.
	ProposeInTerm(ctx context.Context, term uint64, command state.Command) (state.Result, error)
	ReadLinearizable(ctx context.Context) (*state.Catalog, error)
	Catalog() *state.Catalog
	HoldsLease() bool
	Status() group.Status
}

// Coordinator runs the leader's background work and serves its calls. Its state
// belongs to one leadership term and is reset at the start of the next.
type Coordinator struct {
	// ByteCost is the delay that operators accept to keep 1 KB in its data centre. It must be
	// set before Start.
	ByteCost time.Duration

	node  Node
	clock clockwork.Clock
	log   log.Interface
	stop  chan struct{}
	done  chan struct{}
	once  sync.Once

	holds          *holdTable
	rolloutOptions RolloutOptions
	// termMutex serializes the starts of terms.
	termMutex sync.Mutex

	// mutex guards the fields below. It is not held together with that of holds.
	mutex     sync.Mutex
	term      uint64
	termStart time.Time
	// firstSeen is when each service without owners was first seen to have upstreams.
	firstSeen map[string]time.Time
	loads     map[string]*keyLoads
	health    healthTable
	// entries is when each entry host last polled, by name, and removing are the hosts
	// whose removal may be committed.
	entries    map[string]time.Time
	removing   map[string]bool
	allocator  share.Allocator
	rates      rateTable
	balancedAt time.Time
	suspects   suspectTable
	rollouts   rolloutTable
	// leaving are the upstreams that told entry hosts that they leave, until it is committed.
	leaving []spans.Owner
	spill   spillTable
}

// New returns the Coordinator of a control host. Start must be called to run it.
func New(node Node, clock clockwork.Clock, logger log.Interface) *Coordinator {
	coordinator := &Coordinator{
		node: node, clock: clock, log: logger, stop: make(chan struct{}), done: make(chan struct{}),
		holds: &holdTable{node: node, clock: clock},
	}
	coordinator.reset(0)
	return coordinator
}

// Start starts the background work.
func (coordinator *Coordinator) Start() { go coordinator.run() }

// Close stops the background work and waits until it has ended.
func (coordinator *Coordinator) Close() {
	coordinator.once.Do(func() { close(coordinator.stop) })
	<-coordinator.done
}

func (coordinator *Coordinator) run() {
	defer close(coordinator.done)
	ticker := coordinator.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-coordinator.stop:
			return
		case <-ticker.Chan():
			coordinator.Tick()
		}
	}
}

// reset discards the state of earlier terms. The term of holds changes last, since
// it lets calls use the rest.
func (coordinator *Coordinator) reset(term uint64) {
	coordinator.mutex.Lock()
	coordinator.term, coordinator.termStart = term, coordinator.clock.Now()
	coordinator.firstSeen = map[string]time.Time{}
	coordinator.loads = map[string]*keyLoads{}
	coordinator.health = healthTable{}
	coordinator.entries = map[string]time.Time{}
	coordinator.removing = map[string]bool{}
	coordinator.suspects = suspectTable{}
	coordinator.leaving = nil
	coordinator.spill = spillTable{}
	coordinator.rollouts = rolloutTable{trials: map[string]*trial{}}
	// Members that know this format keep to the limit on shares.
	reserveFree := coordinator.node.Status().Format >= state.FormatIdentified
	coordinator.allocator.Reset(coordinator.termStart, term, reserveFree)
	coordinator.mutex.Unlock()
	coordinator.holds.reset(term)
}

// startTerm resets the state if the term is later than that of the state, and reports
// whether it was.
func (coordinator *Coordinator) startTerm(term uint64) bool {
	coordinator.termMutex.Lock()
	defer coordinator.termMutex.Unlock()
	if current, _ := coordinator.holds.start(); current >= term {
		return false
	}
	coordinator.reset(term)
	return true
}

// lead returns the term in which this host may act as leader, and resets the state
// if a new term has begun. What is decided in the term may be acted on only if
// leadsIn is true after the decision.
func (coordinator *Coordinator) lead(ctx context.Context) (term uint64, ok bool) {
	if !coordinator.node.HoldsLease() {
		return 0, false
	}
	term = coordinator.node.Status().Term
	if current, _ := coordinator.holds.start(); current == term {
		return term, true
	}
	// Everything that earlier leaders committed must be applied before the first grant.
	if _, err := coordinator.node.ReadLinearizable(ctx); err != nil {
		return 0, false
	}
	if coordinator.startTerm(term) {
		coordinator.log.WithField("term", term).Info(logPrefix + "this host became leader")
	}
	current, _ := coordinator.holds.start()
	return term, current == term && coordinator.leadsIn(term)
}

// leadsIn reports whether this host holds the leader's lease in the term. The order
// of the two reads matters: terms only grow, so the lease was not one of an earlier
// or later term.
func (coordinator *Coordinator) leadsIn(term uint64) bool {
	return coordinator.node.HoldsLease() && coordinator.node.Status().Term == term
}

// Tick commits reports about suspect requests and leaving upstreams, checks for missing heartbeats and
// updates rollouts and the placement once.
func (coordinator *Coordinator) Tick() {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	term, leads := coordinator.lead(ctx)
	if !leads {
		return
	}
	coordinator.updateSuspects(ctx, term)
	coordinator.updateLeaving(ctx, term)
	coordinator.checkSilence(ctx, term)
	coordinator.updateRollouts(ctx, term)
	for name, service := range coordinator.node.Catalog().View().Services() {
		if service.Keyed {
			coordinator.updatePlacement(ctx, term, name)
		}
	}
	coordinator.removeEntries(ctx, term)
	coordinator.updateSpill(coordinator.node.Catalog())
}

// checkSilence marks upstreams that stopped sending heartbeats as silent, and
// removes those that are gone.
func (coordinator *Coordinator) checkSilence(ctx context.Context, term uint64) {
	catalog := coordinator.node.Catalog()
	now := coordinator.clock.Now()
	var gone, silent []spans.Owner
	for _, instance := range catalog.Instances {
		silence := coordinator.holds.silence(instance.Owner(), now)
		switch {
		case silence > removeAfter:
			gone = append(gone, instance.Owner())
		case silence > silentAfter && !instance.Silent:
			silent = append(silent, instance.Owner())
			coordinator.log.WithField("upstream", instance.ID).WithField("silentFor", silence.String()).
				Info(logPrefix + "upstream stopped sending heartbeats")
		}
	}
	if len(silent) > 0 {
		coordinator.propose(ctx, term, state.MarkSilent{Owners: silent})
	}
	if len(gone) > 0 {
		coordinator.log.WithField("upstreams", len(gone)).Info(logPrefix + "removing upstreams that are gone")
		coordinator.propose(ctx, term, state.RemoveInstances{Owners: gone})
	}
}

// propose commits a command that was decided in the term, and reports whether it is
// known to be committed. A failure is only logged, since the next tick proposes the
// command again if it is still due.
func (coordinator *Coordinator) propose(ctx context.Context, term uint64, command state.Command) bool {
	if _, err := coordinator.node.ProposeInTerm(ctx, term, command); err != nil {
		coordinator.log.WithError(err).Warnf(logPrefix+"could not commit %T", command)
		return false
	}
	return true
}
