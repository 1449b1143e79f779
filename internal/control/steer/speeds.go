package steer

import (
	"math"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	// learnTime is how long a new leader learns loads and speeds before it moves
	// keys for the sake of load.
	learnTime = 2 * time.Second
	// priorSamples is the number of average samples that an upstream's own are
	// mixed with.
	priorSamples = 4.0
	// samplesKept bounds the samples that an average goes back.
	samplesKept = 60.0
	// reachTime is the time over which answers and failures are counted.
	reachTime = 2 * time.Second
	// lostFailures and lostRatio are the failures, and the answers in relation to
	// them, at which an upstream counts as not reached.
	lostFailures = 4.0
	lostRatio    = 0.1
	// erredLeast and erredRatio are the errors, and the answers in relation to
	// them, at which an upstream counts as failing.
	erredLeast = 4.0
	erredRatio = 3.0
	// avoidedPart is the part of the upstreams that may be avoided because they
	// fail some requests: the others have to bear the load.
	avoidedPart = 0.25
	// avoidFor is how long an upstream that fails or is not reached gets no keys.
	avoidFor = 6 * time.Second
	// leastWeight and mostWeight bound how unequally upstreams are loaded.
	leastWeight = 0.4
	mostWeight  = 2.5
)

// speed is what is known of how long an upstream works on a request, and whether
// entry hosts reach it.
type speed struct {
	total time.Duration
	count float64
	// answered, erred and failed count lately; older ones fade.
	answered, erred, failed float64
	at                      time.Time
	avoidUntil              time.Time
}

// fade lets old answers and failures count less.
func (speed *speed) fade(now time.Time) {
	factor := math.Exp(-now.Sub(speed.at).Seconds() / reachTime.Seconds())
	speed.answered *= factor
	speed.erred *= factor
	speed.failed *= factor
	speed.at = now
}

// speeds are the speeds of upstreams by ID. The zero value is ready to use.
type speeds struct{ byID map[string]speed }

// add notes what requests to an upstream took. It tells whether the upstream
// turned out to fail requests or not to be reached: heartbeats still come, but no
// good answers.
func (speeds *speeds) add(now time.Time, upstream string, work Work) bool {
	if speeds.byID == nil {
		speeds.byID = map[string]speed{}
	}
	known := speeds.byID[upstream]
	known.total += work.Total
	known.count += float64(work.Count)
	if known.count > samplesKept {
		known.total = time.Duration(float64(known.total) * samplesKept / known.count)
		known.count = samplesKept
	}
	known.fade(now)
	known.answered += float64(work.Count)
	known.erred += float64(work.Erred)
	known.failed += float64(work.Failed)
	lost := known.failed >= lostFailures && known.answered < known.failed*lostRatio
	failing := known.erred >= erredLeast && known.answered < known.erred*erredRatio && speeds.mayAvoid(now)
	lost = now.After(known.avoidUntil) && (lost || failing)
	if lost {
		known.avoidUntil = now.Add(avoidFor)
	}
	speeds.byID[upstream] = known
	return lost
}

// mayAvoid tells whether one more upstream may be avoided of those that answered
// lately.
func (speeds *speeds) mayAvoid(now time.Time) bool {
	avoided, all := 0.0, 0.0
	for _, known := range speeds.byID {
		if now.Sub(known.at) > 2*avoidFor {
			continue
		}
		all++
		if now.Before(known.avoidUntil) {
			avoided++
		}
	}
	return avoided+1 <= all*avoidedPart
}

// avoided tells whether an upstream should own no keys, since entry hosts do not
// reach it.
func (speeds *speeds) avoided(upstream string, now time.Time) bool {
	return now.Before(speeds.byID[upstream].avoidUntil)
}

// weights returns how much load each upstream bears in relation to the others,
// 1 on average.
func (speeds *speeds) weights(instances []state.Instance) map[spans.Owner]float64 {
	total, count := time.Duration(0), 0.0
	for _, instance := range instances {
		known := speeds.byID[instance.ID]
		total += known.total
		count += known.count
	}
	weights := map[spans.Owner]float64{}
	if count == 0 {
		return weights
	}
	usual := float64(total) / count
	sum := 0.0
	for _, instance := range instances {
		known := speeds.byID[instance.ID]
		work := (float64(known.total) + priorSamples*usual) / (known.count + priorSamples)
		weight := float64(max(1, instance.Slots)) * min(max(usual/max(work, 1), leastWeight), mostWeight)
		weights[instance.Owner()] = weight
		sum += weight
	}
	for owner := range weights {
		weights[owner] *= float64(len(instances)) / sum
	}
	return weights
}
