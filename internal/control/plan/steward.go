package plan

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	turnInterval   = 20 * time.Millisecond
	proposeTimeout = time.Second
	// logPrefix starts each line that this package logs.
	logPrefix = "plan: "
)

// Leases tells which sessions have ended.
type Leases interface {
	Observe()
	Expired(epoch uint64) bool
	// Silent counts the sessions that were not heard of for the time given.
	Silent(than time.Duration) (silent, total int)
}

const (
	// deafAfter is the silence of most hosts that a leader takes for its own
	// fault. It is shorter than a lease, so that no session ends before the
	// next leader has heard from the hosts.
	deafAfter = 240 * time.Millisecond
	// deafTerm is how long a leader must have led for that; one that has just
	// taken over and hears nobody either takes them for lost.
	deafTerm = 2 * time.Second
)

// Steward carries decisions out while its control host leads.
type Steward struct {
	node        *group.Node
	leases      Leases
	clock       clockwork.Clock
	log         log.Interface
	lastBalance time.Time
	// settled is the last catalog that called for nothing.
	settled *state.Catalog
	stop    chan struct{}
	done    chan struct{}
}

// NewSteward starts the steward of a control host.
func NewSteward(node *group.Node, leases Leases, clock clockwork.Clock, logger log.Interface) *Steward {
	steward := &Steward{
		node: node, leases: leases, clock: clock, log: logger,
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go steward.run()
	return steward
}

func (steward *Steward) run() {
	defer close(steward.done)
	ticker := steward.clock.NewTicker(turnInterval)
	defer ticker.Stop()
	for {
		select {
		case <-steward.stop:
			return
		case <-ticker.Chan():
		case <-steward.node.Changed():
		}
		steward.turn()
	}
}

func (steward *Steward) turn() {
	steward.leases.Observe()
	if !steward.node.Leads() {
		return
	}
	if steward.deaf() {
		steward.log.Warn(logPrefix + "most hosts have fallen silent at once, so another control host is to lead")
		steward.node.HandOver()
		return
	}
	now := steward.clock.Now()
	balance := now.Sub(steward.lastBalance) >= BalanceInterval
	if balance {
		steward.lastBalance = now
	}
	catalog := steward.node.Catalog()
	input := Input{
		Catalog: catalog, Expired: steward.leases.Expired, Balance: balance, Settled: catalog == steward.settled,
	}
	commands := Decide(input)
	if len(commands) == 0 {
		steward.settled = catalog
	}
	for _, command := range commands {
		steward.carryOut(command)
	}
}

// deaf tells whether this leader, rather than most of the hosts, seems to be
// cut off: consensus works, but heartbeats do not come in any more.
func (steward *Steward) deaf() bool {
	status := steward.node.Status()
	silent, total := steward.leases.Silent(deafAfter)
	return seemsDeaf(len(status.Members), steward.clock.Now().Sub(status.LeaderSince), silent, total)
}

// seemsDeaf decides by the size of the group, how long this member has led, and
// how many of all hosts are silent.
func seemsDeaf(members int, led time.Duration, silent, total int) bool {
	return members >= minMembers && led >= deafTerm && total > 1 && silent*2 > total
}

// minMembers is the smallest group in which another member can take over.
const minMembers = 2

func (steward *Steward) carryOut(command state.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	if closing, ok := command.(state.CloseSession); ok {
		steward.log.Warnf(logPrefix+"session %d of host %s has ended", closing.Epoch, closing.Host)
	}
	if _, err := steward.node.Propose(ctx, command); err != nil {
		steward.log.WithError(err).Warnf(logPrefix+"%T was not committed", command)
	}
}

// Close ends the steward.
func (steward *Steward) Close() {
	close(steward.stop)
	<-steward.done
}
