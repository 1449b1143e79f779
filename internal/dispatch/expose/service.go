package expose

import (
	"maps"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	// windowSize is the number of a version's latest requests that decide whether this host stops
	// it, and badThreshold how many of them must be bad.
	windowSize   = 20
	badThreshold = 5
	// sampleCount is the number of times on a route that tell what is usual there, and minSamples
	// how many are needed.
	sampleCount = 64
	minSamples  = 20
	// slowFactor is how many times the usual time a slow request takes. Neighbours slow an
	// upstream by a factor of three, and upstreams differ from the mean by up to 1.4.
	slowFactor = 4
	// minSlow is the time below which no request is slow: the tasks of a host with a tenth of a core
	// may wait about as long.
	minSlow = 50 * time.Millisecond
	// fairFactor is how many times the usual time a request must have had for its time-out to
	// count against the version.
	fairFactor = 2
)

// order identifies a rollout of a service.
type order struct {
	target  string
	started int64
}

// ring holds the latest values, the oldest at position next once it is full.
type ring[T any] struct {
	values []T
	next   int
}

func (ring *ring[T]) add(value T, size int) {
	if len(ring.values) < size {
		ring.values = append(ring.values, value)
		return
	}
	ring.values[ring.next] = value
	ring.next = (ring.next + 1) % size
}

// route identifies the requests of a version on a route.
type route struct{ version, name string }

// record is what is known about the requests of a version on a route.
type record struct {
	// answered, bad, total and work are as in Stats.
	answered, bad int
	total, work   time.Duration
	running       int
	// samples are the latest times that requests took without queueing.
	samples ring[time.Duration]
}

// service is what a selector knows about a service.
type service struct {
	order order
	// present holds the versions that have schedulable upstreams.
	present map[string]bool
	records map[route]*record
	// windows holds for each version which of its latest requests were bad.
	windows map[string]*ring[bool]
	// watches holds, by version, channels that are closed when the version stops.
	watches map[string]chan struct{}
	// stoppedAt is when this host stopped the target, and reportedAt when the leader got the
	// evidence; both are zero before.
	stoppedAt, reportedAt time.Time
}

// begin forgets what belongs to the rollout before. What is usual on a route and what runs stays.
func (service *service) begin(order order) {
	service.order = order
	service.resume()
	for _, record := range service.records {
		record.answered, record.bad, record.total, record.work = 0, 0, 0, 0
	}
}

// resume ends the stop of the target. Only what happens from now on may stop it again.
func (service *service) resume() {
	service.stoppedAt, service.reportedAt, service.windows = time.Time{}, time.Time{}, nil
}

func (service *service) record(version, name string) *record {
	key := route{version: version, name: name}
	if service.records == nil {
		service.records = map[route]*record{}
	}
	if service.records[key] == nil {
		service.records[key] = &record{}
	}
	return service.records[key]
}

func (service *service) addOutcome(version string, bad bool) {
	if service.windows == nil {
		service.windows = map[string]*ring[bool]{}
	}
	if service.windows[version] == nil {
		service.windows[version] = &ring[bool]{}
	}
	service.windows[version].add(bad, windowSize)
}

// badCount returns the number of the version's latest requests and how many of them were bad.
func (service *service) badCount(version string) (count, bad int) {
	window := service.windows[version]
	if window == nil {
		return 0, 0
	}
	for _, wasBad := range window.values {
		if wasBad {
			bad++
		}
	}
	return len(window.values), bad
}

// usual returns the median of the latest times of a version on a route, 0 if there are too few.
func (service *service) usual(version, name string) time.Duration {
	record := service.records[route{version: version, name: name}]
	if record == nil || len(record.samples.values) < minSamples {
		return 0
	}
	sorted := slices.Sorted(slices.Values(record.samples.values))
	return sorted[len(sorted)/2]
}

// slow reports whether a request on a route took several times as long as is usual there.
func (service *service) slow(stable, name string, work time.Duration) bool {
	usual := service.usual(stable, name)
	return usual > 0 && work > max(slowFactor*usual, minSlow)
}

// watch returns the channel that is closed when the version stops.
func (service *service) watch(version string) <-chan struct{} {
	if service.watches == nil {
		service.watches = map[string]chan struct{}{}
	}
	if service.watches[version] == nil {
		service.watches[version] = make(chan struct{})
	}
	return service.watches[version]
}

// closeWatches tells the waiting requests of the versions that stop.
func (service *service) closeWatches(stops func(version string) bool) {
	maps.DeleteFunc(service.watches, func(version string, watch chan struct{}) bool {
		stopped := stops(version)
		if stopped {
			close(watch)
		}
		return stopped
	})
}

// prune forgets versions that have no upstreams any more.
func (service *service) prune(rollout state.Rollout) {
	maps.DeleteFunc(service.records, func(route route, record *record) bool {
		return record.running == 0 && !service.present[route.version] && route.version != rollout.Stable && route.version != rollout.Target
	})
}
