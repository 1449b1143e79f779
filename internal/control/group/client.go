package group

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

const (
	// callTimeout bounds one call, so that an unresponsive control host delays
	// the caller only briefly.
	callTimeout = 1500 * time.Millisecond
	// leaderTimeout bounds one attempt of a request that the leader serves from
	// memory or with one commit. It is well below the one second that upstreams
	// and operators wait, which leaves time to find the next leader when this
	// one is unresponsive.
	leaderTimeout = 400 * time.Millisecond
	// proposeAttemptTimeout bounds one attempt to commit a command. It is longer
	// than leaderTimeout because a commit waits for disks.
	proposeAttemptTimeout = 700 * time.Millisecond
	// retryDelay is the delay after all control hosts were asked. It doubles with each
	// further round, up to maxRetryDelay.
	retryDelay    = 20 * time.Millisecond
	maxRetryDelay = 320 * time.Millisecond
	// nearbyTimeout bounds an attempt of a request that any control host serves from memory.
	nearbyTimeout = 100 * time.Millisecond
	// electionRetryDelay is the time between two requests while no leader is
	// known. It is a small part of an election, but long enough that hundreds of
	// hosts do not slow the election down.
	electionRetryDelay = 60 * time.Millisecond
	// fetchSlack is how long a fetch may take beyond the wait it asked for.
	fetchSlack = 500 * time.Millisecond
	// localSourceBackoff is how long fetches avoid a control host in the local
	// data centre that failed or lagged, since it may be partitioned from the
	// others.
	localSourceBackoff = 5 * time.Second
	// firstIndex is the log index of a group that has not committed anything
	// yet.
	firstIndex = 1
	// catalogSlack is used instead of fetchSlack for a full catalog, and bounds
	// how long its first bytes may take.
	catalogSlack = 6 * time.Second
)

// Client calls the control group on behalf of a host. It is safe for concurrent
// use.
type Client struct {
	secret trust.Secret
	// inbound bounds the replies that are being received.
	inbound inboundMessages
	mutex   sync.Mutex
	// connections only grows. Each control host also has a connection in
	// fetchConnections, because a short call that times out behind a long
	// catalog transfer would close a shared connection.
	connections      []*connection
	fetchConnections []*connection
	// leader is the index in connections of the presumed leader.
	leader int
	// source is the index in fetchConnections that the next fetch uses.
	source int
	// local holds the control hosts in the data centre of the client. They are
	// not preferred again before preferLocalAt.
	local         map[netip.AddrPort]bool
	preferLocalAt time.Time
	proposals     proposals
}

// NewClient returns a client for the control hosts at the given addresses.
func NewClient(addresses []netip.AddrPort, secret trust.Secret) *Client {
	client := &Client{secret: secret}
	if len(addresses) > 0 {
		// Hosts that start together contact different control hosts.
		client.source = rand.IntN(len(addresses)) //nolint:gosec // load distribution, not security
		client.leader = client.source
	}
	for _, address := range addresses {
		client.addHost(address)
	}
	return client
}

// SetMessageBytes bounds a reply, and what several take together that are being received, in
// bytes. 0 means 64 MiB.
func (client *Client) SetMessageBytes(limit int64) { client.inbound.setLimit(limit) }

// addHost adds a control host. The mutex must be held, unless the client is not
// shared yet.
func (client *Client) addHost(address netip.AddrPort) {
	client.connections = append(client.connections, newConnection(address, client.secret, &client.inbound))
	client.fetchConnections = append(client.fetchConnections, newConnection(address, client.secret, &client.inbound))
}

// join asks each known control host to add self to the group until one reports
// that it is a member. It adds the control hosts named in the replies.
func (client *Client) join(self raft.Member) {
	for _, connection := range client.allConnections() {
		if connection.address == self.Address {
			continue
		}
		reply := JoinReply{}
		if err := connection.call("Control.Join", JoinArgs{Member: self, Format: state.LatestFormat}, &reply, joinTimeout); err != nil {
			continue // another host may answer, and Join retries periodically
		}
		client.AddHosts(reply.Members)
		if reply.Member {
			return
		}
	}
}

// AddHosts adds control hosts that the client does not know yet.
func (client *Client) AddHosts(addresses []netip.AddrPort) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for _, address := range addresses {
		known := slices.ContainsFunc(client.connections, func(connection *connection) bool { return connection.address == address })
		if !known {
			client.addHost(address)
		}
	}
}

// allConnections returns the call connections to all known control hosts.
func (client *Client) allConnections() []*connection {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return slices.Clone(client.connections)
}

// Propose commits a command and returns its result. It follows leader changes
// and retries until the context ends, which is safe because each proposal has an
// identity: a repeat has no further effect and gets the result of the first.
func (client *Client) Propose(ctx context.Context, command state.Command) (state.Result, error) {
	return client.propose(ctx, Ticket{}, command)
}

func (client *Client) propose(ctx context.Context, ticket Ticket, command state.Command) (state.Result, error) {
	data, err := state.EncodeCommand(command)
	if err != nil {
		return state.Result{}, Error.New("propose: %w", err)
	}
	if state.ChangesLedgerOnly(command) { // those have an identity of their own
		result, _, err := client.proposeAs(ctx, ProposeArgs{Command: data})
		return result, err
	}
	for {
		id := client.proposals.begin()
		result, attempts, err := client.proposeAs(ctx, ProposeArgs{Command: data, ID: id, Ticket: ticket})
		client.proposals.end(id)
		if err != nil || result.Outcome != state.OutcomeForgotten {
			return result, err
		}
		client.proposals.forget(id)
		if attempts > 1 {
			return state.Result{}, Error.New("propose %T: an earlier attempt may have been processed, its result is not known any more", command)
		}
	}
}

// proposeAs proposes a command, and returns the number of attempts.
func (client *Client) proposeAs(ctx context.Context, args ProposeArgs) (result state.Result, attempts int, err error) {
	stale := false
	err = client.withLeader(ctx, func(connection *connection) (bool, string, error) {
		attempts++
		reply := ProposeReply{}
		if err := connection.call("Control.Propose", args, &reply, proposeAttemptTimeout); err != nil {
			return false, "", err
		}
		result, stale = reply.Result, reply.Stale
		return !reply.NotLeader, reply.Leader, nil
	})
	if err == nil && stale {
		err = ErrStaleTicket
	}
	return result, attempts, err
}

// Lagging returns the live hosts that have not yet applied the index.
func (client *Client) Lagging(ctx context.Context, index uint64) ([]HostProgress, error) {
	var hosts []HostProgress
	err := client.withLeader(ctx, func(connection *connection) (bool, string, error) {
		reply := LaggingReply{}
		if err := connection.call("Control.Lagging", LaggingArgs{Index: index}, &reply, callTimeout); err != nil {
			return false, "", err
		}
		hosts = reply.Hosts
		return !reply.NotLeader, "", nil
	})
	return hosts, err
}

// Change proposes one membership change and returns its log index.
func (client *Client) Change(ctx context.Context, args ChangeArgs) (uint64, error) {
	var index uint64
	err := client.withLeader(ctx, func(connection *connection) (bool, string, error) {
		reply := ChangeReply{}
		if err := connection.call("Control.Change", args, &reply, callTimeout); err != nil {
			return false, "", err
		}
		index = reply.Index
		return !reply.NotLeader, "", nil
	})
	return index, err
}

// LeaderStatus returns the status of the group as the leader sees it.
func (client *Client) LeaderStatus(ctx context.Context) (Status, error) {
	var status Status
	err := client.withLeader(ctx, func(connection *connection) (bool, string, error) {
		reply := Status{}
		if err := connection.call("Control.Status", StatusArgs{}, &reply, callTimeout); err != nil {
			return false, "", err
		}
		status = reply
		return reply.Role == "leader", "", nil
	})
	return status, err
}

// Hello queries the identity and group of the control host at the address.
func (client *Client) Hello(address netip.AddrPort) (HelloReply, error) {
	for _, connection := range client.allConnections() {
		if connection.address == address {
			reply := HelloReply{}
			err := connection.call("Control.Hello", HelloArgs{}, &reply, helloTimeout)
			return reply, err
		}
	}
	connection := newConnection(address, client.secret, &client.inbound)
	defer connection.close()
	reply := HelloReply{}
	err := connection.call("Control.Hello", HelloArgs{}, &reply, helloTimeout)
	return reply, err
}

// withLeader invokes call on the presumed leader until it succeeds or the
// context ends. The call reports whether its host is the leader and which host
// it considers the leader.
func (client *Client) withLeader(ctx context.Context, call func(*connection) (leads bool, hint string, err error)) error {
	var lastErr error
	rounds := Backoff{Min: retryDelay, Max: maxRetryDelay}
	for attempt := 0; ; attempt++ {
		if ctx.Err() != nil {
			return noLeaderError(ctx, lastErr)
		}
		position, connection, count := client.presumedLeader()
		leads, hint, err := call(connection)
		if err == nil && leads {
			return nil
		}
		if err != nil {
			lastErr = err
		}
		if ctx.Err() != nil {
			return noLeaderError(ctx, lastErr)
		}
		known := client.updateLeader(position, hint, time.Now())
		var delay time.Duration
		switch {
		case err == nil && !known:
			delay = jitter(electionRetryDelay)
		case (attempt+1)%count != 0:
			continue
		default:
			delay = rounds.Next()
		}
		select {
		case <-ctx.Done():
			return noLeaderError(ctx, lastErr)
		case <-time.After(delay):
		}
	}
}

func noLeaderError(ctx context.Context, lastErr error) error {
	if lastErr == nil {
		lastErr = ErrNotLeader
	}
	return Error.New("no control leader answered (%w): %w", ctx.Err(), lastErr)
}

// presumedLeader returns the index and connection of the presumed leader, and
// the number of known control hosts.
func (client *Client) presumedLeader() (position int, leader *connection, count int) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.leader, client.connections[client.leader], len(client.connections)
}

// LeaderReply is a reply that reports whether it came from the leader and, if
// not, which host is considered the leader.
type LeaderReply[T any] interface {
	*T
	FromLeader() (leads bool, hint string)
}

// ErrUnknownMethod is returned for calls of a host whose version does not have the method.
var ErrUnknownMethod = Error.New("the control host is of an earlier version and does not know the call")

// CallLeader calls a method of another net/rpc service on the leader, retrying
// as Propose does. Each attempt decodes into a new reply, because gob does not
// transmit zero fields and would leave values of an earlier attempt in place.
func CallLeader[T any, P LeaderReply[T]](ctx context.Context, client *Client, method string, args any) (T, error) {
	var reply T
	unknown := false
	err := client.withLeader(ctx, func(connection *connection) (bool, string, error) {
		var attemptReply T
		err := connection.callWithin(ctx, method, args, P(&attemptReply), leaderTimeout)
		if unknown = isUnknownMethod(err); unknown {
			return true, "", nil
		}
		if err != nil {
			return false, "", err
		}
		reply = attemptReply
		leads, hint := P(&attemptReply).FromLeader()
		return leads, hint, nil
	})
	if err == nil && unknown {
		err = ErrUnknownMethod
	}
	return reply, err
}

// updateLeader selects the host to try after the one at position failed or was
// not the leader: the hinted leader, or else the next host. A hinted host that
// is not known yet is added. A host that timed out recently is not selected on
// the hint of others. It reports whether a leader is presumed to be known.
func (client *Client) updateLeader(position int, hint string, now time.Time) bool {
	if address, err := netip.ParseAddrPort(hint); err == nil {
		client.AddHosts([]netip.AddrPort{address})
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.leader != position {
		return true // another call has already selected a host
	}
	for number, connection := range client.connections {
		if hint != "" && connection.address.String() == hint && number != position && !connection.suspect(now) {
			client.leader = number
			return true
		}
	}
	for step := range len(client.connections) {
		client.leader = (position + 1 + step) % len(client.connections)
		if !client.connections[client.leader].suspect(now) {
			break
		}
	}
	return false
}

// CallNearby calls a method of another net/rpc service on any control host, if possible one
// in the local data centre. It asks further hosts until the context ends, except after an
// error that the method returned.
func (client *Client) CallNearby(ctx context.Context, method string, args, reply any) error {
	client.mutex.Lock()
	first, connections := client.source, slices.Clone(client.connections)
	client.mutex.Unlock()
	var err error
	for step := range connections {
		connection := connections[(first+step)%len(connections)]
		if connection.isSlow(time.Now()) && step+1 < len(connections) {
			continue
		}
		err = connection.callWithRetry(method, args, reply, deadline{Timeout: nearbyTimeout, Short: true})
		var remote rpc.ServerError
		if err == nil || errors.As(err, &remote) || ctx.Err() != nil {
			break
		}
		connection.recordSlow(time.Now())
	}
	return err
}

// Fetch returns the catalog changes after an index from any control host. After
// a failure the next fetch uses another host.
func (client *Client) Fetch(after uint64, wait time.Duration) (FetchReply, error) {
	client.mutex.Lock()
	source := client.fetchConnections[client.source]
	client.mutex.Unlock()
	reply := FetchReply{}
	args := FetchArgs{After: after, Wait: wait, Batches: true}
	slack := fetchSlack
	if after <= firstIndex {
		slack = catalogSlack // many hosts may request the full catalog at once
	}
	err := source.transfer("Control.Fetch", args, &reply, wait+slack)
	if err != nil || reply.Upto < after {
		client.NextSource()
	}
	return reply, err
}

// NextSource directs the next fetch to another control host. If the present one is in the
// local data centre, that one is not preferred for a while.
func (client *Client) NextSource() {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.local[client.connections[client.source].address] {
		client.preferLocalAt = time.Now().Add(localSourceBackoff)
	}
	client.source = (client.source + 1) % len(client.connections)
}

// PreferLocal directs fetches back to a control host in the local data centre after
// they had to use others.
func (client *Client) PreferLocal(local []netip.AddrPort) {
	client.AddHosts(local)
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.local = map[netip.AddrPort]bool{}
	for _, address := range local {
		client.local[address] = true
	}
	if client.local[client.connections[client.source].address] || time.Now().Before(client.preferLocalAt) {
		return
	}
	for position, connection := range client.fetchConnections {
		if client.local[connection.address] && !connection.backingOff() {
			client.source = position
			return
		}
	}
}

// Close closes all connections.
func (client *Client) Close() {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for _, connection := range slices.Concat(client.connections, client.fetchConnections) {
		connection.close()
	}
}
