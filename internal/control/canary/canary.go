// Package canary decides how a rollout proceeds: how many requests go to the target version,
// and whether it is completed or rolled back.
package canary

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

// Bounds are the operators' bounds for rollouts.
type Bounds struct {
	// Exposure is the part of a service's requests that a bad version may get. Rollouts are
	// off at 0.
	Exposure float64
	// Rollback is the time within which a bad version must get nothing any more.
	Rollback time.Duration
}

// Sample sums up requests of one host to a version on a route.
type Sample struct {
	Version, Route string
	Answered, Bad  int
	Work           time.Duration
	Running        int
}

// Report is what an entry host reports of a service.
type Report struct {
	Host, DataCentre string
	// Applied is the log index of the host's catalog.
	Applied uint64
	Samples []Sample
	// Upstreams are the outcomes of requests to upstreams of the target, by their IDs.
	Upstreams map[string]Outcomes
}

// Outcomes counts the requests to one upstream: those that were answered, with an error or
// not, and those that failed or were answered with an error.
type Outcomes struct{ Answered, Failed int }

// Input is the situation that a decision is about.
type Input struct {
	Now     time.Time
	Rollout state.Rollout
	// Hosts are the registered entry hosts, which report once in an Interval.
	Hosts    []string
	Interval time.Duration
	// Keyed is set for services whose requests go to the owner of their key, so that the
	// target may get a smaller part than its exposure.
	Keyed bool
	// KeysElsewhere is set while upstreams of other versions own keys.
	KeysElsewhere bool
}

// Action is what is to be done.
type Action string

// The actions.
const (
	Continue Action = "continue"
	Hold     Action = "hold"
	Step     Action = "step"
	Complete Action = "complete"
	RollBack Action = "rollBack"
)

// Reason is why.
type Reason string

// The reasons.
const (
	ReasonNotDue         Reason = "notDue"
	ReasonGoodEvidence   Reason = "goodEvidence"
	ReasonFirstStep      Reason = "firstStep"
	ReasonReportsMissing Reason = "reportsMissing"
	ReasonFewAnswers     Reason = "fewAnswers"
	ReasonSuspicion      Reason = "suspicion"
	ReasonFailures       Reason = "failures"
	ReasonSlow           Reason = "slow"
	ReasonDurationEnded  Reason = "durationEnded"
	ReasonHostsUnsettled Reason = "hostsUnsettled"
	ReasonHostsLost      Reason = "hostsLost"
	ReasonKeysMoving     Reason = "keysMoving"
	ReasonHostsSettled   Reason = "hostsSettled"
)

// Decision is the outcome, with the evidence that it rests on.
type Decision struct {
	Action Action
	Reason Reason
	// Exposure is that of the next step, in thousandths.
	Exposure int
	Evidence Evidence
}

// Evidence sums up what a decision rests on.
type Evidence struct {
	// Route is the route that was decisive, "" for all.
	Route                     string
	Answered, Bad             int
	Expected                  float64
	StableAnswered, StableBad int
	WorkRatio                 float64
	// Hosts is the number of registered entry hosts, and Confirmed that of those which
	// recently reported with the present step.
	Hosts, Confirmed int
	// Age is the time since the latest report.
	Age time.Duration
}

// stage is a step of the schedule: the part of the duration from which on the exposure is due.
type stage struct {
	from     float64
	exposure float64
}

const (
	// minStepPart is the least length of a step, as part of the duration.
	minStepPart = 0.07
	// endPart is the part of the duration at which an unfinished rollout is rolled back. The
	// rest is left for the commit and for hosts to learn of it.
	endPart = 0.95
	// confirmedPart is the part of entry hosts that must confirm a step before the next. It is
	// more than a half and allows for the loss of one of four data centres.
	confirmedPart = 0.6
	// reportIntervals is the age of a host's latest report, in intervals, up to which it counts.
	reportIntervals = 3
	// answeredPart is the part of the expected answers that a step needs, keyedPart that for
	// keyed services, and enoughAnswers are enough in any case.
	answeredPart, keyedPart = 0.5, 0.15
	enoughAnswers           = 40.0

	// recentPart is the part of Bounds.Rollback that the test for sudden failures looks back. The
	// rest is left for reports, the commit, and hosts to learn of it.
	recentPart = 0.4

	// minBad, badFactor and badDeviations define failures. In the simulation of the tests, 1 of
	// 840 good versions exceeded them (60 seeds of each setting, 30 of each change of the leader),
	// and 1 of 780 bad ones got too many requests before it did (30 seeds; 2 % failures).
	minBad        = 6
	badFactor     = 1.5
	badDeviations = 3.0
	// The same for suspicion.
	minSuspectBad     = 4
	suspectFactor     = 1.25
	suspectDeviations = 2.0
	// persistentSlots is the number of slots with bad responses from which on a version counts
	// as bad, fastSlots that at an exposure over fastExposure, and maxSlotShare is the largest
	// part of them in one slot. An upstream that crashes loses all its requests at once.
	persistentSlots, fastSlots = 3, 2
	fastExposure               = 100
	maxSlotShare               = 0.6
	// slowRatio is the ratio of work to that of the stable version from which on a version
	// counts as slow. Upstreams of one version differ by a factor of 2.3 and are slowed by
	// neighbours, so the mean over a few of them may be twice that over all.
	slowRatio        = 3.0
	suspectSlowRatio = 2.5
	minSlowAnswers   = 20
)

// hostState is the latest report of a host.
type hostState struct {
	at      time.Time
	applied uint64
	// running is the number of requests that run on versions other than the target.
	running int
}

// Trial holds the evidence of one leader on one rollout.
type Trial struct {
	bounds   Bounds
	evidence evidence
	// hosts are the latest reports, and seen all hosts that were registered meanwhile.
	hosts map[string]hostState
	seen  map[string]bool
	// changed is the log index of the present step, which this leader has known since stepAt;
	// step are the counts of hosts that have it.
	changed uint64
	stepAt  time.Time
	step    pair
}

// NewTrial returns a Trial without evidence.
func NewTrial(bounds Bounds) *Trial {
	recent := time.Duration(recentPart * float64(bounds.Rollback))
	return &Trial{bounds: bounds, evidence: evidence{recent: recent}, hosts: map[string]hostState{}, seen: map[string]bool{}}
}

// observe notices a change of the step.
func (trial *Trial) observe(now time.Time, rollout state.Rollout) {
	if trial.changed != rollout.Changed {
		trial.changed, trial.stepAt, trial.step = rollout.Changed, now, pair{}
	}
}

// Add adds a host's report.
func (trial *Trial) Add(now time.Time, rollout state.Rollout, report Report) {
	trial.observe(now, rollout)
	host := hostState{at: now, applied: report.Applied}
	for _, sample := range report.Samples {
		trial.evidence.add(now, report.DataCentre, rollout, sample)
		switch {
		case sample.Version != rollout.Target:
			host.running += sample.Running
			if report.Applied >= rollout.Changed && sample.Version == rollout.Stable {
				trial.step.stable.add(sample)
			}
		case report.Applied >= rollout.Changed:
			trial.step.target.add(sample)
		}
	}
	trial.evidence.addUpstreams(now, report.Upstreams)
	trial.hosts[report.Host] = host
}

// Decide returns what is to be done now.
func (trial *Trial) Decide(input Input) Decision {
	trial.observe(input.Now, input.Rollout)
	for _, name := range input.Hosts {
		trial.seen[name] = true
	}
	decision := trial.judge(input)
	decision.Evidence.Hosts, decision.Evidence.Confirmed = len(input.Hosts), trial.confirmed(input)
	decision.Evidence.Age = trial.age(input)
	return decision
}

// judge returns the decision without the state of the hosts.
func (trial *Trial) judge(input Input) Decision {
	if input.Rollout.Started == 0 {
		return Decision{Action: Step, Reason: ReasonFirstStep, Exposure: trial.stages()[0].thousandths()}
	}
	verdict := trial.verdict(input)
	if verdict.Action == RollBack {
		return verdict
	}
	if input.Rollout.State == state.RolloutFinishing {
		action, reason := trial.settled(input)
		return Decision{Action: action, Reason: reason, Evidence: verdict.Evidence}
	}
	next := trial.next(input)
	next.Evidence = verdict.Evidence
	switch {
	case elapsedPart(input) >= endPart:
		return Decision{Action: RollBack, Reason: ReasonDurationEnded, Evidence: verdict.Evidence}
	case next.Action == Step && verdict.Action == Hold:
		return verdict
	default:
		return next
	}
}

// verdict compares the versions. The action is RollBack, Hold or Continue.
func (trial *Trial) verdict(input Input) Decision {
	recent, all := trial.evidence.sums(input.Now)
	slots := persistentSlots
	if input.Rollout.Exposure > fastExposure {
		slots = fastSlots
	}
	recent.discount(trial.evidence.soleFailures(input.Now.Add(-trial.evidence.recent)))
	all.discount(trial.evidence.soleFailures(time.Time{}))
	for _, window := range []tallies{recent, all} {
		for _, route := range slices.Sorted(maps.Keys(window)) {
			tally := window[route]
			failing := tally.target.bad >= minBad && tally.exceeds(badFactor, badDeviations)
			if failing && tally.persists(slots) {
				return Decision{Action: RollBack, Reason: ReasonFailures, Evidence: evidenceOf(route, tally)}
			}
		}
	}
	suspected := false
	for _, route := range slices.Sorted(maps.Keys(recent)) {
		tally, whole := recent[route], all[route]
		if tally.workRatio() >= slowRatio && whole.workRatio() >= suspectSlowRatio {
			return Decision{Action: RollBack, Reason: ReasonSlow, Evidence: evidenceOf(route, tally)}
		}
		suspect := tally.target.bad >= minSuspectBad && tally.exceeds(suspectFactor, suspectDeviations)
		suspected = suspected || suspect || tally.workRatio() >= suspectSlowRatio
	}
	decision := Decision{Action: Continue, Evidence: evidenceOf("", all[""])}
	if suspected {
		decision.Action, decision.Reason = Hold, ReasonSuspicion
	}
	return decision
}

// next returns the next step if it is due and the present one has enough answers.
func (trial *Trial) next(input Input) Decision {
	stages := trial.stages()
	following := stages[len(stages)-1]
	for position := len(stages) - 1; position >= 0 && stages[position].thousandths() > input.Rollout.Exposure; position-- {
		following = stages[position]
	}
	stepTime := time.Duration(minStepPart * float64(input.Rollout.Duration))
	if elapsedPart(input) < following.from || input.Now.Sub(trial.stepAt) < stepTime {
		return Decision{Action: Continue, Reason: ReasonNotDue}
	}
	if float64(trial.confirmed(input)) <= confirmedPart*float64(len(input.Hosts)) {
		return Decision{Action: Hold, Reason: ReasonReportsMissing}
	}
	part := answeredPart
	if input.Keyed {
		part = keyedPart
	}
	expected := float64(trial.step.stable.answered) * float64(input.Rollout.Exposure) / float64(state.FullExposure-input.Rollout.Exposure)
	if float64(trial.step.target.answered) < min(enoughAnswers, part*expected) {
		return Decision{Action: Hold, Reason: ReasonFewAnswers}
	}
	return Decision{Action: Step, Reason: ReasonGoodEvidence, Exposure: following.thousandths()}
}

// settled decides on a rollout that finishes: it is complete once no host sends anything to
// another version and no request runs there. A host that was removed has ended or has refused
// callers for a while, as nobody confirmed its configuration; if half of the hosts seem to be
// so, the reports are not trusted.
func (trial *Trial) settled(input Input) (Action, Reason) {
	for _, name := range input.Hosts {
		host, reported := trial.hosts[name]
		if !reported || host.applied < input.Rollout.Changed || host.running > 0 {
			return Hold, ReasonHostsUnsettled
		}
	}
	switch {
	case len(input.Hosts) <= len(trial.seen)/2:
		return Hold, ReasonHostsLost
	case input.KeysElsewhere:
		return Hold, ReasonKeysMoving
	}
	return Complete, ReasonHostsSettled
}

// confirmed returns the number of hosts that recently reported with the present step.
func (trial *Trial) confirmed(input Input) int {
	count := 0
	for _, name := range input.Hosts {
		host, reported := trial.hosts[name]
		if reported && host.applied >= input.Rollout.Changed && input.Now.Sub(host.at) <= reportIntervals*input.Interval {
			count++
		}
	}
	return count
}

// age returns the time since the latest report, or since the step if there was none.
func (trial *Trial) age(input Input) time.Duration {
	latest := trial.stepAt
	for _, host := range trial.hosts {
		if host.at.After(latest) {
			latest = host.at
		}
	}
	return input.Now.Sub(latest)
}

// stages returns the schedule.
func (trial *Trial) stages() []stage {
	low, high := trial.bounds.Exposure/2, trial.bounds.Exposure*0.8 //nolint:mnd // see docs/design/rollouts-control.md
	return []stage{{0, low}, {0.30, high}, {0.55, max(high, 0.2)}, {0.62, max(high, 0.35)}, {0.69, 1}}
}

func (stage stage) thousandths() int {
	return min(state.FullExposure, max(1, int(stage.exposure*state.FullExposure)))
}

// elapsedPart returns the part of the duration that has passed.
func elapsedPart(input Input) float64 {
	elapsed := input.Now.Sub(time.UnixMilli(input.Rollout.Started))
	return elapsed.Seconds() / input.Rollout.Duration.Seconds()
}

func evidenceOf(route string, tally tally) Evidence {
	return Evidence{
		Route: route, Answered: tally.target.answered, Bad: tally.target.bad, Expected: tally.expected,
		StableAnswered: tally.stable.answered, StableBad: tally.stable.bad, WorkRatio: tally.workRatio(),
	}
}

// Describe returns the reason with the evidence, in a few words.
func (decision Decision) Describe() string {
	evidence := decision.Evidence
	scope := "all routes"
	if evidence.Route != "" {
		scope = fmt.Sprintf("route %q", evidence.Route)
	}
	return fmt.Sprintf("%s: on %s %d of %d responses were bad and %.1f expected, work was %.1f times that of the version in use",
		decision.Reason, scope, evidence.Bad, evidence.Answered, evidence.Expected, evidence.WorkRatio)
}
