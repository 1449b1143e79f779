package scene

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// FaultKind identifies a type of fault that can be injected into a scenario.
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

// FaultEvent records when a fault began or ended during a run.
type FaultEvent struct {
	// At is the time since the start of the run.
	At   time.Duration
	Text string
}

// FaultSchedule injects faults while load is being sent and records when each one
// began and ended.
type FaultSchedule struct {
	scenario *Scenario
	mutex    sync.Mutex
	events   []FaultEvent
	start    time.Time
}

// InjectFaults injects the faults one after another. The duration is divided into
// equal windows, one for each fault, and a fault is active during the middle third
// of its window. InjectFaults returns at once; the faults are injected in the
// background until ctx is cancelled.
func (scenario *Scenario) InjectFaults(ctx context.Context, kinds []FaultKind, duration time.Duration) *FaultSchedule {
	faultschedule := &FaultSchedule{scenario: scenario, start: time.Now()}
	if len(kinds) == 0 {
		return faultschedule
	}
	window := duration / time.Duration(len(kinds))
	for position, kind := range kinds {
		startOffset := time.Duration(position)*window + window/3
		faultschedule.runAt(ctx, startOffset, func() {
			revert, err := scenario.inject(ctx, kind)
			faultschedule.record(string(kind)+" begins", err)
			faultschedule.runAt(ctx, time.Duration(position)*window+2*window/3, func() {
				if revert != nil {
					faultschedule.record(string(kind)+" ends", revert())
				}
			})
		})
	}
	return faultschedule
}

// runAt runs an action in the background at an offset from the start of the run,
// unless ctx is cancelled first.
func (faultschedule *FaultSchedule) runAt(ctx context.Context, offset time.Duration, action func()) {
	go func() {
		select {
		case <-time.After(time.Until(faultschedule.start.Add(offset))):
			action()
		case <-ctx.Done():
		}
	}()
}

// record adds an event, with the error if the action failed.
func (faultschedule *FaultSchedule) record(text string, err error) {
	if err != nil {
		text += " (failed: " + err.Error() + ")"
	}
	faultschedule.mutex.Lock()
	defer faultschedule.mutex.Unlock()
	faultschedule.events = append(faultschedule.events, FaultEvent{At: time.Since(faultschedule.start), Text: text})
}

// Events returns the events recorded so far.
func (faultschedule *FaultSchedule) Events() []FaultEvent {
	faultschedule.mutex.Lock()
	defer faultschedule.mutex.Unlock()
	return append([]FaultEvent(nil), faultschedule.events...)
}

// inject starts a fault and returns a function that reverts it, or nil if there
// is nothing to revert.
func (scenario *Scenario) inject(ctx context.Context, kind FaultKind) (func() error, error) {
	running := scenario.Fleet
	switch kind {
	case FaultStraggler:
		return scenario.slowDownUpstreams(), nil
	case FaultDataCentre:
		return scenario.takeOutDataCentre(ctx)
	case FaultHost:
		number := scenario.hostOtherThan(running.Leader())
		running.KillHost(number)
		return func() error { return running.StartHost(number) }, nil
	case FaultLeader:
		number := running.Leader()
		running.KillHost(number)
		return func() error { return running.StartHost(number) }, nil
	case FaultShutdown:
		number := scenario.hostOtherThan(running.Leader())
		err := running.StopHost(ctx, number)
		return func() error { return running.StartHost(number) }, err
	case FaultUpstream:
		running.Upstreams[1].Kill()
		return func() error { return running.RestartUpstream(1, scenario.UpstreamOptions(1)) }, nil
	case FaultFreeze:
		unfreeze := running.Upstreams[2].Freeze()
		return func() error { unfreeze(); return nil }, nil
	case FaultCold:
		running.Upstreams[3].RestartWarmUp()
		running.Upstreams[scenario.options.Deployment.KeyedUpstreams].RestartWarmUp()
		return nil, nil
	default:
		return nil, Error.New("unknown fault %q", kind)
	}
}

// hostOtherThan returns the number of an entry host that differs from number.
func (scenario *Scenario) hostOtherThan(number int) int {
	last := len(scenario.Fleet.Hosts) - 1
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
func (scenario *Scenario) slowDownUpstreams() func() error {
	slowed := []int{scenario.ownerOf(slowedKey), scenario.options.Deployment.KeyedUpstreams + 1}
	for _, number := range slowed {
		scenario.Fleet.Upstreams[number].SetSlowdown(stragglerSlowdown)
	}
	return func() error {
		for _, number := range slowed {
			scenario.Fleet.Upstreams[number].SetSlowdown(1)
		}
		return nil
	}
}

// ownerOf returns the number of the upstream that owns a key, or 0 if none of the
// running upstreams does.
func (scenario *Scenario) ownerOf(key string) int {
	_, owner := scenario.OwnershipTable().Find(key)
	for number, upstream := range scenario.Fleet.Upstreams {
		if upstream.Name() == owner.Upstream {
			return number
		}
	}
	return 0
}

// takeOutDataCentre takes the second data centre out of service and returns a
// function that puts it back.
func (scenario *Scenario) takeOutDataCentre(ctx context.Context) (func() error, error) {
	name := scenario.options.Deployment.DataCentres[1]
	setState := func(state string) error {
		path := fmt.Sprintf("/api/v1/service/dataCentre/%s/%s", state, name)
		if err := scenario.Fleet.CallOperatorAPI(ctx, scenario.Fleet.ReadyHost(), http.MethodPost, path, "application/json", nil, nil); err != nil {
			return Error.New("set data centre %s: %w", strings.ToLower(state), err)
		}
		return nil
	}
	err := setState("out")
	return func() error { return setState("in") }, err
}
