package shard

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/queue"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
)

var errFake = errors.New("fault by the test")

// TestOutcomes checks, for each way in which an attempt may end, what the
// caller is told, how often the upstream was asked, and what the ledger says to
// the same request afterwards.
func TestOutcomes(t *testing.T) {
	answered := upstr.Answered{Answer: state.Answer{Status: http.StatusOK, Body: []byte("done")}}
	for _, test := range []struct {
		name   string
		method string
		key    string
		// results are the upstream's, in order; the last one repeats.
		results []upstr.Result
		reason  calls.Reason
		ran     calls.Ran
		sends   int
		// resend is what the ledger answers to the same request.
		resend state.Outcome
	}{
		{"write answered", http.MethodPost, "k", []upstr.Result{answered}, "", "", 1, state.OutcomeFinished},
		{"write lost", http.MethodPost, "k", []upstr.Result{upstr.Lost{Err: errFake}}, calls.ReasonOutcomeUnknown, calls.RanUnknown, 1, state.OutcomeUnknown},
		{"write timed out", http.MethodPost, "k", []upstr.Result{upstr.TimedOut{Err: errFake}}, calls.ReasonUpstreamTimeout, calls.RanUnknown, 1, state.OutcomeUnknown},
		{"write's answer cut", http.MethodPost, "k", []upstr.Result{upstr.BadAnswer{Cause: upstr.CauseCut, Err: errFake}}, calls.ReasonAnswerCut, calls.RanYes, 1, state.OutcomeFinished},
		{"write shed once", http.MethodPost, "k", []upstr.Result{upstr.NotRun{Cause: upstr.CauseShed, Err: errFake}, answered}, "", "", 2, state.OutcomeFinished},
		{"write shed always", http.MethodPost, "k", []upstr.Result{upstr.NotRun{Cause: upstr.CauseShed, Err: errFake}}, calls.ReasonUpstreamShed, calls.RanNot, maxTries, state.OutcomeDone},
		{"write fenced", http.MethodPost, "k", []upstr.Result{upstr.NotRun{Cause: upstr.CauseFenced, Err: errFake}}, calls.ReasonKeyMoving, calls.RanNot, 1, state.OutcomeDone},
		{"write without key lost", http.MethodPost, "", []upstr.Result{upstr.Lost{Err: errFake}}, calls.ReasonOutcomeUnknown, calls.RanUnknown, 1, ""},
		{"write without key unreachable", http.MethodPost, "", []upstr.Result{upstr.NotRun{Cause: upstr.CauseUnreachable, Err: errFake}, answered}, "", "", 2, ""},
		{"lookup lost once", http.MethodGet, "", []upstr.Result{upstr.Lost{Err: errFake}, answered}, "", "", 2, ""},
		{"lookup lost always", http.MethodGet, "", []upstr.Result{upstr.Lost{Err: errFake}}, calls.ReasonUpstreamLost, calls.RanUnknown, maxTries, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rig := newRig(t, rigDesk, 2)
			next := 0
			rig.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
				result := test.results[min(next, len(test.results)-1)]
				next++
				return result
			}
			made := request(rigDesk, test.method, test.key)
			outcome := rig.outcome(rig.submit(made))
			if refused, ok := outcome.(calls.Refused); ok {
				is.Equal(refused.Reason, test.reason)
				is.Equal(refused.Ran, test.ran)
			} else {
				is.Equal(test.reason, calls.Reason("")) // an answer was expected
			}
			is.Equal(rig.upstreams.calls(), test.sends)
			if test.key != "" {
				result := rig.control.commit(state.BeginRequest{
					Key:         state.LedgerKey{Workspace: made.Workspace, Service: made.Service, Key: made.IdempotencyKey},
					Fingerprint: made.Fingerprint, Attempt: "another", Shard: rig.shard.id, ShardEpoch: rig.shard.epoch, At: rig.clock.Now(),
				})
				is.Equal(result.Outcome, test.resend)
			}
		})
	}
}

// TestBegunBeforeFirstByte checks that the ledger holds a write when its first
// byte goes to the upstream.
func TestBegunBeforeFirstByte(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, rigDesk, 1)
	begun := 0
	rig.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
		begun = count[state.BeginRequest](rig.control)
		return upstr.Lost{Err: errFake}
	}
	rig.outcome(rig.submit(request(rigDesk, http.MethodPost, "k")))
	is.Equal(begun, 1)
}

// TestLedgerUnavailable refuses a write as not run and sends nothing, also
// where the entry was committed and only its answer was lost.
func TestLedgerUnavailable(t *testing.T) {
	for _, test := range []struct {
		name      string
		committed bool
	}{{"entry not committed", false}, {"answer lost", true}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rig := newRig(t, rigDesk, 1)
			dropped := make(chan struct{})
			rig.control.before = func(command state.Command) error {
				begin, ok := command.(state.BeginRequest)
				if !ok {
					return nil
				}
				if test.committed {
					rig.control.commit(begin)
				}
				return errFake
			}
			rig.control.after = func(command state.Command) {
				if _, ok := command.(state.DropRequest); ok {
					close(dropped)
				}
			}
			outcome := rig.outcome(rig.submit(request(rigDesk, http.MethodPost, "k")))
			refused, ok := outcome.(calls.Refused)
			is.True(ok)
			is.Equal(refused.Reason, calls.ReasonLedgerUnavailable)
			is.Equal(refused.Ran, calls.RanNot)
			is.Equal(rig.upstreams.calls(), 0)
			<-dropped
			rig.control.before = nil
			rig.control.after = nil
			_, ok = rig.outcome(rig.submit(request(rigDesk, http.MethodPost, "k"))).(calls.Answered)
			is.True(ok) // the request can come again
		})
	}
}

// TestPauseAcrossLeaseEnd ends the lease after the ledger entry and before the
// send, as a pause of the process does: nothing is sent.
func TestPauseAcrossLeaseEnd(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, rigDesk, 1)
	rig.control.after = func(command state.Command) {
		if _, ok := command.(state.BeginRequest); ok {
			rig.lease.end()
		}
	}
	refused, ok := rig.outcome(rig.submit(request(rigDesk, http.MethodPost, "k"))).(calls.Refused)
	is.True(ok)
	is.Equal(refused.Ran, calls.RanNot)
	is.Equal(rig.upstreams.calls(), 0)
	is.Equal(count[state.DropRequest](rig.control), 1)
}

// TestResendWhileRunning lets a second arrival of a write come while the first
// runs: it waits without a slot and gets the first one's answer.
func TestResendWhileRunning(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, rigDesk, 1)
	release := make(chan struct{})
	sending := make(chan struct{})
	rig.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
		close(sending)
		<-release
		return upstr.Answered{Answer: state.Answer{Status: http.StatusCreated, Body: []byte("booked")}}
	}
	first := rig.submit(request(rigDesk, http.MethodPost, "k"))
	<-sending
	second := rig.submit(request(rigDesk, http.MethodPost, "k"))
	rig.receiveUntil(func() bool { return len(rig.shard.running) == 1 }) // the second gave its slot back
	close(release)
	answered, ok := rig.outcome(first).(calls.Answered)
	is.True(ok)
	is.Equal(answered.Replayed, false)
	is.NoErr(rig.clock.BlockUntilContext(t.Context(), 1))
	rig.clock.Advance(attachPoll)
	replayed, ok := rig.outcome(second).(calls.Answered)
	is.True(ok)
	is.Equal(replayed.Replayed, true)
	is.Equal(string(replayed.Answer.Body), "booked")
	is.Equal(rig.upstreams.calls(), 1)
}

func TestKeyReusedForAnotherRequest(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, rigDesk, 1)
	rig.outcome(rig.submit(request(rigDesk, http.MethodPost, "k")))
	other := request(rigDesk, http.MethodPost, "k")
	other.Body = []byte("another booking")
	other.SetFingerprint()
	refused, ok := rig.outcome(rig.submit(other)).(calls.Refused)
	is.True(ok)
	is.Equal(refused.Reason, calls.ReasonKeyReused)
	is.Equal(refused.Ran, calls.RanNot)
	is.Equal(rig.upstreams.calls(), 1)
}

// TestPoison lets a request crash each upstream that runs it: after two it is
// refused, whoever sends it again.
func TestPoison(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, rigDesk, 4)
	rig.upstreams.send = func(_ context.Context, call upstr.Call) upstr.Result {
		rig.upstreams.kill(call.Address)
		return upstr.Lost{Err: errFake}
	}
	refused, ok := rig.outcome(rig.submit(request(rigDesk, http.MethodGet, ""))).(calls.Refused)
	is.True(ok)
	is.Equal(refused.Ran, calls.RanUnknown)
	crashed := rig.upstreams.calls()
	is.Equal(crashed, state.QuarantineStrikes)
	again, ok := rig.outcome(rig.submit(request(rigDesk, http.MethodGet, ""))).(calls.Refused)
	is.True(ok)
	is.Equal(again.Reason, calls.ReasonQuarantined)
	is.Equal(rig.upstreams.calls(), crashed) // no further upstream is lost
}

// TestInnocentIsAbsolved clears a request that was running when an upstream
// was lost for another cause.
func TestInnocentIsAbsolved(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, rigDesk, 3)
	lost := false
	rig.upstreams.send = func(_ context.Context, call upstr.Call) upstr.Result {
		if !lost {
			lost = true
			rig.upstreams.kill(call.Address)
			return upstr.Lost{Err: errFake}
		}
		return upstr.Answered{Answer: state.Answer{Status: http.StatusOK}}
	}
	absolved := make(chan struct{})
	rig.control.after = func(command state.Command) {
		if _, ok := command.(state.AbsolveRequest); ok {
			close(absolved)
		}
	}
	made := request(rigDesk, http.MethodGet, "")
	_, ok := rig.outcome(rig.submit(made)).(calls.Answered)
	is.True(ok)
	<-absolved
	_, suspect := rig.control.catalog().Quarantine[made.Fingerprint]
	is.True(!suspect)
}

// TestFullQueueAfterLoss loses a lookup's connection while its queue fills up:
// what is refused for the full queue may have run.
func TestFullQueueAfterLoss(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, rigDesk, 1)
	fail := make(chan struct{})
	rig.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
		<-fail
		return upstr.Lost{Err: errFake}
	}
	defer close(fail)
	first := rig.submit(request(rigDesk, http.MethodGet, ""))
	for range queue.DefaultLimit + 1 {
		rig.submit(request(rigDesk, http.MethodGet, ""))
	}
	first.maybeRan = true
	first.open = 0
	is.True(rig.shard.retry(first, "lost", rig.clock.Now()))
	refused, ok := (<-first.reply).(calls.Refused)
	is.True(ok)
	is.Equal(refused.Reason, calls.ReasonQueueFull)
	is.Equal(refused.Ran, calls.RanUnknown)
}

// TestAttachedNeverNotRun loses the ledger, or the shard, while a second arrival
// waits for the first one's end: the first may have run, so "not run" is wrong.
func TestAttachedNeverNotRun(t *testing.T) {
	for _, test := range []struct {
		name   string
		fault  func(rig *rig, broken *atomic.Bool)
		reason calls.Reason
	}{
		{"ledger unavailable", func(_ *rig, broken *atomic.Bool) { broken.Store(true) }, calls.ReasonLedgerUnavailable},
		{"shard moved", func(rig *rig, _ *atomic.Bool) {
			rig.control.commit(state.CloseSession{Host: rigHost, Epoch: rig.lease.epoch})
			rig.control.commit(state.MoveShards{Moves: []state.ShardMove{{Shard: rig.shard.id, Epoch: rig.shard.epoch, Host: "host-1"}}})
		}, calls.ReasonShardMoved},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rig := newRig(t, rigDesk, 1)
			broken := &atomic.Bool{}
			rig.control.before = func(state.Command) error {
				if broken.Load() {
					return errFake
				}
				return nil
			}
			release := make(chan struct{})
			sending := make(chan struct{})
			rig.upstreams.send = func(context.Context, upstr.Call) upstr.Result {
				close(sending)
				<-release
				return upstr.Answered{Answer: state.Answer{Status: http.StatusOK}}
			}
			rig.submit(request(rigDesk, http.MethodPost, "k"))
			<-sending
			second := rig.submit(request(rigDesk, http.MethodPost, "k"))
			rig.receiveUntil(func() bool { return len(rig.shard.running) == 1 })
			test.fault(rig, broken)
			refused, ok := rig.outcomeInTime(second).(calls.Refused)
			is.True(ok)
			is.Equal(refused.Reason, test.reason)
			is.Equal(refused.Ran, calls.RanUnknown)
			broken.Store(false)
			close(release)
		})
	}
}
