package state

import (
	"fmt"
	"slices"
	"time"
)

// RolloutState is the state of a rollout.
type RolloutState string

// The states of a rollout. It is empty if there was no order.
const (
	RolloutRunning RolloutState = "running"
	// RolloutFinishing means that all requests go to the target, while some of the version
	// before it may still run.
	RolloutFinishing  RolloutState = "finishing"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolledBack"
)

// The bounds of the duration of a rollout. Evidence on one step takes a few polls of 400 ms.
const (
	minRolloutDuration = 2 * time.Second
	maxRolloutDuration = 24 * time.Hour
)

// maxRejected bounds the versions that are kept as rolled back, the oldest are dropped.
const maxRejected = 256

// FullExposure is the exposure, in thousandths, of a version that all requests may go to.
const FullExposure = 1000

// Rollout is the latest rollout of a service. Stable is the version in use; it is set when the
// service's first upstream registers and replaced when a rollout completes. It is empty if
// versions are ignored.
type Rollout struct {
	Stable   string
	Target   string
	State    RolloutState
	Duration time.Duration
	// Started is the leader's time of day, in Unix milliseconds, when it began to act on the
	// committed order. It is 0 until then.
	Started int64
	// Exposure is the part of the service's requests that may go to Target, in thousandths.
	Exposure int
	// Rejected are the versions that were rolled back.
	Rejected []string
	// Changed is the log index of the latest change.
	Changed uint64
	// Reason is why the latest rollout was rolled back.
	Reason string
}

// Active reports whether an order is in progress.
func (rollout Rollout) Active() bool {
	return rollout.State == RolloutRunning || rollout.State == RolloutFinishing
}

// Allows returns the part of requests, in thousandths, that may go to upstreams of a version.
func (rollout Rollout) Allows(version string) int {
	switch {
	case rollout.Stable == "":
		return FullExposure
	case slices.Contains(rollout.Rejected, version):
		return 0
	case version == rollout.Target && rollout.State == RolloutRunning:
		return rollout.Exposure
	case version == rollout.Target && (rollout.State == RolloutFinishing || rollout.State == RolloutCompleted):
		return FullExposure
	case version != rollout.Stable || rollout.State == RolloutFinishing:
		return 0
	case rollout.State == RolloutRunning:
		return FullExposure - rollout.Exposure
	default:
		return FullExposure
	}
}

// RecordStable records the version in use of a service that has none recorded.
type RecordStable struct{ Service, Version string }

// StartRollout orders that the requests to a service move to a version.
type StartRollout struct {
	Service  string
	Target   string
	Duration time.Duration
}

// SetExposure changes the exposure of the target, and makes the rollout finish at
// FullExposure. It is stale unless the latest change of the rollout was at Base.
type SetExposure struct {
	Service  string
	Base     uint64
	Exposure int
	// Started is Rollout.Started, for the first exposure.
	Started int64
}

// EndRollout ends a rollout. It is stale unless the latest change of the rollout was at Base.
type EndRollout struct {
	Service   string
	Base      uint64
	Completed bool
	// Reason is why it is rolled back.
	Reason string
}

const (
	kindRecordStable commandKind = "recordStable"
	kindStartRollout commandKind = "startRollout"
	kindSetExposure  commandKind = "setExposure"
	kindEndRollout   commandKind = "endRollout"
)

func (RecordStable) kind() commandKind { return kindRecordStable }
func (StartRollout) kind() commandKind { return kindStartRollout }
func (SetExposure) kind() commandKind  { return kindSetExposure }
func (EndRollout) kind() commandKind   { return kindEndRollout }

// applyRollout applies the commands of rollouts, and reports whether the command was one.
func (catalog *Catalog) applyRollout(index uint64, command Command) (Result, bool) {
	switch command := command.(type) {
	case RecordStable:
		if catalog.Rollouts[command.Service].Stable == "" {
			catalog.setRollout(index, command.Service, Rollout{Stable: command.Version})
		}
		return Result{Index: index, Outcome: OutcomeDone}, true
	case StartRollout:
		return catalog.startRollout(index, command), true
	case SetExposure:
		return catalog.setExposure(index, command), true
	case EndRollout:
		return catalog.endRollout(index, command), true
	default:
		return Result{}, false
	}
}

func (catalog *Catalog) setRollout(index uint64, service string, rollout Rollout) {
	rollout.Changed = index
	catalog.Rollouts = with(catalog.Rollouts, service, rollout)
}

// startRollout starts a rollout. A version that was rolled back can't be ordered again, since
// a late repeat of the order would have the same effect as a new one.
func (catalog *Catalog) startRollout(index uint64, command StartRollout) Result {
	rollout := catalog.Rollouts[command.Service]
	invalid := ""
	_, known := catalog.View().Service(command.Service)
	switch {
	case !known:
		invalid = "the service is not known"
	case rollout.Active():
		return Result{Index: index, Outcome: OutcomeConflict, Detail: fmt.Sprintf("a rollout of version %q is in progress", rollout.Target)}
	case rollout.Stable == "":
		invalid = "no version of the service is in use"
	case command.Duration < minRolloutDuration || command.Duration > maxRolloutDuration:
		invalid = "the duration must be from 2 s to 24 h"
	case command.Target == "" || command.Target == rollout.Stable:
		invalid = "the target must be another version than that in use"
	case slices.Contains(rollout.Rejected, command.Target):
		invalid = "the version was rolled back"
	}
	if invalid != "" {
		return Result{Index: index, Outcome: OutcomeInvalid, Detail: invalid}
	}
	rollout = Rollout{
		Stable: rollout.Stable, Target: command.Target, State: RolloutRunning, Duration: command.Duration, Rejected: rollout.Rejected,
	}
	catalog.setRollout(index, command.Service, rollout)
	return Result{Index: index, Outcome: OutcomeDone}
}

func (catalog *Catalog) setExposure(index uint64, command SetExposure) Result {
	rollout := catalog.Rollouts[command.Service]
	if rollout.State != RolloutRunning || rollout.Changed != command.Base {
		return Result{Index: index, Outcome: OutcomeStale}
	}
	rollout.Exposure = min(max(0, command.Exposure), FullExposure)
	if rollout.Started == 0 {
		rollout.Started = command.Started
	}
	if rollout.Exposure == FullExposure {
		rollout.State = RolloutFinishing
	}
	catalog.setRollout(index, command.Service, rollout)
	return Result{Index: index, Outcome: OutcomeDone}
}

func (catalog *Catalog) endRollout(index uint64, command EndRollout) Result {
	rollout := catalog.Rollouts[command.Service]
	if !rollout.Active() || rollout.Changed != command.Base {
		return Result{Index: index, Outcome: OutcomeStale}
	}
	if command.Completed {
		rollout.State, rollout.Stable, rollout.Exposure = RolloutCompleted, rollout.Target, FullExposure
	} else {
		rollout.State, rollout.Exposure, rollout.Reason = RolloutRolledBack, 0, shortenDetail(command.Reason)
		rollout.Rejected = append(slices.Clone(rollout.Rejected), rollout.Target)
		rollout.Rejected = rollout.Rejected[max(0, len(rollout.Rejected)-maxRejected):]
	}
	catalog.setRollout(index, command.Service, rollout)
	return Result{Index: index, Outcome: OutcomeDone}
}
