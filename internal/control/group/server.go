package group

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	proposeTimeout = 3 * time.Second
	// maxFetchWait bounds how long a fetch waits for changes.
	maxFetchWait = 2 * time.Second
	// maxConnections bounds the open control connections.
	maxConnections = 4096
)

// server accepts control connections from hosts that know the cluster secret.
type server struct {
	node     *Node
	listener net.Listener
	rpc      *rpc.Server
	mutex    sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
}

// Control is the net/rpc service of a control host.
type Control struct{ node *Node }

func listen(node *Node) (*server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", node.options.Address.String())
	if err != nil {
		return nil, Error.New("listen for control connections: %w", err)
	}
	server := &server{node: node, listener: listener, rpc: rpc.NewServer(), conns: map[net.Conn]bool{}}
	if err := server.rpc.RegisterName("Control", &Control{node: node}); err != nil {
		return nil, Error.New("register control service: %w", err)
	}
	go server.accept()
	return server, nil
}

func (server *server) accept() {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		if !server.track(conn) {
			_ = conn.Close()
			continue
		}
		go server.serve(conn)
	}
}

func (server *server) serve(conn net.Conn) {
	defer server.untrack(conn)
	if err := server.node.options.Secret.ServerHandshake(conn, handshakeTimeout); err != nil {
		server.node.options.Log.WithError(err).Warn(logPrefix + "rejected a control connection")
		return
	}
	bounded := server.node.inbound.bound(conn)
	server.rpc.ServeCodec(newServerCodec(bounded))
	if bounded.refused != nil {
		server.node.options.Log.WithError(bounded.refused).WithField("from", conn.RemoteAddr().String()).
			WithField("bytes", bounded.length).Warn(logPrefix + "closed a control connection")
	}
}

func (server *server) track(conn net.Conn) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closed || len(server.conns) >= maxConnections {
		return false
	}
	server.conns[conn] = true
	return true
}

func (server *server) untrack(conn net.Conn) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.conns, conn)
	_ = conn.Close()
}

func (server *server) close() {
	_ = server.listener.Close()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.closed = true
	for conn := range server.conns {
		_ = conn.Close()
	}
}

// Deliver receives consensus messages.
func (control *Control) Deliver(args DeliverArgs, _ *DeliverReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), deliverTimeout)
	defer cancel()
	return control.node.enqueue(ctx, deliverRequest{envelopes: args.Envelopes, from: args.From, format: args.Format})
}

// Propose commits a command if this member is the leader.
func (control *Control) Propose(args ProposeArgs, reply *ProposeReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	answer, err := control.node.proposeData(ctx, proposeRequest{command: args.Command, id: args.ID, ticket: args.Ticket})
	if err != nil {
		return err
	}
	reply.Result = answer.result
	reply.NotLeader = answer.notLeader
	reply.Stale = answer.stale
	reply.Leader = control.node.leaderAddress()
	return answer.err
}

// Fetch returns the catalog changes after an index.
func (control *Control) Fetch(args FetchArgs, reply *FetchReply) error {
	answer, err := control.node.fetch(args)
	*reply = answer
	return err
}

// Status returns the state of the group as this member sees it.
func (control *Control) Status(_ StatusArgs, reply *Status) error {
	*reply = control.node.Status()
	return nil
}

// Hello returns the identity of the member and its group.
func (control *Control) Hello(_ HelloArgs, reply *HelloReply) error {
	*reply = control.node.hello()
	return nil
}

// Join records the request of a control host to be added to the group.
func (control *Control) Join(args JoinArgs, reply *JoinReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	answer := make(chan JoinReply, 1)
	if err := control.node.enqueue(ctx, joinRequest{member: args.Member, format: args.Format, reply: answer}); err != nil {
		return err
	}
	select {
	case *reply = <-answer:
		return nil
	case <-ctx.Done():
		return Error.New("join: %w", ctx.Err())
	}
}

// Register adds another net/rpc service to the control port.
func (node *Node) Register(name string, service any) error {
	if err := node.server.rpc.RegisterName(name, service); err != nil {
		return Error.New("register %s: %w", name, err)
	}
	return nil
}

// Lagging returns the live hosts that have not applied an index.
func (control *Control) Lagging(args LaggingArgs, reply *LaggingReply) error {
	*reply = control.node.lagging(args.Index)
	return nil
}

// Change proposes one membership change.
func (control *Control) Change(args ChangeArgs, reply *ChangeReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	answer := make(chan changeAnswer, 1)
	if err := control.node.enqueue(ctx, changeRequest{args: args, reply: answer}); err != nil {
		return err
	}
	select {
	case result := <-answer:
		*reply = result.reply
		return result.err
	case <-ctx.Done():
		return Error.New("membership change: %w", ctx.Err())
	}
}

// Transfer starts a leadership transfer to another voter.
func (control *Control) Transfer(_ TransferArgs, reply *TransferReply) error {
	reply.Started = control.node.TransferLeadership()
	return nil
}

// TransferLeadership starts a leadership transfer to another voter, and reports
// whether it was started.
func (node *Node) TransferLeadership() bool {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	reply := make(chan bool, 1)
	if err := node.enqueue(ctx, transferRequest{reply: reply}); err != nil {
		return false
	}
	select {
	case started := <-reply:
		return started
	case <-ctx.Done():
		return false
	}
}

func (node *Node) fetch(args FetchArgs) (FetchReply, error) {
	wait := min(args.Wait, maxFetchWait)
	ctx, cancel := context.WithTimeout(context.Background(), wait+proposeTimeout)
	defer cancel()
	reply := make(chan FetchReply, 1)
	deadline := node.options.Clock.Now().Add(wait)
	if err := node.enqueue(ctx, fetchRequest{after: args.After, batches: args.Batches, deadline: deadline, reply: reply}); err != nil {
		return FetchReply{}, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return FetchReply{}, Error.New("fetch: %w", ctx.Err())
	}
}

// ReadLinearizable performs a linearizable read: it returns a catalog that includes
// every change acknowledged before the call. Members other than the leader return
// ErrNotLeader.
func (node *Node) ReadLinearizable(ctx context.Context) (*state.Catalog, error) {
	reply := make(chan uint64, 1)
	if err := node.enqueue(ctx, readRequest{reply: reply}); err != nil {
		return nil, err
	}
	select {
	case index := <-reply:
		if index == 0 {
			return nil, ErrNotLeader
		}
		return node.awaitCatalog(ctx, index)
	case <-ctx.Done():
		return nil, Error.New("read catalog: %w", ctx.Err())
	case <-node.done:
		return nil, Error.New("the control host has stopped")
	}
}

// awaitCatalog waits until the member has applied the index.
func (node *Node) awaitCatalog(ctx context.Context, index uint64) (*state.Catalog, error) {
	for {
		if catalog := node.Catalog(); catalog.Index >= index {
			return catalog, nil
		}
		select {
		case <-node.options.Clock.After(applyPollInterval):
		case <-ctx.Done():
			return nil, Error.New("read catalog: %w", ctx.Err())
		}
	}
}

func (node *Node) leaderAddress() string {
	status := node.Status()
	for _, member := range status.Members {
		if member.ID == status.Leader {
			return member.Address
		}
	}
	return ""
}

// lagging returns the hosts with a session whose reported catalog is older than
// the index, or that have not reported any.
func (node *Node) lagging(index uint64) LaggingReply {
	source := node.progress.Load()
	if !node.HoldsLease() || source == nil {
		return LaggingReply{NotLeader: true}
	}
	reply := LaggingReply{}
	sessions := node.Catalog().Sessions
	known := map[string]HostProgress{}
	for _, progress := range (*source).HostProgress() {
		known[progress.Host] = progress
	}
	for name := range sessions {
		progress, ok := known[name]
		if !ok || progress.Applied < index {
			progress.Host = name
			reply.Hosts = append(reply.Hosts, progress)
		}
	}
	return reply
}

// change proposes a membership change. An added host starts as a learner. It can
// be promoted only once it holds nearly the whole log, so that its vote counts
// toward commits immediately.
func (node *Node) change(message changeRequest, work *batchWork) {
	members, err := node.changedMembers(message.args)
	if err != nil {
		message.reply <- changeAnswer{err: err}
		return
	}
	if node.core.Role() != raft.RoleLeader {
		message.reply <- changeAnswer{reply: ChangeReply{NotLeader: true}}
		return
	}
	output := node.step(raft.ProposeMembers{Members: members}, work)
	if output.Err != nil {
		message.reply <- changeAnswer{err: Error.New("change members: %w", output.Err)}
		return
	}
	message.reply <- changeAnswer{reply: ChangeReply{Index: output.FirstIndex}}
}
