package shard

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"damaskcrank.example/damaskcrank/internal/base/codes"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
)

const (
	beginTimeout = 2 * time.Second
	// finishWait is the maximum time that an answer waits to be stored in the
	// ledger before it is returned to the caller anyway.
	finishWait = 500 * time.Millisecond
	// attachPollInterval is how often the ledger is asked whether an earlier
	// submission of the same request has finished.
	attachPollInterval = 50 * time.Millisecond
	// cancelGrace is the time allowed for an upstream to notice a cancellation.
	cancelGrace = 10 * time.Millisecond
	// ledgerTimeout bounds the time spent on committing a ledger command.
	ledgerTimeout = 20 * time.Second
)

// attemptOutcome is the result of an attempt: one of the types below.
type attemptOutcome interface{ attempt() }

// upstreamOutcome is the result of an attempt that was sent to an upstream, or
// that failed the lease check directly before.
type upstreamOutcome struct {
	result upstr.Result
	sentAt time.Time
	took   time.Duration
}

// finalOutcome is an outcome that was decided without an upstream, such as a
// stored answer or a refusal.
type finalOutcome struct{ outcome calls.Outcome }

// attachedOutcome means that an earlier submission of the same request is
// still running.
type attachedOutcome struct{}

func (upstreamOutcome) attempt() {}
func (finalOutcome) attempt()    {}
func (attachedOutcome) attempt() {}

// attempt is one attempt to run a request at an upstream. It runs in its own
// goroutine and does not access state that the loop owns.
type attempt struct {
	shard    *Shard
	request  calls.Request
	call     upstr.Call
	deadline time.Time
	id       string
	// granted reports whether the upstream still has a grant.
	granted func(now time.Time) bool
}

// usesLedger reports whether the request is recorded in the ledger: it is not
// idempotent and has an idempotency key.
func usesLedger(request calls.Request) bool {
	return !request.Idempotent() && request.IdempotencyKey != ""
}

func (attempt *attempt) key() state.LedgerKey {
	return state.LedgerKey{
		Workspace: attempt.request.Workspace, Service: attempt.request.Service, Key: attempt.request.IdempotencyKey,
	}
}

// run records the request in the ledger if it needs that, sends it, and records
// the result.
func (attempt *attempt) run(ctx context.Context) attemptOutcome {
	ledgered := usesLedger(attempt.request)
	if ledgered {
		if outcome := attempt.begin(ctx); outcome != nil {
			return outcome
		}
	}
	sentAt := attempt.shard.env.Clock.Now()
	result := attempt.send(ctx)
	took := attempt.shard.env.Clock.Since(sentAt)
	if ledgered {
		attempt.recordResult(result)
	}
	return upstreamOutcome{result: result, sentAt: sentAt, took: took}
}

// send sends the request. It checks the lease and the upstream's grant directly
// before the first byte: entering the request in the ledger may have outlasted both.
func (attempt *attempt) send(ctx context.Context) upstr.Result {
	if !attempt.shard.isPrimary() {
		return upstr.NotRun{Cause: upstr.CauseFenced, Err: Error.New("the lease has ended")}
	}
	if !attempt.granted(attempt.shard.env.Clock.Now()) {
		return upstr.NotRun{Cause: upstr.CauseFenced, Err: Error.New("the upstream's grant has ended")}
	}
	return attempt.shard.env.Upstreams.Send(ctx, attempt.call)
}

// begin records the request in the ledger. A nil outcome means that the request
// may be sent.
func (attempt *attempt) begin(ctx context.Context) attemptOutcome {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	result, err := attempt.shard.env.Control.Propose(ctx, state.BeginRequest{
		Key: attempt.key(), Fingerprint: attempt.request.Fingerprint, Attempt: attempt.id,
		Shard: attempt.shard.id, ShardEpoch: attempt.shard.epoch, At: attempt.shard.env.Clock.Now(),
	})
	if err != nil {
		// The command may still be committed. Nothing was sent, so the entry is
		// removed again.
		go attempt.drop()
		return finalOutcome{outcome: calls.Refusal{
			Reason: calls.ReasonLedgerUnavailable, Ran: calls.RanNot, RetryAfter: time.Second,
			Detail: "the request could not be entered in the ledger",
		}}
	}
	return beginOutcome(result)
}

// beginOutcome returns the outcome for the result of a BeginRequest, or nil if the
// request may be sent.
func beginOutcome(result state.Result) attemptOutcome {
	switch result.Outcome {
	case state.OutcomeDone:
		return nil
	case state.OutcomeInProgress:
		return attachedOutcome{}
	case state.OutcomeFinished:
		return finalOutcome{outcome: storedOutcome(result.Answer)}
	case state.OutcomeUnknown:
		return finalOutcome{outcome: unknownOutcome("an earlier arrival of this request may or may not have run")}
	case state.OutcomeMismatch:
		return finalOutcome{outcome: calls.Refusal{
			Reason: calls.ReasonKeyReused, Ran: calls.RanNot,
			Detail: "the idempotency key belongs to another request",
		}}
	case state.OutcomeFull:
		return finalOutcome{outcome: calls.Refusal{Reason: calls.ReasonLedgerFull, Ran: calls.RanNot, RetryAfter: time.Minute}}
	default:
		return finalOutcome{outcome: notRun(calls.ReasonShardMoved)}
	}
}

// storedOutcome returns the outcome for an answer that the ledger stored.
func storedOutcome(answer state.Answer) calls.Outcome {
	if answer.Omitted {
		return calls.Refusal{
			Reason: calls.ReasonAnswerOmitted, Ran: calls.RanYes,
			Detail: "the request ran, but its answer was not stored",
		}
	}
	if !codes.IsFinal(answer.Status) { // stored by a host of an earlier version
		return calls.Refusal{Reason: calls.ReasonAnswerUnframed, Ran: calls.RanYes, Detail: "the request ran, but its answer has no valid status"}
	}
	return calls.Response{Answer: answer, Replayed: true}
}

func unknownOutcome(detail string) calls.Refusal {
	return calls.Refusal{Reason: calls.ReasonOutcomeUnknown, Ran: calls.RanUnknown, Detail: detail}
}

// recordResult records the attempt's result in the ledger.
func (attempt *attempt) recordResult(result upstr.Result) {
	switch result := result.(type) {
	case upstr.Response:
		answer := result.Answer
		if len(answer.Body) > state.MaxStoredBodyBytes {
			answer = state.Answer{Status: answer.Status, Omitted: true}
		}
		attempt.finish(answer)
	case upstr.BadResponse:
		attempt.finish(state.Answer{Status: http.StatusBadGateway, Omitted: true})
	case upstr.NotRun:
		attempt.drop()
	default:
		attempt.finish(state.Answer{Unknown: true})
	}
}

// finish stores the answer in the ledger. It returns after finishWait at the
// latest; storing then continues in the background while the caller is answered.
func (attempt *attempt) finish(answer state.Answer) {
	stored := make(chan struct{})
	go func() {
		defer close(stored)
		command := state.FinishRequest{Key: attempt.key(), Attempt: attempt.id, Answer: answer}
		attempt.propose(command, "finishFailed")
	}()
	timer := attempt.shard.env.Clock.NewTimer(finishWait)
	defer timer.Stop()
	select {
	case <-stored:
	case <-timer.Chan():
		attempt.shard.env.Stats.Event("ledger", "finishLate")
	}
}

// drop removes the request from the ledger, so that it can be sent again.
func (attempt *attempt) drop() {
	attempt.propose(state.DropRequest{Key: attempt.key(), Attempt: attempt.id}, "dropFailed")
}

// propose commits a ledger command, even if the shard ends in the meantime, and
// counts failures.
func (attempt *attempt) propose(command state.Command, failure string) {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	if _, err := attempt.shard.env.Control.Propose(ctx, command); err != nil {
		attempt.shard.env.Stats.Event("ledger", failure)
	}
}

// dispatchTo sends a request to an upstream, or refuses it if the upstream may
// not serve its key now or the request was quarantined while it waited.
func (shard *Shard) dispatchTo(job *job, target *target, now time.Time) {
	if shard.isQuarantined(job.request.Fingerprint) {
		job.class.queue.Done(job.request.Workspace)
		job.respond(quarantinedRefusal())
		return
	}
	token, ok := shard.tokenFor(job, target, now)
	if !ok {
		job.class.queue.Done(job.request.Workspace)
		job.respond(calls.Refusal{Reason: calls.ReasonKeyMoving, Ran: calls.RanNot})
		return
	}
	shard.startAttempt(job, target, token, now)
}

// tokenFor returns the fencing token for the request's key. It returns false
// unless the shard's upstream owns the key, the key is not moving, and the
// upstream has confirmed the grant for it.
func (shard *Shard) tokenFor(job *job, target *target, now time.Time) (uint64, bool) {
	if shard.upstream == "" {
		return 0, true
	}
	slot, owner := shard.env.Catalog().Tables[shard.service].Find(job.request.Key)
	job.slot = slot
	if owner.Upstream != shard.upstream || owner.MovingTo != "" {
		return 0, false
	}
	return owner.Token, target.hasSlot(slot, owner.Token, now)
}

// startAttempt starts an attempt in its own goroutine.
func (shard *Shard) startAttempt(job *job, target *target, token uint64, now time.Time) {
	service, _ := shard.env.Catalog().Service(shard.service)
	ctx, cancel := shard.attemptContext(job, now)
	job.cancels = append(job.cancels, cancel)
	job.inFlight++
	job.attempts++
	job.target = target
	job.startedAt = now
	if shard.upstream != "" {
		shard.rebalancer.observe(job.slot, now.Sub(job.arrived))
	}
	target.running++
	target.runs[job] = now
	shard.running[job] = true
	id := uuid.NewString()
	attempt := &attempt{
		shard: shard, request: job.request, deadline: job.deadline, id: id, granted: target.hasGrant,
		call: upstr.Call{
			Address: target.upstream.Address, Workspace: job.request.Workspace, RequestID: job.request.ID,
			AttemptID: id, Method: job.request.Method, Target: job.request.Target, Header: job.request.Header,
			IdempotencyKey: job.request.IdempotencyKey, Body: job.request.Body, Token: token, Epoch: shard.epoch,
			MaxAnswerSize: service.MaxAnswerSize,
		},
	}
	go func() {
		defer cancel()
		outcome := attempt.run(ctx)
		if ctx.Err() != nil {
			// The slot is free only once the upstream has noticed the
			// cancellation.
			<-shard.env.Clock.After(cancelGrace)
		}
		shard.post(doneMessage{job: job, target: target, started: now, outcome: outcome})
	}()
}

// attemptContext returns a context that ends at the request's deadline. Only an
// idempotent request is also cancelled when its caller disconnects; any other
// continues, so that its answer is stored.
func (shard *Shard) attemptContext(job *job, now time.Time) (context.Context, context.CancelFunc) {
	parent := shard.ctx
	if job.request.Idempotent() {
		parent = job.ctx
	}
	return context.WithTimeout(parent, job.deadline.Sub(now))
}
