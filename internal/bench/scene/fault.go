package scene

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// FaultKind names a fault that a scene can cause.
type FaultKind string

// The faults that a scene can cause.
const (
	FaultStraggler  FaultKind = "straggler"
	FaultDataCentre FaultKind = "datacentre"
	FaultHost       FaultKind = "host"
	FaultLeader     FaultKind = "leader"
	FaultUpstream   FaultKind = "upstream"
	FaultFreeze     FaultKind = "freeze"
	FaultCold       FaultKind = "cold"
	FaultShutdown   FaultKind = "shutdown"
)

// FaultKinds lists all faults.
func FaultKinds() []FaultKind {
	return []FaultKind{
		FaultStraggler, FaultDataCentre, FaultHost, FaultLeader, FaultUpstream, FaultFreeze, FaultCold, FaultShutdown,
	}
}

const stragglerFactor = 10

// Mark is a moment of a run at which a fault began or ended.
type Mark struct {
	At   time.Duration
	Text string
}

// Schedule causes faults while load runs.
type Schedule struct {
	scene *Scene
	mutex sync.Mutex
	marks []Mark
	start time.Time
}

// Run causes the faults one after another, evenly over the duration, each from
// the first third to the second third of its turn.
func (scene *Scene) Run(ctx context.Context, kinds []FaultKind, duration time.Duration) *Schedule {
	schedule := &Schedule{scene: scene, start: time.Now()}
	if len(kinds) == 0 {
		return schedule
	}
	turn := duration / time.Duration(len(kinds))
	for position, kind := range kinds {
		begin := time.Duration(position)*turn + turn/3
		schedule.at(ctx, begin, func() {
			end, err := scene.cause(ctx, kind)
			schedule.mark(string(kind)+" begins", err)
			schedule.at(ctx, time.Duration(position)*turn+2*turn/3, func() {
				if end != nil {
					schedule.mark(string(kind)+" ends", end())
				}
			})
		})
	}
	return schedule
}

// at runs an action at an offset from the start.
func (schedule *Schedule) at(ctx context.Context, offset time.Duration, action func()) {
	go func() {
		select {
		case <-time.After(time.Until(schedule.start.Add(offset))):
			action()
		case <-ctx.Done():
		}
	}()
}

func (schedule *Schedule) mark(text string, err error) {
	if err != nil {
		text += " (failed: " + err.Error() + ")"
	}
	schedule.mutex.Lock()
	defer schedule.mutex.Unlock()
	schedule.marks = append(schedule.marks, Mark{At: time.Since(schedule.start), Text: text})
}

// Marks returns what has happened.
func (schedule *Schedule) Marks() []Mark {
	schedule.mutex.Lock()
	defer schedule.mutex.Unlock()
	return append([]Mark(nil), schedule.marks...)
}

// cause begins a fault and returns how it ends.
func (scene *Scene) cause(ctx context.Context, kind FaultKind) (func() error, error) {
	running := scene.Fleet
	switch kind {
	case FaultStraggler:
		return scene.straggle(), nil
	case FaultDataCentre:
		return scene.takeOut(ctx)
	case FaultHost:
		number := scene.hostBut(running.Leader())
		running.KillHost(number)
		return func() error { return running.StartHost(number) }, nil
	case FaultLeader:
		number := running.Leader()
		running.KillHost(number)
		return func() error { return running.StartHost(number) }, nil
	case FaultShutdown:
		number := scene.hostBut(running.Leader())
		err := running.StopHost(ctx, number)
		return func() error { return running.StartHost(number) }, err
	case FaultUpstream:
		running.Upstreams[1].Stop()
		return func() error { return running.RestartUpstream(1, scene.UpstreamOptions(1)) }, nil
	case FaultFreeze:
		thaw := running.Upstreams[2].Freeze()
		return func() error { thaw(); return nil }, nil
	case FaultCold:
		running.Upstreams[3].Chill()
		running.Upstreams[scene.options.User.KeyedUpstreams].Chill()
		return nil, nil
	default:
		return nil, Error.New("fault %q does not exist", kind)
	}
}

// hostBut returns the number of an entry host that is not the one given.
func (scene *Scene) hostBut(number int) int {
	last := len(scene.Fleet.Hosts) - 1
	if last == number {
		return last - 1
	}
	return last
}

// slowedKey is a frequent key: its owner becomes the straggler, so that runs
// compare whatever upstream that is.
const slowedKey = "key-1"

// straggle slows one upstream of each service.
func (scene *Scene) straggle() func() error {
	slowed := []int{scene.ownerOf(slowedKey), scene.options.User.KeyedUpstreams + 1}
	for _, number := range slowed {
		scene.Fleet.Upstreams[number].Slow(stragglerFactor)
	}
	return func() error {
		for _, number := range slowed {
			scene.Fleet.Upstreams[number].Slow(1)
		}
		return nil
	}
}

// ownerOf returns the number of the upstream that owns a key.
func (scene *Scene) ownerOf(key string) int {
	_, owner := scene.Table().Find(key)
	for number, upstream := range scene.Fleet.Upstreams {
		if upstream.Name() == owner.Upstream {
			return number
		}
	}
	return 0
}

// takeOut takes the second data centre out of service.
func (scene *Scene) takeOut(ctx context.Context) (func() error, error) {
	name := scene.options.User.DataCentres[1]
	set := func(state string) error {
		path := fmt.Sprintf("/api/v1/service/dataCentre/%s/%s", state, name)
		if err := scene.Fleet.Operate(ctx, scene.Fleet.AnyHost(), http.MethodPost, path, "application/json", nil, nil); err != nil {
			return Error.New("data centre %s: %w", strings.ToLower(state), err)
		}
		return nil
	}
	err := set("out")
	return func() error { return set("in") }, err
}
