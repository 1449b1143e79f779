package permit

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

const jobs = "jobs"

var errSilent = errors.New("no answer")

// network carries requests between desks in memory.
type network struct {
	mutex   sync.Mutex
	hosts   map[netip.AddrPort]*Primary
	silent  map[netip.AddrPort]bool
	calls   int
	dropped int
	// full links hold questions up until they are closed, and tell asked of each.
	full, asked chan struct{}
	// returned is told each permit that was given back.
	returned chan doneMessage
}

func (network *network) Call(ctx context.Context, address netip.AddrPort, request links.Payload) (links.Payload, error) {
	network.mutex.Lock()
	network.calls++
	primary, silent, full := network.hosts[address], network.silent[address], network.full
	network.mutex.Unlock()
	if silent {
		return links.Payload{}, errSilent
	}
	if full != nil && request.Kind == kindAsk {
		network.asked <- struct{}{}
		<-full
	}
	reply := primary.Serve(ctx, request)
	if request.Kind == kindDone && network.returned != nil {
		var done doneMessage
		if err := codec.Unmarshal(request.Head, &done); err == nil {
			network.returned <- done
		}
	}
	return reply, nil
}

func (network *network) Drop(netip.AddrPort) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.dropped++
}

// fleet is a number of entry hosts with one upstream of two slots.
type fleet struct {
	clock   *clockwork.FakeClock
	network *network
	desks   []*Desk
	boards  []*admit.Board
	target  admit.Target
	entries []state.Entry
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	fleet := &fleet{clock: clock, network: &network{hosts: map[netip.AddrPort]*Primary{}, silent: map[netip.AddrPort]bool{}}}
	fleet.target = admit.Target{
		Owner: spans.Owner{ID: "up", Born: 1}, Service: jobs, Keyed: true, Slots: 2, DataCentre: "here",
		Address: netip.MustParseAddrPort("10.0.1.1:80"),
	}
	table, err := spans.Table{}.Apply(1, []spans.Change{{From: 0, To: spans.MaxKey, Owner: fleet.target.Owner}})
	if err != nil {
		t.Fatal(err)
	}
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	for number := range size {
		entry := state.Entry{
			Name: fmt.Sprint("host-", number), DataCentre: "here",
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)}), 1),
		}
		fleet.entries = append(fleet.entries, entry)
		local, exact := admit.NewBoard("here", clock, 1), admit.NewExact(clock, 1)
		local.Update(jobs, []admit.Target{fleet.target}, table)
		exact.Update(jobs, []admit.Target{fleet.target}, table)
		primary := NewPrimary(exact, clock, quiet)
		fleet.network.hosts[entry.Peer] = primary
		fleet.boards = append(fleet.boards, local)
		fleet.desks = append(fleet.desks, NewDesk(entry, local, primary, fleet.network, clock, quiet))
	}
	for _, desk := range fleet.desks {
		desk.Update(fleet.entries)
	}
	return fleet
}

func (fleet *fleet) ask() admit.Ask {
	now := fleet.clock.Now()
	return admit.Ask{Service: jobs, Keyed: true, Key: 7, Goal: now.Add(500 * time.Millisecond), Deadline: now.Add(time.Second)}
}

// primaryOf returns the number of the host that gives the upstream's permits.
func (fleet *fleet) primaryOf(t *testing.T) int {
	t.Helper()
	entry, _ := fleet.desks[0].primary(fleet.target.Owner.ID, fleet.target.DataCentre)
	for number, other := range fleet.entries {
		if other.Name == entry.Name {
			return number
		}
	}
	t.Fatal("there is no primary")
	return 0
}

// TestHostsShareSlots lets four hosts ask at once: two slots and one place at the
// upstream are given, whoever asks, and the next only when one is given back.
func TestHostsShareSlots(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 4)
	var permits []*Permit
	for number := range 3 {
		permit, refusal := fleet.desks[number].Acquire(context.Background(), fleet.ask())
		is.Equal(refusal, nil)
		is.Equal(permit.Target.Owner, fleet.target.Owner)
		permits = append(permits, permit)
	}
	next := make(chan *Permit)
	go func() {
		permit, _ := fleet.desks[3].Acquire(context.Background(), fleet.ask())
		next <- permit
	}()
	// The one that waits has a timer for its deadline and looks again at times.
	is.NoErr(fleet.clock.BlockUntilContext(context.Background(), 2))
	select {
	case <-next:
		t.Fatal("a fourth permit was given")
	default:
	}
	permits[0].Done(admit.ResultAnswered, nil)
	is.True(<-next != nil)
}

// TestAllHostsAgreeOnThePrimary compares what hosts that know the same entry
// hosts choose.
func TestAllHostsAgreeOnThePrimary(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 5)
	for _, subject := range []string{"a", "b", "c", "d"} {
		first, _ := fleet.desks[0].primary(subject, "here")
		for _, desk := range fleet.desks {
			entry, found := desk.primary(subject, "here")
			is.True(found)
			is.Equal(entry.Name, first.Name)
		}
	}
}

// TestSilentPrimary asks the next host, and none at all where all are silent.
func TestSilentPrimary(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	primary := fleet.primaryOf(t)
	asking := (primary + 1) % 3
	fleet.network.silent[fleet.entries[primary].Peer] = true
	permit, refusal := fleet.desks[asking].Acquire(context.Background(), fleet.ask())
	is.Equal(refusal, nil)
	is.True(permit.Source != fleet.entries[primary].Name)
	is.Equal(fleet.network.dropped, 1)
	calls := fleet.network.calls
	_, _ = fleet.desks[asking].Acquire(context.Background(), fleet.ask())
	is.True(fleet.network.calls <= calls+1) // the silent one is not asked again
}

// TestLatePermitsAreGivenBack fills a host's links, so that answers of the primary
// come too late: the request goes on by its host's own judgement, a primary that
// is late once is not given up, and its slot is free again.
func TestLatePermitsAreGivenBack(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	primary := fleet.primaryOf(t)
	far := (primary + 1) % 3
	network := fleet.network
	network.full, network.asked, network.returned = make(chan struct{}), make(chan struct{}), make(chan doneMessage, 1)
	type result struct {
		permit  *Permit
		refusal *admit.Refusal
	}
	results := make(chan result, 1)
	go func() {
		permit, refusal := fleet.desks[far].Acquire(t.Context(), fleet.ask())
		results <- result{permit, refusal}
	}()
	<-network.asked
	fleet.clock.Advance(askTimeout)
	got := <-results
	is.True(got.refusal == nil)
	is.Equal(got.permit.Source, "host")
	close(network.full)
	is.Equal((<-network.returned).Result, admit.ResultLeft)
	is.Equal(network.dropped, 0)
	entry, _ := fleet.desks[far].primary(fleet.target.Owner.ID, fleet.target.DataCentre)
	is.Equal(entry.Name, fleet.entries[primary].Name)
	holder := fleet.desks[primary].primaryHere
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	is.Equal(len(holder.entries), 0)
}

// TestStalePrimary is given a permit by a host that does not know that the
// upstream leaves; it goes elsewhere instead.
func TestStalePrimary(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	leaving, other := fleet.target, fleet.target
	leaving.Leaving = true
	other.Owner.ID, other.Keyed = "other", false
	primary := 0
	if entry, _ := fleet.desks[0].primary(jobs, "here"); entry.Name == fleet.entries[1].Name {
		primary = 1
	}
	asking := 1 - primary
	fleet.boards[asking].Update(jobs, []admit.Target{leaving, other}, spans.Table{})
	ask := fleet.ask()
	ask.Keyed = false
	permit, refusal := fleet.desks[asking].Acquire(context.Background(), ask)
	is.Equal(refusal, nil)
	is.Equal(permit.Target.Owner.ID, "other")
}

// TestDrainingHostIsNoPrimary leaves out hosts that shut down.
func TestDrainingHostIsNoPrimary(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	primary := fleet.primaryOf(t)
	fleet.entries[primary].Draining = true
	for _, desk := range fleet.desks {
		desk.Update(fleet.entries)
	}
	is.True(fleet.primaryOf(t) != primary)
}

// TestLostPermitsComeBack takes permits back that nobody gives back.
func TestLostPermitsComeBack(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 1)
	for range 3 {
		_, refusal := fleet.desks[0].Acquire(context.Background(), fleet.ask())
		is.Equal(refusal, nil)
	}
	fleet.clock.Advance(3 * time.Second)
	// The sweep runs with the next question; its tickets come back beside it.
	waits := make(chan *Permit)
	go func() {
		permit, _ := fleet.desks[0].Acquire(context.Background(), fleet.ask())
		waits <- permit
	}()
	is.True(<-waits != nil)
}

// TestUnknownRequests answers what no host of ours sends.
func TestUnknownRequests(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 1)
	primary := fleet.network.hosts[fleet.entries[0].Peer]
	for _, request := range []links.Payload{{Kind: "other"}, {Kind: kindAsk, Head: []byte{0xff}}} {
		is.Equal(primary.Serve(context.Background(), request).Kind, kindUnknown)
	}
}
