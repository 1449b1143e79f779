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
	// reconcileInterval is the maximum time between two decisions. A commit or a change
	// of the member's role triggers one at once.
	reconcileInterval = 20 * time.Millisecond
	proposeTimeout    = time.Second
	// logPrefix starts each line that this package logs.
	logPrefix = "plan: "
)

// Leases tracks the session leases of hosts.
type Leases interface {
	// Update records new sessions and the catalog's current index.
	Update()
	// Expired reports whether no process can act under the session any more.
	Expired(epoch uint64) bool
	// CountSilent returns the number of open sessions whose lease has not been renewed
	// for longer than the threshold, and the number of all open sessions.
	CountSilent(threshold time.Duration) (silent, total int)
}

const (
	// isolationSilence is how long most hosts must be silent before a leader assumes
	// that it is cut off itself. It is shorter than a lease, so that no session
	// expires before the next leader has received heartbeats from the hosts.
	isolationSilence = 240 * time.Millisecond
	// isolationMinTenure is how long a member must have led before it can assume
	// that. If the next leader receives no heartbeats either, it treats the hosts as
	// lost.
	isolationMinTenure = 2 * time.Second
)

// Node is the local member of the control group.
type Node interface {
	// ProposeInTerm commits a command only if this member leads in the term.
	ProposeInTerm(ctx context.Context, term uint64, command state.Command) (state.Result, error)
	Catalog() *state.Catalog
	Status() group.Status
	Changed() <-chan struct{}
	TransferLeadership() bool
}

// Controller commits the commands that Decide returns while its control host leads.
type Controller struct {
	node          Node
	leases        Leases
	clock         clockwork.Clock
	log           log.Interface
	lastRebalance time.Time
	// converged is the last catalog for which Decide returned no commands.
	converged *state.Catalog
	stop      chan struct{}
	done      chan struct{}
}

// NewController returns the controller of a control host, already running.
func NewController(node Node, leases Leases, clock clockwork.Clock, logger log.Interface) *Controller {
	controller := &Controller{
		node: node, leases: leases, clock: clock, log: logger,
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go controller.run()
	return controller
}

func (controller *Controller) run() {
	defer close(controller.done)
	ticker := controller.clock.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-controller.stop:
			return
		case <-ticker.Chan():
		case <-controller.node.Changed():
		}
		controller.reconcile()
	}
}

func (controller *Controller) reconcile() {
	controller.leases.Update()
	status := controller.node.Status()
	if !controller.clock.Now().Before(status.LeaseEnd) {
		return
	}
	if controller.isolated() {
		controller.log.Warn(logPrefix + "heartbeats from most hosts stopped at once; transferring leadership to another control host")
		controller.node.TransferLeadership()
		return
	}
	now := controller.clock.Now()
	rebalance := now.Sub(controller.lastRebalance) >= RebalanceInterval
	if rebalance {
		controller.lastRebalance = now
	}
	catalog := controller.node.Catalog()
	input := Input{
		Catalog: catalog, Expired: controller.leases.Expired, Rebalance: rebalance, Converged: catalog == controller.converged,
	}
	commands := Decide(input)
	if len(commands) == 0 {
		controller.converged = catalog
	}
	for _, command := range commands {
		controller.propose(status.Term, command)
	}
}

// isolated reports whether this leader, rather than most of the hosts, seems to be
// cut off: consensus works, but heartbeats no longer arrive.
func (controller *Controller) isolated() bool {
	status := controller.node.Status()
	silent, total := controller.leases.CountSilent(isolationSilence)
	return looksIsolated(len(status.Members), controller.clock.Now().Sub(status.LeaderSince), silent, total)
}

// looksIsolated decides by the number of members in the group, the time for which
// this member has led, and how many of all hosts are silent.
func looksIsolated(members int, led time.Duration, silent, total int) bool {
	return members >= minMembers && led >= isolationMinTenure && total > 1 && silent*2 > total
}

// minMembers is the size of the smallest group in which another member can take over.
const minMembers = 2

// propose commits a command that was decided in the term: what is known of leases holds
// only there.
func (controller *Controller) propose(term uint64, command state.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	if closing, ok := command.(state.CloseSession); ok {
		controller.log.Warnf(logPrefix+"session %d of host %s has expired", closing.Epoch, closing.Host)
	}
	if _, err := controller.node.ProposeInTerm(ctx, term, command); err != nil {
		controller.log.WithError(err).Warnf(logPrefix+"failed to commit %T", command)
	}
}

// Close stops the controller and waits until it has ended.
func (controller *Controller) Close() {
	close(controller.stop)
	<-controller.done
}
