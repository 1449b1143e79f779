package steer

import (
	"context"
	"net/netip"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/rates/share"
)

// PollArgs is what an entry host says to the control leader several times a
// second.
type PollArgs struct {
	Entry  state.Entry
	Report share.Report
	// Keys lists the keys of keyed services that were asked for since the last
	// poll, once per request.
	Keys map[string][]uint16
	// Work is what requests to upstreams took since the last poll, by upstream.
	Work map[string]Work
	// Members is the number of control hosts that the entry host knows.
	Members int
}

// Work is what requests to an upstream took, without waiting, how many it failed,
// and how many got no answer.
type Work struct {
	Total  time.Duration
	Count  int
	Erred  int
	Failed int
}

// PollReply is the leader's answer.
type PollReply struct {
	NotLeader bool
	Leader    string
	// Index is the log index up to which everything acknowledged is committed.
	Index uint64
	Grant share.Grant
	// Members are the control hosts, where the entry host may not know all.
	Members []netip.AddrPort
}

// FromLeader tells whether the reply is the leader's, and where it is if not.
func (pollreply *PollReply) FromLeader() (leads bool, hint string) {
	return !pollreply.NotLeader, pollreply.Leader
}

// Poll answers an entry host.
func (steer *Steer) Poll(ctx context.Context, args PollArgs) (PollReply, error) {
	if !steer.lead(ctx) {
		return PollReply{NotLeader: true, Leader: steer.leaderAddress()}, nil
	}
	catalog := steer.node.Catalog()
	if present, ok := catalog.Entries[args.Entry.Name]; !ok || present != args.Entry {
		if _, err := steer.node.Propose(ctx, state.SeeEntry{Entry: args.Entry}); err != nil {
			return PollReply{}, Error.New("enter entry host: %w", err)
		}
		steer.log.WithField("entry", args.Entry.Name).Info(logPrefix + "an entry host joined")
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
			loads = newLoadMap(now)
			steer.loads[service] = loads
		}
		loads.add(now, keys)
	}
	for upstream, work := range args.Work {
		if steer.speeds.add(now, upstream, work) {
			steer.log.WithField("upstream", upstream).WithField("until", now.Add(avoidFor).String()).
				Info(logPrefix + "an upstream fails or is not reached")
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

// LoanReply is the answer.
type LoanReply struct {
	NotLeader bool
	Leader    string
	Loan      share.Loan
}

// FromLeader tells whether the reply is the leader's, and where it is if not.
func (loanreply *LoanReply) FromLeader() (leads bool, hint string) {
	return !loanreply.NotLeader, loanreply.Leader
}

// Lend lends tokens of a workspace's rate to an entry host.
func (steer *Steer) Lend(ctx context.Context, args LoanArgs) LoanReply {
	if !steer.lead(ctx) {
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

// forgetEntries drops entry hosts that poll no more.
func (steer *Steer) forgetEntries(ctx context.Context, catalog *state.Catalog) {
	steer.mutex.Lock()
	now := steer.clock.Now()
	var gone []string
	for name := range catalog.Entries {
		heard, ok := steer.entries[name]
		if !ok {
			heard = steer.since
		}
		if now.Sub(heard) > entryForgetAfter {
			gone = append(gone, name)
			delete(steer.entries, name)
			steer.book.Forget(name)
		}
	}
	steer.mutex.Unlock()
	if len(gone) > 0 {
		steer.log.WithField("entries", gone).Info(logPrefix + "entry hosts are gone")
		steer.propose(ctx, state.ForgetEntries{Names: gone})
	}
}

// pollTimeout bounds one poll on the leader's side.
const pollTimeout = time.Second

// Remote is the net/rpc service by which other hosts ask the leader.
type Remote struct {
	steer *Steer
	node  Node
}

// NewRemote returns the service of a control host.
func NewRemote(steer *Steer, node Node) *Remote { return &Remote{steer: steer, node: node} }

// Poll answers an entry host.
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

// IndexArgs asks for the index up to which everything acknowledged is.
type IndexArgs struct{}

// IndexReply tells it.
type IndexReply struct {
	NotLeader bool
	Leader    string
	Index     uint64
}

// FromLeader tells whether the reply is the leader's, and where it is if not.
func (indexreply *IndexReply) FromLeader() (leads bool, hint string) {
	return !indexreply.NotLeader, indexreply.Leader
}

// Index answers a control host that was asked for the configuration.
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

// BeatReply is the leader's answer to a heartbeat that another control host
// passed on.
type BeatReply struct {
	NotLeader bool
	Leader    string
	Answer    Answer
}

// Beat answers a heartbeat that came in at another control host.
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

// Leave takes note of an upstream that leaves, as another control host heard.
func (remote *Remote) Leave(id string, reply *BeatReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	if remote.steer.Leave(ctx, id) != nil {
		reply.NotLeader, reply.Leader = true, remote.steer.leaderAddress()
	}
	return nil
}

// FromLeader tells whether the reply is the leader's, and where it is if not.
func (beatreply *BeatReply) FromLeader() (leads bool, hint string) {
	return !beatreply.NotLeader, beatreply.Leader
}
