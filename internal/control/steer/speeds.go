package steer

import (
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
	// leastWeight and mostWeight bound how unequally upstreams are loaded.
	leastWeight = 0.4
	mostWeight  = 2.5
)

// speed is what is known of how long an upstream works on a request.
type speed struct {
	total time.Duration
	count float64
}

// speeds are the speeds of upstreams by ID. The zero value is ready to use.
type speeds struct{ byID map[string]speed }

// add notes what requests to an upstream took.
func (speeds *speeds) add(upstream string, work Work) {
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
	speeds.byID[upstream] = known
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
