package steer

import (
	"context"
	"testing"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// eachSwitch runs a scenario with one switch between operations, once for each seam of
// the first: prepare returns it, paused at its start, and what happens at the switch.
// Then the first operation ends and all upstreams send heartbeats, the one that prepare
// returns last.
func eachSwitch(t *testing.T, prepare func() (*simulation, *upstream, *operation, func())) {
	t.Helper()
	for seams := 0; ; seams++ {
		simulation, upstream, first, meanwhile := prepare()
		for range seams {
			if !first.ended {
				simulation.scheduler.step(first)
			}
		}
		seam, ended := first.seam, first.ended
		meanwhile()
		if !first.ended {
			simulation.scheduler.finish(first)
		}
		simulation.settle(upstream)
		if simulation.violation != "" {
			t.Fatalf("switch at seam %d (%s) of the %s: %s", seams, seam, first.name, simulation.violation)
		}
		simulation.close()
		if ended {
			return
		}
	}
}

// settle lets all upstreams but one send heartbeats twice, and then all, without ticks.
func (simulation *simulation) settle(last *upstream) {
	simulation.group.publish()
	for round := range 3 {
		for _, upstream := range simulation.upstreams {
			if !upstream.up || upstream == last && round < 2 {
				continue
			}
			if call := upstream.call; call != nil && call.operation != nil && call.operation.ended {
				call.answerDelay, call.arrivesAt = 0, simulation.clock.Now()
				simulation.receive(upstream, simulation.clock.Now())
			}
			simulation.exchange(upstream)
		}
		simulation.advance(10 * time.Millisecond)
	}
}

// newIdleSimulation returns a simulation with few ticks in which all keys are held.
func newIdleSimulation(members, upstreams int) *simulation {
	simulation := newSimulation(members, upstreams)
	simulation.tickEvery = 500 * time.Millisecond
	simulation.run(3 * time.Second)
	return simulation
}

// silence cuts an upstream off until all holds that it was granted have ended, and no
// tick has noticed. It can send heartbeats again then.
func (simulation *simulation) silence(upstream *upstream) {
	simulation.almostSilence(upstream, 0)
	simulation.advance(10 * time.Millisecond)
	upstream.silentUntil = time.Time{}
}

// almostSilence cuts an upstream off until the given time before all its holds have
// ended.
func (simulation *simulation) almostSilence(upstream *upstream, before time.Duration) {
	var heard time.Time
	for upstream.call != nil || heard.IsZero() {
		if upstream.call != nil && upstream.call.operation != nil {
			heard = upstream.call.operation.startedAt
		}
		simulation.step()
	}
	upstream.silentUntil = simulation.clock.Now().Add(time.Hour)
	for simulation.clock.Now().Before(heard.Add(holdExpiry - before)) {
		simulation.step()
	}
}

// assignUntold adds an upstream and advances the simulation until the upstream owns
// keys that it has not been told of. It waits for the answer to no heartbeat.
func (simulation *simulation) assignUntold() *upstream {
	simulation.run(3 * time.Second)
	simulation.tickEvery = tickInterval
	added := simulation.addUpstream()
	owned := func() bool { return len(simulation.group.catalog.Spans[jobs].OwnedBy(added.instance.Owner())) > 0 }
	for !owned() || added.call != nil {
		if owned() {
			added.silentUntil = simulation.clock.Now().Add(time.Hour)
		}
		simulation.step()
		if len(added.rows) > 0 {
			panic("the upstream was told of its keys")
		}
	}
	added.silentUntil = time.Time{}
	return added
}

// TestGrantBetweenJudgementAndReservation guards against two holders of keys whose
// owner is granted them anew after a tick has found that its holds have ended.
func TestGrantBetweenJudgementAndReservation(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func() (*simulation, *upstream)
	}{
		{"a silent upstream is heard again", func() (*simulation, *upstream) {
			simulation := newIdleSimulation(1, 3)
			simulation.silence(simulation.upstreams[0])
			return simulation, simulation.upstreams[0]
		}},
		{"a silent upstream is heard again and drains", func() (*simulation, *upstream) {
			simulation := newIdleSimulation(1, 3)
			simulation.silence(simulation.upstreams[0])
			simulation.upstreams[0].instance.Draining = true
			return simulation, simulation.upstreams[0]
		}},
		{"an upstream learns of its first keys when its data centre is evacuated", func() (*simulation, *upstream) {
			simulation := newIdleSimulation(1, 2)
			upstream := simulation.assignUntold()
			simulation.setEvacuated(upstream, true)
			return simulation, upstream
		}},
		{"an upstream learns of its first keys when it begins to drain", func() (*simulation, *upstream) {
			simulation := newIdleSimulation(1, 2)
			upstream := simulation.assignUntold()
			simulation.scheduler.finish(simulation.startDeregistration(upstream))
			return simulation, upstream
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			eachSwitch(t, func() (*simulation, *upstream, *operation, func()) {
				simulation, upstream := test.prepare()
				return simulation, upstream, simulation.startTick(simulation.group.leader), func() { simulation.exchange(upstream) }
			})
		})
	}
}

func (simulation *simulation) startDeregistration(upstream *upstream) *operation {
	target := simulation.group.leader
	if target == nil {
		target = simulation.group.members[0]
	}
	operation := &operation{name: "deregistration", coordinator: target.coordinator, startedAt: simulation.clock.Now(), timeout: callTimeout}
	id := upstream.instance.ID
	simulation.scheduler.start(operation, func() { _ = operation.coordinator.Deregister(context.Background(), spans.Owner{ID: id}) })
	return operation
}

// TestGrantFromOldCatalog guards against two holders of keys that a heartbeat grants
// from a catalog read before a change gave them away.
func TestGrantFromOldCatalog(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func() (*simulation, *upstream)
	}{
		{"of an upstream that was silent, in an evacuated data centre", func() (*simulation, *upstream) {
			simulation := newIdleSimulation(1, 3)
			simulation.silence(simulation.upstreams[0])
			simulation.setEvacuated(simulation.upstreams[0], true)
			return simulation, simulation.upstreams[0]
		}},
		{"of an upstream that has not been told of its keys, in an evacuated data centre", func() (*simulation, *upstream) {
			simulation := newIdleSimulation(1, 2)
			upstream := simulation.assignUntold()
			simulation.setEvacuated(upstream, true)
			return simulation, upstream
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			eachSwitch(t, func() (*simulation, *upstream, *operation, func()) {
				simulation, upstream := test.prepare()
				call := simulation.send(upstream)
				call.answerDelay = 0
				return simulation, upstream, simulation.startHeartbeat(call), func() {
					simulation.scheduler.finish(simulation.startTick(simulation.group.leader))
				}
			})
		})
	}
}

// TestGrantBeforeChangeIsVisible guards against two holders of keys that are granted
// after the change that gives them away was acknowledged, but before the catalog that
// the node returns shows it.
func TestGrantBeforeChangeIsVisible(t *testing.T) {
	simulation := newIdleSimulation(1, 2)
	upstream := simulation.assignUntold()
	simulation.setEvacuated(upstream, true)
	simulation.group.delayed = true
	simulation.scheduler.finish(simulation.startTick(simulation.group.leader))
	simulation.exchange(upstream)
	simulation.group.delayed = false
	simulation.settle(upstream)
	if simulation.violation != "" {
		t.Fatal(simulation.violation)
	}
}

// TestReservationOfAnotherChangeStays guards against two holders of keys whose
// reservation is removed by the result of an earlier change, which the tick and the
// heartbeat of a draining upstream both proposed again.
func TestReservationOfAnotherChangeStays(t *testing.T) {
	const append, commit, result = "before append state.ChangeSpans", "before commit state.ChangeSpans", "after commit state.ChangeSpans"
	simulation := newIdleSimulation(1, 4)
	silent, draining := simulation.upstreams[0], simulation.upstreams[1]
	simulation.almostSilence(silent, 200*time.Millisecond)
	leader := simulation.group.leader
	// The outcome of a first change stays unknown, and it is committed.
	draining.instance.Draining = true
	call := simulation.send(draining)
	first := simulation.startHeartbeat(call)
	simulation.scheduler.runUntil(first, commit)
	first.timedOut = true
	simulation.scheduler.finish(first)
	simulation.group.commit()
	draining.call = nil
	// It is proposed again by a heartbeat, whose result comes late, and by a tick.
	call = simulation.send(draining)
	second := simulation.startHeartbeat(call)
	simulation.scheduler.runUntil(second, result)
	simulation.scheduler.finish(simulation.startTick(leader))
	simulation.advance(250 * time.Millisecond)
	// The next tick changes the owner of other keys, of which the owner is heard again.
	tick := simulation.startTick(leader)
	simulation.scheduler.runUntil(tick, append)
	if !second.ended {
		simulation.scheduler.finish(second)
	}
	silent.silentUntil = time.Time{}
	simulation.exchange(silent)
	if !tick.ended {
		simulation.scheduler.finish(tick)
	}
	simulation.settle(silent)
	if simulation.violation != "" {
		t.Fatal(simulation.violation)
	}
}

// TestJudgementOfEarlierTerm guards against two holders of keys that a tick gives away
// after its host lost the lead and won it again, while an interim leader granted them
// to their owner.
func TestJudgementOfEarlierTerm(t *testing.T) {
	eachSwitch(t, func() (*simulation, *upstream, *operation, func()) {
		simulation := newIdleSimulation(2, 3)
		simulation.silence(simulation.upstreams[0])
		members := simulation.group.members
		return simulation, simulation.upstreams[0], simulation.startTick(members[0]), func() {
			simulation.group.elect(members[1], true)
			simulation.advance(100 * time.Millisecond)
			simulation.exchange(simulation.upstreams[0])
			simulation.group.elect(members[0], true)
			simulation.advance(100 * time.Millisecond)
		}
	})
}

// TestGrantOfEarlierTerm guards against two holders of keys that a heartbeat grants
// after its host lost the lead and won it again, while an interim leader gave them to
// another upstream.
func TestGrantOfEarlierTerm(t *testing.T) {
	eachSwitch(t, func() (*simulation, *upstream, *operation, func()) {
		simulation := newIdleSimulation(2, 2)
		upstream := simulation.assignUntold()
		simulation.setEvacuated(upstream, true)
		members := simulation.group.members
		call := simulation.send(upstream)
		call.answerDelay = 0
		return simulation, upstream, simulation.startHeartbeat(call), func() {
			simulation.group.elect(members[1], true)
			for range 4 {
				simulation.advance(100 * time.Millisecond)
				simulation.scheduler.finish(simulation.startTick(members[1]))
				simulation.exchange(simulation.upstreams[0])
				simulation.exchange(simulation.upstreams[1])
			}
			simulation.group.elect(members[0], true)
			simulation.advance(100 * time.Millisecond)
			simulation.scheduler.finish(simulation.startTick(members[0]))
		}
	})
}

// TestOvertakenHeartbeat guards against two holders of keys whose owner sent a
// heartbeat that was processed before an earlier one: its holds last longer than those
// of the earlier one.
func TestOvertakenHeartbeat(t *testing.T) {
	eachSwitch(t, func() (*simulation, *upstream, *operation, func()) {
		simulation := newIdleSimulation(1, 3)
		upstream := simulation.upstreams[0]
		simulation.awaitAnswers(upstream)
		upstream.instance.Slots++
		earlier := simulation.send(upstream)
		simulation.advance(200 * time.Millisecond)
		first := simulation.startHeartbeat(earlier)
		return simulation, upstream, first, func() {
			simulation.advance(900 * time.Millisecond)
			simulation.receive(upstream, simulation.clock.Now())
			simulation.exchange(upstream)
			if !first.ended {
				simulation.scheduler.finish(first)
			}
			upstream.silentUntil = simulation.clock.Now().Add(time.Hour)
			simulation.tickEvery = tickInterval
			simulation.run(holdExpiry)
		}
	})
}
