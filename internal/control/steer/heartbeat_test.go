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
	simulation.awaitAnswers(upstream)
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
	simulation.awaitAnswers(draining, other)
	simulation.setEvacuated(other, true)
	tick := simulation.startTick(simulation.group.leader)
	simulation.scheduler.runUntil(tick, "before append state.ChangeSpans")
	draining.instance.Draining = true
	simulation.exchange(draining)
	simulation.scheduler.finish(tick)
	is.Equal(len(draining.rows), 0)
}

// TestKeysOutsideChangeStayGranted guards against keys without a holder that no change
// concerns: an upstream is told to release a whole span while a part of it is reserved.
func TestKeysOutsideChangeStayGranted(t *testing.T) {
	is := is.New(t)
	simulation := newIdleSimulation(1, 2)
	upstream, leader := simulation.upstreams[0], simulation.group.leader
	simulation.awaitAnswers(upstream, simulation.upstreams[1])
	simulation.pollBusyKeys()
	simulation.advance(balanceInterval)
	tick := simulation.startTick(leader)
	simulation.scheduler.runUntil(tick, "before commit state.ChangeSpans")
	is.True(!tick.ended) // it moves some of the busy keys
	change := simulation.group.waiting[0].command.(state.ChangeSpans).Changes[0]
	simulation.exchange(upstream)
	held := 0
	for _, row := range upstream.rows {
		is.True(row.To < change.From || row.From > change.To)
		held += int(row.To) - int(row.From) + 1
	}
	moved := int(change.To) - int(change.From) + 1
	is.Equal(held, 32768-moved)
}
