package steer

import (
	"math"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	// measureTime is how long a new leader measures load and service times before it
	// moves keys to balance load.
	measureTime = 2 * time.Second
	// priorSamples is the weight, in samples, of the service's average in the
	// estimate of an upstream's service time.
	priorSamples = 4.0
	// maxSamples bounds the number of samples in an average, so that older ones lose
	// weight.
	maxSamples = 60.0
	// outcomeDecayTime is the time constant with which counts of answers, errors and
	// failures decay.
	outcomeDecayTime = 2 * time.Second
	// minFailures and unreachableRatio define when an upstream counts as unreachable:
	// with at least minFailures failures and fewer than unreachableRatio answers per
	// failure.
	minFailures      = 4.0
	unreachableRatio = 0.1
	// minErrors and failingRatio define when an upstream counts as failing: with at
	// least minErrors errors and fewer than failingRatio answers per error.
	minErrors    = 4.0
	failingRatio = 3.0
	// maxAvoidedFraction is the fraction of the upstreams that may be avoided because
	// they fail some requests, since the others have to carry the load.
	maxAvoidedFraction = 0.25
	// limitEndTime is how long no host must report an upstream's rate limit before it has
	// ended. Hosts whose requests were on their way when it began report none.
	limitEndTime = time.Second
	// limitUse is the part of an upstream's rate limit that counts as its capacity. Low
	// rates leave less room for load that varies.
	limitUse = 0.9
	// avoidTime is how long a failing or unreachable upstream gets no keys.
	avoidTime = 6 * time.Second
	// minWeight and maxWeight bound the ratio of the average service time to an
	// upstream's, and so how unequally upstreams are loaded.
	minWeight = 0.4
	maxWeight = 2.5
)

// health holds an upstream's service time per request and the recent outcomes of
// requests to it.
type health struct {
	// total is the sum of the service times of the last count requests.
	total time.Duration
	count float64
	// answered, erred and failed are exponentially decaying request counts.
	answered, erred, failed float64
	decayedAt               time.Time
	// avoidUntil is until when the upstream gets no keys.
	avoidUntil time.Time
	// limit is the rate limit that the upstream names, in requests per second, 0 if none,
	// and limitNamedAt when a host last reported one.
	limit        float64
	limitNamedAt time.Time
}

// decay applies the exponential decay for the time since the last call.
func (health *health) decay(now time.Time) {
	factor := math.Exp(-now.Sub(health.decayedAt).Seconds() / outcomeDecayTime.Seconds())
	health.answered *= factor
	health.erred *= factor
	health.failed *= factor
	health.decayedAt = now
}

// healthTable holds the health of upstreams by ID. The zero value is ready to use.
type healthTable struct{ byID map[string]health }

// add records request statistics of an upstream. It reports whether they newly mark
// the upstream as failing or unreachable: its heartbeats may still arrive while
// requests to it get errors or no answer.
func (healthtable *healthTable) add(now time.Time, upstream string, requeststats RequestStats) bool {
	if healthtable.byID == nil {
		healthtable.byID = map[string]health{}
	}
	known := healthtable.byID[upstream]
	known.total += requeststats.Total
	known.count += float64(requeststats.Count)
	if known.count > maxSamples {
		known.total = time.Duration(float64(known.total) * maxSamples / known.count)
		known.count = maxSamples
	}
	known.decay(now)
	switch {
	case requeststats.Limit > 0:
		known.limit, known.limitNamedAt = requeststats.Limit, now
	case requeststats.Count > 0 && now.Sub(known.limitNamedAt) > limitEndTime:
		known.limit = 0
	}
	known.answered += float64(requeststats.Count)
	known.erred += float64(requeststats.Erred)
	known.failed += float64(requeststats.Failed)
	unreachable := known.failed >= minFailures && known.answered < known.failed*unreachableRatio
	failing := known.erred >= minErrors && known.answered < known.erred*failingRatio && healthtable.canAvoidAnother(now)
	unreachable = now.After(known.avoidUntil) && (unreachable || failing)
	if unreachable {
		known.avoidUntil = now.Add(avoidTime)
	}
	healthtable.byID[upstream] = known
	return unreachable
}

// canAvoidAnother reports whether one more of the upstreams with recent statistics
// may be avoided.
func (healthtable *healthTable) canAvoidAnother(now time.Time) bool {
	avoided, all := 0.0, 0.0
	for _, known := range healthtable.byID {
		if now.Sub(known.decayedAt) > 2*avoidTime {
			continue
		}
		all++
		if now.Before(known.avoidUntil) {
			avoided++
		}
	}
	return avoided+1 <= all*maxAvoidedFraction
}

// avoided reports whether an upstream should own no keys because it is failing or
// entry hosts can't reach it.
func (healthtable *healthTable) avoided(upstream string, now time.Time) bool {
	return now.Before(healthtable.byID[upstream].avoidUntil)
}

// work returns the average service time of an upstream.
func (healthtable *healthTable) work(upstream string) time.Duration {
	known := healthtable.byID[upstream]
	return time.Duration((float64(known.total) + float64(unknownWork)) / (known.count + 1))
}

// limited returns the upstreams that name a rate limit.
func (healthtable *healthTable) limited(instances []state.Instance) map[spans.Owner]bool {
	limited := map[spans.Owner]bool{}
	for _, instance := range instances {
		if healthtable.byID[instance.ID].limit > 0 {
			limited[instance.Owner()] = true
		}
	}
	return limited
}

// weights returns the relative capacity of each upstream by its slots, its service time
// and its rate limit, 1 on average. It is empty without statistics.
func (healthtable *healthTable) weights(instances []state.Instance) map[spans.Owner]float64 {
	total, count := time.Duration(0), 0.0
	for _, instance := range instances {
		known := healthtable.byID[instance.ID]
		total += known.total
		count += known.count
	}
	weights := map[spans.Owner]float64{}
	if count == 0 {
		return weights
	}
	average := float64(total) / count
	sum := 0.0
	for _, instance := range instances {
		known := healthtable.byID[instance.ID]
		serviceTime := (float64(known.total) + priorSamples*average) / (known.count + priorSamples)
		weight := float64(max(1, instance.Slots)) * min(max(average/max(serviceTime, 1), minWeight), maxWeight)
		if known.limit > 0 {
			// An upstream of weight 1 serves a request in the average time.
			weight = min(weight, limitUse*known.limit*average/float64(time.Second))
		}
		weights[instance.Owner()] = weight
		sum += weight
	}
	for owner := range weights {
		weights[owner] *= float64(len(instances)) / sum
	}
	return weights
}
