package steer

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

const jobs = "jobs"

// fakeNode is a control group with one member that may lose leadership.
type fakeNode struct {
	catalog *state.Catalog
	term    uint64
	leads   bool
	// unconfirmed is the number of upcoming proposals that are committed but return
	// an error.
	unconfirmed int
}

func (fakenode *fakeNode) Propose(_ context.Context, command state.Command) (state.Result, error) {
	if !fakenode.leads {
		return state.Result{}, group.ErrNotLeader
	}
	catalog, result := fakenode.catalog.Apply(fakenode.catalog.Index+1, command)
	fakenode.catalog = catalog
	if fakenode.unconfirmed > 0 {
		fakenode.unconfirmed--
		return state.Result{}, Error.New("outcome is unknown")
	}
	return result, nil
}

// ProposeInTerm fails unless the member leads in the term.
func (fakenode *fakeNode) ProposeInTerm(ctx context.Context, term uint64, command state.Command) (state.Result, error) {
	if fakenode.term != term {
		return state.Result{}, group.ErrNotLeader
	}
	return fakenode.Propose(ctx, command)
}

func (fakenode *fakeNode) ReadLinearizable(context.Context) (*state.Catalog, error) {
	return fakenode.catalog, nil
}
func (fakenode *fakeNode) Catalog() *state.Catalog { return fakenode.catalog }
func (fakenode *fakeNode) HoldsLease() bool        { return fakenode.leads }
func (fakenode *fakeNode) Status() group.Status    { return group.Status{Term: fakenode.term} }

func newFakeNode() *fakeNode {
	node := &fakeNode{catalog: &state.Catalog{}, term: 1, leads: true}
	service := items.Item{Kind: items.KindService, Name: jobs, Version: 1, Service: &items.Service{Keyed: true}}
	node.catalog, _ = node.catalog.Apply(1, state.PutItems{Items: []items.Item{service}})
	return node
}

func discardLogger() *log.Logger { return &log.Logger{Handler: discard.New(), Level: log.FatalLevel} }

// backend models an upstream that follows the protocol of holds.
type backend struct {
	instance state.Instance
	sequence uint64
	up       bool
	// clockDrift is the factor by which its holds last too long, as its clock is slow.
	clockDrift    float64
	holds         map[Hold]bool
	holdsUntil    time.Time
	released      []Release
	nextHeartbeat time.Time
	// pending is the answer in flight.
	pending      *HeartbeatReply
	sentAt       time.Time
	arrivesAt    time.Time
	highestFence uint64
	interval     time.Duration
}

// cluster models a leader and its upstreams.
type cluster struct {
	clock       *clockwork.FakeClock
	node        *fakeNode
	coordinator *Coordinator
	backends    []*backend
	born        int64
}

func newCluster(size int) *cluster {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	cluster := &cluster{clock: clock, node: newFakeNode(), born: 1}
	cluster.coordinator = New(cluster.node, clock, discardLogger())
	for number := range size {
		cluster.backends = append(cluster.backends, &backend{
			instance: state.Instance{
				ID: fmt.Sprint("up-", number), Born: 1, Service: jobs, Slots: 2, DataCentre: fmt.Sprint("dc-", number%2),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)}), 80),
			},
			up: true, clockDrift: 1, holds: map[Hold]bool{}, interval: 870 * time.Millisecond,
			nextHeartbeat: clock.Now().Add(time.Duration(number) * 70 * time.Millisecond),
		})
	}
	return cluster
}

// sendHeartbeat sends a backend's heartbeat. The answer arrives after the delay
// unless it is lost.
func (cluster *cluster) sendHeartbeat(backend *backend, delay time.Duration, lost bool) {
	now := cluster.clock.Now()
	backend.sequence++
	backend.nextHeartbeat = now.Add(backend.interval)
	heartbeat := Heartbeat{Instance: backend.instance, Sequence: backend.sequence, Released: backend.released}
	for hold := range backend.holds {
		heartbeat.Holds = append(heartbeat.Holds, hold)
	}
	heartbeatreply, err := cluster.coordinator.HandleHeartbeat(context.Background(), heartbeat)
	if err != nil || lost {
		return
	}
	backend.released = nil
	backend.pending, backend.sentAt, backend.arrivesAt = &heartbeatreply, now, now.Add(delay)
}

// receiveAnswer processes the answer in flight once it has arrived.
func (backend *backend) receiveAnswer(now time.Time) {
	if backend.pending == nil || now.Before(backend.arrivesAt) {
		return
	}
	heartbeatreply := backend.pending
	backend.pending = nil
	if !heartbeatreply.Renewed || now.Sub(backend.sentAt) > time.Second {
		return
	}
	wanted := map[Hold]bool{}
	for _, hold := range heartbeatreply.Holds {
		backend.highestFence = max(backend.highestFence, hold.Fence)
		hold.Handover = ""
		wanted[hold] = true
	}
	for hold := range backend.holds {
		if !wanted[hold] && !coveredBy(wanted, hold) {
			backend.released = append(backend.released, Release{From: hold.From, To: hold.To, Handover: "token"})
			backend.nextHeartbeat = now.Add(50 * time.Millisecond)
		}
	}
	backend.holds = wanted
	backend.holdsUntil = backend.sentAt.Add(time.Duration(float64(heartbeatreply.HoldTime) * backend.clockDrift))
}

func coveredBy(holds map[Hold]bool, hold Hold) bool {
	for other := range holds {
		if other.From <= hold.From && other.To >= hold.To {
			return true
		}
	}
	return false
}

// step advances the simulation by 10 ms.
func (cluster *cluster) step(draw func(backend *backend) (delay time.Duration, lost bool)) {
	cluster.clock.Advance(10 * time.Millisecond)
	now := cluster.clock.Now()
	for _, backend := range cluster.backends {
		if now.After(backend.holdsUntil) {
			backend.holds = map[Hold]bool{}
		}
		backend.receiveAnswer(now)
		if backend.up && !now.Before(backend.nextHeartbeat) {
			delay, lost := draw(backend)
			cluster.sendHeartbeat(backend, delay, lost)
		}
	}
	if now.UnixMilli()%100 == 0 {
		cluster.coordinator.Tick()
	}
}

// overlappingHolders returns a key that two upstreams hold at the same time.
func (cluster *cluster) overlappingHolders() (key uint16, first, second string) {
	for number, left := range cluster.backends {
		for _, right := range cluster.backends[number+1:] {
			for one := range left.holds {
				for other := range right.holds {
					if one.From <= other.To && other.From <= one.To {
						return max(one.From, other.From), left.instance.ID, right.instance.ID
					}
				}
			}
		}
	}
	return 0, "", ""
}

// restart replaces a backend's process by a new one without state.
func (cluster *cluster) restart(backend *backend) {
	cluster.born += 10
	backend.instance.Born = cluster.born
	backend.instance.Draining = false
	backend.sequence, backend.holds, backend.released, backend.pending = 0, map[Hold]bool{}, nil, nil
	backend.up = true
	backend.nextHeartbeat = cluster.clock.Now()
}

// TestKeyHasAtMostOneHolder guards against granting a key before its last holder's
// lease has expired. Upstreams with slow clocks crash, restart, drain and lose
// messages while leaders change and lose the outcome of commits.
func TestKeyHasAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newCluster(rapid.IntRange(2, 6).Draw(t, "upstreams"))
		draw := func(*backend) (time.Duration, bool) {
			return time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Millisecond,
				rapid.IntRange(0, 14).Draw(t, "lost") == 0
		}
		for _, backend := range cluster.backends {
			backend.clockDrift = rapid.SampledFrom([]float64{1, 1.02}).Draw(t, "slow")
		}
		for range rapid.IntRange(300, 1500).Draw(t, "steps") {
			cluster.injectFault(t)
			cluster.step(draw)
			if key, first, second := cluster.overlappingHolders(); first != "" {
				t.Fatalf("%s and %s both hold key %d", first, second, key)
			}
		}
	})
}

func (cluster *cluster) injectFault(t *rapid.T) {
	backend := cluster.backends[rapid.IntRange(0, len(cluster.backends)-1).Draw(t, "upstream")]
	switch rapid.IntRange(0, 400).Draw(t, "event") {
	case 0:
		backend.up = false // sends no heartbeats, but still holds and serves its keys
	case 1:
		cluster.restart(backend)
	case 2:
		backend.instance.Draining = true
	case 3:
		cluster.node.term++
		cluster.coordinator = New(cluster.node, cluster.clock, discardLogger())
	case 4:
		cluster.node.unconfirmed = 2
	case 5:
		cluster.coordinator.mutex.Lock()
		loads := newKeyLoads(cluster.clock.Now())
		for range 400 {
			loads.counts[rapid.Uint16().Draw(t, "busy")%2048]++
		}
		cluster.coordinator.loads[jobs] = loads
		cluster.coordinator.mutex.Unlock()
	}
}

// TestKeysAreReassignedAfterUpstreamLoss stops upstreams permanently and drains one
// under a new leader. Other upstreams must hold their keys once the holds have
// expired or are released.
func TestKeysAreReassignedAfterUpstreamLoss(t *testing.T) {
	cluster := newCluster(5)
	prompt := func(*backend) (time.Duration, bool) { return 5 * time.Millisecond, false }
	run := func(duration time.Duration) {
		for range duration / (10 * time.Millisecond) {
			cluster.step(prompt)
			if key, first, second := cluster.overlappingHolders(); first != "" {
				t.Fatalf("%s and %s both hold key %d", first, second, key)
			}
		}
	}
	run(5 * time.Second)
	if missing := cluster.unheldKeys(); missing > 0 {
		t.Fatalf("%d keys have no holder after startup", missing)
	}
	cluster.backends[0].up, cluster.backends[1].up = false, false
	run(holdExpiry + 2*time.Second)
	if missing := cluster.unheldKeys(); missing > 0 {
		t.Fatalf("%d keys have no holder after two upstreams were lost", missing)
	}
	cluster.node.term++
	cluster.coordinator = New(cluster.node, cluster.clock, discardLogger())
	cluster.backends[2].instance.Draining = true
	run(3 * time.Second)
	if missing := cluster.unheldKeys(); missing > 0 {
		t.Fatalf("%d keys have no holder after an upstream drained under a new leader", missing)
	}
	if len(cluster.backends[2].holds) > 0 {
		t.Fatal("the draining upstream still holds keys")
	}
}

// unheldKeys returns the number of keys without a holder.
func (cluster *cluster) unheldKeys() int {
	held := 0
	for _, backend := range cluster.backends {
		for hold := range backend.holds {
			held += int(hold.To) - int(hold.From) + 1
		}
	}
	return spans.MaxKey + 1 - held
}

// TestUnreachableUpstreamLosesKeys sends an upstream's heartbeats while entry hosts
// get no answers from it: its keys must move to others, while an upstream with
// occasional failures keeps some.
func TestUnreachableUpstreamLosesKeys(t *testing.T) {
	cluster := newCluster(4)
	prompt := func(*backend) (time.Duration, bool) { return 5 * time.Millisecond, false }
	for range 500 {
		cluster.step(prompt)
	}
	unreachable := cluster.backends[1]
	if len(unreachable.holds) == 0 {
		t.Fatal("the upstream holds no keys after startup")
	}
	for range 300 {
		cluster.step(prompt)
		if cluster.clock.Now().UnixMilli()%400 == 0 {
			cluster.poll(map[string]RequestStats{
				unreachable.instance.ID:         {Failed: 3},
				cluster.backends[0].instance.ID: {Count: 20, Total: 2 * time.Second, Failed: 1},
			})
		}
	}
	if len(unreachable.holds) > 0 {
		t.Fatal("the unreachable upstream still holds keys")
	}
	if missing := cluster.unheldKeys(); missing > 0 {
		t.Fatalf("%d keys have no holder", missing)
	}
	for range 1500 {
		cluster.step(prompt)
	}
	if len(cluster.backends[0].holds) == 0 {
		t.Fatal("an upstream with occasional failures lost its keys")
	}
}

// poll reports request statistics as an entry host does.
func (cluster *cluster) poll(stats map[string]RequestStats) {
	_, err := cluster.coordinator.Poll(context.Background(), PollArgs{Entry: state.Entry{Name: "entry"}, Work: stats})
	if err != nil {
		panic(err)
	}
}
