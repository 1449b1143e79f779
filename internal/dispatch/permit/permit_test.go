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
	// blocked, if set, delays ask requests until it is closed; asked receives a
	// value for each.
	blocked, asked chan struct{}
	// returned, if set, receives the message of each released permit.
	returned chan doneMessage
}

func (network *network) Call(ctx context.Context, address netip.AddrPort, request links.Payload) (links.Payload, error) {
	network.mutex.Lock()
	network.calls++
	primary, silent, blocked := network.hosts[address], network.silent[address], network.blocked
	network.mutex.Unlock()
	if silent {
		return links.Payload{}, errSilent
	}
	if blocked != nil && request.Kind == kindAsk {
		network.asked <- struct{}{}
		<-blocked
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

// fleet is a group of entry hosts with one upstream of two slots.
type fleet struct {
	clock   *clockwork.FakeClock
	network *network
	desks   []*Client
	boards  []*admit.Scheduler
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
		local, exact := admit.NewScheduler("here", clock, 1), admit.NewExclusive(clock, 1)
		local.Update(jobs, []admit.Target{fleet.target}, table)
		exact.Update(jobs, []admit.Target{fleet.target}, table)
		primary := NewPrimary(exact, clock, quiet)
		fleet.network.hosts[entry.Peer] = primary
		fleet.boards = append(fleet.boards, local)
		fleet.desks = append(fleet.desks, NewClient(entry, local, primary, fleet.network, clock, quiet))
	}
	for _, client := range fleet.desks {
		client.Update(fleet.entries)
	}
	return fleet
}

func (fleet *fleet) ask() admit.Job {
	now := fleet.clock.Now()
	return admit.Job{Service: jobs, Keyed: true, Key: 7, Goal: now.Add(500 * time.Millisecond), Deadline: now.Add(time.Second)}
}

// primaryOf returns the index of the host that is the upstream's primary.
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

// TestHostsShareSlots lets four hosts ask for permits. Three are granted, for the
// upstream's two slots and one request queued there, and the fourth only when one
// is released.
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
	// The waiting request blocks on two timers: its deadline and its periodic check.
	is.NoErr(fleet.clock.BlockUntilContext(context.Background(), 2))
	select {
	case <-next:
		t.Fatal("a fourth permit was granted while three were held")
	default:
	}
	permits[0].Release(admit.ResultAnswered, nil)
	is.True(<-next != nil)
}

// TestAllHostsAgreeOnThePrimary checks that hosts with the same list of entry hosts
// choose the same primary.
func TestAllHostsAgreeOnThePrimary(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 5)
	for _, subject := range []string{"a", "b", "c", "d"} {
		first, _ := fleet.desks[0].primary(subject, "here")
		for _, client := range fleet.desks {
			entry, found := client.primary(subject, "here")
			is.True(found)
			is.Equal(entry.Name, first.Name)
		}
	}
}

// TestSilentPrimary checks that a primary that does not answer is replaced by
// another host and is not asked again.
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
	is.True(fleet.network.calls <= calls+1) // the silent primary is not asked again
}

// TestLatePermitsAreReleased delays the primary's replies, as on a congested link,
// beyond the timeout. The request must fall back on its host's own board, a primary
// that is late only once must not be suspected, and the late permit must be
// released.
func TestLatePermitsAreReleased(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	primary := fleet.primaryOf(t)
	asking := (primary + 1) % 3
	network := fleet.network
	network.blocked, network.asked, network.returned = make(chan struct{}), make(chan struct{}), make(chan doneMessage, 1)
	type result struct {
		permit  *Permit
		refusal *admit.Refusal
	}
	results := make(chan result, 1)
	go func() {
		permit, refusal := fleet.desks[asking].Acquire(t.Context(), fleet.ask())
		results <- result{permit, refusal}
	}()
	<-network.asked
	fleet.clock.Advance(askTimeout)
	got := <-results
	is.True(got.refusal == nil)
	is.Equal(got.permit.Source, "host")
	close(network.blocked)
	is.Equal((<-network.returned).Result, admit.ResultLeft)
	is.Equal(network.dropped, 0)
	entry, _ := fleet.desks[asking].primary(fleet.target.Owner.ID, fleet.target.DataCentre)
	is.Equal(entry.Name, fleet.entries[primary].Name)
	granting := fleet.desks[primary].localPrimary
	granting.mutex.Lock()
	defer granting.mutex.Unlock()
	is.Equal(len(granting.leases), 0)
}

// TestStalePrimary gets a permit from a primary that does not know yet that the
// upstream is draining. The request must go to another upstream instead.
func TestStalePrimary(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	leaving, other := fleet.target, fleet.target
	leaving.Draining = true
	other.Owner.ID, other.Keyed = "other", false
	primary := 0
	if entry, _ := fleet.desks[0].primary(jobs, "here"); entry.Name == fleet.entries[1].Name {
		primary = 1
	}
	asking := 1 - primary
	fleet.boards[asking].Update(jobs, []admit.Target{leaving, other}, spans.Table{})
	job := fleet.ask()
	job.Keyed = false
	permit, refusal := fleet.desks[asking].Acquire(context.Background(), job)
	is.Equal(refusal, nil)
	is.Equal(permit.Target.Owner.ID, "other")
}

// TestDrainingHostIsNoPrimary checks that a draining host is not chosen as primary.
func TestDrainingHostIsNoPrimary(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	primary := fleet.primaryOf(t)
	fleet.entries[primary].Draining = true
	for _, client := range fleet.desks {
		client.Update(fleet.entries)
	}
	is.True(fleet.primaryOf(t) != primary)
}

// TestLostPermitsExpire checks that permits that are never released expire.
func TestLostPermitsExpire(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 1)
	for range 3 {
		_, refusal := fleet.desks[0].Acquire(context.Background(), fleet.ask())
		is.Equal(refusal, nil)
	}
	fleet.clock.Advance(3 * time.Second)
	// The next ask request starts the sweep, which releases the tickets in the
	// background.
	next := make(chan *Permit)
	go func() {
		permit, _ := fleet.desks[0].Acquire(context.Background(), fleet.ask())
		next <- permit
	}()
	is.True(<-next != nil)
}

// TestUnknownRequests checks the reply to requests that cannot be decoded.
func TestUnknownRequests(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 1)
	primary := fleet.network.hosts[fleet.entries[0].Peer]
	for _, request := range []links.Payload{{Kind: "other"}, {Kind: kindAsk, Head: []byte{0xff}}} {
		is.Equal(primary.Serve(context.Background(), request).Kind, kindUnknown)
	}
}
