package steer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// TestDeregisteredUpstreamStaysDraining guards against an upstream that has deregistered
// and is offered new work again, since a heartbeat of the same process arrives after its
// record was removed.
func TestDeregisteredUpstreamStaysDraining(t *testing.T) {
	for _, test := range []struct {
		name string
		// silence is the time from the deregistration to the heartbeat.
		silence time.Duration
		// newLeader is set if the leader changes just before the heartbeat.
		newLeader bool
	}{
		{"after its holds have ended", holdExpiry + time.Second, false},
		{"after its holds have ended, at another leader", holdExpiry + time.Second, true},
		{"after its record was removed", removeAfter + time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			cluster := newCluster(2)
			prompt := func(*backend) (time.Duration, bool) { return 5 * time.Millisecond, false }
			run := func(duration time.Duration) {
				for range duration / (10 * time.Millisecond) {
					cluster.step(prompt)
				}
			}
			run(5 * time.Second)
			leaving := cluster.backends[0]
			leaving.up = false // its heartbeats don't arrive
			is.NoErr(cluster.coordinator.Deregister(context.Background(), spans.Owner{ID: leaving.instance.ID}))
			run(test.silence)
			if test.newLeader {
				cluster.node.term++
				cluster.coordinator = New(cluster.node, cluster.clock, discardLogger())
			}
			cluster.sendHeartbeat(leaving, 0, false)
			is.True(cluster.node.catalog.Instances[leaving.instance.ID].Draining)
			run(time.Second)
			is.Equal(len(leaving.holds), 0)
		})
	}
}

// TestDeregistrationBeforeFirstHeartbeat guards against an upstream that is offered work
// after its deregistration was acknowledged, since it had not been registered by then. A
// later process under its ID is not affected.
func TestDeregistrationBeforeFirstHeartbeat(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(2)
	leaving := cluster.backends[0]
	leaving.up = false
	is.NoErr(cluster.coordinator.Deregister(context.Background(), spans.Owner{ID: leaving.instance.ID}))
	cluster.clock.Advance(time.Second)
	cluster.sendHeartbeat(leaving, 0, false)
	is.True(cluster.node.catalog.Instances[leaving.instance.ID].Draining)

	cluster.clock.Advance(time.Second)
	cluster.born = cluster.clock.Now().UnixMilli()
	cluster.restart(leaving)
	cluster.sendHeartbeat(leaving, 0, false)
	is.True(!cluster.node.catalog.Instances[leaving.instance.ID].Draining)
}
