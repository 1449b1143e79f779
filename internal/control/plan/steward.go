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
	reconcileInterval = 20 * time.Millisecond
	proposeTimeout    = time.Second
	// logPrefix starts each line that this package logs.
	logPrefix = "plan: "
)

// Leases tracks the session leases of hosts.
type Leases interface {
	// Observe records new sessions and the catalog's current index.
	Observe()
	Expired(epoch uint64) bool
	// Silent counts the open sessions, and those of them whose lease was not renewed
	// for longer than threshold.
	Silent(threshold time.Duration) (silent, total int)
}

const (
	// isolationSilence is how long most hosts must be silent before a leader assumes
	// that it is cut off itself. It is shorter than a lease, so that no session
	// expires before the next leader has received heartbeats from the hosts.
	isolationSilence = 240 * time.Millisecond
	// isolationMinTenure is how long a member must have led before it can assume
	// that. A leader that has just taken over and receives no heartbeats either
	// treats the hosts as lost.
	isolationMinTenure = 2 * time.Second
)

// Steward commits the commands that Decide returns while its control host leads.
type Steward struct {
	node        *group.Node
	leases      Leases
	clock       clockwork.Clock
	log         log.Interface
	lastBalance time.Time
	// converged is the last catalog for which Decide returned no commands.
	converged *state.Catalog
	stop      chan struct{}
	done      chan struct{}
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
	ticker := steward.clock.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-steward.stop:
			return
		case <-ticker.Chan():
		case <-steward.node.Changed():
		}
		steward.reconcile()
	}
}

func (steward *Steward) reconcile() {
	steward.leases.Observe()
	if !steward.node.Leads() {
		return
	}
	if steward.isolated() {
		steward.log.Warn(logPrefix + "heartbeats from most hosts stopped at once; transferring leadership to another control host")
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
		Catalog: catalog, Expired: steward.leases.Expired, Balance: balance, Settled: catalog == steward.converged,
	}
	commands := Decide(input)
	if len(commands) == 0 {
		steward.converged = catalog
	}
	for _, command := range commands {
		steward.propose(command)
	}
}

// isolated reports whether this leader, rather than most of the hosts, seems to be
// cut off: consensus works, but heartbeats no longer arrive.
func (steward *Steward) isolated() bool {
	status := steward.node.Status()
	silent, total := steward.leases.Silent(isolationSilence)
	return looksIsolated(len(status.Members), steward.clock.Now().Sub(status.LeaderSince), silent, total)
}

// looksIsolated decides by the size of the group, how long this member has led, and
// how many of all hosts are silent.
func looksIsolated(members int, led time.Duration, silent, total int) bool {
	return members >= minMembers && led >= isolationMinTenure && total > 1 && silent*2 > total
}

// minMembers is the smallest group in which another member can take over.
const minMembers = 2

func (steward *Steward) propose(command state.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	if closing, ok := command.(state.CloseSession); ok {
		steward.log.Warnf(logPrefix+"session %d of host %s has expired", closing.Epoch, closing.Host)
	}
	if _, err := steward.node.Propose(ctx, command); err != nil {
		steward.log.WithError(err).Warnf(logPrefix+"failed to commit %T", command)
	}
}

// Close stops the steward.
func (steward *Steward) Close() {
	close(steward.stop)
	<-steward.done
}
