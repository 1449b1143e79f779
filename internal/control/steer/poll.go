package steer

import (
	"context"
	"net/netip"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/rates/share"
)

// PollArgs is the report that an entry host sends to the control leader several
// times a second.
type PollArgs struct {
	Entry  state.Entry
	Report share.Report
	// Keys lists the keys of keyed services that were requested since the last poll,
	// one element per request.
	Keys map[string][]uint16
	// Work holds the request statistics since the last poll, by upstream.
	Work map[string]Work
	// Members is the number of control hosts that the entry host knows.
	Members int
}

// Work holds the request statistics of an upstream: the total service time without
// queueing and the number of answered requests, and how many requests returned an
// error (Erred) or got no answer (Failed).
type Work struct {
	Total  time.Duration
	Count  int
	Erred  int
	Failed int
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
}

// FromLeader reports whether the leader sent the reply, and otherwise returns the
// leader's address if it is known.
func (pollreply *PollReply) FromLeader() (leads bool, hint string) {
	return !pollreply.NotLeader, pollreply.Leader
}

// Poll processes an entry host's report and grants its shares of the rates.
func (steer *Steer) Poll(ctx context.Context, args PollArgs) (PollReply, error) {
	if !steer.ensureLeader(ctx) {
		return PollReply{NotLeader: true, Leader: steer.leaderAddress()}, nil
	}
	catalog := steer.node.Catalog()
	if present, ok := catalog.Entries[args.Entry.Name]; !ok || present != args.Entry {
		if _, err := steer.node.Propose(ctx, state.SeeEntry{Entry: args.Entry}); err != nil {
			return PollReply{}, Error.New("register entry host: %w", err)
		}
		steer.log.WithField("entry", args.Entry.Name).Info(logPrefix + "entry host registered or changed")
		catalog = steer.node.Catalog()
	}
	hosts := make([]string, 0, len(catalog.Entries))
	for name := range catalog.Entries {
		hosts = append(hosts, name)
	}
	rates := map[string]share.Rate{}
	for name, workspace := range catalog.View().Workspaces() {
		rates[name] = share.Rate{PerSecond: workspace.PerSecond, Burst: workspace.Burst}
	}
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	now := steer.clock.Now()
	steer.entries[args.Entry.Name] = now
	for service, keys := range args.Keys {
		loads, ok := steer.loads[service]
		if !ok {
			loads = newKeyLoads(now)
			steer.loads[service] = loads
		}
		loads.add(now, keys)
	}
	for upstream, work := range args.Work {
		if steer.health.add(now, upstream, work) {
			steer.log.WithField("upstream", upstream).WithField("until", now.Add(avoidTime).String()).
				Info(logPrefix + "upstream is failing or unreachable, placing no keys on it")
		}
	}
	reply := PollReply{Index: catalog.Index, Grant: steer.book.Grant(now, args.Report, hosts, rates)}
	members := steer.node.Status().Members
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

// LoanArgs asks for tokens of a workspace's rate.
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

// Lend lends tokens of a workspace's rate to an entry host.
func (steer *Steer) Lend(ctx context.Context, args LoanArgs) LoanReply {
	if !steer.ensureLeader(ctx) {
		return LoanReply{NotLeader: true, Leader: steer.leaderAddress()}
	}
	workspace := steer.node.Catalog().View().Workspaces()[args.Workspace]
	rate := share.Rate{PerSecond: workspace.PerSecond, Burst: workspace.Burst}
	steer.mutex.Lock()
	defer steer.mutex.Unlock()
	return LoanReply{Loan: steer.book.Lend(steer.clock.Now(), args.Host, args.Workspace, args.Wanted, rate)}
}

func (steer *Steer) leaderAddress() string {
	status := steer.node.Status()
	for _, member := range status.Members {
		if member.ID == status.Leader {
			return member.Address
		}
	}
	return ""
}

// forgetEntries removes entry hosts that have stopped polling.
func (steer *Steer) forgetEntries(ctx context.Context, catalog *state.Catalog) {
	steer.mutex.Lock()
	now := steer.clock.Now()
	var gone []string
	for name := range catalog.Entries {
		lastPoll, ok := steer.entries[name]
		if !ok {
			lastPoll = steer.termStart
		}
		if now.Sub(lastPoll) > forgetEntryAfter {
			gone = append(gone, name)
			delete(steer.entries, name)
			steer.book.Forget(name)
		}
	}
	steer.mutex.Unlock()
	if len(gone) > 0 {
		steer.log.WithField("entries", gone).Info(logPrefix + "removing entry hosts that stopped polling")
		steer.propose(ctx, state.ForgetEntries{Names: gone})
	}
}

// pollTimeout bounds one call to Remote on the leader's side.
const pollTimeout = time.Second

// Remote is the net/rpc service through which other hosts call the leader.
type Remote struct {
	steer *Steer
	node  Node
}

// NewRemote returns the net/rpc service of a control host.
func NewRemote(steer *Steer, node Node) *Remote { return &Remote{steer: steer, node: node} }

// Poll processes an entry host's report.
func (remote *Remote) Poll(args PollArgs, reply *PollReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	answer, err := remote.steer.Poll(ctx, args)
	*reply = answer
	return err
}

// Lend lends tokens to an entry host.
func (remote *Remote) Lend(args LoanArgs, reply *LoanReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	*reply = remote.steer.Lend(ctx, args)
	return nil
}

// IndexArgs asks for the log index up to which all acknowledged changes are
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
func (remote *Remote) Index(_ IndexArgs, reply *IndexReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	catalog, err := remote.node.Read(ctx)
	if err != nil {
		reply.NotLeader, reply.Leader = true, remote.steer.leaderAddress()
		return nil
	}
	reply.Index = catalog.Index
	return nil
}

// BeatReply is the leader's reply to a heartbeat or a deregistration that another
// control host forwarded.
type BeatReply struct {
	NotLeader bool
	Leader    string
	Answer    Answer
}

// Beat processes a heartbeat that another control host received.
func (remote *Remote) Beat(args Beat, reply *BeatReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	answer, err := remote.steer.Beat(ctx, args)
	*reply = BeatReply{Answer: answer}
	if err != nil {
		reply.NotLeader, reply.Leader = true, remote.steer.leaderAddress()
	}
	return nil
}

// Leave deregisters an upstream on behalf of another control host.
func (remote *Remote) Leave(id string, reply *BeatReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	if remote.steer.Leave(ctx, id) != nil {
		reply.NotLeader, reply.Leader = true, remote.steer.leaderAddress()
	}
	return nil
}

// FromLeader reports whether the leader sent the reply, and otherwise returns the
// leader's address if it is known.
func (beatreply *BeatReply) FromLeader() (leads bool, hint string) {
	return !beatreply.NotLeader, beatreply.Leader
}
