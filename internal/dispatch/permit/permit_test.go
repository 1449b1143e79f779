package permit

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
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

const serviceName = "jobs"

var errSilent = errors.New("no answer")

// network carries requests between hosts in memory.
type network struct {
	mutex  sync.Mutex
	hosts  map[netip.AddrPort]*Primary
	silent map[netip.AddrPort]bool
	calls  int
	// former is set if the primaries are of the previous version, which does not know some
	// requests; unknown counts them.
	former  bool
	unknown int
	// blocked, if set, delays permit requests until it is closed; askReceived
	// receives a value for each.
	blocked, askReceived chan struct{}
	// released, if set, receives the message of each released permit.
	released chan doneMessage
}

func (network *network) Call(ctx context.Context, address netip.AddrPort, request links.Payload) (links.Payload, error) {
	network.mutex.Lock()
	network.calls++
	primary, silent, blocked := network.hosts[address], network.silent[address], network.blocked
	network.mutex.Unlock()
	if silent {
		return links.Payload{}, errSilent
	}
	if network.former && (request.Kind == kindAskGroup || request.Kind == kindDoneBatch) {
		network.unknown++
		return links.Payload{Kind: kindUnknown}, nil
	}
	if blocked != nil && (request.Kind == kindAsk || request.Kind == kindAskGroup) {
		network.askReceived <- struct{}{}
		<-blocked
	}
	reply := primary.Serve(ctx, request)
	if request.Kind == kindDoneBatch && network.released != nil {
		var batch doneBatchMessage
		if err := codec.Unmarshal(request.Head, &batch); err == nil {
			for _, done := range batch.Done {
				network.released <- done
			}
		}
	}
	return reply, nil
}

// fleet is a group of entry hosts with one upstream of two slots.
type fleet struct {
	clock      *clockwork.FakeClock
	network    *network
	clients    []*Client
	schedulers []*admit.Scheduler
	// exclusive are the schedulers of the hosts as primaries.
	exclusive []*admit.Scheduler
	table     spans.Table
	target    admit.Target
	entries   []state.Entry
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	fleet := &fleet{clock: clock, network: &network{hosts: map[netip.AddrPort]*Primary{}, silent: map[netip.AddrPort]bool{}}}
	fleet.target = admit.Target{
		Owner: spans.Owner{ID: "up", Born: 1}, Service: serviceName, Keyed: true, Slots: 2, DataCentre: "here",
		Address: netip.MustParseAddrPort("10.0.1.1:80"),
	}
	table, err := spans.Table{}.Apply(1, []spans.Change{{From: 0, To: spans.MaxKey, Owner: fleet.target.Owner}})
	if err != nil {
		t.Fatal(err)
	}
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	for number := range size {
		entry := state.Entry{
			Name: fmt.Sprint("host-", number), DataCentre: "here",
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)}), 1),
		}
		fleet.entries = append(fleet.entries, entry)
		local, exclusive := admit.NewScheduler("here", clock, 1), admit.NewExclusiveScheduler(clock, 1)
		local.Update(serviceName, []admit.Target{fleet.target}, table)
		exclusive.Update(serviceName, []admit.Target{fleet.target}, table)
		primary := NewPrimary(exclusive, clock, logger)
		fleet.network.hosts[entry.Peer] = primary
		fleet.schedulers = append(fleet.schedulers, local)
		client := NewClient(entry, local, primary, fleet.network, clock, logger)
		exclusive.LimitShare = client.LimitShare
		fleet.clients, fleet.exclusive = append(fleet.clients, client), append(fleet.exclusive, exclusive)
	}
	fleet.table = table
	for _, client := range fleet.clients {
		client.Update(fleet.entries)
	}
	return fleet
}

func (fleet *fleet) newJob() admit.Job {
	now := fleet.clock.Now()
	return admit.Job{Service: serviceName, Keyed: true, Key: 7, Goal: now.Add(500 * time.Millisecond), Deadline: now.Add(time.Second)}
}

// primaryOf returns the index of the host that is the upstream's primary.
func (fleet *fleet) primaryOf(t *testing.T) int {
	t.Helper()
	entry, _ := fleet.clients[0].primary(fleet.target.Owner.ID, fleet.target.DataCentre)
	for number, other := range fleet.entries {
		if other.Name == entry.Name {
			return number
		}
	}
	t.Fatal("there is no primary")
	return 0
}

// advance moves the clock once all goroutines wait for it, and returns when they wait again.
// It is for tests in a synctest bubble.
func (fleet *fleet) advance(duration time.Duration) {
	synctest.Wait()
	fleet.clock.Advance(duration)
	synctest.Wait()
}

// awaitReleases advances the clock until all released permits have reached their primaries,
// as releases are sent in batches.
func (fleet *fleet) awaitReleases() {
	for _, client := range fleet.clients {
		for client.localPrimary.held() > 0 {
			fleet.advance(time.Millisecond)
		}
	}
}

// settle advances the clock until no host has releases to send, so that no goroutine is left.
func (fleet *fleet) settle() {
	for _, client := range fleet.clients {
		for client.releasing() > 0 {
			fleet.advance(batchInterval)
		}
	}
}

// TestHostsShareSlots lets four hosts request permits. Three are granted, for the
// upstream's two slots and one request queued there, and the fourth only when one
// is released.
func TestHostsShareSlots(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 4)
	var permits []*Permit
	for number := range 3 {
		permit, refusal := fleet.clients[number].Acquire(context.Background(), fleet.newJob())
		is.Equal(refusal, nil)
		is.Equal(permit.Target.Owner, fleet.target.Owner)
		permits = append(permits, permit)
	}
	next := make(chan *Permit)
	go func() {
		permit, _ := fleet.clients[3].Acquire(context.Background(), fleet.newJob())
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
		first, _ := fleet.clients[0].primary(subject, "here")
		for _, client := range fleet.clients {
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
	requester := (primary + 1) % 3
	fleet.network.silent[fleet.entries[primary].Peer] = true
	permit, refusal := fleet.clients[requester].Acquire(context.Background(), fleet.newJob())
	is.Equal(refusal, nil)
	is.True(permit.Source != fleet.entries[primary].Name)
	calls := fleet.network.calls
	_, _ = fleet.clients[requester].Acquire(context.Background(), fleet.newJob())
	is.True(fleet.network.calls <= calls+1) // the silent primary is not asked again
}

// TestLatePermitsAreReleased delays the primary's replies, as on a congested
// link, beyond the timeout. The request must fall back to its host's own
// scheduler, a primary that is late only once must not be suspected, and the late
// permit must be released.
func TestLatePermitsAreReleased(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	primary := fleet.primaryOf(t)
	requester := (primary + 1) % 3
	network := fleet.network
	network.blocked, network.askReceived, network.released = make(chan struct{}), make(chan struct{}), make(chan doneMessage, 1)
	type result struct {
		permit  *Permit
		refusal *admit.Refusal
	}
	results := make(chan result, 1)
	go func() {
		permit, refusal := fleet.clients[requester].Acquire(t.Context(), fleet.newJob())
		results <- result{permit, refusal}
	}()
	<-network.askReceived
	fleet.clock.Advance(requestTimeout)
	got := <-results
	is.True(got.refusal == nil)
	is.Equal(got.permit.Source, "host")
	close(network.blocked)
	is.Equal((<-network.released).Result, admit.ResultLeft)
	entry, _ := fleet.clients[requester].primary(fleet.target.Owner.ID, fleet.target.DataCentre)
	is.Equal(entry.Name, fleet.entries[primary].Name)
	granting := fleet.clients[primary].localPrimary
	granting.mutex.Lock()
	defer granting.mutex.Unlock()
	is.Equal(len(granting.leases), 0)
}

// TestStalePrimary gets a permit from a primary that does not know yet that the
// upstream is draining. The request must go to another upstream instead.
func TestStalePrimary(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	draining, other := fleet.target, fleet.target
	draining.Draining = true
	other.Owner.ID, other.Keyed = "other", false
	primary := 0
	if entry, _ := fleet.clients[0].primary(serviceName, "here"); entry.Name == fleet.entries[1].Name {
		primary = 1
	}
	requester := 1 - primary
	fleet.schedulers[requester].Update(serviceName, []admit.Target{draining, other}, spans.Table{})
	job := fleet.newJob()
	job.Keyed = false
	permit, refusal := fleet.clients[requester].Acquire(context.Background(), job)
	is.Equal(refusal, nil)
	is.Equal(permit.Target.Owner.ID, "other")
}

// TestPermitAfterDrainDeadline grants a permit to a request that has waited at a primary
// with an older catalog while its own host's DrainDeadline for the upstream has passed.
// The request was sent to the draining upstream; it must wait for the key's next owner.
func TestPermitAfterDrainDeadline(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	primary := fleet.primaryOf(t)
	requester := 1 - primary
	var permits []*Permit
	for range 3 { // the upstream's slots and its queue
		permit, refusal := fleet.clients[primary].Acquire(t.Context(), fleet.newJob())
		is.Equal(refusal, nil)
		permits = append(permits, permit)
	}
	draining, next := fleet.target, fleet.target
	draining.Draining, draining.DrainDeadline = true, fleet.clock.Now().Add(100*time.Millisecond)
	next.Owner.ID = "next"
	table, err := spans.Table{}.Apply(1, []spans.Change{{From: 0, To: spans.MaxKey, Owner: draining.Owner}})
	is.NoErr(err)
	fleet.schedulers[requester].Update(serviceName, []admit.Target{draining, next}, table)
	fleet.network.released = make(chan doneMessage, 1)
	results := make(chan *Permit, 1)
	go func() {
		permit, _ := fleet.clients[requester].Acquire(t.Context(), fleet.newJob())
		results <- permit
	}()
	// The waiting request blocks on two timers: its deadline and its periodic check.
	is.NoErr(fleet.clock.BlockUntilContext(t.Context(), 2))
	fleet.clock.Advance(200 * time.Millisecond)
	permits[0].Release(admit.ResultAnswered, nil)
	select {
	case permit := <-results:
		t.Fatalf("the request was sent to %s", permit.Target.Owner.ID)
	case done := <-fleet.network.released:
		is.Equal(done.Result, admit.ResultLeft)
	}
	moved, err := table.Apply(2, []spans.Change{{From: 0, To: spans.MaxKey, Owner: next.Owner}})
	is.NoErr(err)
	for _, client := range fleet.clients {
		client.localPrimary.scheduler.Update(serviceName, []admit.Target{draining, next}, moved)
	}
	fleet.schedulers[requester].Update(serviceName, []admit.Target{draining, next}, moved)
	is.Equal((<-results).Target.Owner, next.Owner)
}

// TestDrainingHostIsNoPrimary checks that a draining host is not chosen as primary.
func TestDrainingHostIsNoPrimary(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	primary := fleet.primaryOf(t)
	fleet.entries[primary].Draining = true
	for _, client := range fleet.clients {
		client.Update(fleet.entries)
	}
	is.True(fleet.primaryOf(t) != primary)
}

// TestLostPermitsExpire checks that permits that are never released expire.
func TestLostPermitsExpire(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 1)
	for range 3 {
		_, refusal := fleet.clients[0].Acquire(context.Background(), fleet.newJob())
		is.Equal(refusal, nil)
	}
	fleet.clock.Advance(3 * time.Second)
	// The next permit request starts the sweep, which releases the tickets in the
	// background.
	next := make(chan *Permit)
	go func() {
		permit, _ := fleet.clients[0].Acquire(context.Background(), fleet.newJob())
		next <- permit
	}()
	is.True(<-next != nil)
}

// TestReleaseAfterPrimaryRestart releases a permit that a primary granted before its
// process was replaced. Permits were numbered from 1 by each process, so the release
// ended another request's permit, and the upstream got a request too many.
func TestReleaseAfterPrimaryRestart(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	number := fleet.primaryOf(t)
	earlier, refusal := fleet.clients[(number+1)%3].Acquire(t.Context(), fleet.newJob())
	is.Equal(refusal, nil)
	is.Equal(earlier.Source, fleet.entries[number].Name)
	table, err := spans.Table{}.Apply(1, []spans.Change{{From: 0, To: spans.MaxKey, Owner: fleet.target.Owner}})
	is.NoErr(err)
	exclusive := admit.NewExclusiveScheduler(fleet.clock, 1)
	exclusive.Update(serviceName, []admit.Target{fleet.target}, table)
	restarted := NewPrimary(exclusive, fleet.clock, &log.Logger{Handler: discard.New()})
	fleet.network.hosts[fleet.entries[number].Peer] = restarted
	_, refusal = fleet.clients[(number+2)%3].Acquire(t.Context(), fleet.newJob())
	is.Equal(refusal, nil)
	fleet.network.released = make(chan doneMessage, 1)
	earlier.Release(admit.ResultAnswered, nil)
	<-fleet.network.released
	restarted.mutex.Lock()
	defer restarted.mutex.Unlock()
	is.Equal(len(restarted.leases), 1)
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

// TestPrimaryThatDoesNotKnowOfVersions guards against requests that go to a version which they
// were not chosen for, since a primary of the former version granted the permit, and against
// suspecting that primary.
func TestPrimaryThatDoesNotKnowOfVersions(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	fleet.network.former = true
	older, newer := fleet.target, fleet.target
	older.Keyed, newer.Keyed, newer.Owner.ID = false, false, "newer"
	for position := range fleet.clients {
		older.Version, newer.Version = "", ""
		fleet.exclusive[position].Update(serviceName, []admit.Target{older, newer}, spans.Table{})
		older.Version, newer.Version = "v1", "v2"
		fleet.schedulers[position].Update(serviceName, []admit.Target{older, newer}, spans.Table{})
	}
	for _, client := range fleet.clients {
		job := fleet.newJob()
		job.Keyed, job.Version = false, "v2"
		permit, refusal := client.Acquire(t.Context(), job)
		is.Equal(refusal, nil)
		is.Equal(permit.Target.Owner, newer.Owner)
		permit.Release(admit.ResultLeft, nil)
		for _, health := range client.health {
			is.True(health.suspectUntil.IsZero())
		}
	}
}
