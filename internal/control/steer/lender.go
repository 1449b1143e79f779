package steer

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/rates/share"
)

const (
	// shareInterval is the time between two reports of a control host to the leader.
	shareInterval = 300 * time.Millisecond
	// shareRetryInterval is the first pause after a report that failed.
	shareRetryInterval = 100 * time.Millisecond
	// shareTimeout bounds one report, including retries.
	shareTimeout = 600 * time.Millisecond
	// borrowTimeout bounds a request of a control host for the leader's tokens. An entry
	// host waits meanwhile.
	borrowTimeout = 120 * time.Millisecond
)

// Lender lends tokens of the workspaces' rates to entry hosts. Each control host has one,
// with shares of the rates from the leader, so that tokens stay close to the entry hosts
// and a lost leader does not interrupt them.
type Lender struct {
	// name identifies the control host in reports.
	name        string
	coordinator *Coordinator
	client      *group.Client
	clock       clockwork.Clock
	log         log.Interface
	limiter     share.Limiter
	lost        bool
}

// NewLender returns the Lender of a control host. The client calls the leader.
func NewLender(name string, coordinator *Coordinator, client *group.Client, clock clockwork.Clock, logger log.Interface) *Lender {
	lender := &Lender{name: name, coordinator: coordinator, client: client, clock: clock, log: logger}
	lender.limiter.Borrow = lender.borrow
	return lender
}

// borrow asks the leader for tokens that this host's share does not cover.
func (lender *Lender) borrow(ctx context.Context, workspace string, wanted float64) (share.Loan, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	args := LoanArgs{Host: lender.name, Workspace: workspace, Wanted: wanted}
	reply := lender.coordinator.Lend(ctx, args)
	if !reply.NotLeader {
		return reply.Loan, nil
	}
	reply, err := group.CallLeader[LoanReply](ctx, lender.client, "Steer.Lend", args)
	if err != nil {
		return share.Loan{}, Error.New("borrow tokens of %q: %w", workspace, err)
	}
	return reply.Loan, nil
}

// errNoTokens means that a lender has no tokens, and reaches no leader for more.
var errNoTokens = Error.New("this control host has no tokens and reaches no leader")

// Lend lends tokens to an entry host.
func (lender *Lender) Lend(ctx context.Context, args LoanArgs) (share.Loan, error) {
	workspace, known := lender.coordinator.node.Catalog().View().Workspaces()[args.Workspace]
	if !known {
		return share.Loan{Wait: shareInterval}, nil
	}
	rate := share.Rate{PerSecond: workspace.PerSecond, Burst: workspace.Burst}
	loan, ok := lender.limiter.Lend(ctx, lender.clock.Now(), args.Workspace, args.Wanted, rate)
	if !ok {
		return share.Loan{}, errNoTokens
	}
	return loan, nil
}

// Run reports to the leader until the context ends.
func (lender *Lender) Run(ctx context.Context) {
	backoff := group.Backoff{Min: shareRetryInterval, Max: shareInterval}
	for ctx.Err() == nil {
		pause := shareInterval
		if lender.report(ctx) {
			backoff.Reset()
		} else {
			pause = backoff.Next()
		}
		select {
		case <-ctx.Done():
		case <-lender.clock.After(pause):
		}
	}
}

// report sends one report to the leader and applies its grant. It reports whether the next
// one can wait for shareInterval.
func (lender *Lender) report(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	sent := lender.clock.Now()
	args := SharesArgs{Report: lender.limiter.Report(sent, lender.name, 0)}
	reply := lender.coordinator.Shares(ctx, args)
	var err error
	if reply.NotLeader {
		reply, err = group.CallLeader[SharesReply](ctx, lender.client, "Steer.Shares", args)
	}
	if lender.lost != (err != nil) {
		lender.lost = err != nil
		lender.log.WithField("lost", lender.lost).WithField("cause", causeOf(err)).Info(logPrefix + "reporting to the leader for shares of the rates changed")
	}
	if err != nil {
		return false
	}
	lender.limiter.ApplyGrant(sent, lender.clock.Now(), reply.Grant)
	return !reply.Grant.Unknown
}

func causeOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// SharesArgs is the report of a control host that lends tokens.
type SharesArgs struct{ Report share.Report }

// SharesReply is the reply to SharesArgs.
type SharesReply struct {
	NotLeader bool
	Leader    string
	Grant     share.Grant
}

// FromLeader reports whether the leader sent the reply, and otherwise returns the
// leader's address if it is known.
func (sharesreply *SharesReply) FromLeader() (leads bool, hint string) {
	return !sharesreply.NotLeader, sharesreply.Leader
}

// Shares grants a control host shares of the rates.
func (coordinator *Coordinator) Shares(ctx context.Context, args SharesArgs) SharesReply {
	term, leads := coordinator.lead(ctx)
	if !leads {
		return SharesReply{NotLeader: true, Leader: coordinator.leaderAddress()}
	}
	grant, ok := coordinator.grantShares(term, args.Report)
	if !ok || !coordinator.leadsIn(term) {
		return SharesReply{NotLeader: true, Leader: coordinator.leaderAddress()}
	}
	return SharesReply{Grant: grant}
}

func (coordinator *Coordinator) grantShares(term uint64, report share.Report) (share.Grant, bool) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if coordinator.term != term {
		return share.Grant{}, false
	}
	return coordinator.grant(coordinator.clock.Now(), report), true
}

// grant processes a report of a host that may have shares. The mutex must be held.
func (coordinator *Coordinator) grant(now time.Time, report share.Report) share.Grant {
	catalog := coordinator.node.Catalog()
	if coordinator.rates.catalog != catalog {
		coordinator.rates = newRateTable(catalog)
	}
	var hosts []string
	if !coordinator.allocator.KnowsAllShares(now) {
		for name := range catalog.Entries {
			hosts = append(hosts, name)
		}
		for _, member := range coordinator.node.Status().Members {
			hosts = append(hosts, member.Address)
		}
	}
	return coordinator.allocator.Grant(now, report, hosts, coordinator.rates.byName)
}
