package steer

import (
	"math"
	"sort"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

const (
	// loadDecayTime is the time constant of the exponential decay with which the
	// load of keys is averaged.
	loadDecayTime = 4 * time.Second
	// baselineLoad is the load in requests per second that is added to the measured
	// load, spread evenly over all keys of a service, so that idle keys are
	// distributed too.
	baselineLoad = 4.0
)

// keyLoads holds a decaying request count for each key of a service.
type keyLoads struct {
	counts    [spans.MaxKey + 1]float32
	decayedAt time.Time
}

func newKeyLoads(now time.Time) *keyLoads { return &keyLoads{decayedAt: now} }

// add counts a request for each key.
func (keyloads *keyLoads) add(now time.Time, keys []uint16) {
	keyloads.decay(now)
	for _, key := range keys {
		keyloads.counts[key]++
	}
}

// decay applies the exponential decay for the time since the last call.
func (keyloads *keyLoads) decay(now time.Time) {
	passed := now.Sub(keyloads.decayedAt)
	if passed < tickInterval {
		return
	}
	keyloads.decayedAt = now
	factor := float32(math.Exp(-passed.Seconds() / loadDecayTime.Seconds()))
	for key := range keyloads.counts {
		keyloads.counts[key] *= factor
	}
}

// loadSums are prefix sums: the element at a key is the total load, in requests
// per second, of all keys below it.
type loadSums [spans.MaxKey + 2]float64

func (keyloads *keyLoads) sums(now time.Time) *loadSums {
	keyloads.decay(now)
	sums := &loadSums{}
	perKey := baselineLoad / (spans.MaxKey + 1)
	for key, count := range keyloads.counts {
		sums[key+1] = sums[key] + perKey + float64(count)/loadDecayTime.Seconds()
	}
	return sums
}

// between returns the load of a range, both ends included.
func (loadsums *loadSums) between(from, to uint16) float64 {
	return loadsums[int(to)+1] - loadsums[from]
}

// endForLoad returns the end of the range that starts at from, ends at to at the
// latest, and has about the given load.
func (loadsums *loadSums) endForLoad(from, to uint16, load float64) uint16 {
	wanted := loadsums[from] + load
	length := int(to) - int(from) + 1
	offset := sort.Search(length, func(offset int) bool { return loadsums[int(from)+offset+1] >= wanted })
	if offset >= length-1 {
		return to
	}
	return from + uint16(offset)
}

// startForLoad returns the start of the range that ends at to, starts at from at
// the earliest, and has about the given load.
func (loadsums *loadSums) startForLoad(from, to uint16, load float64) uint16 {
	wanted := loadsums[int(to)+1] - load
	length := int(to) - int(from) + 1
	offset := sort.Search(length, func(offset int) bool { return loadsums[int(from)+offset] >= wanted })
	if offset >= length {
		return to
	}
	return from + uint16(offset)
}
