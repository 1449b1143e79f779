package shard

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
)

const (
	beginTimeout = 2 * time.Second
	// finishWait is how long an answer waits to be stored before it goes to
	// the caller all the same.
	finishWait = 500 * time.Millisecond
	// attachPoll is the time between two looks at a request that runs already.
	attachPoll = 50 * time.Millisecond
	// cancelGrace is the time in which an upstream notices a cancellation.
	cancelGrace = 10 * time.Millisecond
	// ledgerPatience is how long a ledger command is tried.
	ledgerPatience = 20 * time.Second
)

// attemptOutcome is how an attempt ended: a result of the upstream, or one of
// the outcomes below.
type attemptOutcome interface{ attempt() }

// upstreamOutcome is what the upstream made of the attempt.
type upstreamOutcome struct {
	result upstr.Result
	sentAt time.Time
	took   time.Duration
}

// finalOutcome needs no upstream.
type finalOutcome struct{ outcome calls.Outcome }

// attachedOutcome means that an earlier arrival of the request is running.
type attachedOutcome struct{}

func (upstreamOutcome) attempt() {}
func (finalOutcome) attempt()    {}
func (attachedOutcome) attempt() {}

// attempt is one try of a request at an upstream. It runs beside the loop and
// touches none of its state.
type attempt struct {
	shard    *Shard
	request  calls.Request
	call     upstr.Call
	deadline time.Time
	id       string
}

// ledgered tells whether the ledger guards the request.
func ledgered(request calls.Request) bool {
	return !request.Idempotent() && request.IdempotencyKey != ""
}

func (attempt *attempt) key() state.LedgerKey {
	return state.LedgerKey{
		Workspace: attempt.request.Workspace, Service: attempt.request.Service, Key: attempt.request.IdempotencyKey,
	}
}

// run enters the request in the ledger where needed, sends it, and enters what
// became of it.
func (attempt *attempt) run(ctx context.Context) attemptOutcome {
	guarded := ledgered(attempt.request)
	if guarded {
		if outcome := attempt.begin(ctx); outcome != nil {
			return outcome
		}
	}
	sentAt := attempt.shard.env.Clock.Now()
	result := attempt.send(ctx)
	took := attempt.shard.env.Clock.Since(sentAt)
	if guarded {
		attempt.record(result)
	}
	return upstreamOutcome{result: result, sentAt: sentAt, took: took}
}

// send checks the lease directly before the first byte.
func (attempt *attempt) send(ctx context.Context) upstr.Result {
	if !attempt.shard.mine() {
		return upstr.NotRun{Cause: upstr.CauseFenced, Err: Error.New("the lease has ended")}
	}
	return attempt.shard.env.Upstreams.Send(ctx, attempt.call)
}

// begin enters the request in the ledger. A nil outcome allows it to be sent.
func (attempt *attempt) begin(ctx context.Context) attemptOutcome {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	result, err := attempt.shard.env.Control.Propose(ctx, state.BeginRequest{
		Key: attempt.key(), Fingerprint: attempt.request.Fingerprint, Attempt: attempt.id,
		Shard: attempt.shard.id, ShardEpoch: attempt.shard.epoch, At: attempt.shard.env.Clock.Now(),
	})
	if err != nil {
		// It may be entered yet; nothing was sent, so it is taken out again.
		go attempt.dropPatiently()
		return finalOutcome{outcome: calls.Refused{
			Reason: calls.ReasonLedgerUnavailable, Ran: calls.RanNot, RetryAfter: time.Second,
			Detail: "the request could not be entered in the ledger",
		}}
	}
	return beginOutcome(result)
}

func beginOutcome(result state.Result) attemptOutcome {
	switch result.Outcome {
	case state.OutcomeDone:
		return nil
	case state.OutcomeInProgress:
		return attachedOutcome{}
	case state.OutcomeFinished:
		return finalOutcome{outcome: stored(result.Answer)}
	case state.OutcomeUnknown:
		return finalOutcome{outcome: unknownOutcome("an earlier arrival of this request may or may not have run")}
	case state.OutcomeMismatch:
		return finalOutcome{outcome: calls.Refused{
			Reason: calls.ReasonKeyReused, Ran: calls.RanNot,
			Detail: "the idempotency key belongs to another request",
		}}
	case state.OutcomeFull:
		return finalOutcome{outcome: calls.Refused{Reason: calls.ReasonLedgerFull, Ran: calls.RanNot, RetryAfter: time.Minute}}
	default:
		return finalOutcome{outcome: moved(calls.ReasonShardMoved)}
	}
}

// stored returns the answer that the ledger kept.
func stored(answer state.Answer) calls.Outcome {
	if answer.Omitted {
		return calls.Refused{
			Reason: calls.ReasonAnswerOmitted, Ran: calls.RanYes,
			Detail: "the request ran, but its answer was not stored",
		}
	}
	return calls.Answered{Answer: answer, Replayed: true}
}

func unknownOutcome(detail string) calls.Refused {
	return calls.Refused{Reason: calls.ReasonOutcomeUnknown, Ran: calls.RanUnknown, Detail: detail}
}

// record enters the result in the ledger.
func (attempt *attempt) record(result upstr.Result) {
	switch result := result.(type) {
	case upstr.Answered:
		answer := result.Answer
		if len(answer.Body) > state.StoredBodyLimit {
			answer = state.Answer{Status: answer.Status, Omitted: true}
		}
		attempt.finish(answer)
	case upstr.BadAnswer:
		attempt.finish(state.Answer{Status: http.StatusBadGateway, Omitted: true})
	case upstr.NotRun:
		attempt.dropPatiently()
	default:
		attempt.finish(state.Answer{Unknown: true})
	}
}

// finish stores the answer. It returns once that is done or has taken long;
// storing then goes on beside the caller's answer.
func (attempt *attempt) finish(answer state.Answer) {
	stored := make(chan struct{})
	go func() {
		defer close(stored)
		command := state.FinishRequest{Key: attempt.key(), Attempt: attempt.id, Answer: answer}
		attempt.proposePatiently(command, "finishFailed")
	}()
	timer := attempt.shard.env.Clock.NewTimer(finishWait)
	defer timer.Stop()
	select {
	case <-stored:
	case <-timer.Chan():
		attempt.shard.env.Stats.Event("ledger", "finishLate")
	}
}

// dropPatiently takes the request out of the ledger, so that it can come again.
func (attempt *attempt) dropPatiently() {
	attempt.proposePatiently(state.DropRequest{Key: attempt.key(), Attempt: attempt.id}, "dropFailed")
}

// proposePatiently commits a ledger command even if the shard ends meanwhile,
// and counts a failure.
func (attempt *attempt) proposePatiently(command state.Command, failure string) {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerPatience)
	defer cancel()
	if _, err := attempt.shard.env.Control.Propose(ctx, command); err != nil {
		attempt.shard.env.Stats.Event("ledger", failure)
	}
}

// start sends a request to an upstream if its key is served there now.
func (shard *Shard) start(work *run, target *target, now time.Time) {
	token, ok := shard.tokenFor(work, target, now)
	if !ok {
		work.lane.queue.Done(work.request.Workspace)
		work.settle(calls.Refused{Reason: calls.ReasonKeyMoving, Ran: calls.RanNot})
		return
	}
	shard.open(work, target, token, now)
}

// tokenFor returns the fencing token for the request's key, if its owner is
// this upstream, keeps it, and has confirmed the grant.
func (shard *Shard) tokenFor(work *run, target *target, now time.Time) (uint64, bool) {
	if shard.upstream == "" {
		return 0, true
	}
	slot, owner := shard.env.Catalog().Tables[shard.service].Find(work.request.Key)
	work.slot = slot
	if owner.Upstream != shard.upstream || owner.MovingTo != "" {
		return 0, false
	}
	return owner.Token, target.holds(slot, owner.Token, now)
}

// open starts an attempt beside the loop.
func (shard *Shard) open(work *run, target *target, token uint64, now time.Time) {
	service, _ := shard.env.Catalog().Service(shard.service)
	ctx, cancel := shard.attemptContext(work, now)
	work.cancels = append(work.cancels, cancel)
	work.open++
	work.tries++
	work.target = target
	work.startedAt = now
	if shard.upstream != "" {
		shard.relief.observe(work.slot, now.Sub(work.arrived))
	}
	target.running++
	target.runs[work] = now
	shard.running[work] = true
	attempt := &attempt{
		shard: shard, request: work.request, deadline: work.deadline, id: uuid.NewString(),
		call: upstr.Call{
			Address: target.upstream.Address, Workspace: work.request.Workspace, RequestID: work.request.ID,
			Method: work.request.Method, Target: work.request.Target, Header: work.request.Header,
			IdempotencyKey: work.request.IdempotencyKey, Body: work.request.Body, Token: token, Epoch: shard.epoch,
			MaxAnswerSize: service.MaxAnswerSize,
		},
	}
	go func() {
		defer cancel()
		outcome := attempt.run(ctx)
		if ctx.Err() != nil {
			// The upstream needs a moment to notice that the request was
			// cancelled; its slot is not free before.
			<-shard.env.Clock.After(cancelGrace)
		}
		shard.post(doneMessage{run: work, target: target, started: now, outcome: outcome})
	}()
}

// attemptContext ends at the request's deadline. Only an idempotent request
// ends with its caller: any other is let run, so that its answer is stored.
func (shard *Shard) attemptContext(work *run, now time.Time) (context.Context, context.CancelFunc) {
	parent := shard.ctx
	if work.request.Idempotent() {
		parent = work.ctx
	}
	return context.WithTimeout(parent, work.deadline.Sub(now))
}
