package steer

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

// TestHeartbeatsOfAnotherWriter guards against two holders of keys because of a heartbeat
// under the ID of a live upstream with a later start, which another writer sent.
func TestHeartbeatsOfAnotherWriter(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(instance *state.Instance)
	}{
		{"unknown service", func(instance *state.Instance) { instance.Service = "nobody" }},
		{"known service, elsewhere", func(instance *state.Instance) { instance.Address = netip.MustParseAddrPort("10.9.9.9:80") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			simulation := newIdleSimulation(2, 2)
			upstream, other := simulation.upstreams[0], simulation.upstreams[1]
			simulation.awaitAnswers(upstream, other)
			simulation.setEvacuated(other, true)
			for range 2 * answerExpiry / tickInterval {
				simulation.tick()
				simulation.exchange(upstream)
				simulation.exchange(other)
			}
			is.True(len(upstream.rows) > 0)
			simulation.setEvacuated(other, false)
			foreign := simulation.send(upstream)
			foreign.heartbeat.Instance.Born += 1000
			test.change(&foreign.heartbeat.Instance)
			foreign.heartbeat.Holds, foreign.answerLost = nil, true
			simulation.scheduler.finish(simulation.startHeartbeat(foreign))
			for range 2 * holdExpiry / tickInterval {
				simulation.tick()
				simulation.exchange(other)
			}
			is.Equal(simulation.violation, "")
		})
	}
}
