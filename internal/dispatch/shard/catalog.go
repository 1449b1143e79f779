package shard

import (
	"slices"

	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/queue"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
)

// syncCatalog applies the current catalog to the shard.
func (shard *Shard) syncCatalog() {
	catalog := shard.env.Catalog()
	service, _ := catalog.Service(shard.service)
	shard.syncPolicies(catalog, service)
	shard.syncUpstreams(catalog, service)
	shard.refuseMoving()
	current := catalog.Shards[shard.id]
	if current.Epoch == shard.epoch && current.MovingTo != "" {
		shard.stopAccepting(calls.ReasonShardMoved)
	}
	for _, target := range shard.targets {
		_, _, revision := shard.slotsFor(target)
		if revision != target.grants.revision {
			target.grants.renewNow = true
		}
	}
}

// syncUpstreams adds, replaces and removes targets according to the catalog.
func (shard *Shard) syncUpstreams(catalog *state.Catalog, service spec.Service) {
	now := shard.env.Clock.Now()
	for _, upstream := range catalog.UpstreamsOf(shard.service) {
		name := upstream.ID.Name
		if shard.upstream != "" && name != shard.upstream {
			continue
		}
		current, ok := shard.targets[name]
		if !ok || current.upstream.Epoch != upstream.Epoch {
			shard.targets[name] = shard.carryOver(current, newTarget(upstream, service, now))
		}
		shard.targets[name].upstream.Full = upstream.Full
		shard.targets[name].outOfService = !catalog.UpstreamInService(upstream.ID)
		if shard.upstream != "" && shard.targets[name].outOfService {
			shard.refuseWaiting(calls.ReasonKeyMoving)
		}
	}
	for name, target := range shard.targets {
		if _, ok := catalog.Upstreams[target.upstream.ID]; !ok {
			delete(shard.targets, name)
			shard.cancelRequests(target)
		}
	}
	if shard.upstream != "" && len(shard.targets) == 0 {
		shard.stopAccepting(calls.ReasonNoOwner)
	}
}

// cancelRequests cancels the requests that are running at a lost upstream, so that
// idempotent requests can be sent to the next owner, and the callers of all others
// get a refusal with an unknown outcome immediately.
func (shard *Shard) cancelRequests(target *target) {
	for job := range target.runs {
		for _, cancel := range job.cancels {
			cancel()
		}
		job.upstreamLost = true
	}
}

// carryOver copies the state that must survive a new announcement: the expiry of
// grants that earlier processes at other addresses may still hold and, if the
// process is the same, its warm-up and recent latency. Requests in flight stay
// with the previous target.
func (shard *Shard) carryOver(previous, next *target) *target {
	if previous == nil {
		return next
	}
	next.grants.trackedSince = shard.env.Clock.Now()
	next.grants.notBefore = previous.grants.notBefore
	if previous.upstream.Address != next.upstream.Address {
		next.grants.notBefore = later(previous.grants.notBefore, previous.grants.latestExpiry)
	}
	if previous.upstream.Incarnation == next.upstream.Incarnation {
		next.ramp = previous.ramp
		next.recentLatency = previous.recentLatency
	}
	return next
}

// syncPolicies keeps one class per policy of the service.
func (shard *Shard) syncPolicies(catalog *state.Catalog, service spec.Service) {
	wanted := service.Policies
	if len(wanted) == 0 {
		wanted = []spec.PolicyShare{{Name: defaultPolicy, Share: 1}}
	}
	total := 0.0
	for _, share := range wanted {
		total += share.Share
	}
	var classes []*class
	for _, share := range wanted {
		policy, ok := catalog.Policy(share.Name)
		if !ok {
			policy = spec.Policy{Name: share.Name, HedgeBudget: defaultHedgeBudget}
		}
		kept := shard.classOf(share.Name)
		kept.policy = policy
		kept.share = share.Share / total
		kept.queue.Discipline = shard.discipline(policy)
		classes = append(classes, kept)
	}
	shard.replaceClasses(classes)
}

const (
	// defaultPolicy is the policy name in the metrics and the status of a service
	// without policies.
	defaultPolicy      = "default"
	defaultHedgeBudget = 0.05
)

func (shard *Shard) classOf(name string) *class {
	for _, class := range shard.classes {
		if class.policy.Name == name {
			return class
		}
	}
	return newClass()
}

// replaceClasses installs the given classes and moves the waiting requests of
// removed policies to the first one.
func (shard *Shard) replaceClasses(classes []*class) {
	old := shard.classes
	shard.classes = classes
	for _, class := range old {
		if slices.Contains(classes, class) {
			continue
		}
		for _, item := range class.queue.Remove(func(queue.Item[*job]) bool { return true }) {
			item.Value.class = classes[0]
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

// applyLoadReport uses an upstream's own report as a hint: it may restart the
// warm-up, but never shortens it, since reports lag.
func (shard *Shard) applyLoadReport(announcement upstr.Announcement) {
	target, ok := shard.targets[announcement.Name]
	if !ok || target.upstream.Incarnation != announcement.Incarnation {
		return
	}
	now := shard.env.Clock.Now()
	if announcement.Cold && !target.ramp.Cold(now) && target.ramp.TypicalLatency() == 0 {
		target.ramp.Restart(now)
		shard.env.Stats.Event("cold", "reported")
	}
}

// stopAccepting makes the shard refuse waiting and new requests. Running requests
// continue.
func (shard *Shard) stopAccepting(reason calls.Reason) {
	if shard.stopReason == "" {
		shard.stopReason = reason
		shard.refuseWaiting(reason)
	}
}

// handOver releases the shard once no request is running.
func (shard *Shard) handOver() {
	current := shard.env.Catalog().Shards[shard.id]
	if shard.stopReason == "" || len(shard.running) > 0 || shard.releasing || shard.released || current.Epoch != shard.epoch {
		return
	}
	shard.releasing = true
	shard.env.Stats.Moved("shard", 1)
	command := state.ReleaseShards{Session: current.Session, Epoch: shard.epoch, Shards: []state.ShardID{shard.id}}
	go func() { shard.post(releasedMessage{released: shard.proposeWithRetry(command)}) }()
}

// ended reports whether the loop may end: the shard has moved to another epoch
// and no request is running.
func (shard *Shard) ended() bool {
	if shard.env.Catalog().Shards[shard.id].Epoch == shard.epoch {
		return false
	}
	shard.stopAccepting(calls.ReasonShardMoved)
	return len(shard.running) == 0
}
