package direct

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/base/conf"
	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	// firstStartSpread is the time within which the hosts of a fleet start.
	firstStartSpread = 300 * time.Millisecond
	// ackTime is the time within which an operator's change is to be acknowledged.
	ackTime = 4 * time.Second
)

// exchangeTimeout is several times what a change of the members and an election take.
const exchangeTimeout = 20 * time.Second

// testFleet starts control hosts that have the port in common.
type testFleet struct {
	seeds  []netip.AddrPort
	port   uint16
	losses int
	// started is the number of hosts that were started.
	started int
}

// newTestFleet returns a fleet that bears a number of losses and has a number of seeds.
func newTestFleet(t *testing.T, losses, seeds int) *testFleet {
	t.Helper()
	testfleet := &testFleet{port: freeAddress(t).Port(), losses: losses}
	for number := range seeds {
		testfleet.seeds = append(testfleet.seeds, testfleet.address(number))
	}
	return testfleet
}

func (testfleet *testFleet) address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(number + 1)}), testfleet.port)
}

// start starts the next hosts, the seeds first.
func (testfleet *testFleet) start(t *testing.T, hosts int, first bool) []*Control {
	t.Helper()
	var controls []*Control
	for range hosts {
		address := testfleet.address(testfleet.started)
		testfleet.started++
		settings := conf.DirectSettings{
			Host: conf.DirectHost{
				Name: fmt.Sprintf("core-%s", address.Addr()), DataCentre: "here", DataFolder: t.TempDir(), FirstStart: first,
			},
			Listen: conf.DirectListen{Control: freeAddress(t).String()},
			Peer:   conf.DirectPeer{Address: address, Seeds: testfleet.seeds, Secret: "a secret of test hosts", ToleratedFailures: testfleet.losses},
		}
		control, err := StartControl(Options{
			Settings: settings, Reload: func() (conf.DirectSettings, error) { return settings, nil },
			Clock: clockwork.NewRealClock(), Log: &log.Logger{Handler: discard.New()}, Stats: &stats.Set{},
		}, func(*Control) http.Handler { return http.NotFoundHandler() })
		if err != nil {
			t.Fatal(err)
		}
		controls = append(controls, control)
	}
	return controls
}

// startTestGroup starts the control hosts of a group that bears a number of losses, and more
// hosts that join it later, and returns the hosts of the group and those that joined.
func startTestGroup(t *testing.T, losses, joining int) (voters, joined []*Control) {
	t.Helper()
	testfleet := newTestFleet(t, losses, 2*losses+1)
	voters = testfleet.start(t, 2*losses+1, true)
	awaitMembers(t, voters[0], len(voters))
	joined = testfleet.start(t, joining, false)
	for _, control := range voters {
		awaitMembers(t, control, len(voters)+joining)
	}
	return voters, joined
}

// awaitMembers waits until a host knows of a number of members, all of which hold the log.
func awaitMembers(t *testing.T, control *Control, members int) {
	t.Helper()
	for deadline := time.Now().Add(longTimeout); time.Now().Before(deadline); <-time.After(tickInterval) {
		status, err := control.client.LeaderStatus(t.Context())
		caughtUp := err == nil && !slices.ContainsFunc(status.Members, func(member group.MemberStatus) bool { return member.Match < status.Commit })
		if caughtUp && len(status.Members) == members && len(control.node.Status().Members) == members {
			return
		}
	}
	t.Fatalf("the group does not have %d members", members)
}

// awaitLeader waits until one of the hosts leads, or the context ends.
func awaitLeader(ctx context.Context, controls []*Control) {
	for ctx.Err() == nil {
		if slices.ContainsFunc(controls, func(control *Control) bool { return control.node.HoldsLease() }) {
			return
		}
		<-time.After(tickInterval)
	}
}

// TestLossesAfterPlannedStops guards against a group that loses everything when, right after
// planned stops, as many control hosts are lost as it has to bear.
func TestLossesAfterPlannedStops(t *testing.T) {
	cases := []struct {
		name    string
		losses  int
		joining int
		// stopping are the hosts that stop at once; the leader is the first.
		stopping int
		leader   bool
	}{
		{name: "the only voter", losses: 0, joining: 1, stopping: 1, leader: true},
		{name: "a follower", losses: 1, joining: 1, stopping: 1},
		{name: "the leader", losses: 1, joining: 1, stopping: 1, leader: true},
		{name: "the leader and a follower at once", losses: 1, joining: 2, stopping: 2, leader: true},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			voters, joined := startTestGroup(t, testcase.losses, testcase.joining)
			slices.SortStableFunc(voters, func(left, right *Control) int {
				if left.node.HoldsLease() == right.node.HoldsLease() {
					return 0
				}
				if left.node.HoldsLease() == testcase.leader {
					return -1
				}
				return 1
			})
			stopped := make(chan error, testcase.stopping)
			for _, control := range voters[:testcase.stopping] {
				go func() { stopped <- control.Stop(t.Context()) }()
			}
			for range testcase.stopping {
				is.NoErr(<-stopped)
			}
			for _, control := range voters[:testcase.stopping] {
				is.Equal(control.options.Stats.EventCount("leave", "replaced"), uint64(1))
			}
			rest := slices.Concat(joined, voters[testcase.stopping:])
			for _, control := range rest[len(rest)-testcase.losses:] {
				control.Kill()
			}
			rest = rest[:len(rest)-testcase.losses]
			for _, control := range rest {
				defer control.Kill()
			}
			ctx, cancel := context.WithTimeout(t.Context(), exchangeTimeout)
			defer cancel()
			awaitLeader(ctx, rest)
			for _, control := range rest { // those that do not lead have to know the leader
				is.NoErr(control.propose(ctx, state.EvacuateDataCentre{Name: "there", Evacuated: true}))
			}
		})
	}
}

// TestLossesAfterFirstAcknowledgement guards against a configuration that is acknowledged by the
// seeds alone at the first start of a fleet, and lost with two of them.
func TestLossesAfterFirstAcknowledgement(t *testing.T) {
	is := is.New(t)
	testfleet := newTestFleet(t, 2, 3)
	controls := testfleet.start(t, 3, true)
	ctx, cancel := context.WithTimeout(t.Context(), exchangeTimeout)
	defer cancel()
	acknowledged := make(chan error, 1)
	go func() {
		_, err := controls[0].PutItems(ctx, wholeConfiguration(1, 1, -1))
		acknowledged <- err
	}()
	<-time.After(firstStartSpread)
	controls = append(controls, testfleet.start(t, 2, true)...)
	is.NoErr(<-acknowledged)
	for _, control := range controls[:2] {
		control.Kill()
	}
	for _, control := range controls[2:] {
		defer control.Kill()
	}
	awaitLeader(ctx, controls[2:])
	inForce, err := controls[2].Items(ctx)
	is.NoErr(err)
	is.Equal(len(inForce), 2)
}

// TestSmallFleetStarts guards against a fleet that never acknowledges a change, since it has
// fewer control hosts than the losses that it is to bear ask for.
func TestSmallFleetStarts(t *testing.T) {
	is := is.New(t)
	controls := newTestFleet(t, 2, 3).start(t, 3, true)
	for _, control := range controls {
		defer control.Kill()
	}
	for number := range uint64(2) { // the second change does not wait
		_, err := controls[0].PutItems(t.Context(), wholeConfiguration(1, number+1, -1))
		is.NoErr(err)
		is.True(time.Since(controls[0].startedAt) >= formationTime)
		is.True(time.Since(controls[0].startedAt) < ackTime)
	}
	is.Equal(controls[0].options.Stats.EventCount("order", "fewVoters"), uint64(2))
}

// TestStopWithoutLearner guards against control hosts that wait at their stop though no learner
// can take their place, also when all of them stop at once.
func TestStopWithoutLearner(t *testing.T) {
	is := is.New(t)
	voters, _ := startTestGroup(t, 1, 0)
	stopped := make(chan error, len(voters))
	began := time.Now()
	for _, control := range voters {
		go func() { stopped <- control.Stop(t.Context()) }()
	}
	for range voters {
		is.NoErr(<-stopped)
	}
	is.True(time.Since(began) < leaveTimeout)
	for _, control := range voters {
		is.Equal(control.options.Stats.EventCount("leave", "noLearner"), uint64(1))
	}
}

// TestStoppedHostReturnsAsLearner guards against a host that was exchanged at its stop, comes
// back with its disk, on which it is still a voter, and never joins the group again.
func TestStoppedHostReturnsAsLearner(t *testing.T) {
	is := is.New(t)
	voters, joined := startTestGroup(t, 1, 1)
	is.NoErr(voters[2].Stop(t.Context()))
	options := voters[2].options
	options.Settings.Host.FirstStart = false
	options.Stats = &stats.Set{}
	returned, err := StartControl(options, func(*Control) http.Handler { return http.NotFoundHandler() })
	is.NoErr(err)
	for _, control := range append(slices.Concat(voters[:2], joined), returned) {
		t.Cleanup(control.Kill)
	}
	awaitMembers(t, returned, 4)
	is.Equal(returned.node.Status().Voters(), 3)
	for _, member := range returned.node.Status().Members {
		is.True(!member.Voter || member.ID != returned.node.ID())
	}
}
