package shard

import (
	"context"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// hedgeFactor is the multiple of the typical latency after which an
	// idempotent request is also sent to a second upstream.
	hedgeFactor   = 3
	minHedgeDelay = 10 * time.Millisecond
)

// finishAttempt processes the outcome of an attempt.
func (shard *Shard) finishAttempt(message doneMessage) {
	now := shard.env.Clock.Now()
	job, target := message.job, message.target
	job.inFlight--
	target.running--
	delete(target.runs, job)
	if job.inFlight == 0 {
		delete(shard.running, job)
	}
	job.class.queue.Done(job.request.Workspace)
	shard.recordTiming(message, now)
	if shard.keyMoving(job) {
		target.grants.renewNow = true
	}
	if lost, ok := lostConnection(message.outcome); ok {
		job.maybeRan = true
		job.probes++
		target.grants.renewNow = true
		go shard.probeAfterLoss(job, target, lost)
		return
	}
	if job.responded {
		return
	}
	switch outcome := message.outcome.(type) {
	case finalOutcome:
		job.respond(outcome.outcome)
	case attachedOutcome:
		job.maybeRan = true
		go shard.attach(job)
	case upstreamOutcome:
		if _, answered := outcome.result.(upstr.Response); !answered && job.inFlight > 0 {
			// The other attempt may still answer.
			job.maybeRan = true
			return
		}
		shard.handleResult(job, target, outcome.result, now)
	}
}

// lostConnection returns the result of an attempt whose connection was lost. It matters
// also if the job was answered or has another attempt: the upstream may have ended.
func lostConnection(outcome any) (upstr.Lost, bool) {
	result, ok := outcome.(upstreamOutcome)
	if !ok {
		return upstr.Lost{}, false
	}
	lost, ok := result.result.(upstr.Lost)
	return lost, ok
}

// keyMoving reports whether the request's key is moving to another upstream.
func (shard *Shard) keyMoving(job *job) bool {
	_, owner := shard.env.Catalog().Tables[shard.service].Find(job.request.Key)
	return shard.upstream != "" && owner.MovingTo != ""
}

// recordTiming updates the upstream's latency statistics and warm-up.
func (shard *Shard) recordTiming(message doneMessage, now time.Time) {
	outcome, ok := message.outcome.(upstreamOutcome)
	if !ok {
		return
	}
	took := outcome.took
	turnedCold := false
	switch result := outcome.result.(type) {
	case upstr.Response:
		message.target.observeLatency(took)
		turnedCold = message.target.ramp.RecordAnswer(outcome.sentAt, took, now)
	case upstr.NotRun:
		if result.Cause == upstr.CauseShed {
			turnedCold = message.target.ramp.RecordShed(now)
		}
	case upstr.TimedOut:
		message.target.observeLatency(took)
	}
	if turnedCold {
		shard.env.Stats.Event("cold", "slowOrShed")
		shard.env.Log.Infof(logPrefix+"upstream %s shed requests or slowed down, restarting its warm-up", message.target.upstream.ID)
	}
}

// handleResult answers the caller, or retries the request where that is safe.
func (shard *Shard) handleResult(job *job, target *target, result upstr.Result, now time.Time) {
	switch result := result.(type) {
	case upstr.Response:
		shard.clearSuspect(job)
		shard.env.Stats.Policy(shard.service, job.class.policy.Name, "answered", now.Sub(job.arrived))
		job.respond(calls.Response{Answer: result.Answer, Upstream: target.upstream.ID.Name})
	case upstr.NotRun:
		shard.retryNotRun(job, result, now)
	case upstr.TimedOut:
		job.maybeRan = true
		job.respond(timeoutOutcome(job))
	case upstr.BadResponse:
		job.respond(calls.Refusal{Reason: badAnswerReason(result.Cause), Ran: calls.RanYes, Detail: result.Err.Error()})
	}
}

// timeoutOutcome returns the refusal for a request that got no answer.
func timeoutOutcome(job *job) calls.Refusal {
	refusal := calls.Refusal{
		Reason: calls.ReasonUpstreamTimeout, Ran: calls.RanUnknown, Detail: "no answer before the deadline",
	}
	if job.upstreamLost {
		refusal.Reason = calls.ReasonUpstreamLost
		refusal.Detail = "the upstream was lost in mid-request"
	}
	return refusal
}

func badAnswerReason(cause upstr.BadResponseCause) calls.Reason {
	switch cause {
	case upstr.CauseTooLarge:
		return calls.ReasonAnswerTooLarge
	case upstr.CauseUnframed, upstr.CauseStatus: // hosts of earlier versions know no reason for the latter
		return calls.ReasonAnswerUnframed
	default:
		return calls.ReasonAnswerCut
	}
}

// retryNotRun retries a request that certainly did not run, or refuses it.
func (shard *Shard) retryNotRun(job *job, result upstr.NotRun, now time.Time) {
	reason := calls.ReasonUpstreamShed
	switch result.Cause {
	case upstr.CauseUnreachable:
		reason = calls.ReasonUnreachable
	case upstr.CauseFenced:
		reason = calls.ReasonKeyMoving
	case upstr.CauseShed:
	}
	if result.Cause != upstr.CauseFenced && shard.retry(job, string(reason), now) {
		return
	}
	job.respond(calls.Refusal{
		Reason: reason, Ran: calls.RanNot, RetryAfter: max(result.RetryAfter, time.Second), Detail: result.Err.Error(),
	})
}

// retry puts a request back in its queue if the retry budget allows it.
func (shard *Shard) retry(job *job, reason string, now time.Time) bool {
	if shard.isQuarantined(job.request.Fingerprint) {
		return false
	}
	if job.attempts >= maxAttempts || shard.retryBudget < 1 || !job.deadline.After(now) || shard.stopReason != "" || job.inFlight > 0 {
		return false
	}
	shard.retryBudget--
	shard.env.Stats.Retried(reason)
	shard.enqueue(job)
	return true
}

// probeAfterLoss finds out whether the upstream's process was lost together with
// the request's connection. If so, it records the request as a suspect before it
// can be retried.
func (shard *Shard) probeAfterLoss(job *job, target *target, lost upstr.Lost) {
	ctx, cancel := context.WithTimeout(shard.ctx, grantTimeout)
	probe := upstr.Grant{Service: shard.service, Upstream: target.upstream.ID.Name, Epoch: shard.epoch}
	ack, err := shard.env.Upstreams.Grant(ctx, target.upstream.Address, probe)
	cancel()
	crashed := err != nil || ack.Incarnation != target.upstream.Incarnation
	message := lostMessage{job: job, target: target, lost: lost, crashed: crashed}
	if crashed {
		shard.env.Stats.Event("suspect", "upstreamLost")
		result, _ := shard.proposeForResult(state.RecordSuspect{
			Fingerprint: job.request.Fingerprint,
			Upstream:    target.upstream.ID.String() + "@" + target.upstream.Incarnation,
			At:          shard.env.Clock.Now(),
		})
		if result.Outcome == state.OutcomeQuarantined {
			message.quarantinedAt = result.Index
		}
	}
	shard.post(message)
}

// handleLoss retries or refuses a request whose connection was lost.
func (shard *Shard) handleLoss(message lostMessage) {
	job := message.job
	job.probes--
	if message.crashed {
		// The upstream gets no requests until it confirms a grant again.
		message.target.grants.confirmedUntil.set(time.Time{})
	}
	if message.quarantinedAt > 0 {
		shard.quarantine(job.request.Fingerprint, message.quarantinedAt)
	}
	if job.responded || job.inFlight > 0 || job.probes > 0 {
		return
	}
	if job.request.Idempotent() && shard.retry(job, string(calls.ReasonUpstreamLost), shard.env.Clock.Now()) {
		return
	}
	refusal := unknownOutcome(message.lost.Err.Error())
	if job.request.Idempotent() {
		refusal.Reason = calls.ReasonUpstreamLost
	}
	job.respond(refusal)
}

// quarantine makes the shard refuse a request until its catalog has reached the
// index, from which the catalog decides.
func (shard *Shard) quarantine(fingerprint string, index uint64) {
	if shard.quarantined == nil {
		shard.quarantined = map[string]uint64{}
	}
	shard.quarantined[fingerprint] = index
}

func (shard *Shard) isQuarantined(fingerprint string) bool {
	catalog := shard.env.Catalog()
	index, quarantined := shard.quarantined[fingerprint]
	if quarantined && catalog.Index >= index {
		delete(shard.quarantined, fingerprint)
		quarantined = false
	}
	return quarantined || catalog.Quarantine[fingerprint].Quarantined()
}

// clearSuspect deletes the suspect record, if any, of a request that has been
// answered.
func (shard *Shard) clearSuspect(job *job) {
	if _, suspect := shard.env.Catalog().Quarantine[job.request.Fingerprint]; suspect {
		go shard.proposeWithRetry(state.ClearSuspect{Fingerprint: job.request.Fingerprint})
	}
}

// attach waits, without occupying a slot, for an earlier submission of the
// same request to finish.
func (shard *Shard) attach(job *job) {
	ctx, cancel := context.WithTimeout(job.ctx, job.deadline.Sub(shard.env.Clock.Now()))
	defer cancel()
	attempt := &attempt{shard: shard, request: job.request, id: "attach-" + job.request.ID}
	for {
		select {
		case <-ctx.Done():
			shard.postOutcome(job, calls.Refusal{
				Reason: calls.ReasonStillRunning, Ran: calls.RanUnknown, RetryAfter: time.Second,
				Detail: "an earlier arrival of this request is still running",
			})
			return
		case <-shard.ctx.Done():
			shard.postOutcome(job, unknownOutcome("the primary ended"))
			return
		case <-shard.env.Clock.After(attachPollInterval):
		}
		outcome := attempt.begin(ctx)
		if outcome == nil {
			// The earlier submission did not run and was removed from the ledger.
			// This request is now the first, and is queued like any other.
			attempt.drop()
			shard.post(resubmitMessage{job: job})
			return
		}
		if final, ok := outcome.(finalOutcome); ok {
			shard.postOutcome(job, final.outcome)
			return
		}
	}
}

// postOutcome makes the loop answer a request with the outcome.
func (shard *Shard) postOutcome(job *job, outcome calls.Outcome) {
	shard.post(respondMessage{job: job, outcome: outcome})
}

// hedge sends idempotent requests that take much longer than the typical latency
// to a second upstream, within the hedge budget.
func (shard *Shard) hedge(now time.Time) {
	if shard.upstream != "" || shard.stopReason != "" || !shard.isPrimary() {
		return
	}
	for job := range shard.running {
		if !shard.shouldHedge(job, now) {
			continue
		}
		second := shard.chooseTarget(job.class, job.target, now)
		if second == nil || second.ramp.Cold(now) {
			continue
		}
		shard.hedgeBudget--
		job.hedged = true
		shard.env.Stats.Retried("hedge")
		job.class.queue.AddRunning(job.request.Workspace)
		shard.startAttempt(job, second, 0, now)
	}
}

func (shard *Shard) shouldHedge(job *job, now time.Time) bool {
	if job.class.policy.Routing == spec.RoutingRoundRobin {
		return false
	}
	if job.hedged || job.responded || job.inFlight != 1 || !job.request.Idempotent() || shard.hedgeBudget < 1 {
		return false
	}
	if shard.isQuarantined(job.request.Fingerprint) {
		return false
	}
	typical := shard.lowestTypicalLatency()
	return typical > 0 && now.Sub(job.startedAt) > max(typical*hedgeFactor, minHedgeDelay)
}

// lowestTypicalLatency returns the lowest typical latency of all upstreams, or 0
// if none is known.
func (shard *Shard) lowestTypicalLatency() time.Duration {
	var lowest time.Duration
	for _, target := range shard.targets {
		if typical := target.ramp.TypicalLatency(); typical > 0 && (lowest == 0 || typical < lowest) {
			lowest = typical
		}
	}
	return lowest
}
