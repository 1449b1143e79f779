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
	// recentWeight is the weight of a new answer in the moving average of the
	// latency.
	recentWeight = 0.3
	// stallFactor is the multiple of the typical latency after which an unanswered
	// request makes its upstream count as stalled.
	stallFactor = 5
	minStallAge = 50 * time.Millisecond
	// slowFactor is the multiple of the typical latency above which the recent
	// latency makes an upstream count as slow.
	slowFactor = 3
)

// target holds the primary's state for one upstream.
type target struct {
	upstream state.Upstream
	ramp     ramp.Ramp
	running  int
	// recentLatency is the moving average of the latency.
	recentLatency time.Duration
	runs          map[*job]time.Time
	// outOfService is set while the upstream gets no new requests.
	outOfService bool
	// releasePending is set while a release of slots is being committed.
	releasePending bool

	grants grants
}

func newTarget(upstream state.Upstream, service spec.Service, now time.Time) *target {
	target := &target{upstream: upstream, runs: map[*job]time.Time{}}
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
	target.ramp.RestartAt(upstream.SeenAt, now)
	return target
}

// hasFreeSlot reports whether a request may be sent to the upstream now.
func (target *target) hasFreeSlot(now time.Time) bool {
	return !target.outOfService && target.hasGrant(now) && target.running < target.ramp.Concurrency(now)
}

// longestRunning returns the age of the oldest unanswered request.
func (target *target) longestRunning(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, startedAt := range target.runs {
		age = max(age, now.Sub(startedAt))
	}
	return age
}

// stalled reports whether a request has been unanswered for much longer than the
// typical latency.
func (target *target) stalled(now time.Time) bool {
	return target.longestRunning(now) > max(target.ramp.TypicalLatency()*stallFactor, minStallAge)
}

// slow reports whether the upstream is a straggler or its recent latency is much
// higher than the typical one.
func (target *target) slow() bool {
	return target.ramp.Straggling() || target.recentLatency > slowFactor*target.ramp.TypicalLatency()
}

// score estimates how long one more request would take.
func (target *target) score(now time.Time) float64 {
	expected := max(target.recentLatency, target.longestRunning(now), time.Millisecond)
	return float64(target.running+1) * float64(expected)
}

func (target *target) observeLatency(took time.Duration) {
	if target.recentLatency == 0 {
		target.recentLatency = took
		return
	}
	target.recentLatency += time.Duration(recentWeight * float64(took-target.recentLatency))
}

func (shard *Shard) sortedTargets() []*target {
	targets := slices.Collect(maps.Values(shard.targets))
	slices.SortFunc(targets, func(left, right *target) int {
		return cmp.Compare(left.upstream.ID.Name, right.upstream.ID.Name)
	})
	return targets
}

// chooseTarget selects an upstream with a free slot according to the class's
// policy, except for the excluded one. Unless the policy is round robin, a stalled
// upstream is used only if all are stalled.
func (shard *Shard) chooseTarget(class *class, exclude *target, now time.Time) *target {
	var all, responsive []*target
	for _, target := range shard.sortedTargets() {
		if target == exclude || target.outOfService || !target.hasGrant(now) {
			continue
		}
		all = append(all, target)
		if !target.stalled(now) {
			responsive = append(responsive, target)
		}
	}
	if class.policy.Routing == spec.RoutingRoundRobin {
		return shard.roundRobin(all, now)
	}
	if len(responsive) > 0 {
		all = responsive
	}
	all = slices.DeleteFunc(all, func(target *target) bool { return !target.hasFreeSlot(now) })
	if len(all) == 0 {
		return nil
	}
	if class.policy.Routing == spec.RoutingLeastOutstanding {
		return slices.MinFunc(all, func(left, right *target) int { return cmp.Compare(left.running, right.running) })
	}
	return shard.twoChoices(all, now)
}

// roundRobin selects the upstreams in turn, regardless of their latency.
func (shard *Shard) roundRobin(targets []*target, now time.Time) *target {
	for range targets {
		shard.roundRobinNext++
		if target := targets[shard.roundRobinNext%len(targets)]; target.hasFreeSlot(now) {
			return target
		}
	}
	return nil
}

// twoChoices draws two upstreams at random and selects the one with the lower
// score.
func (shard *Shard) twoChoices(targets []*target, now time.Time) *target {
	first := targets[shard.env.Random(len(targets))]
	second := targets[shard.env.Random(len(targets))]
	if second.score(now) < first.score(now) {
		return second
	}
	return first
}
