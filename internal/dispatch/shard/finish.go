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
	// maxTries bounds the attempts of one request.
	maxTries = 3
	// hedgeFactor is how many times the usual time an idempotent request waits
	// before it is sent to a second upstream.
	hedgeFactor = 3
	minHedge    = 10 * time.Millisecond
)

// finish takes an attempt's outcome in.
func (shard *Shard) finish(message doneMessage) {
	now := shard.env.Clock.Now()
	work, target := message.run, message.target
	work.open--
	target.running--
	delete(target.runs, work)
	if work.open == 0 {
		delete(shard.running, work)
	}
	work.lane.queue.Done(work.request.Workspace)
	shard.learn(message, now)
	if shard.leavingSlot(work) {
		target.grants.urgent = true
	}
	if work.settled {
		return
	}
	switch outcome := message.outcome.(type) {
	case finalOutcome:
		work.settle(outcome.outcome)
	case attachedOutcome:
		work.maybeRan = true
		go shard.attach(work)
	case upstreamOutcome:
		if _, answered := outcome.result.(upstr.Answered); !answered && work.open > 0 {
			// The other attempt may still answer.
			work.maybeRan = true
			return
		}
		shard.conclude(work, target, outcome.result, now)
	}
}

// leavingSlot tells whether the request's key is moving to another upstream.
func (shard *Shard) leavingSlot(work *run) bool {
	_, owner := shard.env.Catalog().Tables[shard.service].Find(work.request.Key)
	return shard.upstream != "" && owner.MovingTo != ""
}

// learn updates what the primary knows of the upstream's speed.
func (shard *Shard) learn(message doneMessage, now time.Time) {
	outcome, ok := message.outcome.(upstreamOutcome)
	if !ok {
		return
	}
	took := outcome.took
	chilled := false
	switch result := outcome.result.(type) {
	case upstr.Answered:
		message.target.observe(took)
		chilled = message.target.ramp.Answer(outcome.sentAt, took, now)
	case upstr.NotRun:
		if result.Cause == upstr.CauseShed {
			chilled = message.target.ramp.Shed(now)
		}
	case upstr.TimedOut:
		message.target.observe(took)
	}
	if chilled {
		shard.env.Stats.Event("cold", "slowOrShed")
		shard.env.Log.Infof(logPrefix+"upstream %s seems cold", message.target.upstream.ID)
	}
}

// conclude answers the caller, or tries again where that is safe.
func (shard *Shard) conclude(work *run, target *target, result upstr.Result, now time.Time) {
	switch result := result.(type) {
	case upstr.Answered:
		shard.absolve(work)
		shard.env.Stats.Policy(shard.service, work.lane.policy.Name, "answered", now.Sub(work.arrived))
		work.settle(calls.Answered{Answer: result.Answer, Upstream: target.upstream.ID.Name})
	case upstr.NotRun:
		shard.retryNotRun(work, result, now)
	case upstr.Lost:
		work.maybeRan = true
		target.grants.urgent = true
		go shard.strike(work, target, result)
	case upstr.TimedOut:
		work.maybeRan = true
		work.settle(timeoutOutcome(work))
	case upstr.BadAnswer:
		work.settle(calls.Refused{Reason: badAnswerReason(result.Cause), Ran: calls.RanYes, Detail: result.Err.Error()})
	}
}

// timeoutOutcome tells a caller why there is no answer.
func timeoutOutcome(work *run) calls.Refused {
	refused := calls.Refused{
		Reason: calls.ReasonUpstreamTimeout, Ran: calls.RanUnknown, Detail: "no answer before the deadline",
	}
	if work.abandoned {
		refused.Reason = calls.ReasonUpstreamLost
		refused.Detail = "the upstream was lost in mid-request"
	}
	return refused
}

func badAnswerReason(cause upstr.BadAnswerCause) calls.Reason {
	switch cause {
	case upstr.CauseTooLarge:
		return calls.ReasonAnswerTooLarge
	case upstr.CauseUnframed:
		return calls.ReasonAnswerUnframed
	default:
		return calls.ReasonAnswerCut
	}
}

// retryNotRun tries a request again that surely did not run.
func (shard *Shard) retryNotRun(work *run, result upstr.NotRun, now time.Time) {
	reason := calls.ReasonUpstreamShed
	switch result.Cause {
	case upstr.CauseUnreachable:
		reason = calls.ReasonUnreachable
	case upstr.CauseFenced:
		reason = calls.ReasonKeyMoving
	case upstr.CauseShed:
	}
	if result.Cause != upstr.CauseFenced && shard.retry(work, string(reason), now) {
		return
	}
	work.settle(calls.Refused{
		Reason: reason, Ran: calls.RanNot, RetryAfter: max(result.RetryAfter, time.Second), Detail: result.Err.Error(),
	})
}

// retry puts a request back in its queue if the budget allows.
func (shard *Shard) retry(work *run, reason string, now time.Time) bool {
	if shard.isQuarantined(work.request.Fingerprint) {
		return false
	}
	if work.tries >= maxTries || shard.budget < 1 || !work.deadline.After(now) || shard.stopping != "" || work.open > 0 {
		return false
	}
	shard.budget--
	shard.env.Stats.Retried(reason)
	shard.enqueue(work)
	return true
}

// strike finds out whether the upstream's process was lost with the request,
// and if so notes the request as a suspect before it can be tried again.
func (shard *Shard) strike(work *run, target *target, lost upstr.Lost) {
	ctx, cancel := context.WithTimeout(shard.ctx, grantTimeout)
	probe := upstr.Grant{Service: shard.service, Upstream: target.upstream.ID.Name, Epoch: shard.epoch}
	ack, err := shard.env.Upstreams.Grant(ctx, target.upstream.Address, probe)
	cancel()
	crashed := err != nil || ack.Incarnation != target.upstream.Incarnation
	message := lostMessage{run: work, target: target, lost: lost, crashed: crashed}
	if crashed {
		shard.env.Stats.Event("suspect", "upstreamLost")
		result, _ := shard.resultOf(state.StrikeRequest{
			Fingerprint: work.request.Fingerprint,
			Upstream:    target.upstream.ID.String() + "@" + target.upstream.Incarnation,
			At:          shard.env.Clock.Now(),
		})
		message.quarantined = result.Outcome == state.OutcomeQuarantined
	}
	shard.post(message)
}

// afterLoss decides what follows for a request whose connection was lost.
func (shard *Shard) afterLoss(message lostMessage) {
	work := message.run
	if message.crashed {
		// Nothing goes there until it confirms a grant again.
		message.target.grants.confirmed = time.Time{}
	}
	if message.quarantined {
		shard.quarantine(work.request.Fingerprint)
	}
	if work.settled || work.open > 0 {
		return
	}
	if work.request.Idempotent() && shard.retry(work, string(calls.ReasonUpstreamLost), shard.env.Clock.Now()) {
		return
	}
	refused := unknownOutcome(message.lost.Err.Error())
	if work.request.Idempotent() {
		refused.Reason = calls.ReasonUpstreamLost
	}
	work.settle(refused)
}

// quarantine refuses a request from now on, also before the catalog shows it.
func (shard *Shard) quarantine(fingerprint string) {
	if shard.quarantined == nil {
		shard.quarantined = map[string]bool{}
	}
	shard.quarantined[fingerprint] = true
}

func (shard *Shard) isQuarantined(fingerprint string) bool {
	if shard.env.Catalog().Quarantine[fingerprint].Quarantined() {
		// The catalog shows it now, and will tell when it ends.
		delete(shard.quarantined, fingerprint)
		return true
	}
	return shard.quarantined[fingerprint]
}

// absolve clears a suspect that ran to its end.
func (shard *Shard) absolve(work *run) {
	if _, suspect := shard.env.Catalog().Quarantine[work.request.Fingerprint]; suspect {
		go shard.proposeUntilDone(state.AbsolveRequest{Fingerprint: work.request.Fingerprint})
	}
}

// attach waits, without a slot, for an earlier arrival of the request.
func (shard *Shard) attach(work *run) {
	ctx, cancel := context.WithTimeout(work.ctx, work.deadline.Sub(shard.env.Clock.Now()))
	defer cancel()
	attempt := &attempt{shard: shard, request: work.request, id: "attach-" + work.request.ID}
	for {
		select {
		case <-ctx.Done():
			shard.postOutcome(work, calls.Refused{
				Reason: calls.ReasonStillRunning, Ran: calls.RanUnknown, RetryAfter: time.Second,
				Detail: "an earlier arrival of this request is still running",
			})
			return
		case <-shard.ctx.Done():
			shard.postOutcome(work, unknownOutcome("the primary ended"))
			return
		case <-shard.env.Clock.After(attachPoll):
		}
		outcome := attempt.begin(ctx)
		if outcome == nil {
			// The earlier arrival did not run and was taken out; this one is
			// the first now, and goes through the queue like any other.
			attempt.dropPatiently()
			shard.post(resubmitMessage{run: work})
			return
		}
		if final, ok := outcome.(finalOutcome); ok {
			shard.postOutcome(work, final.outcome)
			return
		}
	}
}

// postOutcome has the loop answer a request.
func (shard *Shard) postOutcome(work *run, outcome calls.Outcome) {
	shard.post(settleMessage{run: work, outcome: outcome})
}

// hedge sends idempotent requests that take unusually long to a second
// upstream, within the policy's budget.
func (shard *Shard) hedge(now time.Time) {
	if shard.upstream != "" || shard.stopping != "" || !shard.mine() {
		return
	}
	for work := range shard.running {
		if !shard.wantsHedge(work, now) {
			continue
		}
		second := shard.choose(work.lane, work.target, now)
		if second == nil || second.ramp.Cold(now) {
			continue
		}
		shard.hedgeBudget--
		work.hedged = true
		shard.env.Stats.Retried("hedge")
		work.lane.queue.Began(work.request.Workspace)
		shard.open(work, second, 0, now)
	}
}

func (shard *Shard) wantsHedge(work *run, now time.Time) bool {
	if work.lane.policy.Routing == spec.RoutingRoundRobin {
		return false
	}
	if work.hedged || work.settled || work.open != 1 || !work.request.Idempotent() || shard.hedgeBudget < 1 {
		return false
	}
	usual := shard.fastestUsual()
	return usual > 0 && now.Sub(work.startedAt) > max(usual*hedgeFactor, minHedge)
}

// fastestUsual is the usual time of the upstream that is usually fastest.
func (shard *Shard) fastestUsual() time.Duration {
	var fastest time.Duration
	for _, target := range shard.targets {
		if usual := target.ramp.Usual(); usual > 0 && (fastest == 0 || usual < fastest) {
			fastest = usual
		}
	}
	return fastest
}
