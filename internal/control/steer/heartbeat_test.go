package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// TestResentHeartbeatIsGranted guards against an answer without holds to a heartbeat that
// a control host forwards again, since its first attempt timed out while the leader
// committed the upstream's registration.
func TestResentHeartbeatIsGranted(t *testing.T) {
	is := is.New(t)
	simulation := newIdleSimulation(1, 2)
	upstream := simulation.upstreams[0]
	for upstream.call != nil {
		simulation.step()
	}
	upstream.instance.Draining = true
	first := simulation.send(upstream)
	second := &call{upstream: upstream, heartbeat: first.heartbeat, sentAt: first.sentAt}
	attempt := simulation.startHeartbeat(first)
	simulation.scheduler.runUntil(attempt, "before commit state.RegisterInstance")
	simulation.advance(400 * time.Millisecond)
	resent := simulation.startHeartbeat(second)
	simulation.scheduler.runUntil(resent, "before commit state.RegisterInstance")
	simulation.scheduler.finish(attempt)
	simulation.scheduler.finish(resent)
	is.NoErr(second.err)
	is.True(second.answer.Renewed) // the only answer that reaches the upstream
}

// TestUnkeyedServiceGetsNoHolds guards against keys of a service without keys, which the
// heartbeats of a draining upstream divided among its upstreams.
func TestUnkeyedServiceGetsNoHolds(t *testing.T) {
	is := is.New(t)
	simulation := newSimulation(1, 3)
	item := items.Item{Kind: items.KindService, Name: jobs, Version: 2, Service: &items.Service{}}
	simulation.group.catalog, _ = simulation.group.catalog.Apply(simulation.group.catalog.Index+1, state.PutItems{Items: []items.Item{item}})
	simulation.group.publish()
	simulation.upstreams[0].instance.Draining = true
	simulation.run(4 * time.Second)
	for _, upstream := range simulation.upstreams {
		is.Equal(len(upstream.seen), 0)
	}
}

// TestDrainingHeartbeatDuringAnotherChange guards against an answer that renews all keys
// of a draining upstream, since another change of the service was under way.
func TestDrainingHeartbeatDuringAnotherChange(t *testing.T) {
	is := is.New(t)
	simulation := newIdleSimulation(1, 4)
	draining, other := simulation.upstreams[0], simulation.upstreams[1]
	for draining.call != nil || other.call != nil {
		simulation.step()
	}
	simulation.setEvacuated(other, true)
	tick := simulation.startTick(simulation.group.leader)
	simulation.scheduler.runUntil(tick, "before append state.ChangeSpans")
	draining.instance.Draining = true
	simulation.exchange(draining)
	simulation.scheduler.finish(tick)
	is.Equal(len(draining.rows), 0)
}
