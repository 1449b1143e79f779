package shard

import (
	"errors"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/queue"
)

// class is one traffic class: the requests assigned to one policy, with their
// queue and statistics. Classes are served in proportion to their shares; credit
// tracks how far a class is behind its share.
type class struct {
	policy spec.Policy
	share  float64
	credit float64
	queue  queue.Queue[*job]

	answered  uint64
	refused   uint64
	latencies *hdrhistogram.Histogram
}

const (
	// maxLatency is the highest latency that a policy's histogram records; longer
	// ones count as this.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits that the histogram keeps.
	latencyDigits = 2
)

func newClass() *class {
	return &class{latencies: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

// recordOutcome updates the class's statistics with a request's outcome.
func (class *class) recordOutcome(outcome calls.Outcome, took time.Duration) {
	if _, ok := outcome.(calls.Response); !ok {
		class.refused++
		return
	}
	class.answered++
	_ = class.latencies.RecordValue(min(took, maxLatency).Microseconds())
}

// submit queues a request or refuses it immediately.
func (shard *Shard) submit(job *job) {
	now := shard.env.Clock.Now()
	if refusal, ok := shard.admissionRefusal(job, now); ok {
		job.respond(refusal)
		return
	}
	service, _ := shard.env.Catalog().Service(shard.service)
	shard.retryBudget = min(maxBudget, shard.retryBudget+service.RetryBudget)
	job.class = shard.pickClass()
	if job.request.Idempotent() {
		shard.hedgeBudget = min(maxBudget, shard.hedgeBudget+job.class.policy.HedgeBudget)
	}
	if refusal, ok := shard.deadlineRefusal(job, now); ok {
		job.respond(refusal)
		return
	}
	shard.enqueue(job)
}

// admissionRefusal returns the refusal of a request that cannot be accepted, and
// whether there is one.
func (shard *Shard) admissionRefusal(job *job, now time.Time) (calls.Refusal, bool) {
	switch {
	case shard.stopReason != "":
		return notRun(shard.stopReason), true
	case !shard.env.Lease.Valid():
		return notRun(calls.ReasonLeaseLost), true
	case !shard.isPrimary():
		return notRun(calls.ReasonShardMoved), true
	case shard.isQuarantined(job.request.Fingerprint):
		return quarantinedRefusal(), true
	case !job.deadline.After(now):
		return calls.Refusal{Reason: calls.ReasonDeadlinePassed, Ran: calls.RanNot}, true
	case len(shard.targets) == 0:
		return notRun(calls.ReasonNoUpstream), true
	case shard.upstream != "" && shard.targets[shard.upstream].outOfService:
		return notRun(calls.ReasonKeyMoving), true
	default:
		return calls.Refusal{}, false
	}
}

func quarantinedRefusal() calls.Refusal {
	return calls.Refusal{
		Reason: calls.ReasonQuarantined, Ran: calls.RanNot,
		Detail: "upstreams were lost while they ran this request",
	}
}

// deadlineRefusal returns the refusal of a request that cannot be started before
// its deadline, and whether there is one.
func (shard *Shard) deadlineRefusal(job *job, now time.Time) (calls.Refusal, bool) {
	wait := shard.expectedWait(job)
	if now.Add(wait).Before(job.deadline) {
		return calls.Refusal{}, false
	}
	return calls.Refusal{
		Reason: calls.ReasonDeadlineNear, Ran: calls.RanNot, RetryAfter: wait,
		Detail: "the queue is longer than the time left",
	}, true
}

// expectedWait estimates how long a request would wait in the queue, or returns 0 if
// there are no upstreams.
func (shard *Shard) expectedWait(job *job) time.Duration {
	slots := 0
	var typical time.Duration
	for _, target := range shard.targets {
		slots += max(target.upstream.Slots, 1)
		typical = max(typical, target.ramp.TypicalLatency())
	}
	if slots == 0 {
		return 0
	}
	ahead := job.class.queue.Ahead(job.request.Workspace, shard.weight(job.request.Workspace))
	return time.Duration(ahead * float64(typical) / float64(slots))
}

func (shard *Shard) weight(name string) float64 {
	workspace, ok := shard.env.Catalog().Workspace(name)
	if !ok {
		return 1
	}
	return workspace.Weight
}

func (shard *Shard) enqueue(added *job) {
	item := queue.Item[*job]{
		Workspace: added.request.Workspace, Weight: shard.weight(added.request.Workspace),
		Arrived: added.arrived, Deadline: added.deadline, Value: added,
	}
	err := added.class.queue.Push(item)
	if errors.Is(err, queue.ErrFull) {
		added.respond(calls.Refusal{
			Reason: calls.ReasonQueueFull, Ran: calls.RanNot, RetryAfter: time.Second,
			Detail: "this workspace has too many requests waiting for the upstream",
		})
	}
}

// pickClass chooses the class of a request at random, weighted by the shares of
// the policies.
func (shard *Shard) pickClass() *class {
	if len(shard.classes) == 1 {
		return shard.classes[0]
	}
	const steps = 1 << 20
	point := float64(shard.env.Random(steps)) / steps
	for _, class := range shard.classes {
		if point -= class.share; point < 0 {
			return class
		}
	}
	return shard.classes[len(shard.classes)-1]
}

// expire refuses waiting requests whose deadline has passed or whose caller has
// disconnected.
func (shard *Shard) expire(now time.Time) {
	for _, class := range shard.classes {
		for _, item := range class.queue.Expire(now) {
			item.Value.respond(calls.Refusal{
				Reason: calls.ReasonDeadlinePassed, Ran: calls.RanNot, RetryAfter: time.Second,
			})
		}
		disconnected := class.queue.Remove(func(item queue.Item[*job]) bool { return item.Value.ctx.Err() != nil })
		for _, item := range disconnected {
			item.Value.respond(calls.Refusal{Reason: calls.ReasonCallerGone, Ran: calls.RanNot})
		}
	}
}

// refuseWaiting refuses all waiting requests.
func (shard *Shard) refuseWaiting(reason calls.Reason) {
	shard.refuseMatching(reason, func(*job) bool { return true })
}

// refuseMoving refuses the waiting requests whose keys this upstream no longer
// owns or is releasing.
func (shard *Shard) refuseMoving() {
	if shard.upstream == "" {
		return
	}
	table := shard.env.Catalog().Tables[shard.service]
	shard.refuseMatching(calls.ReasonKeyMoving, func(job *job) bool {
		_, owner := table.Find(job.request.Key)
		return owner.Upstream != shard.upstream || owner.MovingTo != ""
	})
}

func (shard *Shard) refuseMatching(reason calls.Reason, match func(*job) bool) {
	for _, class := range shard.classes {
		for _, item := range class.queue.Remove(func(item queue.Item[*job]) bool { return match(item.Value) }) {
			item.Value.respond(calls.Refusal{Reason: reason, Ran: calls.RanNot})
		}
	}
}

// dispatch sends waiting requests while slots are free.
func (shard *Shard) dispatch(now time.Time) {
	if shard.stopReason != "" || !shard.isPrimary() {
		return
	}
	for {
		class := shard.nextClass()
		if class == nil {
			return
		}
		target := shard.chooseTarget(class, nil, now)
		if target == nil {
			return
		}
		if ok, _ := target.ramp.Take(now); !ok {
			return
		}
		item, ok := class.queue.Pop()
		if !ok {
			return
		}
		shard.dispatchTo(item.Value, target, now)
	}
}

// nextClass returns the class to serve next, in proportion to the shares of the
// classes, or nil if no request is waiting.
func (shard *Shard) nextClass() *class {
	var best *class
	for _, class := range shard.classes {
		if class.queue.Len() == 0 {
			continue
		}
		class.credit += class.share
		if best == nil || class.credit > best.credit {
			best = class
		}
	}
	if best != nil {
		best.credit--
	}
	return best
}
