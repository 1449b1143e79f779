package shard

import (
	"slices"

	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/queue"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
)

// follow takes changes of the catalog in.
func (shard *Shard) follow() {
	catalog := shard.env.Catalog()
	service, _ := catalog.Service(shard.service)
	shard.followPolicies(catalog, service)
	shard.followUpstreams(catalog, service)
	shard.refuseMoving()
	present := catalog.Shards[shard.id]
	if present.Epoch == shard.epoch && present.MovingTo != "" {
		shard.beginStop(calls.ReasonShardMoved)
	}
	for _, target := range shard.targets {
		_, _, revision := shard.slotsFor(target)
		if revision != target.grants.revision {
			target.grants.urgent = true
		}
	}
}

// followUpstreams adds, renews and drops targets.
func (shard *Shard) followUpstreams(catalog *state.Catalog, service spec.Service) {
	now := shard.env.Clock.Now()
	for _, upstream := range catalog.UpstreamsOf(shard.service) {
		name := upstream.ID.Name
		if shard.upstream != "" && name != shard.upstream {
			continue
		}
		present, ok := shard.targets[name]
		if !ok || present.upstream.Epoch != upstream.Epoch {
			shard.targets[name] = shard.renewed(present, newTarget(upstream, service, now))
		}
		shard.targets[name].upstream.Full = upstream.Full
		shard.targets[name].leaving = !catalog.UpstreamInService(upstream.ID)
		if shard.upstream != "" && shard.targets[name].leaving {
			shard.refuseWaiting(calls.ReasonKeyMoving)
		}
	}
	for name, target := range shard.targets {
		if _, ok := catalog.Upstreams[target.upstream.ID]; !ok {
			delete(shard.targets, name)
			shard.abandon(target)
		}
	}
	if shard.upstream != "" && len(shard.targets) == 0 {
		shard.beginStop(calls.ReasonNoOwner)
	}
}

// abandon gives up what runs at a lost upstream, so that idempotent requests go
// to the next owner and other callers learn at once that the outcome is unknown.
func (shard *Shard) abandon(target *target) {
	for work := range target.runs {
		for _, cancel := range work.cancels {
			cancel()
		}
		work.abandoned = true
	}
}

// renewed keeps what must outlive a new announcement: slots in use, and the
// end of grants that an earlier process at another address may still hold.
func (shard *Shard) renewed(previous, next *target) *target {
	if previous == nil {
		return next
	}
	next.grants.seenAt = shard.env.Clock.Now()
	if previous.upstream.Address != next.upstream.Address {
		next.grants.notBefore = previous.grants.until
	}
	if previous.upstream.Incarnation == next.upstream.Incarnation {
		next.ramp = previous.ramp
		next.recent = previous.recent
	}
	return next
}

// followPolicies keeps one lane per policy of the service.
func (shard *Shard) followPolicies(catalog *state.Catalog, service spec.Service) {
	wanted := service.Policies
	if len(wanted) == 0 {
		wanted = []spec.PolicyShare{{Name: defaultPolicy, Share: 1}}
	}
	total := 0.0
	for _, share := range wanted {
		total += share.Share
	}
	var lanes []*lane
	for _, share := range wanted {
		policy, ok := catalog.Policy(share.Name)
		if !ok {
			policy = spec.Policy{Name: share.Name, HedgeBudget: defaultHedgeBudget}
		}
		kept := shard.laneOf(share.Name)
		kept.policy = policy
		kept.share = share.Share / total
		kept.queue.Discipline = shard.discipline(policy)
		lanes = append(lanes, kept)
	}
	shard.retireLanes(lanes)
}

const (
	// defaultPolicy is the name under which requests without a policy are
	// measured.
	defaultPolicy      = "default"
	defaultHedgeBudget = 0.05
)

func (shard *Shard) laneOf(name string) *lane {
	for _, lane := range shard.lanes {
		if lane.policy.Name == name {
			return lane
		}
	}
	return newLane()
}

// retireLanes moves the requests of policies that are gone to the first lane.
func (shard *Shard) retireLanes(lanes []*lane) {
	old := shard.lanes
	shard.lanes = lanes
	for _, lane := range old {
		if slices.Contains(lanes, lane) {
			continue
		}
		for _, item := range lane.queue.Remove(func(queue.Item[*run]) bool { return true }) {
			item.Value.lane = lanes[0]
			shard.enqueue(item.Value)
		}
	}
}

func (shard *Shard) discipline(policy spec.Policy) queue.Discipline {
	switch policy.Admission {
	case spec.AdmissionFIFO:
		return queue.FIFO{}
	case spec.AdmissionStrictQuota:
		slots := 0
		for _, target := range shard.targets {
			slots += target.upstream.Slots
		}
		return queue.StrictQuota{Slots: slots}
	default:
		return queue.Fair{}
	}
}

// loadReport takes an upstream's own report as a hint: it may chill the ramp,
// but never warms it, since reports lag.
func (shard *Shard) loadReport(announcement upstr.Announcement) {
	target, ok := shard.targets[announcement.Name]
	if !ok || target.upstream.Incarnation != announcement.Incarnation {
		return
	}
	now := shard.env.Clock.Now()
	if announcement.Cold && !target.ramp.Cold(now) && target.ramp.Usual() == 0 {
		target.ramp.Chill(now)
		shard.env.Stats.Event("cold", "reported")
	}
}

// beginStop stops new work; what runs goes on.
func (shard *Shard) beginStop(reason calls.Reason) {
	if shard.stopping == "" {
		shard.stopping = reason
		shard.refuseWaiting(reason)
	}
}

// handOver releases the shard once nothing runs any more.
func (shard *Shard) handOver() {
	present := shard.env.Catalog().Shards[shard.id]
	if shard.stopping == "" || len(shard.running) > 0 || shard.releasing || shard.released || present.Epoch != shard.epoch {
		return
	}
	shard.releasing = true
	shard.env.Stats.Moved("shard", 1)
	command := state.ReleaseShards{Session: present.Session, Shards: []state.ShardID{shard.id}}
	go func() { shard.post(releasedMessage{released: shard.proposeUntilDone(command)}) }()
}

// ended tells whether the task has nothing left to do: the shard has gone to
// another epoch and all requests are answered.
func (shard *Shard) ended() bool {
	if shard.env.Catalog().Shards[shard.id].Epoch == shard.epoch {
		return false
	}
	shard.beginStop(calls.ReasonShardMoved)
	return len(shard.running) == 0
}
