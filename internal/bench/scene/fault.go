package scene

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// FaultKind identifies a type of fault that can be injected into a scene.
type FaultKind string

// The supported fault kinds.
const (
	// FaultStraggler slows down one upstream of each service.
	FaultStraggler FaultKind = "straggler"
	// FaultDataCentre takes a data centre out of service.
	FaultDataCentre FaultKind = "datacentre"
	// FaultHost crashes a host that is not the control leader.
	FaultHost FaultKind = "host"
	// FaultLeader crashes the control leader.
	FaultLeader FaultKind = "leader"
	// FaultUpstream crashes an upstream.
	FaultUpstream FaultKind = "upstream"
	// FaultFreeze makes an upstream hang with its connections open.
	FaultFreeze FaultKind = "freeze"
	// FaultCold makes one upstream of each service cold without an announcement.
	FaultCold FaultKind = "cold"
	// FaultShutdown shuts down a host that is not the control leader gracefully.
	FaultShutdown FaultKind = "shutdown"
)

// FaultKinds returns all supported fault kinds.
func FaultKinds() []FaultKind {
	return []FaultKind{
		FaultStraggler, FaultDataCentre, FaultHost, FaultLeader, FaultUpstream, FaultFreeze, FaultCold, FaultShutdown,
	}
}

// stragglerSlowdown is the factor by which FaultStraggler slows an upstream
// down.
const stragglerSlowdown = 10

// Mark records when a fault began or ended during a run.
type Mark struct {
	// At is the time since the start of the run.
	At   time.Duration
	Text string
}

// Schedule injects faults while load is being sent and records when each one
// began and ended.
type Schedule struct {
	scene  *Scene
	mutex  sync.Mutex
	events []Mark
	start  time.Time
}

// Run injects the faults one after another. The duration is divided into equal
// windows, one for each fault, and a fault is active during the middle third of
// its window. Run returns at once; the faults are injected in the background
// until ctx is cancelled.
func (scene *Scene) Run(ctx context.Context, kinds []FaultKind, duration time.Duration) *Schedule {
	schedule := &Schedule{scene: scene, start: time.Now()}
	if len(kinds) == 0 {
		return schedule
	}
	window := duration / time.Duration(len(kinds))
	for position, kind := range kinds {
		startOffset := time.Duration(position)*window + window/3
		schedule.runAt(ctx, startOffset, func() {
			revert, err := scene.inject(ctx, kind)
			schedule.record(string(kind)+" begins", err)
			schedule.runAt(ctx, time.Duration(position)*window+2*window/3, func() {
				if revert != nil {
					schedule.record(string(kind)+" ends", revert())
				}
			})
		})
	}
	return schedule
}

// runAt runs an action in the background at an offset from the start of the run,
// unless ctx is cancelled first.
func (schedule *Schedule) runAt(ctx context.Context, offset time.Duration, action func()) {
	go func() {
		select {
		case <-time.After(time.Until(schedule.start.Add(offset))):
			action()
		case <-ctx.Done():
		}
	}()
}

// record adds an event, with the error if the action failed.
func (schedule *Schedule) record(text string, err error) {
	if err != nil {
		text += " (failed: " + err.Error() + ")"
	}
	schedule.mutex.Lock()
	defer schedule.mutex.Unlock()
	schedule.events = append(schedule.events, Mark{At: time.Since(schedule.start), Text: text})
}

// Marks returns the events recorded so far.
func (schedule *Schedule) Marks() []Mark {
	schedule.mutex.Lock()
	defer schedule.mutex.Unlock()
	return append([]Mark(nil), schedule.events...)
}

// inject starts a fault and returns a function that reverts it, or nil if there
// is nothing to revert.
func (scene *Scene) inject(ctx context.Context, kind FaultKind) (func() error, error) {
	running := scene.Fleet
	switch kind {
	case FaultStraggler:
		return scene.slowDownUpstreams(), nil
	case FaultDataCentre:
		return scene.takeOutDataCentre(ctx)
	case FaultHost:
		number := scene.hostOtherThan(running.Leader())
		running.KillHost(number)
		return func() error { return running.StartHost(number) }, nil
	case FaultLeader:
		number := running.Leader()
		running.KillHost(number)
		return func() error { return running.StartHost(number) }, nil
	case FaultShutdown:
		number := scene.hostOtherThan(running.Leader())
		err := running.StopHost(ctx, number)
		return func() error { return running.StartHost(number) }, err
	case FaultUpstream:
		running.Upstreams[1].Stop()
		return func() error { return running.RestartUpstream(1, scene.UpstreamOptions(1)) }, nil
	case FaultFreeze:
		unfreeze := running.Upstreams[2].Freeze()
		return func() error { unfreeze(); return nil }, nil
	case FaultCold:
		running.Upstreams[3].Chill()
		running.Upstreams[scene.options.User.KeyedUpstreams].Chill()
		return nil, nil
	default:
		return nil, Error.New("unknown fault %q", kind)
	}
}

// hostOtherThan returns the number of an entry host that differs from number.
func (scene *Scene) hostOtherThan(number int) int {
	last := len(scene.Fleet.Hosts) - 1
	if last == number {
		return last - 1
	}
	return last
}

// slowedKey is a frequently requested key. FaultStraggler slows down the upstream
// that owns it, so that runs remain comparable whichever upstream that is.
const slowedKey = "key-1"

// slowDownUpstreams slows down one upstream of each service and returns a
// function that restores their normal speed.
func (scene *Scene) slowDownUpstreams() func() error {
	slowed := []int{scene.ownerOf(slowedKey), scene.options.User.KeyedUpstreams + 1}
	for _, number := range slowed {
		scene.Fleet.Upstreams[number].Slow(stragglerSlowdown)
	}
	return func() error {
		for _, number := range slowed {
			scene.Fleet.Upstreams[number].Slow(1)
		}
		return nil
	}
}

// ownerOf returns the number of the upstream that owns a key, or 0 if none of the
// running upstreams does.
func (scene *Scene) ownerOf(key string) int {
	_, owner := scene.Table().Find(key)
	for number, upstream := range scene.Fleet.Upstreams {
		if upstream.Name() == owner.Upstream {
			return number
		}
	}
	return 0
}

// takeOutDataCentre takes the second data centre out of service and returns a
// function that puts it back.
func (scene *Scene) takeOutDataCentre(ctx context.Context) (func() error, error) {
	name := scene.options.User.DataCentres[1]
	setState := func(state string) error {
		path := fmt.Sprintf("/api/v1/service/dataCentre/%s/%s", state, name)
		if err := scene.Fleet.Operate(ctx, scene.Fleet.AnyHost(), http.MethodPost, path, "application/json", nil, nil); err != nil {
			return Error.New("set data centre %s: %w", strings.ToLower(state), err)
		}
		return nil
	}
	err := setState("out")
	return func() error { return setState("in") }, err
}
