package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// setEvacuated starts or ends the evacuation of an upstream's data centre.
func (simulation *simulation) setEvacuated(upstream *upstream, evacuated bool) {
	command := state.EvacuateDataCentre{Name: upstream.instance.DataCentre, Evacuated: evacuated}
	simulation.group.waiting = append(simulation.group.waiting, &logEntry{command: command})
	simulation.group.commit()
	simulation.group.publish()
}

// tick runs a tick of the leader to its end.
func (simulation *simulation) tick() {
	simulation.advance(tickInterval)
	simulation.scheduler.finish(simulation.startTick(simulation.group.leader))
}

// TestLateHeartbeatOfEarlierTerm guards against two holders of keys of which a heartbeat
// shows that its sender holds nothing, although it was sent before an earlier leader
// granted the keys and only arrives at the next leader.
func TestLateHeartbeatOfEarlierTerm(t *testing.T) {
	for _, test := range []struct {
		name string
		// late returns a heartbeat that is sent before the upstream is granted its keys.
		late func(simulation *simulation, upstream *upstream) *call
		// moving is how long the keys have been moving when it arrives.
		moving time.Duration
	}{
		{"that releases an earlier assignment", func(simulation *simulation, upstream *upstream) *call {
			simulation.setEvacuated(upstream, true)
			simulation.tick()
			simulation.exchange(upstream)
			late := simulation.send(upstream)
			simulation.exchange(upstream)
			simulation.setEvacuated(upstream, false)
			simulation.setEvacuated(simulation.upstreams[1], true)
			simulation.exchange(upstream)
			for range answerExpiry/tickInterval + 2 {
				simulation.tick()
			}
			simulation.exchange(simulation.upstreams[1])
			return late
		}, 0},
		{"that reports nothing", func(simulation *simulation, upstream *upstream) *call {
			simulation.silence(upstream)
			return simulation.send(upstream)
		}, answerExpiry + tickInterval},
	} {
		t.Run(test.name, func(t *testing.T) {
			simulation := newIdleSimulation(2, 2)
			upstream, other := simulation.upstreams[0], simulation.upstreams[1]
			simulation.awaitAnswers(upstream, other)
			late := test.late(simulation, upstream)
			simulation.exchange(upstream)
			if len(upstream.rows) == 0 {
				t.Fatal("the upstream was not granted its keys")
			}
			late.target = simulation.group.members[1]
			simulation.group.elect(late.target, true)
			simulation.setEvacuated(other, false)
			simulation.setEvacuated(upstream, true)
			for simulation.tick(); test.moving > 0; test.moving -= tickInterval {
				simulation.tick()
			}
			if len(upstream.rows) == 0 {
				t.Fatal("the upstream lost its keys before the heartbeat arrived")
			}
			simulation.scheduler.finish(simulation.startHeartbeat(late))
			simulation.exchange(other)
			if simulation.violation != "" {
				t.Fatal(simulation.violation)
			}
		})
	}
}

// TestReleaseDuringAnotherChangeCounts guards against keys that stay with an upstream
// which released them, since another change of the service was under way when the
// release arrived: the release is acknowledged, so it is not sent again.
func TestReleaseDuringAnotherChangeCounts(t *testing.T) {
	is := is.New(t)
	simulation := newIdleSimulation(1, 4)
	draining, other := simulation.upstreams[0], simulation.upstreams[1]
	simulation.awaitAnswers(draining, other)
	draining.instance.Draining = true
	simulation.exchange(draining)
	is.Equal(len(draining.rows), 0)     // it has released its keys
	is.True(len(draining.released) > 0) // and is about to report that
	simulation.setEvacuated(other, true)
	tick := simulation.startTick(simulation.group.leader)
	simulation.scheduler.runUntil(tick, "before commit state.ChangeSpans")
	simulation.exchange(draining)
	is.Equal(len(draining.released), 0) // the release is acknowledged
	simulation.scheduler.finish(tick)
	simulation.tick()
	simulation.tick()
	is.Equal(simulation.group.catalog.Spans[jobs].OwnedBy(draining.instance.Owner()), []spans.Span(nil))
}

// TestLateReleaseOfRegrantedKeys guards against two holders of keys that an upstream
// released when an answer left them out, that the next leader granted to it again under
// the same fence, as the change was lost, and of which a later leader receives the
// release only then.
func TestLateReleaseOfRegrantedKeys(t *testing.T) {
	is := is.New(t)
	simulation := newIdleSimulation(3, 2)
	upstream, other := simulation.upstreams[0], simulation.upstreams[1]
	simulation.awaitAnswers(upstream, other)
	members := simulation.group.members
	// The answer leaves out keys that are reserved for a move, and the move is lost.
	simulation.releaseDelay = func() time.Duration { return 300 * time.Millisecond }
	simulation.setEvacuated(upstream, true)
	tick := simulation.startTick(members[0])
	simulation.scheduler.runUntil(tick, "before commit state.ChangeSpans")
	simulation.exchange(upstream)
	simulation.group.elect(members[1], false)
	simulation.scheduler.finish(tick)
	simulation.setEvacuated(upstream, false)
	// Two heartbeats are held back: one while work on the keys goes on, one after it.
	working := simulation.send(upstream)
	simulation.advance(1020 * time.Millisecond)
	released := simulation.send(upstream)
	simulation.advance(1020 * time.Millisecond)
	is.Equal(len(working.heartbeat.Holds) > 0, true)
	is.Equal(len(released.heartbeat.Holds), 0)
	is.Equal(len(released.heartbeat.Released) > 0, true)
	// The next ones arrive, and the second leader grants the keys again.
	simulation.exchange(upstream)
	simulation.tick()
	simulation.exchange(upstream)
	is.True(len(upstream.rows) > 0)
	// A third leader moves the keys, and the two heartbeats arrive.
	simulation.group.elect(members[2], true)
	simulation.setEvacuated(upstream, true)
	simulation.tick()
	for _, late := range []*call{working, released} {
		late.target = members[2]
		simulation.scheduler.finish(simulation.startHeartbeat(late))
	}
	simulation.exchange(other)
	if simulation.violation != "" {
		t.Fatal(simulation.violation)
	}
}

// TestReleaseAcrossLeaderChangeCounts guards against keys that stay with a draining
// upstream for seconds, since it reported them to one leader and released them to the
// next.
func TestReleaseAcrossLeaderChangeCounts(t *testing.T) {
	is := is.New(t)
	simulation := newIdleSimulation(2, 3)
	draining := simulation.upstreams[0]
	simulation.awaitAnswers(draining)
	draining.instance.Draining = true
	simulation.exchange(draining)
	is.Equal(len(draining.rows), 0)
	simulation.group.elect(simulation.group.members[1], true)
	simulation.advance(50 * time.Millisecond)
	simulation.exchange(draining) // its release
	is.Equal(len(draining.released), 0)
	began, owner := simulation.clock.Now(), draining.instance.Owner()
	for len(simulation.group.catalog.Spans[jobs].OwnedBy(owner)) > 0 {
		simulation.step()
	}
	took := simulation.clock.Now().Sub(began)
	t.Logf("given away %v after the release was acknowledged", took)
	is.True(took <= 2*time.Second)
}

// TestReleaseOfKeysHeldAgain guards against two holders of keys which their owner released
// while an answer that grants them again was on its way: until that release is
// acknowledged, heartbeats repeat it beside the hold.
func TestReleaseOfKeysHeldAgain(t *testing.T) {
	is := is.New(t)
	simulation := newIdleSimulation(1, 2)
	owner, other := simulation.upstreams[0], simulation.upstreams[1]
	simulation.awaitAnswers(owner, other)
	simulation.releaseDelay = func() time.Duration { return 200 * time.Millisecond }
	// Balancing moves a part of the owner's span. The answer to a heartbeat leaves out the
	// whole span meanwhile.
	busy := make([]uint16, 400)
	for position := range busy {
		busy[position] = uint16(position)
	}
	simulation.scheduler.finish(simulation.startPoll(PollArgs{Entry: state.Entry{Name: "entry"}, Keys: map[string][]uint16{jobs: busy}}))
	simulation.advance(balanceInterval)
	tick := simulation.startTick(simulation.group.leader)
	simulation.scheduler.runUntil(tick, "before commit state.ChangeSpans")
	is.True(!tick.ended)
	simulation.exchange(owner)
	simulation.scheduler.finish(tick)
	// The owner still works on it when it sends the next heartbeat, and is granted the rest
	// of the span again.
	call := simulation.send(owner)
	heartbeat := simulation.startHeartbeat(call)
	simulation.advance(250 * time.Millisecond)
	is.True(len(owner.released) > 0)
	simulation.scheduler.finish(heartbeat)
	call.answerDelay = 0
	simulation.receive(owner, simulation.clock.Now())
	is.True(len(owner.rows) > 0)
	// Answers are lost from now on, and the rest has to move as well.
	unanswered := func() {
		simulation.scheduler.finish(simulation.startHeartbeat(simulation.send(owner)))
		owner.call = nil
	}
	unanswered()
	simulation.setEvacuated(owner, true)
	simulation.tick()
	unanswered()
	simulation.tick()
	simulation.exchange(other)
	is.Equal(simulation.violation, "")
}

// TestHeartbeatThatSaysNothingOfHolds guards against two holders of keys that move, because a
// heartbeat without a list of holds, of another writer or an odd upstream, counts as one that
// holds nothing.
func TestHeartbeatThatSaysNothingOfHolds(t *testing.T) {
	for _, test := range []struct {
		name    string
		unknown bool
		// givenAway is set if the keys get another holder at once.
		givenAway bool
	}{
		{"no list", true, false},
		{"an empty list", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			simulation := newIdleSimulation(2, 2)
			upstream, other := simulation.upstreams[0], simulation.upstreams[1]
			simulation.awaitAnswers(upstream, other)
			simulation.setEvacuated(other, true)
			for range answerExpiry / tickInterval {
				simulation.tick()
				simulation.exchange(upstream)
				simulation.exchange(other)
			}
			simulation.exchange(upstream)
			is.True(len(upstream.rows) > 0)
			simulation.setEvacuated(other, false)
			simulation.setEvacuated(upstream, true)
			for range answerExpiry/tickInterval + 2 {
				simulation.tick()
			}
			simulation.advance(time.Millisecond)
			odd := simulation.send(upstream)
			odd.heartbeat.Holds, odd.heartbeat.HoldsUnknown = nil, test.unknown
			odd.answerLost = true
			simulation.scheduler.finish(simulation.startHeartbeat(odd))
			simulation.tick()
			simulation.exchange(other)
			is.Equal(simulation.violation != "", test.givenAway)
		})
	}
}

// TestLateReleaseAcrossLeaderChange guards against two holders of keys that move, because the
// next leader counts a release that was sent before the owner was granted the keys again and
// reported that to the earlier leader.
func TestLateReleaseAcrossLeaderChange(t *testing.T) {
	is := is.New(t)
	simulation := newIdleSimulation(3, 2)
	upstream, other := simulation.upstreams[0], simulation.upstreams[1]
	simulation.awaitAnswers(upstream, other)
	members := simulation.group.members
	// The answer leaves out keys that are reserved for a move, and the move is lost.
	simulation.setEvacuated(upstream, true)
	tick := simulation.startTick(members[0])
	simulation.scheduler.runUntil(tick, "before commit state.ChangeSpans")
	simulation.exchange(upstream)
	simulation.group.elect(members[1], false)
	simulation.scheduler.finish(tick)
	simulation.setEvacuated(upstream, false)
	late := simulation.send(upstream)
	simulation.advance(1020 * time.Millisecond)
	is.Equal(len(late.heartbeat.Holds), 0)
	is.True(len(late.heartbeat.Released) > 0)
	// The second leader grants the keys again, hears of that, and moves them.
	simulation.exchange(upstream)
	simulation.tick()
	simulation.exchange(upstream)
	is.True(len(upstream.rows) > 0)
	simulation.exchange(upstream)
	simulation.setEvacuated(upstream, true)
	simulation.tick()
	moving := simulation.group.catalog.Spans[jobs].OwnedBy(upstream.instance.Owner())
	is.True(len(moving) > 0 && moving[0].Moving() && moving[0].Reported > late.heartbeat.Sequence)
	// The late heartbeat arrives at a third leader.
	simulation.group.elect(members[2], true)
	late.target = members[2]
	simulation.scheduler.finish(simulation.startHeartbeat(late))
	simulation.tick()
	simulation.exchange(other)
	is.Equal(simulation.violation, "")
}
