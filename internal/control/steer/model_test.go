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

// fakeNode is a control group of one member that may lose its leadership.
type fakeNode struct {
	catalog *state.Catalog
	term    uint64
	leads   bool
	// lose makes the next proposals fail; they are committed all the same.
	lose int
}

func (fakenode *fakeNode) Propose(_ context.Context, command state.Command) (state.Result, error) {
	if !fakenode.leads {
		return state.Result{}, group.ErrNotLeader
	}
	catalog, result := fakenode.catalog.Apply(fakenode.catalog.Index+1, command)
	fakenode.catalog = catalog
	if fakenode.lose > 0 {
		fakenode.lose--
		return state.Result{}, Error.New("the outcome is not known")
	}
	return result, nil
}

func (fakenode *fakeNode) Read(context.Context) (*state.Catalog, error) { return fakenode.catalog, nil }
func (fakenode *fakeNode) Catalog() *state.Catalog                      { return fakenode.catalog }
func (fakenode *fakeNode) Leads() bool                                  { return fakenode.leads }
func (fakenode *fakeNode) Status() group.Status                         { return group.Status{Term: fakenode.term} }

func newFakeNode() *fakeNode {
	node := &fakeNode{catalog: &state.Catalog{}, term: 1, leads: true}
	service := items.Item{Kind: items.KindService, Name: jobs, Version: 1, Service: &items.Service{Keyed: true}}
	node.catalog, _ = node.catalog.Apply(1, state.PutItems{Items: []items.Item{service}})
	return node
}

func quiet() *log.Logger { return &log.Logger{Handler: discard.New(), Level: log.FatalLevel} }

// backend is a model of an upstream that keeps to the protocol of grants.
type backend struct {
	instance state.Instance
	sequence uint64
	up       bool
	// slow is the factor by which its clock is late.
	slow     float64
	holds    map[Row]bool
	until    time.Time
	released []Release
	nextBeat time.Time
	// pending is an answer under way, and when it comes.
	pending  *Answer
	sentAt   time.Time
	arrives  time.Time
	highest  uint64
	interval time.Duration
}

// world is a model of a leader and its upstreams.
type world struct {
	clock    *clockwork.FakeClock
	node     *fakeNode
	steer    *Steer
	backends []*backend
	born     int64
}

func newWorld(size int) *world {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	world := &world{clock: clock, node: newFakeNode(), born: 1}
	world.steer = New(world.node, clock, quiet())
	for number := range size {
		world.backends = append(world.backends, &backend{
			instance: state.Instance{
				ID: fmt.Sprint("up-", number), Born: 1, Service: jobs, Slots: 2, DataCentre: fmt.Sprint("dc-", number%2),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)}), 80),
			},
			up: true, slow: 1, holds: map[Row]bool{}, interval: 870 * time.Millisecond,
			nextBeat: clock.Now().Add(time.Duration(number) * 70 * time.Millisecond),
		})
	}
	return world
}

// beat sends a backend's heartbeat; the answer comes after the delay unless it
// is lost.
func (world *world) beat(backend *backend, delay time.Duration, lost bool) {
	now := world.clock.Now()
	backend.sequence++
	backend.nextBeat = now.Add(backend.interval)
	message := Beat{Instance: backend.instance, Sequence: backend.sequence, Released: backend.released}
	for row := range backend.holds {
		message.Holds = append(message.Holds, row)
	}
	answer, err := world.steer.Beat(context.Background(), message)
	if err != nil || lost {
		return
	}
	backend.released = nil
	backend.pending, backend.sentAt, backend.arrives = &answer, now, now.Add(delay)
}

// take lets a backend act on an answer.
func (backend *backend) take(now time.Time) {
	if backend.pending == nil || now.Before(backend.arrives) {
		return
	}
	answer := backend.pending
	backend.pending = nil
	if !answer.Renewed || now.Sub(backend.sentAt) > time.Second {
		return
	}
	wanted := map[Row]bool{}
	for _, row := range answer.Holds {
		backend.highest = max(backend.highest, row.Fence)
		row.Handover = ""
		wanted[row] = true
	}
	for row := range backend.holds {
		if !wanted[row] && !coveredBy(wanted, row) {
			backend.released = append(backend.released, Release{From: row.From, To: row.To, Handover: "token"})
			backend.nextBeat = now.Add(50 * time.Millisecond)
		}
	}
	backend.holds = wanted
	backend.until = backend.sentAt.Add(time.Duration(float64(answer.HoldTime) * backend.slow))
}

func coveredBy(rows map[Row]bool, row Row) bool {
	for other := range rows {
		if other.From <= row.From && other.To >= row.To {
			return true
		}
	}
	return false
}

// step lets 10 ms pass.
func (world *world) step(draw func(backend *backend) (delay time.Duration, lost bool)) {
	world.clock.Advance(10 * time.Millisecond)
	now := world.clock.Now()
	for _, backend := range world.backends {
		if now.After(backend.until) {
			backend.holds = map[Row]bool{}
		}
		backend.take(now)
		if backend.up && !now.Before(backend.nextBeat) {
			delay, lost := draw(backend)
			world.beat(backend, delay, lost)
		}
	}
	if now.UnixMilli()%100 == 0 {
		world.steer.Tick()
	}
}

// twoHolders returns a key that two upstreams hold at a time.
func (world *world) twoHolders() (key uint16, first, second string) {
	for number, left := range world.backends {
		for _, right := range world.backends[number+1:] {
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

// restart gives a backend a new life that knows nothing.
func (world *world) restart(backend *backend) {
	world.born += 10
	backend.instance.Born = world.born
	backend.instance.Draining = false
	backend.sequence, backend.holds, backend.released, backend.pending = 0, map[Row]bool{}, nil, nil
	backend.up = true
	backend.nextBeat = world.clock.Now()
}

// TestNeverTwoHolders runs upstreams with slow clocks that crash, restart, drain
// and lose messages, under leaders that change and lose the outcome of what they
// commit.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(rapid.IntRange(2, 6).Draw(t, "upstreams"))
		draw := func(*backend) (time.Duration, bool) {
			return time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Millisecond,
				rapid.IntRange(0, 14).Draw(t, "lost") == 0
		}
		for _, backend := range world.backends {
			backend.slow = rapid.SampledFrom([]float64{1, 1.02}).Draw(t, "slow")
		}
		for range rapid.IntRange(300, 1500).Draw(t, "steps") {
			world.event(t)
			world.step(draw)
			if key, first, second := world.twoHolders(); first != "" {
				t.Fatalf("%s and %s hold key %d", first, second, key)
			}
		}
	})
}

func (world *world) event(t *rapid.T) {
	backend := world.backends[rapid.IntRange(0, len(world.backends)-1).Draw(t, "upstream")]
	switch rapid.IntRange(0, 400).Draw(t, "event") {
	case 0:
		backend.up = false // silent, but it may hold keys and work on
	case 1:
		world.restart(backend)
	case 2:
		backend.instance.Draining = true
	case 3:
		world.node.term++
		world.steer = New(world.node, world.clock, quiet())
	case 4:
		world.node.lose = 2
	case 5:
		world.steer.mutex.Lock()
		loads := newLoadMap(world.clock.Now())
		for range 400 {
			loads.counts[rapid.Uint16().Draw(t, "busy")%2048]++
		}
		world.steer.loads[jobs] = loads
		world.steer.mutex.Unlock()
	}
}

// TestKeysAreServedAgain loses upstreams for good; their keys have another owner
// once the holds have ended.
func TestKeysAreServedAgain(t *testing.T) {
	world := newWorld(5)
	prompt := func(*backend) (time.Duration, bool) { return 5 * time.Millisecond, false }
	run := func(duration time.Duration) {
		for range duration / (10 * time.Millisecond) {
			world.step(prompt)
			if key, first, second := world.twoHolders(); first != "" {
				t.Fatalf("%s and %s hold key %d", first, second, key)
			}
		}
	}
	run(5 * time.Second)
	if missing := world.unheld(); missing > 0 {
		t.Fatalf("%d keys have no holder at the start", missing)
	}
	world.backends[0].up, world.backends[1].up = false, false
	run(holdEnd + 2*time.Second)
	if missing := world.unheld(); missing > 0 {
		t.Fatalf("%d keys have no holder after two upstreams were lost", missing)
	}
	world.node.term++
	world.steer = New(world.node, world.clock, quiet())
	world.backends[2].instance.Draining = true
	run(3 * time.Second)
	if missing := world.unheld(); missing > 0 {
		t.Fatalf("%d keys have no holder after an upstream drained under a new leader", missing)
	}
	if len(world.backends[2].holds) > 0 {
		t.Fatal("the upstream that drains still holds keys")
	}
}

// unheld counts the keys without a holder.
func (world *world) unheld() int {
	held := 0
	for _, backend := range world.backends {
		for row := range backend.holds {
			held += int(row.To) - int(row.From) + 1
		}
	}
	return spans.MaxKey + 1 - held
}

// TestUnreachedUpstreamLosesItsKeys lets an upstream's heartbeats come while entry
// hosts get no answers from it.
func TestUnreachedUpstreamLosesItsKeys(t *testing.T) {
	world := newWorld(4)
	prompt := func(*backend) (time.Duration, bool) { return 5 * time.Millisecond, false }
	for range 500 {
		world.step(prompt)
	}
	unreached := world.backends[1]
	if len(unreached.holds) == 0 {
		t.Fatal("the upstream holds no keys at first")
	}
	for range 300 {
		world.step(prompt)
		if world.clock.Now().UnixMilli()%400 == 0 {
			world.poll(map[string]Work{
				unreached.instance.ID:         {Failed: 3},
				world.backends[0].instance.ID: {Count: 20, Total: 2 * time.Second, Failed: 1},
			})
		}
	}
	if len(unreached.holds) > 0 {
		t.Fatal("the upstream that is not reached still holds keys")
	}
	if missing := world.unheld(); missing > 0 {
		t.Fatalf("%d keys have no holder", missing)
	}
	for range 1500 {
		world.step(prompt)
	}
	if len(world.backends[0].holds) == 0 {
		t.Fatal("an upstream that fails now and then lost its keys")
	}
}

// poll reports work as an entry host does.
func (world *world) poll(work map[string]Work) {
	_, err := world.steer.Poll(context.Background(), PollArgs{Entry: state.Entry{Name: "entry"}, Work: work})
	if err != nil {
		panic(err)
	}
}
