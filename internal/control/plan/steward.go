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
}

// Steward carries decisions out while its control host leads.
type Steward struct {
	node        *group.Node
	leases      Leases
	clock       clockwork.Clock
	log         log.Interface
	lastBalance time.Time
	stop        chan struct{}
	done        chan struct{}
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
	now := steward.clock.Now()
	balance := now.Sub(steward.lastBalance) >= BalanceInterval
	if balance {
		steward.lastBalance = now
	}
	input := Input{Catalog: steward.node.Catalog(), Expired: steward.leases.Expired, Balance: balance}
	for _, command := range Decide(input) {
		steward.carryOut(command)
	}
}

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
