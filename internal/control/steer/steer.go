// Package steer is what the control leader does for entry hosts that send
// straight to upstreams: it answers upstreams' heartbeats with grants of keys,
// places and moves keys, and divides the workspaces' rates among entry hosts.
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
	// HoldTime is how long an upstream holds its keys after it sent a heartbeat.
	// It bridges the loss of the control leader.
	HoldTime = 3600 * time.Millisecond
	// holdEnd is when a hold has surely ended, counted from when the heartbeat
	// came in: clocks of upstreams may run 2 % slow.
	holdEnd = HoldTime + HoldTime/25
	// silentAfter is the time without a heartbeat after which an upstream is
	// used only where nothing else is left.
	silentAfter = 2200 * time.Millisecond
	// forgetAfter is the time without a heartbeat after which it is dropped.
	forgetAfter = 20 * time.Second
	// entryForgetAfter is the time without a poll after which an entry host is
	// dropped. It is longer than its parts of rates count.
	entryForgetAfter = 6 * time.Second
	// staleGrant is the time after which an upstream takes no late answer to a
	// heartbeat: it waits a second for one.
	staleGrant = 1200 * time.Millisecond
	// gatherTime is how long a service's first upstreams may take to announce
	// themselves: somewhat more than the time between two heartbeats.
	gatherTime = 1200 * time.Millisecond
	// nearContact is how lately the leader must have heard from a control host
	// that it names to upstreams.
	nearContact = 800 * time.Millisecond
	// tickInterval is how often placement and silence are looked at.
	tickInterval = 100 * time.Millisecond
	// balanceInterval is how often keys may move for the sake of load.
	balanceInterval = 500 * time.Millisecond
	proposeTimeout  = 3 * time.Second
	// logPrefix starts each line that this package logs.
	logPrefix = "steer: "
)

// Node is the control group's member that runs on the same host.
type Node interface {
	Propose(ctx context.Context, command state.Command) (state.Result, error)
	Read(ctx context.Context) (*state.Catalog, error)
	Catalog() *state.Catalog
	Leads() bool
	Status() group.Status
}

// holder is what the leader knows of one life of an upstream.
type holder struct {
	sequence uint64
	heardAt  time.Time
	// until is when all holds of this life have surely ended.
	until time.Time
	holds []Row
	// interval is the time between two regular heartbeats.
	interval time.Duration
}

// spanMark names a span that is moving away from an owner.
type spanMark struct {
	service string
	from    uint16
	owner   spans.Owner
}

// Steer is the leader's task. Its state belongs to one term of leadership and
// is empty at the start of the next.
type Steer struct {
	node  Node
	clock clockwork.Clock
	log   log.Interface
	stop  chan struct{}
	done  chan struct{}
	once  sync.Once

	mutex   sync.Mutex
	term    uint64
	since   time.Time
	holders map[spans.Owner]*holder
	// left are upstreams that said that they are gone.
	left map[spans.Owner]time.Time
	// pending are changes of ownership whose outcome is not known, by service.
	// Nobody gets keys of their ranges.
	pending map[string]state.ChangeSpans
	// movingSince is when a span was first seen moving.
	movingSince map[spanMark]time.Time
	// gatherSince is when a service without owners was first seen.
	gatherSince map[string]time.Time
	loads       map[string]*loadMap
	speeds      speeds
	entries     map[string]time.Time
	book        share.Book
	balancedAt  time.Time
}

// New returns the task of a control host; Start starts it.
func New(node Node, clock clockwork.Clock, logger log.Interface) *Steer {
	steer := &Steer{node: node, clock: clock, log: logger, stop: make(chan struct{}), done: make(chan struct{})}
	steer.reset(0)
	return steer
}

// Start starts the task.
func (steer *Steer) Start() { go steer.run() }

// Close ends the task.
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

// reset forgets everything that an earlier term knew.
func (steer *Steer) reset(term uint64) {
	now := steer.clock.Now()
	steer.term = term
	steer.since = now
	steer.holders = map[spans.Owner]*holder{}
	steer.left = map[spans.Owner]time.Time{}
	steer.pending = map[string]state.ChangeSpans{}
	steer.movingSince = map[spanMark]time.Time{}
	steer.gatherSince = map[string]time.Time{}
	steer.loads = map[string]*loadMap{}
	steer.speeds = speeds{}
	steer.entries = map[string]time.Time{}
	steer.book.Reset(now, term)
}

// lead tells whether this host may act as leader, and starts a new term's state
// when it has become leader.
func (steer *Steer) lead(ctx context.Context) bool {
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
	// What earlier leaders committed must be applied here before the first grant.
	if _, err := steer.node.Read(ctx); err != nil {
		return false
	}
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	if steer.term < term {
		steer.reset(term)
		steer.log.WithField("term", term).Info(logPrefix + "this host leads")
	}
	return steer.term == term && steer.node.Leads()
}

// Tick looks at silence and placement once.
func (steer *Steer) Tick() {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	if !steer.lead(ctx) {
		return
	}
	steer.noteSilence(ctx)
	catalog := steer.node.Catalog()
	for name, service := range catalog.View().Services() {
		if service.Keyed {
			steer.place(ctx, catalog, name)
		}
	}
	steer.forgetEntries(ctx, catalog)
}

// noteSilence marks upstreams that stopped sending heartbeats, and drops those
// that are gone.
func (steer *Steer) noteSilence(ctx context.Context) {
	catalog := steer.node.Catalog()
	now := steer.clock.Now()
	var gone, silent []spans.Owner
	for _, instance := range catalog.Instances {
		silence, left := steer.silence(instance.Owner(), now)
		switch {
		case silence > forgetAfter || left && silence > holdEnd:
			gone = append(gone, instance.Owner())
		case silence > silentAfter && !instance.Silent:
			silent = append(silent, instance.Owner())
			steer.log.WithField("upstream", instance.ID).WithField("silentFor", silence.String()).
				Info(logPrefix + "an upstream is silent")
		}
	}
	if len(silent) > 0 {
		steer.propose(ctx, state.MarkSilent{Owners: silent})
	}
	if len(gone) > 0 {
		steer.log.WithField("upstreams", len(gone)).Info(logPrefix + "upstreams are gone")
		steer.propose(ctx, state.ForgetInstances{Owners: gone})
	}
}

// silence returns how long an upstream has sent no heartbeat, and whether it
// said that it leaves.
func (steer *Steer) silence(owner spans.Owner, now time.Time) (silence time.Duration, left bool) {
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	heard := steer.since
	if holder, ok := steer.holders[owner]; ok {
		heard = holder.heardAt
	}
	_, left = steer.left[owner]
	return now.Sub(heard), left
}

// propose commits a command that may be proposed again at the next look.
func (steer *Steer) propose(ctx context.Context, command state.Command) {
	if _, err := steer.node.Propose(ctx, command); err != nil {
		steer.log.WithError(err).Warn(logPrefix + "a change was not committed")
	}
}
