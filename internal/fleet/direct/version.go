package direct

import (
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/control/steer"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/dispatch/expose"
)

// currentRollouts returns what this host knows about rollouts. The rollouts may be of a later
// catalog than the time says, which does no harm.
func (entry *Entry) currentRollouts() expose.Snapshot {
	config := entry.currentConfig()
	catalog := entry.follower.Catalog()
	return expose.Snapshot{Rollouts: catalog.Rollouts, Index: catalog.Index, ConfirmedAt: config.ConfirmedAt}
}

// allowsVersion reports whether an upstream's version gets requests now.
func (entry *Entry) allowsVersion(target admit.Target) bool {
	return entry.versions.Allowed(target.Service, target.Version, target.Keyed)
}

// updateVersions tells which versions have upstreams that may get requests.
func (entry *Entry) updateVersions(catalog *state.Catalog) {
	present := map[string]map[string]bool{}
	for _, instance := range catalog.Instances {
		if catalog.Rollouts[instance.Service].Stable == "" || !catalog.Schedulable(instance) || instance.Silent {
			continue
		}
		if present[instance.Service] == nil {
			present[instance.Service] = map[string]bool{}
		}
		present[instance.Service][instance.Version] = true
	}
	entry.versions.Update(present)
}

// addVersions adds what became of requests to the versions of services to a poll.
func (entry *Entry) addVersions(args *steer.PollArgs) expose.Report {
	report := entry.versions.Take()
	args.Applied = report.Applied
	for _, stats := range report.Versions {
		args.Versions = append(args.Versions, steer.VersionStats(stats))
	}
	return report
}
