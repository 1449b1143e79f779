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
			for upstream.call != nil || other.call != nil {
				simulation.step()
			}
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
	for draining.call != nil || other.call != nil {
		simulation.step()
	}
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
