package steer

import (
	"math"
	"sort"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

const (
	// loadTime is the time over which the load of keys is averaged.
	loadTime = 4 * time.Second
	// evenLoad is the load in requests per second that all keys of a service
	// together count besides what was measured, so that idle keys spread too.
	evenLoad = 4.0
)

// loadMap is the measured load of each key of a service.
type loadMap struct {
	counts [spans.MaxKey + 1]float32
	at     time.Time
}

func newLoadMap(now time.Time) *loadMap { return &loadMap{at: now} }

// add counts a request for each key.
func (loadmap *loadMap) add(now time.Time, keys []uint16) {
	loadmap.decay(now)
	for _, key := range keys {
		loadmap.counts[key]++
	}
}

// decay lets old requests count less.
func (loadmap *loadMap) decay(now time.Time) {
	passed := now.Sub(loadmap.at)
	if passed < tickInterval {
		return
	}
	loadmap.at = now
	factor := float32(math.Exp(-passed.Seconds() / loadTime.Seconds()))
	for key := range loadmap.counts {
		loadmap.counts[key] *= factor
	}
}

// loadSums hold the load in requests per second below each key.
type loadSums [spans.MaxKey + 2]float64

func (loadmap *loadMap) sums(now time.Time) *loadSums {
	loadmap.decay(now)
	sums := &loadSums{}
	perKey := evenLoad / (spans.MaxKey + 1)
	for key, count := range loadmap.counts {
		sums[key+1] = sums[key] + perKey + float64(count)/loadTime.Seconds()
	}
	return sums
}

// of returns the load of a range.
func (loadsums *loadSums) of(from, to uint16) float64 {
	return loadsums[int(to)+1] - loadsums[from]
}

// cut returns the end of the range that starts at from, ends at to at most, and
// has about the load.
func (loadsums *loadSums) cut(from, to uint16, load float64) uint16 {
	wanted := loadsums[from] + load
	length := int(to) - int(from) + 1
	offset := sort.Search(length, func(offset int) bool { return loadsums[int(from)+offset+1] >= wanted })
	if offset >= length-1 {
		return to
	}
	return from + uint16(offset)
}

// cutBack returns the start of the range that ends at to, starts at from at the
// least, and has about the load.
func (loadsums *loadSums) cutBack(from, to uint16, load float64) uint16 {
	wanted := loadsums[int(to)+1] - load
	length := int(to) - int(from) + 1
	offset := sort.Search(length, func(offset int) bool { return loadsums[int(from)+offset] >= wanted })
	if offset >= length {
		return to
	}
	return from + uint16(offset)
}
