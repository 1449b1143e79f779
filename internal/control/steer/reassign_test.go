package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

// pollBusyKeys reports requests for the first keys, so that balancing moves a part of the
// span that holds them.
func (simulation *simulation) pollBusyKeys() {
	busy := make([]uint16, 1000)
	for position := range busy {
		busy[position] = uint16(position)
	}
	simulation.scheduler.finish(simulation.startPoll(PollArgs{Entry: state.Entry{Name: "entry"}, Keys: map[string][]uint16{jobs: busy}}))
}

// TestLateReleaseOfKeysGrantedByNextLeader guards against two holders of keys that an
// upstream released to one leader, which acknowledged that and lost the lead, that the next
// leader granted to it again under the same fence, and of which a third one receives an
// earlier copy of the release, in a heartbeat that also reports other keys of that fence.
func TestLateReleaseOfKeysGrantedByNextLeader(t *testing.T) {
	is := is.New(t)
	simulation := newIdleSimulation(3, 2)
	upstream, other := simulation.upstreams[0], simulation.upstreams[1]
	simulation.awaitAnswers(upstream, other)
	members := simulation.group.members
	simulation.pollBusyKeys()
	simulation.advance(balanceInterval)
	tick := simulation.startTick(members[0])
	simulation.scheduler.runUntil(tick, "before commit state.ChangeSpans")
	is.True(!tick.ended)
	simulation.exchange(upstream)
	is.True(len(upstream.released) > 0) // the part that is to move
	is.True(len(upstream.rows) > 0)     // the rest, under the same fence
	// The connection breaks behind a heartbeat, and the next one is acknowledged.
	late := simulation.send(upstream)
	upstream.call = nil
	simulation.advance(50 * time.Millisecond)
	simulation.exchange(upstream)
	is.Equal(len(upstream.released), 0)
	// The move is lost with the lead, and the next leader grants the part again.
	simulation.group.elect(members[1], false)
	simulation.scheduler.finish(tick)
	simulation.advance(500 * time.Millisecond)
	simulation.exchange(upstream)
	// A third leader moves all keys of the upstream, and the late heartbeat arrives.
	simulation.group.elect(members[2], true)
	simulation.setEvacuated(upstream, true)
	simulation.tick()
	late.target = members[2]
	simulation.scheduler.finish(simulation.startHeartbeat(late))
	simulation.tick()
	simulation.exchange(other)
	is.Equal(simulation.violation, "")
}

// TestDeregistrationDuringFirstRegistration guards against an upstream that is offered
// work after its deregistration was acknowledged, since its first registration was being
// committed then.
func TestDeregistrationDuringFirstRegistration(t *testing.T) {
	is := is.New(t)
	simulation := newIdleSimulation(1, 2)
	leaving := simulation.addUpstream()
	call := simulation.send(leaving)
	heartbeat := simulation.startHeartbeat(call)
	simulation.scheduler.runUntil(heartbeat, "before commit state.RegisterInstance")
	is.True(!heartbeat.ended)
	simulation.scheduler.finish(simulation.startDeregistration(leaving))
	simulation.scheduler.finish(heartbeat)
	is.NoErr(call.err)
	instance, known := simulation.group.catalog.Instances[leaving.instance.ID]
	is.True(!known || instance.Draining)
}

// TestHeartbeatResentDuringChangeIsGranted guards against an answer without holds to a
// heartbeat that is forwarded again, since its first attempt waits for the ownership
// change that it caused.
func TestHeartbeatResentDuringChangeIsGranted(t *testing.T) {
	is := is.New(t)
	simulation := newIdleSimulation(1, 2)
	upstream := simulation.upstreams[0]
	simulation.awaitAnswers(upstream)
	upstream.instance.Draining = true
	first := simulation.send(upstream)
	second := &call{upstream: upstream, heartbeat: first.heartbeat, sentAt: first.sentAt}
	attempt := simulation.startHeartbeat(first)
	simulation.scheduler.runUntil(attempt, "before commit state.ChangeSpans")
	is.True(!attempt.ended)
	simulation.advance(400 * time.Millisecond)
	resent := simulation.startHeartbeat(second)
	simulation.scheduler.finish(resent)
	simulation.scheduler.finish(attempt)
	is.NoErr(second.err)
	is.True(second.answer.Renewed) // the only answer that reaches the upstream
}

// TestKeysAssignedAnewAreNotLoggedAsEnded guards against a log line that says that the
// holds of an upstream have ended, when a tick assigns keys to it anew that it released.
func TestKeysAssignedAnewAreNotLoggedAsEnded(t *testing.T) {
	is := is.New(t)
	simulation := newIdleSimulation(2, 4)
	upstream, other := simulation.upstreams[0], simulation.upstreams[1]
	simulation.awaitAnswers(upstream, other)
	members := simulation.group.members
	simulation.pollBusyKeys()
	simulation.advance(balanceInterval)
	lost := simulation.startTick(members[0])
	simulation.scheduler.runUntil(lost, "before commit state.ChangeSpans")
	is.True(!lost.ended)
	simulation.exchange(upstream)
	is.True(len(upstream.released) > 0)
	simulation.group.elect(members[1], false)
	simulation.scheduler.finish(lost)
	// The next leader receives the release while it moves the keys of another upstream.
	simulation.setEvacuated(other, true)
	tick := simulation.startTick(members[1])
	simulation.scheduler.runUntil(tick, "before commit state.ChangeSpans")
	is.True(!tick.ended)
	simulation.exchange(upstream)
	is.Equal(len(upstream.released), 0)
	simulation.scheduler.finish(tick)
	simulation.events = nil
	simulation.tick()
	for _, event := range simulation.events {
		if len(event.values) == 0 || event.values[0] != logPrefix+"holds of a key range have ended" {
			continue
		}
		t.Errorf("%v", event.values)
	}
}

// TestRepeatedDeregistrationOfEarlierProcess guards against a new process under an old ID
// that stays draining for its whole life, since the deregistration of its predecessor was
// delivered twice, as no answer to the first delivery arrived in time.
func TestRepeatedDeregistrationOfEarlierProcess(t *testing.T) {
	is := is.New(t)
	simulation := newIdleSimulation(1, 2)
	upstream := simulation.upstreams[0]
	simulation.awaitAnswers(upstream)
	simulation.scheduler.finish(simulation.startDeregistration(upstream))
	simulation.advance(100 * time.Millisecond)
	simulation.restart(upstream)
	simulation.exchange(upstream)
	instance := simulation.group.catalog.Instances[upstream.instance.ID]
	is.Equal(instance.Born, upstream.instance.Born)
	is.True(!instance.Draining)
	simulation.advance(200 * time.Millisecond)
	simulation.scheduler.finish(simulation.startDeregistration(upstream)) // the second delivery
	is.True(!simulation.group.catalog.Instances[upstream.instance.ID].Draining)
}

// TestReleasedKeysOfLastUpstreamAreGranted guards against keys without a holder for as long
// as no other upstream can take them: their draining owner let go of them while another
// change was under way, and the others stopped taking keys before they were marked.
func TestReleasedKeysOfLastUpstreamAreGranted(t *testing.T) {
	is := is.New(t)
	simulation := newIdleSimulation(1, 4)
	draining := simulation.upstreams[0]
	simulation.awaitAnswers(draining)
	simulation.setEvacuated(simulation.upstreams[1], true)
	tick := simulation.startTick(simulation.group.leader)
	simulation.scheduler.runUntil(tick, "before append state.ChangeSpans")
	is.True(!tick.ended)
	draining.instance.Draining = true
	simulation.exchange(draining)
	is.Equal(len(draining.rows), 0)
	simulation.setEvacuated(simulation.upstreams[2], true)
	simulation.setEvacuated(simulation.upstreams[3], true)
	simulation.scheduler.finish(tick)
	for range 10 {
		simulation.tick()
		simulation.exchange(draining)
	}
	is.True(len(draining.rows) > 0)
}
