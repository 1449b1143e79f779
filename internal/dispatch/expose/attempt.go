package expose

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

// Attempt is a request that is being sent to an upstream of a version. Exactly one of its methods
// must be called when it ends. A nil attempt counts nothing.
type Attempt struct {
	selector *Selector
	service  string
	version  string
	route    string
	order    order
	// state is what the service's rollout knew when the attempt began.
	state     *service
	startedAt time.Time
}

// Begin begins an attempt at an upstream of a version, unless that must not get requests. What
// Take reports after an attempt was refused includes all attempts that were not.
func (selector *Selector) Begin(name, version, route string, keyed bool) (attempt *Attempt, ok bool) {
	if selector == nil {
		return nil, true
	}
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	current := selector.current(name)
	if current.rollout.Stable == "" {
		return nil, true
	}
	if !selector.allowed(current, version, keyed) {
		selector.Stats.Event("version", "notAllowed")
		return nil, false
	}
	current.service.record(version, route).running++
	return &Attempt{
		selector: selector, service: name, version: version, route: route, order: current.service.order, state: current.service,
		startedAt: selector.Clock.Now(),
	}, true
}

// Answered ends an attempt that got a response. The queued part of its time, between 0 and 1, is
// what the request waited at the upstream.
func (attempt *Attempt) Answered(status int, queued float64) {
	if attempt == nil {
		return
	}
	attempt.selector.mutex.Lock()
	defer attempt.selector.mutex.Unlock()
	took := attempt.took()
	work := time.Duration(float64(took) * (1 - queued))
	current := attempt.end()
	slow := attempt.state.slow(current.rollout.Stable, attempt.route, work)
	failed := status >= http.StatusInternalServerError
	if !failed {
		attempt.state.record(attempt.version, attempt.route).samples.add(work, sampleCount)
	}
	attempt.count(current, took, work, failed || slow)
}

// Unanswered ends an attempt that may have run and got no response.
func (attempt *Attempt) Unanswered(timedOut bool) {
	if attempt == nil {
		return
	}
	attempt.selector.mutex.Lock()
	defer attempt.selector.mutex.Unlock()
	took := attempt.took()
	current := attempt.end()
	if timedOut && took < fairFactor*attempt.state.usual(current.rollout.Stable, attempt.route) {
		return // no version would surely have answered in time
	}
	attempt.count(current, took, took, true)
}

// Cancel ends an attempt that says nothing about the version.
func (attempt *Attempt) Cancel() {
	if attempt == nil {
		return
	}
	attempt.selector.mutex.Lock()
	defer attempt.selector.mutex.Unlock()
	attempt.end()
}

func (attempt *Attempt) took() time.Duration {
	return attempt.selector.Clock.Now().Sub(attempt.startedAt)
}

// end records that the attempt does not run any more.
func (attempt *Attempt) end() current {
	current := attempt.selector.current(attempt.service)
	attempt.state.record(attempt.version, attempt.route).running--
	return current
}

// count counts the outcome and stops the target if it fails while the version in use does not.
func (attempt *Attempt) count(current current, took, work time.Duration, bad bool) {
	selector, service := attempt.selector, attempt.state
	outcome := "good"
	record := service.record(attempt.version, attempt.route)
	if bad {
		outcome = "bad"
	}
	selector.Stats.Version(attempt.service, attempt.version, outcome)
	if attempt.order != service.order {
		return // it is of an earlier rollout
	}
	record.answered++
	record.total += took
	record.work += work
	if bad {
		record.bad++
	}
	service.addOutcome(attempt.version, bad)
	rollout := current.rollout
	if !bad || rollout.State != state.RolloutRunning || attempt.version != rollout.Target || !service.stoppedAt.IsZero() {
		return
	}
	targetCount, targetBad := service.badCount(rollout.Target)
	stableCount, stableBad := service.badCount(rollout.Stable)
	if targetBad < badThreshold || stableBad > 0 {
		return
	}
	service.stoppedAt = selector.Clock.Now()
	service.closeWatches(func(version string) bool { return version == rollout.Target })
	selector.Stats.Event("version", "stop")
	selector.Log.WithField("service", attempt.service).WithField("target", rollout.Target).WithField("stable", rollout.Stable).
		WithField("route", attempt.route).WithField("latest", targetCount).WithField("bad", targetBad).WithField("stableLatest", stableCount).
		WithField("exposure", rollout.Exposure).WithField("confirmedAgo", current.age.String()).WithField("version", current.index).
		Warn(logPrefix + "this host stops the target of a rollout")
	if selector.OnStop != nil {
		selector.OnStop()
	}
}

// Stats sums up the requests of a version on a route, as steer.VersionStats.
type Stats struct {
	Service  string
	Version  string
	Route    string
	Answered int
	Bad      int
	Total    time.Duration
	Work     time.Duration
	Running  int
}

// Report is what a poll tells the control leader.
type Report struct {
	// Applied is the log index of the catalog that all requests not in Versions were and will be
	// chosen by.
	Applied  uint64
	Versions []Stats
	// evidence is when the report was taken.
	evidence time.Time
}

// Take returns the counts since the last report, of services with a rollout in progress, and what
// runs on versions that are not in use. Acknowledge must be called with the outcome of the poll.
func (selector *Selector) Take() Report {
	if selector == nil {
		return Report{}
	}
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	snapshot := selector.Current()
	report := Report{Applied: snapshot.Index, evidence: selector.Clock.Now()}
	for name := range selector.services {
		current := selector.view(snapshot, name)
		active := current.rollout.Active()
		for key, record := range current.service.records {
			stats := Stats{Service: name, Version: key.version, Route: key.name, Running: record.running}
			if active {
				stats.Answered, stats.Bad, stats.Total, stats.Work = record.answered, record.bad, record.total, record.work
			}
			record.answered, record.bad, record.total, record.work = 0, 0, 0, 0
			if stats.Answered > 0 || stats.Running > 0 && (active || key.version != current.rollout.Stable) {
				report.Versions = append(report.Versions, stats)
			}
		}
	}
	slices.SortFunc(report.Versions, func(left, right Stats) int {
		return cmp.Or(cmp.Compare(left.Service, right.Service), cmp.Compare(left.Version, right.Version), cmp.Compare(left.Route, right.Route))
	})
	return report
}

// Acknowledge records whether the leader got a report. The counts of one that it may not have got
// are added to the next.
func (selector *Selector) Acknowledge(report Report, received bool) {
	if selector == nil {
		return
	}
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	if received {
		for _, service := range selector.services {
			if service.reportedAt.IsZero() && !service.stoppedAt.IsZero() && !report.evidence.Before(service.stoppedAt) {
				service.reportedAt = selector.Clock.Now()
			}
		}
		return
	}
	snapshot := selector.Current()
	for _, stats := range report.Versions {
		if !snapshot.Rollouts[stats.Service].Active() {
			continue
		}
		record := selector.view(snapshot, stats.Service).service.record(stats.Version, stats.Route)
		record.answered += stats.Answered
		record.bad += stats.Bad
		record.total += stats.Total
		record.work += stats.Work
	}
}
