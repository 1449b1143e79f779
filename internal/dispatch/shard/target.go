package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/ramp"
)

const (
	// recentWeight is the weight of a new answer in the recent time.
	recentWeight = 0.3
	// stallFactor is how many times the usual time an unanswered request makes
	// an upstream count as stalled.
	stallFactor = 5
	minStall    = 50 * time.Millisecond
	// slowFactor is how many times the usual time the latest answers of a slow
	// upstream take.
	slowFactor = 3
)

// target is an upstream as its primary sees it.
type target struct {
	upstream state.Upstream
	ramp     ramp.Ramp
	running  int
	// recent is the average time of the latest answers.
	recent time.Duration
	runs   map[*run]time.Time
	// leaving is set while the upstream takes no new work.
	leaving bool
	// releaseOpen is set while a release of slots is being committed.
	releaseOpen bool

	grants grants
}

func newTarget(upstream state.Upstream, service spec.Service, now time.Time) *target {
	target := &target{upstream: upstream, runs: map[*run]time.Time{}}
	target.ramp = ramp.Ramp{
		ColdRate: upstream.ColdRate,
		Duration: upstream.ColdRamp,
		Slots:    upstream.Slots,
	}
	if upstream.ColdRate == 0 {
		target.ramp.ColdRate = service.ColdRate
	}
	if upstream.ColdRamp == 0 {
		target.ramp.Duration = service.ColdRamp
	}
	target.ramp.Since(upstream.SeenAt, now)
	return target
}

// free tells whether the upstream has a slot that may be used now.
func (target *target) free(now time.Time) bool {
	return !target.leaving && target.alive(now) && target.running < target.ramp.Concurrency(now)
}

// oldest returns the age of the request that has waited longest for an answer.
func (target *target) oldest(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, startedAt := range target.runs {
		age = max(age, now.Sub(startedAt))
	}
	return age
}

// stalled tells whether the upstream has not answered for much longer than it
// usually takes.
func (target *target) stalled(now time.Time) bool {
	return target.oldest(now) > max(target.ramp.Usual()*stallFactor, minStall)
}

// slow tells whether answers lately took much longer than they usually do.
func (target *target) slow() bool {
	return target.ramp.Straggling() || target.recent > slowFactor*target.ramp.Usual()
}

// score is the time that a further request is expected to take.
func (target *target) score(now time.Time) float64 {
	expected := max(target.recent, target.oldest(now), time.Millisecond)
	return float64(target.running+1) * float64(expected)
}

func (target *target) observe(took time.Duration) {
	if target.recent == 0 {
		target.recent = took
		return
	}
	target.recent += time.Duration(recentWeight * float64(took-target.recent))
}

func (shard *Shard) sortedTargets() []*target {
	targets := slices.Collect(maps.Values(shard.targets))
	slices.SortFunc(targets, func(left, right *target) int {
		return cmp.Compare(left.upstream.ID.Name, right.upstream.ID.Name)
	})
	return targets
}

// choose picks an upstream with a free slot by the lane's policy, apart from
// the excluded one. An upstream that seems stalled is used only if all are.
func (shard *Shard) choose(lane *lane, exclude *target, now time.Time) *target {
	var all, lively []*target
	for _, target := range shard.sortedTargets() {
		if target == exclude || target.leaving || !target.alive(now) {
			continue
		}
		all = append(all, target)
		if !target.stalled(now) {
			lively = append(lively, target)
		}
	}
	if lane.policy.Routing == spec.RoutingRoundRobin {
		return shard.roundRobin(all, now)
	}
	if len(lively) > 0 {
		all = lively
	}
	all = slices.DeleteFunc(all, func(target *target) bool { return !target.free(now) })
	if len(all) == 0 {
		return nil
	}
	if lane.policy.Routing == spec.RoutingLeastOutstanding {
		return slices.MinFunc(all, func(left, right *target) int { return cmp.Compare(left.running, right.running) })
	}
	return shard.twoChoices(all, now)
}

// roundRobin takes upstreams in turn, whatever is known of their speed.
func (shard *Shard) roundRobin(targets []*target, now time.Time) *target {
	for range targets {
		shard.turn++
		if target := targets[shard.turn%len(targets)]; target.free(now) {
			return target
		}
	}
	return nil
}

// twoChoices draws two upstreams and takes the one with the better score.
func (shard *Shard) twoChoices(targets []*target, now time.Time) *target {
	first := targets[shard.env.Random(len(targets))]
	second := targets[shard.env.Random(len(targets))]
	if second.score(now) < first.score(now) {
		return second
	}
	return first
}
