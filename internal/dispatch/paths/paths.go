// Package paths keeps what one host knows about its own paths to upstreams. A failure
// on a path says nothing about the upstream at its end: other hosts may reach it. A host
// that fails towards several upstreams, or hears nothing of any while requests to several
// are under way, distrusts all of its paths. The package uses no network and reads the time only from the clock passed in.
package paths

import (
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/spans"
)

const (
	// logPrefix starts each line that this package logs.
	logPrefix = "paths: "
	// minTrialInterval and maxTrialInterval bound the time between two trials of a broken
	// path; it doubles with each that fails.
	minTrialInterval = 500 * time.Millisecond
	maxTrialInterval = 2 * time.Second
	// isolationThreshold is the number of upstreams that a host fails to reach, without
	// reaching any in between, from which on it distrusts all of its paths.
	isolationThreshold = 3
	// flapTime is how soon after its restoration a path must break again for more trials
	// to be needed the next time, at most maxTrials in a row.
	flapTime  = 10 * time.Second
	maxTrials = 4
	// silenceTime is how long requests to isolationThreshold upstreams have no answer, and
	// nothing is heard of any upstream, until a host counts as isolated.
	silenceTime = time.Second
	// canaryPatience is how long a silent host waits for a request that may be its canary,
	// until it uses its paths again.
	canaryPatience = 10 * time.Second
	// lossThreshold is the number of connections lost in a row that counts against the
	// upstream.
	lossThreshold = 2
)

// Path leads to the process of an upstream.
type Path struct {
	Owner   spans.Owner
	Address netip.AddrPort
}

// pathState is what is known about a path.
type pathState struct {
	broken     bool
	restoredAt time.Time
	// trying is set while a trial runs. The next one may begin at nextTrial, and the one
	// after it trialInterval later.
	trying        bool
	nextTrial     time.Time
	trialInterval time.Duration
	// succeeded counts the trials that succeeded in a row, and needed is how many restore
	// the path.
	succeeded, needed int
	// losses counts the requests in a row that lost their connection.
	losses int
	// underWay counts the requests without an answer. waitsSince is when the first one was
	// sent since the upstream last answered, unless all of them ended soon after.
	underWay   int
	waitsSince time.Time
}

// Table holds the paths of one host. It is safe for concurrent use. Clock, Log and Stats
// must be set.
type Table struct {
	Clock clockwork.Clock
	Log   log.Interface
	Stats *stats.Set

	mutex  sync.Mutex
	states map[Path]*pathState
	// unreached are the paths that failed since the host last reached any upstream.
	unreached map[Path]bool
	isolated  bool
	// silent is set if the host is isolated since it hears nothing, although connections
	// can be opened. Only an answer ends that; nextCanary is when the next request may be
	// sent to find out.
	silent         bool
	heardAt        time.Time
	nextCanary     time.Time
	canaryInterval time.Duration
	// isolationTrial is set while the only trial of an isolated host runs.
	isolationTrial bool
}

// Usable reports whether the host should use the path.
func (table *Table) Usable(path Path) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.checkSilence(table.Clock.Now())
	state := table.states[path]
	return !table.isolated && (state == nil || !state.broken)
}

// Begin records that a request is sent on a path, and returns the function that records
// its end, with or without an answer.
func (table *Table) Begin(path Path) (end func()) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	state := table.state(path)
	if state.waitsSince.IsZero() {
		state.waitsSince = table.Clock.Now()
	}
	state.underWay++
	return func() {
		table.mutex.Lock()
		defer table.mutex.Unlock()
		state.underWay--
		if state.underWay == 0 && table.Clock.Now().Sub(state.waitsSince) < silenceTime {
			state.waitsSince = time.Time{}
		}
	}
}

// checkSilence finds out whether the host hears nothing of any upstream.
func (table *Table) checkSilence(now time.Time) {
	if table.silent && now.Sub(table.nextCanary) > canaryPatience {
		table.silent, table.heardAt = false, now
		table.endIsolation()
	}
	if table.isolated || table.heardAt.IsZero() || now.Sub(table.heardAt) < silenceTime {
		return
	}
	waiting := 0
	for _, state := range table.states {
		if !state.waitsSince.Before(table.heardAt) && now.Sub(state.waitsSince) >= silenceTime {
			waiting++
		}
	}
	if waiting < isolationThreshold {
		return
	}
	table.isolated, table.silent = true, true
	table.canaryInterval, table.nextCanary = minTrialInterval, now.Add(minTrialInterval)
	table.Stats.Event("path", "silent")
	table.Log.WithField("waiting", waiting).WithField("silentFor", now.Sub(table.heardAt).String()).
		Warn(logPrefix + "host hears nothing of upstreams, distrusting all of its paths")
}

// TakeCanary reports whether a request that may run twice should be sent on the host's own
// path, for a part of its time, to find out whether a silent host hears upstreams again.
func (table *Table) TakeCanary() bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.Clock.Now()
	if !table.silent || now.Before(table.nextCanary) {
		return false
	}
	table.canaryInterval = min(2*table.canaryInterval, maxTrialInterval)
	table.nextCanary = now.Add(table.canaryInterval)
	return true
}

// Isolated reports whether the host seems to reach no upstream.
func (table *Table) Isolated() bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.isolated
}

// RecordReached records that an upstream answered on a path. It does not restore a broken
// path: connections may live on while new ones fail.
func (table *Table) RecordReached(path Path) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.heardAt = table.Clock.Now()
	if state := table.states[path]; state != nil {
		state.losses, state.waitsSince = 0, time.Time{}
		if state.underWay > 1 { // the request that was answered is still under way
			state.waitsSince = table.heardAt
		}
	}
	table.silent = false
	table.endIsolation()
}

// RecordLost records that a connection was lost under a request, and reports whether that
// is the fault of the upstream: it happens again and again while the path is fine.
func (table *Table) RecordLost(path Path) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	state := table.state(path)
	state.losses++
	return state.losses >= lossThreshold && !state.broken && !table.isolated
}

// RecordUnreached records that the upstream was not reached on a path.
func (table *Table) RecordUnreached(path Path, cause string) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.Clock.Now()
	state := table.state(path)
	if !state.broken {
		state.needed = 1
		if !state.restoredAt.IsZero() && now.Sub(state.restoredAt) < flapTime {
			state.needed = min(2*max(1, state.succeeded), maxTrials)
		}
		state.broken, state.succeeded = true, 0
		state.trialInterval, state.nextTrial = minTrialInterval, now.Add(minTrialInterval)
		table.Stats.Event("path", "broken")
		table.Log.WithField("upstream", path.Owner.ID).WithField("address", path.Address.String()).WithField("cause", cause).
			WithField("trialsNeeded", state.needed).Info(logPrefix + "path to an upstream is broken")
	}
	if table.unreached == nil {
		table.unreached = map[Path]bool{}
	}
	table.unreached[path] = true
	if len(table.unreached) >= isolationThreshold && !table.isolated {
		table.isolated = true
		table.Stats.Event("path", "isolated")
		table.Log.WithField("unreached", len(table.unreached)).Warn(logPrefix + "host reaches no upstream, distrusting all of its paths")
	}
}

// BeginTrial reports whether to try the path now, while the host does not use it. The
// trial must be ended with EndTrial. An isolated host tries one path at a time.
func (table *Table) BeginTrial(path Path) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	state, now := table.state(path), table.Clock.Now()
	if !table.isolated && !state.broken || state.trying || table.isolationTrial || now.Before(state.nextTrial) {
		return false
	}
	state.trying, table.isolationTrial = true, table.isolated
	return true
}

// EndTrial records the outcome of a trial.
func (table *Table) EndTrial(path Path, reached bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	state, now := table.state(path), table.Clock.Now()
	state.trying, table.isolationTrial = false, false
	if !reached {
		state.succeeded = 0
		state.trialInterval = min(2*max(state.trialInterval, minTrialInterval/2), maxTrialInterval)
		state.nextTrial = now.Add(state.trialInterval)
		return
	}
	table.endIsolation()
	state.succeeded++
	state.nextTrial = now.Add(minTrialInterval)
	if state.broken && state.succeeded >= state.needed {
		state.broken, state.restoredAt = false, now
		table.Stats.Event("path", "restored")
		table.Log.WithField("upstream", path.Owner.ID).WithField("address", path.Address.String()).
			WithField("trials", state.succeeded).Info(logPrefix + "path to an upstream is restored")
	}
}

// Keep forgets the paths to upstreams other than those given.
func (table *Table) Keep(present map[Path]bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	maps.DeleteFunc(table.states, func(path Path, _ *pathState) bool { return !present[path] })
	maps.DeleteFunc(table.unreached, func(path Path, _ bool) bool { return !present[path] })
}

func (table *Table) state(path Path) *pathState {
	if table.states == nil {
		table.states = map[Path]*pathState{}
	}
	if table.states[path] == nil {
		table.states[path] = &pathState{needed: 1}
	}
	return table.states[path]
}

// endIsolation records that the host reached an upstream.
func (table *Table) endIsolation() {
	clear(table.unreached)
	if table.isolated && !table.silent {
		table.isolated = false
		table.Stats.Event("path", "reached")
		table.Log.Info(logPrefix + "host reaches upstreams again")
	}
}
