package shard

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/queue"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
)

var errInjected = errors.New("injected by the test")

// TestOutcomes checks, for each way in which an attempt can end, the outcome for
// the caller, the number of sends, and the ledger's answer to the same request
// afterwards.
func TestOutcomes(t *testing.T) {
	response := upstr.Response{Answer: state.Answer{Status: http.StatusOK, Body: []byte("done")}}
	for _, test := range []struct {
		name   string
		method string
		key    string
		// results are the upstream's results in order; the last one repeats.
		results []upstr.Result
		reason  calls.Reason
		ran     calls.Ran
		sends   int
		// resend is the ledger's answer to the same request.
		resend state.Outcome
	}{
		{"write answered", http.MethodPost, "k", []upstr.Result{response}, "", "", 1, state.OutcomeFinished},
		{"write lost", http.MethodPost, "k", []upstr.Result{upstr.Lost{Err: errInjected}}, calls.ReasonOutcomeUnknown, calls.RanUnknown, 1, state.OutcomeUnknown},
		{"write timed out", http.MethodPost, "k", []upstr.Result{upstr.TimedOut{Err: errInjected}}, calls.ReasonUpstreamTimeout, calls.RanUnknown, 1, state.OutcomeUnknown},
		{"write's answer cut", http.MethodPost, "k", []upstr.Result{upstr.BadResponse{Cause: upstr.CauseTruncated, Err: errInjected}}, calls.ReasonAnswerCut, calls.RanYes, 1, state.OutcomeFinished},
		{"write shed once", http.MethodPost, "k", []upstr.Result{upstr.NotRun{Cause: upstr.CauseShed, Err: errInjected}, response}, "", "", 2, state.OutcomeFinished},
		{"write shed always", http.MethodPost, "k", []upstr.Result{upstr.NotRun{Cause: upstr.CauseShed, Err: errInjected}}, calls.ReasonUpstreamShed, calls.RanNot, maxAttempts, state.OutcomeDone},
		{"write fenced", http.MethodPost, "k", []upstr.Result{upstr.NotRun{Cause: upstr.CauseFenced, Err: errInjected}}, calls.ReasonKeyMoving, calls.RanNot, 1, state.OutcomeDone},
		{"write without key lost", http.MethodPost, "", []upstr.Result{upstr.Lost{Err: errInjected}}, calls.ReasonOutcomeUnknown, calls.RanUnknown, 1, ""},
		{"write without key unreachable", http.MethodPost, "", []upstr.Result{upstr.NotRun{Cause: upstr.CauseUnreachable, Err: errInjected}, response}, "", "", 2, ""},
		{"read lost once", http.MethodGet, "", []upstr.Result{upstr.Lost{Err: errInjected}, response}, "", "", 2, ""},
		{"read lost always", http.MethodGet, "", []upstr.Result{upstr.Lost{Err: errInjected}}, calls.ReasonUpstreamLost, calls.RanUnknown, maxAttempts, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			harness := newHarness(t, unkeyedService, 2)
			next := 0
			harness.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
				result := test.results[min(next, len(test.results)-1)]
				next++
				return result
			}
			request := newRequest(unkeyedService, test.method, test.key)
			outcome := harness.outcome(harness.submit(request))
			if refusal, ok := outcome.(calls.Refusal); ok {
				is.Equal(refusal.Reason, test.reason)
				is.Equal(refusal.Ran, test.ran)
			} else {
				is.Equal(test.reason, calls.Reason("")) // an answer was expected
			}
			is.Equal(harness.upstreams.calls(), test.sends)
			if test.key != "" {
				result := harness.control.commit(state.BeginRequest{
					Key:         state.LedgerKey{Workspace: request.Workspace, Service: request.Service, Key: request.IdempotencyKey},
					Fingerprint: request.Fingerprint, Attempt: "another", Shard: harness.shard.id, ShardEpoch: harness.shard.epoch, At: harness.clock.Now(),
				})
				is.Equal(result.Outcome, test.resend)
			}
		})
	}
}

// TestLedgerEntryBeforeSend checks that a write is in the ledger before it is sent
// to the upstream.
func TestLedgerEntryBeforeSend(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, unkeyedService, 1)
	begun := 0
	harness.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
		begun = count[state.BeginRequest](harness.control)
		return upstr.Lost{Err: errInjected}
	}
	harness.outcome(harness.submit(newRequest(unkeyedService, http.MethodPost, "k")))
	is.Equal(begun, 1)
}

// TestLedgerUnavailable checks that a write whose ledger entry fails is refused as
// not run and never sent, even if the entry was committed and only the reply was
// lost, and that the write can be sent again afterwards.
func TestLedgerUnavailable(t *testing.T) {
	for _, test := range []struct {
		name      string
		committed bool
	}{{"entry not committed", false}, {"answer lost", true}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			harness := newHarness(t, unkeyedService, 1)
			dropped := make(chan struct{})
			harness.control.before = func(command state.Command) error {
				begin, ok := command.(state.BeginRequest)
				if !ok {
					return nil
				}
				if test.committed {
					harness.control.commit(begin)
				}
				return errInjected
			}
			harness.control.after = func(command state.Command) {
				if _, ok := command.(state.DropRequest); ok {
					close(dropped)
				}
			}
			outcome := harness.outcome(harness.submit(newRequest(unkeyedService, http.MethodPost, "k")))
			refusal, ok := outcome.(calls.Refusal)
			is.True(ok)
			is.Equal(refusal.Reason, calls.ReasonLedgerUnavailable)
			is.Equal(refusal.Ran, calls.RanNot)
			is.Equal(harness.upstreams.calls(), 0)
			<-dropped
			harness.control.before = nil
			harness.control.after = nil
			_, ok = harness.outcome(harness.submit(newRequest(unkeyedService, http.MethodPost, "k"))).(calls.Response)
			is.True(ok) // the request can be sent again
		})
	}
}

// TestLeaseEndsBeforeSend ends the lease between the ledger entry and the send, as
// a pause of the process can, and checks that nothing is sent.
func TestLeaseEndsBeforeSend(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, unkeyedService, 1)
	harness.control.after = func(command state.Command) {
		if _, ok := command.(state.BeginRequest); ok {
			harness.lease.end()
		}
	}
	refusal, ok := harness.outcome(harness.submit(newRequest(unkeyedService, http.MethodPost, "k"))).(calls.Refusal)
	is.True(ok)
	is.Equal(refusal.Ran, calls.RanNot)
	is.Equal(harness.upstreams.calls(), 0)
	is.Equal(count[state.DropRequest](harness.control), 1)
}

// TestGrantEndsBeforeSend lets the upstream's grant expire while a write is entered in
// the ledger. The upstream's keys may have another owner by then, so the write must
// not be sent to it.
func TestGrantEndsBeforeSend(t *testing.T) {
	for _, service := range []string{keyedService, unkeyedService} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			harness := newHarness(t, service, 2)
			harness.control.after = func(command state.Command) {
				if _, ok := command.(state.BeginRequest); ok {
					harness.clock.Advance(GrantTTL)
				}
			}
			refusal, ok := harness.outcome(harness.submit(newRequest(service, http.MethodPost, "k"))).(calls.Refusal)
			is.True(ok)
			is.Equal(refusal.Reason, calls.ReasonKeyMoving)
			is.Equal(refusal.Ran, calls.RanNot)
			is.Equal(harness.upstreams.calls(), 0)
			is.Equal(count[state.DropRequest](harness.control), 1)
		})
	}
}

// TestDuplicateWhileRunning submits a write again while the first one is running.
// The duplicate must wait without occupying a slot and get the first one's answer.
func TestDuplicateWhileRunning(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, unkeyedService, 1)
	release := make(chan struct{})
	sending := make(chan struct{})
	harness.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
		close(sending)
		<-release
		return upstr.Response{Answer: state.Answer{Status: http.StatusCreated, Body: []byte("booked")}}
	}
	first := harness.submit(newRequest(unkeyedService, http.MethodPost, "k"))
	<-sending
	second := harness.submit(newRequest(unkeyedService, http.MethodPost, "k"))
	harness.receiveUntil(func() bool { return len(harness.shard.running) == 1 }) // the duplicate released its slot
	close(release)
	response, ok := harness.outcome(first).(calls.Response)
	is.True(ok)
	is.Equal(response.Replayed, false)
	is.NoErr(harness.clock.BlockUntilContext(t.Context(), 1))
	harness.clock.Advance(attachPollInterval)
	replayed, ok := harness.outcome(second).(calls.Response)
	is.True(ok)
	is.Equal(replayed.Replayed, true)
	is.Equal(string(replayed.Answer.Body), "booked")
	is.Equal(harness.upstreams.calls(), 1)
}

func TestIdempotencyKeyReused(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, unkeyedService, 1)
	harness.outcome(harness.submit(newRequest(unkeyedService, http.MethodPost, "k")))
	other := newRequest(unkeyedService, http.MethodPost, "k")
	other.Body = []byte("another booking")
	other.SetFingerprint()
	refusal, ok := harness.outcome(harness.submit(other)).(calls.Refusal)
	is.True(ok)
	is.Equal(refusal.Reason, calls.ReasonKeyReused)
	is.Equal(refusal.Ran, calls.RanNot)
	is.Equal(harness.upstreams.calls(), 1)
}

// TestCrashingRequestIsQuarantined submits a request that crashes each upstream
// that runs it. After QuarantineThreshold crashes it must be refused, also when it
// is submitted again.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, unkeyedService, 4)
	harness.upstreams.send = func(_ context.Context, call upstr.Call) upstr.Result {
		harness.upstreams.kill(call.Address)
		return upstr.Lost{Err: errInjected}
	}
	refusal, ok := harness.outcome(harness.submit(newRequest(unkeyedService, http.MethodGet, ""))).(calls.Refusal)
	is.True(ok)
	is.Equal(refusal.Ran, calls.RanUnknown)
	crashed := harness.upstreams.calls()
	is.Equal(crashed, state.QuarantineThreshold)
	again, ok := harness.outcome(harness.submit(newRequest(unkeyedService, http.MethodGet, ""))).(calls.Refusal)
	is.True(ok)
	is.Equal(again.Reason, calls.ReasonQuarantined)
	is.Equal(harness.upstreams.calls(), crashed) // no further upstream is crashed
}

// TestWaitingRequestIsQuarantined quarantines a request, by losses on other hosts, while
// a copy of it waits for a slot. The copy passed the check on its arrival and was sent
// all the same, to crash a third upstream.
func TestWaitingRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, unkeyedService, 1)
	release := make(chan struct{})
	harness.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
		<-release
		return upstr.Response{Answer: state.Answer{Status: http.StatusOK}}
	}
	running := []*job{
		harness.submit(newRequest(unkeyedService, http.MethodGet, "first")), harness.submit(newRequest(unkeyedService, http.MethodGet, "second")),
	}
	request := newRequest(unkeyedService, http.MethodGet, "")
	request.Target = "/crash"
	request.SetFingerprint()
	waiting := harness.submit(request)
	for number := range state.QuarantineThreshold {
		harness.control.commit(state.RecordSuspect{Fingerprint: request.Fingerprint, Upstream: fmt.Sprint(number), At: harness.clock.Now()})
	}
	close(release)
	for _, job := range running {
		harness.outcome(job)
	}
	refusal, ok := harness.outcome(waiting).(calls.Refusal)
	is.True(ok)
	is.Equal(refusal.Reason, calls.ReasonQuarantined)
	is.Equal(refusal.Ran, calls.RanNot)
	is.Equal(harness.upstreams.calls(), len(running))
}

// TestQuarantinedRequestIsNotHedged quarantines a slow read while it runs. The second
// send of a hedge would have crashed one more upstream.
func TestQuarantinedRequestIsNotHedged(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, unkeyedService, 2)
	harness.shard.hedgeBudget = 5
	for _, target := range harness.shard.targets {
		target.ramp.RecordAnswer(harness.clock.Now(), 10*time.Millisecond, harness.clock.Now())
	}
	release := make(chan struct{})
	harness.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
		<-release
		return upstr.Response{Answer: state.Answer{Status: http.StatusOK}}
	}
	request := newRequest(unkeyedService, http.MethodGet, "")
	job := harness.submit(request)
	for number := range state.QuarantineThreshold {
		harness.control.commit(state.RecordSuspect{Fingerprint: request.Fingerprint, Upstream: fmt.Sprint(number), At: harness.clock.Now()})
	}
	harness.clock.Advance(time.Second / 10)
	harness.shard.hedge(harness.clock.Now())
	is.Equal(job.inFlight, 1)
	close(release)
	harness.outcome(job)
}

// TestEndsUnderHedgedRequestCount hedges a read that ends both upstreams that run it. The
// first end was not recorded, since the other attempt might still have been answered, so
// that the read could end one upstream more.
func TestEndsUnderHedgedRequestCount(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, unkeyedService, 4)
	harness.shard.hedgeBudget = 5
	for _, target := range harness.shard.targets {
		target.ramp.RecordAnswer(harness.clock.Now(), 10*time.Millisecond, harness.clock.Now())
	}
	release := make(chan struct{})
	harness.upstreams.send = func(_ context.Context, call upstr.Call) upstr.Result {
		<-release
		harness.upstreams.kill(call.Address)
		return upstr.Lost{Err: errInjected}
	}
	request := newRequest(unkeyedService, http.MethodGet, "")
	job := harness.submit(request)
	harness.clock.Advance(time.Second / 10)
	harness.shard.hedge(harness.clock.Now())
	is.Equal(job.inFlight, 2)
	close(release)
	harness.outcome(job)
	harness.drain()
	is.Equal(harness.upstreams.calls(), state.QuarantineThreshold)
}

// TestQuarantineEndsWithTheCatalogs lets the catalog list and drop a request's quarantine
// while no copy of the request arrives. The primary that had learned of the quarantine
// from the result of its own report refused the request for as long as it ran.
func TestQuarantineEndsWithTheCatalogs(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, unkeyedService, 4)
	harness.upstreams.send = func(_ context.Context, call upstr.Call) upstr.Result {
		harness.upstreams.kill(call.Address)
		return upstr.Lost{Err: errInjected}
	}
	before := harness.control.catalog()
	lagging := &atomic.Bool{}
	lagging.Store(true)
	harness.shard.env.Catalog = func() *state.Catalog {
		if lagging.Load() {
			return before
		}
		return harness.control.catalog()
	}
	request := newRequest(unkeyedService, http.MethodGet, "")
	harness.outcome(harness.submit(request))
	again, ok := harness.outcome(harness.submit(request)).(calls.Refusal)
	is.True(ok)
	is.Equal(again.Reason, calls.ReasonQuarantined) // though this host's catalog does not list it yet
	harness.control.commit(state.ClearSuspect{Fingerprint: request.Fingerprint})
	lagging.Store(false)
	harness.upstreams.send = nil
	_, ok = harness.outcome(harness.submit(request)).(calls.Response)
	is.True(ok)
}

// TestSuspectIsCleared retries a request that was running when an upstream was lost
// for another reason. Once it has been answered, it must no longer be a suspect.
func TestSuspectIsCleared(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, unkeyedService, 3)
	lost := false
	harness.upstreams.send = func(_ context.Context, call upstr.Call) upstr.Result {
		if !lost {
			lost = true
			harness.upstreams.kill(call.Address)
			return upstr.Lost{Err: errInjected}
		}
		return upstr.Response{Answer: state.Answer{Status: http.StatusOK}}
	}
	cleared := make(chan struct{})
	harness.control.after = func(command state.Command) {
		if _, ok := command.(state.ClearSuspect); ok {
			close(cleared)
		}
	}
	request := newRequest(unkeyedService, http.MethodGet, "")
	_, ok := harness.outcome(harness.submit(request)).(calls.Response)
	is.True(ok)
	<-cleared
	_, suspect := harness.control.catalog().Quarantine[request.Fingerprint]
	is.True(!suspect)
}

// TestRetryIntoFullQueue retries a read whose connection was lost while its queue
// is full. The refusal must say that the request may have run.
func TestRetryIntoFullQueue(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t, unkeyedService, 1)
	fail := make(chan struct{})
	harness.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
		<-fail
		return upstr.Lost{Err: errInjected}
	}
	defer close(fail)
	first := harness.submit(newRequest(unkeyedService, http.MethodGet, ""))
	for range queue.DefaultLimit + 1 {
		harness.submit(newRequest(unkeyedService, http.MethodGet, ""))
	}
	first.maybeRan = true
	first.inFlight = 0
	is.True(harness.shard.retry(first, "lost", harness.clock.Now()))
	refusal, ok := (<-first.reply).(calls.Refusal)
	is.True(ok)
	is.Equal(refusal.Reason, calls.ReasonQueueFull)
	is.Equal(refusal.Ran, calls.RanUnknown)
}

// TestDuplicateIsNotRefusedAsNotRun makes the ledger unavailable, or moves the
// shard, while a duplicate waits for the first request to end. The first may have
// run, so the duplicate must not be refused as not run.
func TestDuplicateIsNotRefusedAsNotRun(t *testing.T) {
	for _, test := range []struct {
		name   string
		fault  func(harness *harness, broken *atomic.Bool)
		reason calls.Reason
	}{
		{"ledger unavailable", func(_ *harness, broken *atomic.Bool) { broken.Store(true) }, calls.ReasonLedgerUnavailable},
		{"shard moved", func(harness *harness, _ *atomic.Bool) {
			harness.control.commit(state.CloseSession{Host: testHost, Epoch: harness.lease.epoch})
			harness.control.commit(state.MoveShards{Moves: []state.ShardMove{{Shard: harness.shard.id, Epoch: harness.shard.epoch, Host: "host-1"}}})
		}, calls.ReasonShardMoved},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			harness := newHarness(t, unkeyedService, 1)
			broken := &atomic.Bool{}
			harness.control.before = func(state.Command) error {
				if broken.Load() {
					return errInjected
				}
				return nil
			}
			release := make(chan struct{})
			sending := make(chan struct{})
			harness.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
				close(sending)
				<-release
				return upstr.Response{Answer: state.Answer{Status: http.StatusOK}}
			}
			harness.submit(newRequest(unkeyedService, http.MethodPost, "k"))
			<-sending
			second := harness.submit(newRequest(unkeyedService, http.MethodPost, "k"))
			harness.receiveUntil(func() bool { return len(harness.shard.running) == 1 })
			test.fault(harness, broken)
			refusal, ok := harness.outcomeInTime(second).(calls.Refusal)
			is.True(ok)
			is.Equal(refusal.Reason, test.reason)
			is.Equal(refusal.Ran, calls.RanUnknown)
			broken.Store(false)
			close(release)
		})
	}
}
