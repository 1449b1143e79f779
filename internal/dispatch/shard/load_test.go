package shard

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
)

// apply commits the records of a TOML document.
func (harness *harness) apply(document string) {
	harness.t.Helper()
	records, err := spec.ParseDocument([]byte(document), spec.FormatTOML)
	if err != nil {
		harness.t.Fatal(err)
	}
	harness.control.commit(state.ApplyRecords{Records: records, At: harness.clock.Now()})
}

// TestFloodStaysWithinLimits submits far more requests than fit. The upstreams
// must never run more requests than they have slots, the queue must be bounded,
// and requests over the limit must be refused as not run.
func TestFloodStaysWithinLimits(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, unkeyedService, 2)
	var inFlight, peak atomic.Int64
	release := make(chan struct{})
	harness.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
		peak.Store(max(peak.Load(), inFlight.Add(1)))
		<-release
		inFlight.Add(-1)
		return upstr.Response{Answer: state.Answer{Status: http.StatusOK}}
	}
	var jobs []*job
	refused := 0
	for number := range 400 {
		request := newRequest(unkeyedService, http.MethodGet, "")
		request.ID = fmt.Sprint(number)
		job := harness.submit(request)
		if job.responded {
			outcome, ok := (<-job.reply).(calls.Refusal)
			is.True(ok)
			is.Equal(outcome.Reason, calls.ReasonQueueFull)
			is.Equal(outcome.Ran, calls.RanNot)
			is.True(outcome.RetryAfter > 0)
			refused++
			continue
		}
		jobs = append(jobs, job)
	}
	is.Equal(len(harness.shard.running), 4) // two upstreams of two slots
	is.True(refused > 0)
	close(release)
	for _, job := range jobs {
		_, ok := harness.outcome(job).(calls.Response)
		is.True(ok)
	}
	is.True(peak.Load() <= 4)
}

// TestFairShare queues many requests of one workspace and then a few of another.
// Fair admission must serve the few in turn, not behind the many; FIFO does not.
func TestFairShare(t *testing.T) {
	for _, test := range []struct {
		admission string
		fair      bool
	}{{spec.AdmissionDeficitRoundRobin, true}, {spec.AdmissionFIFO, false}} {
		t.Run(test.admission, func(t *testing.T) {
			is := is.New(t)
			harness := newHarness(t, unkeyedService, 1)
			harness.apply(fmt.Sprintf(`
[[policy]]
name = "main"
schema = 1
version = 1
admission = %q
[[service]]
name = "dispatchdesk"
schema = 1
version = 2
policies = ["main"]
`, test.admission))
			harness.shard.syncCatalog()
			gate := make(chan struct{})
			harness.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
				<-gate
				return upstr.Response{Answer: state.Answer{Status: http.StatusOK}}
			}
			for range 100 {
				harness.submit(newRequest(unkeyedService, http.MethodGet, ""))
			}
			harness.clock.Advance(time.Millisecond)
			var small []*job
			for range 5 {
				request := newRequest(unkeyedService, http.MethodGet, "")
				request.Workspace = "small"
				small = append(small, harness.submit(request))
			}
			for range 20 {
				gate <- struct{}{}
				harness.receive()
				harness.shard.dispatch(harness.clock.Now())
			}
			served := 0
			for _, job := range small {
				if job.attempts > 0 { // sent, whether or not it has been answered
					served++
				}
			}
			is.Equal(served == len(small), test.fair)
			close(gate)
		})
	}
}

// TestDeadlineTooNear checks that a request which the queue cannot serve before
// its deadline is refused immediately.
func TestDeadlineTooNear(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, unkeyedService, 1)
	harness.shard.targets["up-0"].ramp.RecordAnswer(harness.clock.Now(), 100*time.Millisecond, harness.clock.Now())
	release := make(chan struct{})
	defer close(release)
	harness.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
		<-release
		return upstr.Response{}
	}
	for range 20 {
		harness.submit(newRequest(unkeyedService, http.MethodGet, ""))
	}
	short := newRequest(unkeyedService, http.MethodGet, "")
	short.Remaining = 200 * time.Millisecond
	refusal, ok := harness.outcome(harness.submit(short)).(calls.Refusal)
	is.True(ok)
	is.Equal(refusal.Reason, calls.ReasonDeadlineNear)
	is.Equal(refusal.Ran, calls.RanNot)
}

// TestColdUpstream submits a burst to an upstream that has just announced itself
// and checks that requests are sent at the cold rate only.
func TestColdUpstream(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, unkeyedService, 1)
	current := harness.shard.targets["up-0"].upstream
	current.Incarnation = "two"
	current.SeenAt = harness.clock.Now()
	harness.control.commit(state.RegisterUpstream{Upstream: current})
	harness.shard.syncCatalog()
	target := harness.shard.targets["up-0"]
	target.grants.confirmedUntil.set(harness.clock.Now().Add(time.Hour))
	for range 50 {
		harness.submit(newRequest(unkeyedService, http.MethodGet, ""))
	}
	for range 200 {
		for len(harness.shard.running) > 0 {
			harness.receive()
		}
		harness.clock.Advance(5 * time.Millisecond)
		harness.shard.dispatch(harness.clock.Now())
	}
	is.True(harness.upstreams.calls() <= 7) // 5 per second for one second, one initial token, one in flight
}

// TestHedge checks that a slow read is sent to a second upstream and gets the
// first answer, and that a write is never sent twice.
func TestHedge(t *testing.T) {
	for _, test := range []struct {
		method string
		sends  int
	}{{http.MethodGet, 2}, {http.MethodPost, 1}} {
		t.Run(test.method, func(t *testing.T) {
			is := is.New(t)
			harness := newHarness(t, unkeyedService, 2)
			harness.shard.hedgeBudget = 5
			for _, target := range harness.shard.targets {
				target.ramp.RecordAnswer(harness.clock.Now(), 10*time.Millisecond, harness.clock.Now())
			}
			slow := make(chan struct{})
			harness.upstreams.send = func(_ context.Context, call upstr.Call) upstr.Result {
				if call.Address == upstreamAddress(0) {
					<-slow
				}
				return upstr.Response{Answer: state.Answer{Status: http.StatusOK, Body: []byte(call.Address.String())}}
			}
			job := harness.submit(newRequest(unkeyedService, test.method, ""))
			harness.clock.Advance(29 * time.Millisecond)
			harness.shard.hedge(harness.clock.Now())
			is.Equal(job.inFlight, 1) // less than three times the typical latency
			harness.clock.Advance(2 * time.Millisecond)
			harness.shard.hedge(harness.clock.Now())
			is.Equal(job.inFlight, test.sends)
			if test.sends == 1 {
				close(slow)
			}
			response, ok := harness.outcome(job).(calls.Response)
			is.True(ok)
			is.Equal(string(response.Answer.Body), upstreamAddress(test.sends-1).String())
			if test.sends == 2 {
				close(slow)
			}
			harness.drain()
			is.Equal(harness.upstreams.calls(), test.sends)
		})
	}
}

// TestStalledUpstreamIsAvoided checks that no request is sent to an upstream that
// has stopped answering while others are free, except with round robin.
func TestStalledUpstreamIsAvoided(t *testing.T) {
	for _, test := range []struct {
		routing string
		avoided bool
	}{
		{spec.RoutingLatencyTwoChoices, true},
		{spec.RoutingLeastOutstanding, true},
		{spec.RoutingRoundRobin, false},
	} {
		t.Run(test.routing, func(t *testing.T) {
			is := is.New(t)
			harness := newHarness(t, unkeyedService, 3)
			now := harness.clock.Now()
			stalled := harness.shard.targets["up-1"]
			stalled.runs[&job{}] = now.Add(-time.Second)
			stalled.running++
			class := &class{policy: spec.Policy{Routing: test.routing}}
			used := 0
			for number := range 30 {
				harness.shard.env.Random = func(n int) int { return number % n }
				if harness.shard.chooseTarget(class, nil, now) == stalled {
					used++
				}
			}
			is.Equal(used == 0, test.avoided)
		})
	}
}

// TestRetryBudget checks that the retry budget bounds the retries when every
// request fails.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, keyedService, 1)
	harness.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
		return upstr.NotRun{Cause: upstr.CauseShed, Err: errInjected}
	}
	const requests = 200
	for range requests {
		harness.clock.Advance(time.Second)
		target := harness.shard.targets["up-0"]
		target.ramp.Duration = 0
		target.grants.confirmedUntil.set(harness.clock.Now().Add(time.Hour))
		harness.outcome(harness.submit(newRequest(keyedService, http.MethodGet, "")))
	}
	retries := harness.upstreams.calls() - requests
	is.True(retries <= maxBudget+requests/10) // a tenth of the requests, plus the initial budget
	is.True(retries > 0)
}

// TestPoliciesShareTraffic splits traffic between two policies and removes one of
// them while requests are queued under it. None of those may be lost.
func TestPoliciesShareTraffic(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, unkeyedService, 1)
	harness.apply(`
[[policy]]
name = "one"
schema = 1
version = 1
routing = "latencyTwoChoices"
[[policy]]
name = "two"
schema = 1
version = 1
routing = "roundRobin"
admission = "fifo"
[[service]]
name = "dispatchdesk"
schema = 2
version = 2
policies = [{ name = "one", share = 3 }, { name = "two", share = 1 }]
`)
	harness.shard.syncCatalog()
	next := 0
	harness.shard.env.Random = func(n int) int {
		next++
		return next * 7919 % 100 * n / 100
	}
	release := make(chan struct{})
	harness.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
		<-release
		return upstr.Response{Answer: state.Answer{Status: http.StatusOK}}
	}
	var jobs []*job
	for range 100 {
		jobs = append(jobs, harness.submit(newRequest(unkeyedService, http.MethodGet, "")))
	}
	waiting := map[string]int{}
	for _, class := range harness.shard.classes {
		waiting[class.policy.Name] = class.queue.Len()
	}
	is.True(waiting["two"] >= 20 && waiting["two"] <= 30) // a quarter of a hundred
	harness.apply("[[service]]\nname = \"dispatchdesk\"\nschema = 1\nversion = 3\npolicies = [\"one\"]\n")
	harness.shard.syncCatalog()
	is.Equal(len(harness.shard.classes), 1)
	close(release)
	for _, job := range jobs {
		_, ok := harness.outcome(job).(calls.Response)
		is.True(ok) // no request that waited under the removed policy is lost
	}
	status := harness.shard.status()
	is.Equal(len(status.Policies), 1)
	is.Equal(status.Policies[0].Policy, "one")
}
