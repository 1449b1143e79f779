package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"
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
