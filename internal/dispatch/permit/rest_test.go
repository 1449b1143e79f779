package permit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
)

// TestRequestWaitsForEndOfRest guards against refusing a request whose upstream takes
// requests from the host again in time.
func TestRequestWaitsForEndOfRest(t *testing.T) { synctest.Test(t, testRequestWaitsForEndOfRest) }

func testRequestWaitsForEndOfRest(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	client := fleet.clients[(fleet.primaryOf(t)+1)%3]
	client.local.RecordRest(serviceName, fleet.target.Owner, 300*time.Millisecond)
	job := fleet.newJob()
	job.Deadline = fleet.clock.Now().Add(time.Hour)
	permits := make(chan *Permit, 1)
	go func() {
		permit, _ := client.Acquire(t.Context(), job)
		permits <- permit
	}()
	for {
		synctest.Wait()
		resting := client.local.RestLeft(serviceName, fleet.target.Owner) > 0
		select {
		case permit := <-permits:
			is.True(permit != nil)
			is.True(!resting)
			return
		default:
		}
		fleet.clock.Advance(10 * time.Millisecond)
	}
}

// TestRestIsToldToCallers guards against requests that wait for an upstream whose rest ends
// too late, and against callers that are told to come back within it or all at once.
func TestRestIsToldToCallers(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	client := fleet.clients[0]
	client.local.RecordRest(serviceName, fleet.target.Owner, 3*time.Second)
	times := map[time.Duration]bool{}
	for range 20 {
		permit, refusal := client.Acquire(t.Context(), fleet.newJob())
		is.True(permit == nil)
		is.Equal(refusal.Reason, admit.ReasonResting)
		is.True(refusal.RetryAfter >= 3*time.Second)
		times[refusal.RetryAfter] = true
	}
	is.True(len(times) > 10)
	other, refusal := fleet.clients[1].Acquire(t.Context(), fleet.newJob()) // the rest binds one host
	is.Equal(refusal, nil)
	is.True(other != nil)
}

// TestRequestsWithoutKeyAvoidRestingUpstreams guards against requests without a key that
// are sent to an upstream that wants none from the host, by a primary that does not know.
func TestRequestsWithoutKeyAvoidRestingUpstreams(t *testing.T) {
	synctest.Test(t, testRequestsWithoutKeyAvoidRestingUpstreams)
}

func testRequestsWithoutKeyAvoidRestingUpstreams(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	first, second := fleet.target, fleet.target
	first.Keyed, second.Keyed, second.Owner.ID = false, false, "other"
	for position := range fleet.clients {
		fleet.schedulers[position].Update(serviceName, []admit.Target{first, second}, spans.Table{})
		fleet.exclusive[position].Update(serviceName, []admit.Target{first, second}, spans.Table{})
	}
	client := fleet.clients[0]
	client.local.RecordRest(serviceName, first.Owner, 3*time.Second)
	job := fleet.newJob()
	job.Keyed = false
	for range 8 {
		permit, refusal := client.Acquire(t.Context(), job)
		is.Equal(refusal, nil)
		is.Equal(permit.Target.Owner, second.Owner)
		permit.Release(admit.ResultLeft, nil)
		fleet.awaitReleases()
	}
	client.local.RecordRest(serviceName, second.Owner, 2*time.Second)
	_, refusal := client.Acquire(t.Context(), job)
	is.Equal(refusal.Reason, admit.ReasonResting)
	is.True(refusal.RetryAfter >= 2*time.Second)
	is.True(refusal.RetryAfter < 3*time.Second)
	fleet.advance(2 * time.Second)
	job = fleet.newJob()
	job.Keyed = false
	permit, _ := client.Acquire(t.Context(), job)
	is.Equal(permit.Target.Owner, second.Owner)
	fleet.settle()
}

// TestPrimaryThatHasNotHeardOfLeavingUpstream guards against primaries that are suspected,
// with all that waits there, because they grant permits for an upstream that told this host
// alone that it leaves.
func TestPrimaryThatHasNotHeardOfLeavingUpstream(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	first, second := fleet.target, fleet.target
	first.Keyed, second.Keyed, second.Owner.ID = false, false, "other"
	for position := range fleet.clients {
		fleet.schedulers[position].Update(serviceName, []admit.Target{first, second}, spans.Table{})
		fleet.exclusive[position].Update(serviceName, []admit.Target{first, second}, spans.Table{})
	}
	for _, client := range fleet.clients {
		client.local.MarkDraining(serviceName, first.Owner, fleet.clock.Now().Add(time.Second))
		job := fleet.newJob()
		job.Keyed = false
		permit, refusal := client.Acquire(t.Context(), job)
		is.Equal(refusal, nil)
		is.Equal(permit.Target.Owner, second.Owner)
		permit.Release(admit.ResultLeft, nil)
	}
	for _, entry := range fleet.entries {
		for _, client := range fleet.clients {
			is.True(!client.healthOf(entry).suspectUntil.After(fleet.clock.Now()))
		}
	}
}
