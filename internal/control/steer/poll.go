package steer

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/spill"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/rates/share"
)

// PollArgs is the report that an entry host sends to the control leader several
// times a second.
type PollArgs struct {
	Entry state.Entry
	// Report is set by hosts that see many requests of a workspace, and by those of earlier
	// versions: they have shares of the rates.
	Report share.Report
	// Keys lists the keys of keyed services that were requested since the last poll,
	// one element per request.
	Keys map[string][]uint16
	// Work holds the request statistics since the last poll, by upstream.
	Work map[string]RequestStats
	// Members is the number of control hosts that the entry host knows.
	Members int
	// Suspects are the changes to suspect requests that the catalog of the entry host
	// does not show. Their times are unset.
	Suspects state.UpdateSuspects
	// Leaving are the upstreams that told the entry host that they leave, and that its
	// catalog does not show as draining.
	Leaving []spans.Owner
	// Demand is what callers asked for without a key, by service. Hosts report it if their
	// links are narrow enough for the bytes between data centres to matter.
	Demand map[string]ServiceDemand
	// Versions holds the statistics since the last poll of requests to services whose catalog
	// entry names a version in use, by service, version and route.
	Versions []VersionStats
	// Applied is the log index of the catalog by which the host chooses versions. It is read
	// before Versions. Hosts of earlier versions leave it 0.
	Applied uint64
}

// VersionStats sums up the requests that an entry host sent to the upstreams of a version on a
// route.
type VersionStats struct {
	Service string
	Version string
	Route   string
	// Answered is the number of requests that ended, and Bad that of those with a 5xx response,
	// without a response, or with one that took several times as long as usual for the version
	// in use on the route. The same rule applies to all versions.
	Answered int
	Bad      int
	// Total is the time that the Answered requests took, and Work that without queueing.
	Total time.Duration
	Work  time.Duration
	// Running is the number of requests that run at the time of the poll. A host reports it
	// until it is 0, also if no request ended.
	Running int
}

// RequestStats sums up the requests that an entry host sent to an upstream.
type RequestStats struct {
	// Total is the service time, without queueing, of the Count answered requests.
	Total time.Duration
	Count int
	// Erred is the number of requests that the upstream answered with an error.
	Erred int
	// Failed is the number of requests that got no answer.
	Failed int
	// Limit is the rate limit that the upstream names, in requests per second, 0 if none.
	Limit float64
}

// PollReply is the reply to PollArgs.
type PollReply struct {
	NotLeader bool
	Leader    string
	// Index is the log index up to which everything acknowledged is committed.
	Index uint64
	Grant share.Grant
	// Members are the control hosts, set if the entry host may not know all of them.
	Members []netip.AddrPort
	// Interval is the time until the host's next poll, 0 for the host's default.
	Interval time.Duration
	// Spill says which requests without a key leave their data centre. It is set if the host
	// reported its demand.
	Spill *spill.Orders
}

// FromLeader reports whether the leader sent the reply, and otherwise returns the
// leader's address if it is known.
func (pollreply *PollReply) FromLeader() (leads bool, hint string) {
	return !pollreply.NotLeader, pollreply.Leader
}

// Poll processes an entry host's report.
func (coordinator *Coordinator) Poll(ctx context.Context, args PollArgs) (PollReply, error) {
	term, leads := coordinator.lead(ctx)
	if !leads {
		return PollReply{NotLeader: true, Leader: coordinator.leaderAddress()}, nil
	}
	catalog := coordinator.node.Catalog()
	if present, ok := catalog.Entries[args.Entry.Name]; !ok || present != args.Entry {
		if _, err := coordinator.node.Propose(ctx, state.RegisterEntry{Entry: args.Entry}); err != nil {
			return PollReply{}, Error.New("register entry host %q: %w", args.Entry.Name, err)
		}
		coordinator.log.WithField("entry", args.Entry.Name).Info(logPrefix + "entry host registered or changed")
		catalog = coordinator.node.Catalog()
	}
	grant, orders, err := coordinator.recordPoll(term, args)
	if errors.Is(err, ErrNotLeader) {
		return PollReply{NotLeader: true, Leader: coordinator.leaderAddress()}, nil
	}
	if err != nil {
		return PollReply{}, err
	}
	reply := PollReply{Index: catalog.Index, Grant: grant, Spill: orders, Interval: intervalOfPolls(len(catalog.Entries))}
	if !coordinator.leadsIn(term) {
		return PollReply{NotLeader: true, Leader: coordinator.leaderAddress()}, nil
	}
	members := coordinator.node.Status().Members
	if args.Members >= len(members) {
		return reply, nil
	}
	for _, member := range members {
		if address, err := netip.ParseAddrPort(member.Address); err == nil {
			reply.Members = append(reply.Members, address)
		}
	}
	return reply, nil
}

// intervalOfPolls returns the time between two polls of each of the given number of entry
// hosts. It keeps the polls that the leader processes within maxPollsPerSecond.
func intervalOfPolls(hosts int) time.Duration {
	return max(minPollInterval, time.Duration(hosts)*time.Second/maxPollsPerSecond)
}

// recordPoll adds an entry host's report to the loads and the health of upstreams, and
// grants the host shares of the rates if it reports demand. A host that is being removed is
// granted none: later leaders learn from the catalog which hosts may have shares.
func (coordinator *Coordinator) recordPoll(term uint64, args PollArgs) (share.Grant, *spill.Orders, error) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if coordinator.term != term {
		return share.Grant{}, nil, ErrNotLeader
	}
	now, catalog := coordinator.clock.Now(), coordinator.node.Catalog()
	coordinator.entries[args.Entry.Name] = now
	if _, present := catalog.Entries[args.Entry.Name]; !present || coordinator.removing[args.Entry.Name] {
		return share.Grant{}, nil, Error.New("entry host %q is being removed, it can poll again shortly", args.Entry.Name)
	}
	for service, keys := range args.Keys {
		loads, ok := coordinator.loads[service]
		if !ok {
			loads = newKeyLoads(now)
			coordinator.loads[service] = loads
		}
		loads.add(now, keys)
	}
	for upstream, requeststats := range args.Work {
		if coordinator.health.add(now, upstream, requeststats) {
			coordinator.log.WithField("upstream", upstream).WithField("until", now.Add(avoidTime).String()).
				Info(logPrefix + "upstream is failing or unreachable, placing no keys on it")
		}
	}
	coordinator.suspects.add(now, catalog, args.Suspects)
	coordinator.addLeaving(catalog, args.Leaving)
	var orders *spill.Orders
	if len(args.Demand) > 0 {
		coordinator.spill.add(now, args.Entry.DataCentre, args.Demand)
		orders = coordinator.spill.ordersFor(args.Entry.DataCentre)
	}
	coordinator.addVersions(now, catalog, args)
	if args.Report.Host == "" {
		coordinator.allocator.AddHost(args.Entry.Name)
		return share.Grant{Standing: true}, orders, nil
	}
	return coordinator.grant(now, args.Report), orders, nil
}

// rateTable holds the rates of a catalog, kept for all reports until the next one.
type rateTable struct {
	catalog *state.Catalog
	byName  map[string]share.Rate
}

func newRateTable(catalog *state.Catalog) rateTable {
	table := rateTable{catalog: catalog, byName: map[string]share.Rate{}}
	for name, workspace := range catalog.View().Workspaces() {
		table.byName[name] = share.Rate{PerSecond: workspace.PerSecond, Burst: workspace.Burst}
	}
	return table
}

// LoanArgs requests tokens of a workspace's rate.
type LoanArgs struct {
	Host      string
	Workspace string
	Wanted    float64
}

// LoanReply is the reply to LoanArgs.
type LoanReply struct {
	NotLeader bool
	Leader    string
	Loan      share.Loan
}

// FromLeader reports whether the leader sent the reply, and otherwise returns the
// leader's address if it is known.
func (loanreply *LoanReply) FromLeader() (leads bool, hint string) {
	return !loanreply.NotLeader, loanreply.Leader
}

// BorrowReply is the reply to LoanArgs of a control host that need not be the leader.
type BorrowReply struct{ Loan share.Loan }

// Lend lends tokens of a workspace's rate to another control host, or to an entry host of an
// earlier version.
func (coordinator *Coordinator) Lend(ctx context.Context, args LoanArgs) LoanReply {
	term, leads := coordinator.lead(ctx)
	if !leads {
		return LoanReply{NotLeader: true, Leader: coordinator.leaderAddress()}
	}
	workspace := coordinator.node.Catalog().View().Workspaces()[args.Workspace]
	rate := share.Rate{PerSecond: workspace.PerSecond, Burst: workspace.Burst}
	loan, ok := coordinator.lend(term, args, rate)
	if !ok || !coordinator.leadsIn(term) {
		return LoanReply{NotLeader: true, Leader: coordinator.leaderAddress()}
	}
	return LoanReply{Loan: loan}
}

func (coordinator *Coordinator) lend(term uint64, args LoanArgs, rate share.Rate) (share.Loan, bool) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if coordinator.term != term {
		return share.Loan{}, false
	}
	return coordinator.allocator.Lend(coordinator.clock.Now(), args.Workspace, args.Wanted, rate), true
}

func (coordinator *Coordinator) leaderAddress() string {
	status := coordinator.node.Status()
	for _, member := range status.Members {
		if member.ID == status.Leader {
			return member.Address
		}
	}
	return ""
}

// removeEntries removes entry hosts that have stopped polling.
func (coordinator *Coordinator) removeEntries(ctx context.Context, term uint64) {
	gone := coordinator.entriesGone(term)
	if len(gone) == 0 {
		return
	}
	coordinator.log.WithField("entries", gone).Info(logPrefix + "removing entry hosts that stopped polling")
	if !coordinator.propose(ctx, term, state.RemoveEntries{Names: gone}) {
		return
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	for _, name := range gone {
		delete(coordinator.removing, name)
	}
}

// entriesGone returns the entry hosts that have stopped polling, and marks them as being
// removed.
func (coordinator *Coordinator) entriesGone(term uint64) []string {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if coordinator.term != term {
		return nil
	}
	var gone []string
	catalog, now := coordinator.node.Catalog(), coordinator.clock.Now()
	for name := range catalog.Entries {
		lastPoll, ok := coordinator.entries[name]
		if !ok {
			lastPoll = coordinator.termStart
		}
		// The outcome of an earlier removal may be unknown.
		if now.Sub(lastPoll) > removeEntryAfter || coordinator.removing[name] {
			gone = append(gone, name)
			coordinator.removing[name] = true
			delete(coordinator.entries, name)
			coordinator.allocator.RemoveHost(now, name)
		}
	}
	return gone
}

// callTimeout bounds the processing of one RPC on the leader.
const callTimeout = time.Second

// RPCService is the net/rpc service through which other hosts call the leader.
type RPCService struct {
	coordinator *Coordinator
	node        Node
	lender      *Lender
}

// NewRPCService returns the net/rpc service of a control host.
func NewRPCService(coordinator *Coordinator, node Node, lender *Lender) *RPCService {
	return &RPCService{coordinator: coordinator, node: node, lender: lender}
}

// Borrow lends tokens to an entry host, on any control host.
func (rpcservice *RPCService) Borrow(args LoanArgs, reply *BorrowReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var err error
	reply.Loan, err = rpcservice.lender.Lend(ctx, args)
	return err
}

// Shares grants another control host shares of the rates.
func (rpcservice *RPCService) Shares(args SharesArgs, reply *SharesReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	*reply = rpcservice.coordinator.Shares(ctx, args)
	return nil
}

// Poll processes an entry host's report.
func (rpcservice *RPCService) Poll(args PollArgs, reply *PollReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answer, err := rpcservice.coordinator.Poll(ctx, args)
	*reply = answer
	return err
}

// Lend lends the leader's tokens.
func (rpcservice *RPCService) Lend(args LoanArgs, reply *LoanReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	*reply = rpcservice.coordinator.Lend(ctx, args)
	return nil
}

// IndexArgs requests the log index up to which all acknowledged changes are
// committed.
type IndexArgs struct{}

// IndexReply is the reply to IndexArgs.
type IndexReply struct {
	NotLeader bool
	Leader    string
	Index     uint64
}

// FromLeader reports whether the leader sent the reply, and otherwise returns the
// leader's address if it is known.
func (indexreply *IndexReply) FromLeader() (leads bool, hint string) {
	return !indexreply.NotLeader, indexreply.Leader
}

// Index serves a control host that needs the index for a linearizable read of the
// configuration.
func (rpcservice *RPCService) Index(_ IndexArgs, reply *IndexReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	catalog, err := rpcservice.node.ReadLinearizable(ctx)
	if err != nil {
		reply.NotLeader, reply.Leader = true, rpcservice.coordinator.leaderAddress()
		return nil
	}
	reply.Index = catalog.Index
	return nil
}

// ForwardReply is the leader's reply to a heartbeat or a deregistration that another
// control host forwarded.
type ForwardReply struct {
	NotLeader bool
	Leader    string
	Answer    HeartbeatReply
}

// Beat processes a heartbeat that another control host received.
func (rpcservice *RPCService) Beat(args Heartbeat, reply *ForwardReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	heartbeatreply, err := rpcservice.coordinator.HandleHeartbeat(ctx, args)
	*reply = ForwardReply{Answer: heartbeatreply}
	if err != nil {
		reply.NotLeader, reply.Leader = true, rpcservice.coordinator.leaderAddress()
	}
	return nil
}

// Leave deregisters an upstream on behalf of another control host of an earlier version.
func (rpcservice *RPCService) Leave(id string, reply *ForwardReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if rpcservice.coordinator.Deregister(ctx, spans.Owner{ID: id}) != nil {
		reply.NotLeader, reply.Leader = true, rpcservice.coordinator.leaderAddress()
	}
	return nil
}

// RegisteredReply names the process that is registered under an ID.
type RegisteredReply struct {
	NotLeader bool
	Leader    string
	// Born is the start of the process, 0 if there is none.
	Born int64
}

// FromLeader reports whether the leader sent the reply, and otherwise returns the
// leader's address if it is known.
func (registeredreply *RegisteredReply) FromLeader() (leads bool, hint string) {
	return !registeredreply.NotLeader, registeredreply.Leader
}

// Registered returns the process that is registered under an ID.
func (rpcservice *RPCService) Registered(id string, reply *RegisteredReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	born, err := rpcservice.coordinator.Registered(ctx, id)
	reply.Born = born
	if err != nil {
		reply.NotLeader, reply.Leader = true, rpcservice.coordinator.leaderAddress()
	}
	return nil
}

// Depart deregisters a process of an upstream on behalf of another control host.
func (rpcservice *RPCService) Depart(owner spans.Owner, reply *ForwardReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if rpcservice.coordinator.Deregister(ctx, owner) != nil {
		reply.NotLeader, reply.Leader = true, rpcservice.coordinator.leaderAddress()
	}
	return nil
}

// FromLeader reports whether the leader sent the reply, and otherwise returns the
// leader's address if it is known.
func (forwardreply *ForwardReply) FromLeader() (leads bool, hint string) {
	return !forwardreply.NotLeader, forwardreply.Leader
}
