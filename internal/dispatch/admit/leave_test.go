package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// TestLeavingUpstreamStaysDraining guards against an upstream that said that it leaves and
// gets requests again: by a later update of the targets, or since it was gone from them
// for a moment.
func TestLeavingUpstreamStaysDraining(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	scheduler := NewScheduler("here", clock, 1)
	present := targets(2)
	leaving := present[0].Owner
	scheduler.Update(serviceName, present, spans.Table{})
	deadline := clock.Now().Add(time.Second)
	is.True(scheduler.MarkDraining(serviceName, leaving, deadline))
	is.True(!scheduler.MarkDraining(serviceName, leaving, deadline.Add(time.Hour))) // the first word counts
	for _, update := range [][]Target{present, present[1:], present} {
		scheduler.Update(serviceName, update, spans.Table{})
		for range 4 {
			ticket, refusal := scheduler.Acquire(t.Context(), newJob(clock))
			is.Equal(refusal, nil)
			is.True(ticket.Target.Owner != leaving)
			ticket.Release(ResultLeft, nil)
		}
	}
	target, known := scheduler.Target(serviceName, leaving)
	is.True(known)
	is.Equal(target.DrainDeadline, deadline)
	present[0].Owner.Born++
	scheduler.Update(serviceName, present, spans.Table{})
	target, _ = scheduler.Target(serviceName, present[0].Owner)
	is.True(!target.Draining)
}

// TestLeavingUpstreamsAreBounded guards against a memory of upstreams that grows for ever.
func TestLeavingUpstreamsAreBounded(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	scheduler := NewScheduler("here", clock, 1)
	for number := range 3 * maxDrainDeadlines {
		clock.Advance(time.Second)
		scheduler.MarkDraining(serviceName, spans.Owner{ID: fmt.Sprint(number)}, clock.Now())
	}
	is.True(len(scheduler.drainDeadlines) <= maxDrainDeadlines)
	is.True(!scheduler.MarkDraining(serviceName, spans.Owner{ID: fmt.Sprint(3*maxDrainDeadlines - 1)}, clock.Now()))
}
