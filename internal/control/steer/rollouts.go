package steer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/canary"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// RolloutOptions configure the leader's part in rollouts. Without an exposure there are none.
type RolloutOptions struct {
	Bounds canary.Bounds
	Stats  *stats.Set
}

// rolloutTable holds the evidence on the active rollouts of a term, by service. The
// coordinator's mutex guards it.
type rolloutTable struct {
	trials map[string]*trial
}

// trial is the evidence on one rollout, and what was last logged of it.
type trial struct {
	*canary.Trial
	target string
	logged canary.Decision
}

// UseRollouts enables rollouts. It must be called before Start.
func (coordinator *Coordinator) UseRollouts(options RolloutOptions) {
	coordinator.rolloutOptions = options
}

// rolloutsEnabled reports whether rollouts are enabled here and known to all members.
func (coordinator *Coordinator) rolloutsEnabled() bool {
	return coordinator.rolloutOptions.Bounds.Exposure > 0 && coordinator.node.Status().Format >= state.FormatRollouts
}

// recordStable records the version in use of a service before its first upstream is registered.
func (coordinator *Coordinator) recordStable(ctx context.Context, instance state.Instance) error {
	if !coordinator.rolloutsEnabled() || instance.Version == "" {
		return nil
	}
	catalog := coordinator.node.Catalog()
	if catalog.Rollouts[instance.Service].Stable != "" || len(catalog.InstancesOf(instance.Service)) > 0 {
		return nil
	}
	if _, err := coordinator.node.Propose(ctx, state.RecordStable{Service: instance.Service, Version: instance.Version}); err != nil {
		return Error.New("record version %q of service %q: %w", instance.Version, instance.Service, err)
	}
	coordinator.logStable(instance.Service, instance.Version)
	return nil
}

func (coordinator *Coordinator) logStable(service, version string) {
	coordinator.log.WithField("service", service).WithField("version", version).
		Info(logPrefix + "recorded the version in use of a service")
}

// recordMissingStable records the version in use of services that had upstreams before rollouts
// were enabled: that of most upstreams.
func (coordinator *Coordinator) recordMissingStable(ctx context.Context, term uint64) {
	catalog := coordinator.node.Catalog()
	for service := range catalog.View().Services() {
		if catalog.Rollouts[service].Stable != "" {
			continue
		}
		version := commonVersion(catalog.InstancesOf(service))
		if version != "" && coordinator.propose(ctx, term, state.RecordStable{Service: service, Version: version}) {
			coordinator.logStable(service, version)
		}
	}
}

// commonVersion returns the version of most instances, and the first of several in order of
// their names, or "" without instances.
func commonVersion(instances []state.Instance) string {
	counts := map[string]int{}
	for _, instance := range instances {
		counts[instance.Version]++
	}
	common := ""
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		if version != "" && counts[version] > counts[common] || counts[common] == 0 {
			common = version
		}
	}
	return common
}

// addVersions adds an entry host's report to the evidence on the active rollouts. The
// coordinator's mutex must be held.
func (coordinator *Coordinator) addVersions(now time.Time, catalog *state.Catalog, args PollArgs) {
	for service, rollout := range catalog.Rollouts {
		if !rollout.Active() {
			continue
		}
		report := canary.Report{Host: args.Entry.Name, DataCentre: args.Entry.DataCentre, Applied: args.Applied}
		for _, versionstats := range args.Versions {
			if versionstats.Service == service {
				report.Samples = append(report.Samples, versionstats.sample())
			}
		}
		report.Upstreams = outcomesOf(catalog, service, rollout.Target, args.Work)
		coordinator.trialOf(service, rollout).Add(now, rollout, report)
	}
}

// outcomesOf returns the reported outcomes of requests to upstreams of a version.
func outcomesOf(catalog *state.Catalog, service, version string, work map[string]RequestStats) map[string]canary.Outcomes {
	outcomes := map[string]canary.Outcomes{}
	for id, requeststats := range work {
		if instance := catalog.Instances[id]; instance.Service == service && instance.Version == version {
			outcomes[id] = canary.Outcomes{Answered: requeststats.Count, Failed: requeststats.Erred + requeststats.Failed}
		}
	}
	return outcomes
}

// sample returns the statistics as evidence.
func (versionstats VersionStats) sample() canary.Sample {
	return canary.Sample{
		Version: versionstats.Version, Route: versionstats.Route, Work: versionstats.Work,
		Answered: max(0, versionstats.Answered), Bad: max(0, min(versionstats.Bad, versionstats.Answered)), Running: max(0, versionstats.Running),
	}
}

// trialOf returns the evidence on a rollout, which is empty at first. The coordinator's mutex
// must be held.
func (coordinator *Coordinator) trialOf(service string, rollout state.Rollout) *trial {
	present, ok := coordinator.rollouts.trials[service]
	if !ok || present.target != rollout.Target {
		present = &trial{Trial: canary.NewTrial(coordinator.rolloutOptions.Bounds), target: rollout.Target}
		coordinator.rollouts.trials[service] = present
	}
	return present
}

// updateRollouts commits what is due of the rollouts.
func (coordinator *Coordinator) updateRollouts(ctx context.Context, term uint64) {
	if !coordinator.rolloutsEnabled() {
		return
	}
	coordinator.recordMissingStable(ctx, term)
	catalog := coordinator.node.Catalog()
	for _, service := range slices.Sorted(maps.Keys(catalog.Rollouts)) {
		rollout := catalog.Rollouts[service]
		if !rollout.Active() {
			coordinator.forgetTrial(term, service)
			continue
		}
		now := coordinator.clock.Now()
		decision, ok := coordinator.decideRollout(term, now, catalog, service)
		if !ok {
			return
		}
		if command := commandOf(service, rollout, decision, now); command != nil {
			coordinator.propose(ctx, term, command)
		}
	}
}

// forgetTrial drops the evidence on a rollout that has ended.
func (coordinator *Coordinator) forgetTrial(term uint64, service string) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if coordinator.term == term {
		delete(coordinator.rollouts.trials, service)
	}
}

// decideRollout decides on a rollout, and logs and counts the decision if it differs from the
// one before.
func (coordinator *Coordinator) decideRollout(term uint64, now time.Time, catalog *state.Catalog, service string) (canary.Decision, bool) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if coordinator.term != term {
		return canary.Decision{}, false
	}
	rollout := catalog.Rollouts[service]
	known := coordinator.trialOf(service, rollout)
	keyed := catalog.View().Services()[service].Keyed
	decision := known.Decide(canary.Input{
		Now: now, Rollout: rollout, Hosts: slices.Collect(maps.Keys(catalog.Entries)), Interval: intervalOfPolls(len(catalog.Entries)),
		Keyed: keyed, KeysElsewhere: keyed && keysElsewhere(catalog, service, rollout.Target),
	})
	if decision.Action != known.logged.Action || decision.Reason != known.logged.Reason || decision.Exposure != known.logged.Exposure {
		known.logged = decision
		coordinator.logDecision(service, rollout, now, decision)
	}
	return decision, true
}

// commandOf returns the command that carries out a decision, or nil if there is nothing to do.
func commandOf(service string, rollout state.Rollout, decision canary.Decision, now time.Time) state.Command {
	switch decision.Action {
	case canary.Step:
		return state.SetExposure{Service: service, Base: rollout.Changed, Exposure: decision.Exposure, Started: now.UnixMilli()}
	case canary.Complete:
		return state.EndRollout{Service: service, Base: rollout.Changed, Completed: true}
	case canary.RollBack:
		return state.EndRollout{Service: service, Base: rollout.Changed, Reason: decision.Describe()}
	default:
		return nil
	}
}

func (coordinator *Coordinator) logDecision(service string, rollout state.Rollout, now time.Time, decision canary.Decision) {
	if coordinator.rolloutOptions.Stats != nil {
		coordinator.rolloutOptions.Stats.Event("rollout", string(decision.Action)+"/"+string(decision.Reason))
	}
	evidence := decision.Evidence
	sinceStart := "0s"
	if rollout.Started > 0 {
		sinceStart = now.Sub(time.UnixMilli(rollout.Started)).String()
	}
	line := coordinator.log.WithFields(log.Fields{
		"service": service, "stable": rollout.Stable, "target": rollout.Target, "action": string(decision.Action),
		"reason": string(decision.Reason), "exposure": rollout.Exposure, "next": decision.Exposure, "sinceStart": sinceStart,
		"route": evidence.Route, "answered": evidence.Answered, "bad": evidence.Bad, "expectedBad": evidence.Expected,
		"stableAnswered": evidence.StableAnswered, "stableBad": evidence.StableBad, "workRatio": evidence.WorkRatio,
		"hosts": evidence.Hosts, "confirmed": evidence.Confirmed, "age": evidence.Age.String(),
	})
	if decision.Action == canary.RollBack {
		line.Warn(logPrefix + "decided on a rollout")
		return
	}
	line.Info(logPrefix + "decided on a rollout")
}

// RolloutsArgs requests the latest rollouts.
type RolloutsArgs struct{}

// RolloutsReply is the reply to RolloutsArgs.
type RolloutsReply struct {
	NotLeader bool
	Leader    string
	// Enabled is set if the leader carries rollouts out.
	Enabled  bool
	Rollouts map[string]state.Rollout
}

// FromLeader reports whether the leader sent the reply, and otherwise returns the
// leader's address if it is known.
func (rolloutsreply *RolloutsReply) FromLeader() (leads bool, hint string) {
	return !rolloutsreply.NotLeader, rolloutsreply.Leader
}

// Rollouts returns the latest rollouts by service. The read is linearizable.
func (rpcservice *RPCService) Rollouts(_ RolloutsArgs, reply *RolloutsReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	catalog, err := rpcservice.node.ReadLinearizable(ctx)
	if err != nil {
		reply.NotLeader, reply.Leader = true, rpcservice.coordinator.leaderAddress()
		return nil
	}
	reply.Enabled, reply.Rollouts = rpcservice.coordinator.rolloutsEnabled(), catalog.Rollouts
	return nil
}
