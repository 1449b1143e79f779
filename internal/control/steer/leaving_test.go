package steer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// TestLeavingUpstreamIsDrainedForAll guards against an upstream that tells one entry host
// that it leaves, and goes on getting requests and keys of the others. Its heartbeats may
// say nothing of it. The next process under its ID is not meant.
func TestLeavingUpstreamIsDrainedForAll(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(3)
	prompt := func(*backend) (time.Duration, bool) { return 5 * time.Millisecond, false }
	run := func(duration time.Duration) {
		for range duration / (10 * time.Millisecond) {
			cluster.step(prompt)
		}
	}
	run(5 * time.Second)
	leaving := cluster.backends[0]
	is.True(len(leaving.holds) > 0)
	entry := state.Entry{Name: "entry"}
	earlier := leaving.instance.Owner()
	earlier.Born--
	poll := func(owner spans.Owner) {
		_, err := cluster.coordinator.Poll(context.Background(), PollArgs{Entry: entry, Leaving: []spans.Owner{owner}})
		is.NoErr(err)
		cluster.coordinator.Tick()
	}
	poll(earlier)
	is.True(!cluster.node.catalog.Instances[leaving.instance.ID].Draining)
	poll(leaving.instance.Owner())
	is.True(cluster.node.catalog.Instances[leaving.instance.ID].Draining)
	run(5 * time.Second)
	is.True(cluster.node.catalog.Instances[leaving.instance.ID].Draining)
	is.Equal(len(leaving.holds), 0)
	is.Equal(cluster.coordinator.leaving, nil)
}
