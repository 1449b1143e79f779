package group

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

const (
	// callTimeout bounds one call, so that a silent control host costs little.
	callTimeout = 1500 * time.Millisecond
	// leaderTimeout bounds one try of a question that the leader answers from
	// memory or with one commit. It is well below the second that upstreams and
	// operators wait, so that a silent leader leaves time to find the next one.
	leaderTimeout = 400 * time.Millisecond
	// proposeTry is the same for commands, which wait for disks.
	proposeTry = 700 * time.Millisecond
	retryPause = 20 * time.Millisecond
	// electionPause is the time between two questions where nobody knows who leads:
	// a small part of an election, so that hundreds of hosts do not crowd it.
	electionPause = 60 * time.Millisecond
	fetchSlack    = 500 * time.Millisecond
	// preferPause is how long fetches stay away from a control host nearby that
	// failed or lagged: it may be cut off from the others.
	preferPause = 5 * time.Second
	// firstIndex is the index of a group that has committed nothing yet.
	firstIndex = 1
	// wholeSlack is how long the whole catalog may take to begin to come.
	wholeSlack = 6 * time.Second
)

// Client lets a host talk to the control group. It is safe for concurrent use.
type Client struct {
	secret trust.Secret
	mutex  sync.Mutex
	// wires only grows. Each has a twin in fetches, since a short call that is late
	// behind a long catalog would end the connection that carries both.
	wires   []*wire
	fetches []*wire
	// leader is the position of the wire that last led to the leader.
	leader int
	source int
	// near are the control hosts of the client's data centre, and preferAt is when
	// they may be preferred again.
	near     map[netip.AddrPort]bool
	preferAt time.Time
}

// NewClient returns a client of the control hosts at the addresses.
func NewClient(addresses []netip.AddrPort, secret trust.Secret) *Client {
	client := &Client{secret: secret}
	if len(addresses) > 0 {
		// Hosts that start together ask different control hosts.
		client.source = rand.IntN(len(addresses)) //nolint:gosec // spreads load, guards nothing
		client.leader = client.source
	}
	for _, address := range addresses {
		client.add(address)
	}
	return client
}

// add adds a control host; the mutex is held or the client not shared yet.
func (client *Client) add(address netip.AddrPort) {
	client.wires = append(client.wires, newWire(address, client.secret))
	client.fetches = append(client.fetches, newWire(address, client.secret))
}

// join asks every known control host, and learns of others.
func (client *Client) join(self raft.Member) {
	for _, wire := range client.all() {
		if wire.address == self.Address {
			continue
		}
		reply := JoinReply{}
		if err := wire.call("Control.Join", JoinArgs{Member: self}, &reply, joinTimeout); err != nil {
			continue // the next host may answer; the question is repeated anyway
		}
		client.Learn(reply.Members)
		if reply.Member {
			return
		}
	}
}

// Learn adds control hosts to those that the client knows.
func (client *Client) Learn(addresses []netip.AddrPort) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for _, address := range addresses {
		known := slices.ContainsFunc(client.wires, func(wire *wire) bool { return wire.address == address })
		if !known {
			client.add(address)
		}
	}
}

// all returns the connections to all known control hosts.
func (client *Client) all() []*wire {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return slices.Clone(client.wires)
}

// Propose commits a command and returns its result. It follows the leader and
// repeats the command until the context ends: commands bear being repeated.
func (client *Client) Propose(ctx context.Context, command state.Command) (state.Result, error) {
	data, err := state.EncodeCommand(command)
	if err != nil {
		return state.Result{}, Error.New("propose: %w", err)
	}
	var result state.Result
	err = client.onLeader(ctx, func(wire *wire) (bool, string, error) {
		reply := ProposeReply{}
		if err := wire.call("Control.Propose", ProposeArgs{Command: data}, &reply, proposeTry); err != nil {
			return false, "", err
		}
		result = reply.Result
		return !reply.NotLeader, reply.Leader, nil
	})
	return result, err
}

// Lagging returns the live hosts that have not applied the index.
func (client *Client) Lagging(ctx context.Context, index uint64) ([]HostProgress, error) {
	var hosts []HostProgress
	err := client.onLeader(ctx, func(wire *wire) (bool, string, error) {
		reply := LaggingReply{}
		if err := wire.call("Control.Lagging", LaggingArgs{Index: index}, &reply, callTimeout); err != nil {
			return false, "", err
		}
		hosts = reply.Hosts
		return !reply.NotLeader, "", nil
	})
	return hosts, err
}

// Change makes one membership change and returns its index.
func (client *Client) Change(ctx context.Context, args ChangeArgs) (uint64, error) {
	var index uint64
	err := client.onLeader(ctx, func(wire *wire) (bool, string, error) {
		reply := ChangeReply{}
		if err := wire.call("Control.Change", args, &reply, callTimeout); err != nil {
			return false, "", err
		}
		index = reply.Index
		return !reply.NotLeader, "", nil
	})
	return index, err
}

// LeaderStatus returns the leader's view of the group.
func (client *Client) LeaderStatus(ctx context.Context) (Status, error) {
	var status Status
	err := client.onLeader(ctx, func(wire *wire) (bool, string, error) {
		reply := Status{}
		if err := wire.call("Control.Status", StatusArgs{}, &reply, callTimeout); err != nil {
			return false, "", err
		}
		status = reply
		return reply.Role == "leader", "", nil
	})
	return status, err
}

// Hello asks the control host at the address which member it is.
func (client *Client) Hello(address netip.AddrPort) (HelloReply, error) {
	for _, wire := range client.all() {
		if wire.address == address {
			reply := HelloReply{}
			err := wire.call("Control.Hello", HelloArgs{}, &reply, helloTimeout)
			return reply, err
		}
	}
	wire := newWire(address, client.secret)
	defer wire.close()
	reply := HelloReply{}
	err := wire.call("Control.Hello", HelloArgs{}, &reply, helloTimeout)
	return reply, err
}

// onLeader calls the leader until a call succeeds. The call tells whether its
// host leads and which one it believes does.
func (client *Client) onLeader(ctx context.Context, call func(*wire) (leads bool, hint string, err error)) error {
	var last error
	for attempt := 0; ; attempt++ {
		position, wire, count := client.position()
		leads, hint, err := call(wire)
		if err == nil && leads {
			return nil
		}
		if err != nil {
			last = err
		}
		known := client.moveOn(position, hint, time.Now())
		pause := retryPause
		switch {
		case err == nil && !known:
			pause = electionPause
		case (attempt+1)%count != 0 && ctx.Err() == nil:
			continue
		}
		select {
		case <-ctx.Done():
			if last == nil {
				last = ErrNotLeader
			}
			return Error.New("no control leader answered (%w): %w", ctx.Err(), last)
		case <-time.After(pause):
		}
	}
}

// position returns where the leader is believed to be, among how many.
func (client *Client) position() (position int, leader *wire, count int) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.leader, client.wires[client.leader], len(client.wires)
}

// LeaderReply is a reply that tells whether it came from the leader, and where
// the leader is if not.
type LeaderReply[T any] interface {
	*T
	FromLeader() (leads bool, hint string)
}

// CallLeader makes one call of another service of the leader. The reply tells
// whether its host leads and which one it believes does. Each try has a reply of
// its own, since gob leaves fields alone that are zero at the sender.
func CallLeader[T any, P LeaderReply[T]](ctx context.Context, client *Client, method string, args any) (T, error) {
	var reply T
	err := client.onLeader(ctx, func(wire *wire) (bool, string, error) {
		var fresh T
		if err := wire.call(method, args, P(&fresh), leaderTimeout); err != nil {
			return false, "", err
		}
		reply = fresh
		leads, hint := P(&fresh).FromLeader()
		return leads, hint, nil
	})
	return reply, err
}

// moveOn tries the hinted leader next, or else the next host. A leader that is
// not known yet is added. A host that gave no answer a moment ago is not taken
// for the leader whatever others say. It tells whether the leader is believed to
// be known.
func (client *Client) moveOn(position int, hint string, now time.Time) bool {
	if address, err := netip.ParseAddrPort(hint); err == nil {
		client.Learn([]netip.AddrPort{address})
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.leader != position {
		return true // another call has moved on meanwhile
	}
	for number, wire := range client.wires {
		if hint != "" && wire.address.String() == hint && number != position && !wire.suspect(now) {
			client.leader = number
			return true
		}
	}
	for step := range len(client.wires) {
		client.leader = (position + 1 + step) % len(client.wires)
		if !client.wires[client.leader].suspect(now) {
			break
		}
	}
	return false
}

// Fetch returns what changed in the catalog after an index, from any control
// host; it turns to the next one after a failure.
func (client *Client) Fetch(after uint64, wait time.Duration) (FetchReply, error) {
	client.mutex.Lock()
	source := client.fetches[client.source]
	client.mutex.Unlock()
	reply := FetchReply{}
	args := FetchArgs{After: after, Wait: wait}
	slack := fetchSlack
	if after <= firstIndex {
		slack = wholeSlack // many hosts may wait for the whole catalog at once
	}
	err := source.transfer("Control.Fetch", args, &reply, wait+slack)
	if err != nil || reply.Upto < after {
		client.NextSource()
	}
	return reply, err
}

// NextSource makes the next fetch go to another control host, and keeps fetches
// from those nearby for a while.
func (client *Client) NextSource() {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.preferAt = time.Now().Add(preferPause)
	client.source = (client.source + 1) % len(client.wires)
}

// Prefer makes fetches go to a control host of the client's own data centre
// again, after others had to be asked.
func (client *Client) Prefer(near []netip.AddrPort) {
	client.Learn(near)
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.near = map[netip.AddrPort]bool{}
	for _, address := range near {
		client.near[address] = true
	}
	if client.near[client.wires[client.source].address] || time.Now().Before(client.preferAt) {
		return
	}
	for position, wire := range client.fetches {
		if client.near[wire.address] && !wire.resting() {
			client.source = position
			return
		}
	}
}

// Close ends all connections.
func (client *Client) Close() {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for _, wire := range slices.Concat(client.wires, client.fetches) {
		wire.close()
	}
}
