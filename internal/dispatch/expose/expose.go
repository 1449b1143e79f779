// Package expose decides for one entry host which version of a service gets a request while a
// rollout moves the service to another version, counts how each version's requests end, and stops
// a version that fails here. It uses no network and reads the time only from the clock passed in.
package expose

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	// logPrefix starts each line that this package logs.
	logPrefix = "expose: "
	// maxAge is the age of the catalog's confirmation beyond which the target of a running
	// rollout gets nothing from this host: it may have been rolled back.
	maxAge = 1500 * time.Millisecond
	// stopTime is how long after the leader got the evidence the stop of a target by this host
	// ends. The leader has rolled a bad version back within this time.
	stopTime = 5 * time.Second
)

// Snapshot is what a host knows about rollouts.
type Snapshot struct {
	Rollouts map[string]state.Rollout
	// Index is the log index of the catalog with these rollouts, and ConfirmedAt when the leader
	// last confirmed that there was no later one.
	Index       uint64
	ConfirmedAt time.Time
}

// Choice is the version that a request goes to.
type Choice struct {
	// Version is empty if versions are ignored.
	Version string
	// Stopped is closed when the version stops to get requests, nil if no rollout is in progress.
	Stopped <-chan struct{}
	// Replaceable is set if the request may go to another version if this one has no room.
	Replaceable bool
	// Exposure is that of the rollout, and Age how long before the choice it was confirmed.
	Exposure int
	Age      time.Duration
}

// Selector chooses versions for the requests of one host. It is safe for concurrent use. Clock,
// Log and Stats must be set. A nil selector ignores versions.
type Selector struct {
	// Current returns what the host knows now.
	Current func() Snapshot
	// OnStop, if set, is called when this host stops a target.
	OnStop func()
	Clock  clockwork.Clock
	Log    log.Interface
	Stats  *stats.Set

	mutex    sync.Mutex
	services map[string]*service
}

// Excluded reports whether upstreams of a version get no requests at all, whatever this host
// observes. Those of the version in use are not excluded before another one replaces it: they
// own keys until these have moved.
func Excluded(rollout state.Rollout, version string) bool {
	return rollout.Allows(version) == 0 && version != rollout.Stable
}

// Choose draws the version for a request without a key.
func (selector *Selector) Choose(name string) Choice {
	if selector == nil {
		return Choice{}
	}
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	current := selector.current(name)
	rollout := current.rollout
	if rollout.Stable == "" {
		return Choice{}
	}
	choice := Choice{Version: rollout.Stable, Exposure: rollout.Exposure, Age: current.age}
	switch {
	case rollout.State == state.RolloutFinishing:
		choice.Version = rollout.Target
	case rollout.State == state.RolloutRunning && rand.IntN(state.FullExposure) < rollout.Exposure: //nolint:gosec // spreads load
		if reason := selector.unusable(current); reason != "" {
			selector.Stats.Event("version", reason)
			break
		}
		choice.Version = rollout.Target
		choice.Replaceable = rollout.Allows(rollout.Stable) > 0
	}
	if rollout.Active() {
		choice.Stopped = current.service.watch(choice.Version)
	}
	return choice
}

// unusable returns why the target of a running rollout gets nothing of its part, or "".
func (selector *Selector) unusable(current current) string {
	switch {
	case selector.stopped(current):
		return "stopped"
	case current.age > maxAge:
		return "unconfirmed"
	case !current.service.present[current.rollout.Target]:
		return "noUpstream"
	default:
		return ""
	}
}

// Fallback returns the version for a request without a key that was refused for lack of room at
// the given version and has not been sent, if there is one.
func (selector *Selector) Fallback(name, version string) (choice Choice, ok bool) {
	if selector == nil {
		return Choice{}, false
	}
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	current := selector.current(name)
	rollout := current.rollout
	if rollout.State != state.RolloutRunning || version != rollout.Target || rollout.Allows(rollout.Stable) == 0 {
		return Choice{}, false
	}
	selector.Stats.Event("version", "noRoom")
	return Choice{
		Version: rollout.Stable, Stopped: current.service.watch(rollout.Stable), Exposure: rollout.Exposure, Age: current.age,
	}, true
}

// Allowed reports whether a request may be sent to an upstream of a version now. Only requests
// with a key, whose owner decides, go to the version in use while a rollout finishes.
func (selector *Selector) Allowed(name, version string, keyed bool) bool {
	if selector == nil {
		return true
	}
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	return selector.allowed(selector.current(name), version, keyed)
}

func (selector *Selector) allowed(current current, version string, keyed bool) bool {
	rollout := current.rollout
	switch running := rollout.State == state.RolloutRunning; {
	case rollout.Stable == "":
		return true
	case running && version == rollout.Target:
		return rollout.Allows(version) > 0 && current.age <= maxAge && !selector.stopped(current)
	case version == rollout.Stable:
		return running || keyed || rollout.Allows(version) > 0
	default:
		return rollout.Allows(version) > 0
	}
}

// stopped reports whether this host has stopped the target, and ends the stop when it is over.
func (selector *Selector) stopped(current current) bool {
	service := current.service
	if service.stoppedAt.IsZero() {
		return false
	}
	if service.reportedAt.IsZero() || selector.Clock.Now().Sub(service.reportedAt) < stopTime {
		return true
	}
	service.resume()
	selector.Stats.Event("version", "resumed")
	selector.Log.WithField("service", current.name).WithField("target", current.rollout.Target).WithField("exposure", current.rollout.Exposure).
		WithField("version", current.index).Info(logPrefix + "the leader goes on with a rollout whose target this host had stopped")
	return false
}

// current is what a selector knows about a service at the moment.
type current struct {
	name    string
	rollout state.Rollout
	service *service
	index   uint64
	// age is how long ago the catalog was confirmed.
	age time.Duration
}

// current returns what is known about a service, and forgets what it knew about an earlier rollout.
func (selector *Selector) current(name string) current {
	snapshot := selector.Current()
	return selector.view(snapshot, name)
}

func (selector *Selector) view(snapshot Snapshot, name string) current {
	if selector.services == nil {
		selector.services = map[string]*service{}
	}
	found, ok := selector.services[name]
	if !ok {
		found = &service{}
		selector.services[name] = found
	}
	rollout := snapshot.Rollouts[name]
	if order := (order{target: rollout.Target, started: rollout.Started}); order != found.order {
		found.begin(order)
	}
	return current{
		name: name, rollout: rollout, service: found, index: snapshot.Index, age: selector.Clock.Now().Sub(snapshot.ConfirmedAt),
	}
}

// Update replaces the versions that have schedulable upstreams, by service, and tells waiting
// requests whose version gets none any more.
func (selector *Selector) Update(present map[string]map[string]bool) {
	if selector == nil {
		return
	}
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	snapshot := selector.Current()
	for name, rollout := range snapshot.Rollouts {
		if rollout.Stable != "" {
			selector.view(snapshot, name).service.present = present[name]
		}
	}
	for name, service := range selector.services {
		if snapshot.Rollouts[name].Stable == "" {
			service.closeWatches(func(string) bool { return true })
			delete(selector.services, name)
			continue
		}
		current := selector.view(snapshot, name)
		service.closeWatches(func(version string) bool { return !selector.allowed(current, version, false) })
		service.prune(current.rollout)
	}
}
