package shard

import (
	"errors"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/queue"
)

// lane is the queue of the requests under one policy.
type lane struct {
	policy spec.Policy
	share  float64
	credit float64
	queue  queue.Queue[*run]

	answered uint64
	refused  uint64
	times    *hdrhistogram.Histogram
}

const (
	// maxTime bounds the times that a policy's histogram tells apart.
	maxTime       = time.Minute
	timePrecision = 2
)

func newLane() *lane {
	return &lane{times: hdrhistogram.New(1, maxTime.Microseconds(), timePrecision)}
}

// measure counts a request that has got its outcome.
func (lane *lane) measure(outcome calls.Outcome, took time.Duration) {
	if _, ok := outcome.(calls.Answered); !ok {
		lane.refused++
		return
	}
	lane.answered++
	_ = lane.times.RecordValue(min(took, maxTime).Microseconds())
}

// submit admits a request to a queue or refuses it at once.
func (shard *Shard) submit(work *run) {
	now := shard.env.Clock.Now()
	if refused, ok := shard.refusal(work, now); ok {
		work.settle(refused)
		return
	}
	service, _ := shard.env.Catalog().Service(shard.service)
	shard.budget = min(budgetLimit, shard.budget+service.RetryBudget)
	work.lane = shard.laneFor()
	if work.request.Idempotent() {
		shard.hedgeBudget = min(budgetLimit, shard.hedgeBudget+work.lane.policy.HedgeBudget)
	}
	if refused, ok := shard.tooLate(work, now); ok {
		work.settle(refused)
		return
	}
	shard.enqueue(work)
}

// refusal returns why a request is not taken in at all.
func (shard *Shard) refusal(work *run, now time.Time) (calls.Refused, bool) {
	switch {
	case shard.stopping != "":
		return moved(shard.stopping), true
	case !shard.env.Lease.Valid():
		return moved(calls.ReasonLeaseLost), true
	case !shard.mine():
		return moved(calls.ReasonShardMoved), true
	case shard.isQuarantined(work.request.Fingerprint):
		return calls.Refused{
			Reason: calls.ReasonQuarantined, Ran: calls.RanNot,
			Detail: "upstreams were lost while they ran this request",
		}, true
	case !work.deadline.After(now):
		return calls.Refused{Reason: calls.ReasonDeadlinePassed, Ran: calls.RanNot}, true
	case len(shard.targets) == 0:
		return moved(calls.ReasonNoUpstream), true
	case shard.upstream != "" && shard.targets[shard.upstream].leaving:
		return moved(calls.ReasonKeyMoving), true
	default:
		return calls.Refused{}, false
	}
}

// tooLate refuses a request that can't be served before its deadline.
func (shard *Shard) tooLate(work *run, now time.Time) (calls.Refused, bool) {
	wait := shard.expectedWait(work)
	if now.Add(wait).Before(work.deadline) {
		return calls.Refused{}, false
	}
	return calls.Refused{
		Reason: calls.ReasonDeadlineNear, Ran: calls.RanNot, RetryAfter: wait,
		Detail: "the queue is longer than the time left",
	}, true
}

func (shard *Shard) expectedWait(work *run) time.Duration {
	slots := 0
	var usual time.Duration
	for _, target := range shard.targets {
		slots += max(target.upstream.Slots, 1)
		usual = max(usual, target.ramp.Usual())
	}
	if slots == 0 {
		return 0
	}
	ahead := work.lane.queue.Ahead(work.request.Workspace, shard.weight(work.request.Workspace))
	return time.Duration(ahead * float64(usual) / float64(slots))
}

func (shard *Shard) weight(name string) float64 {
	workspace, ok := shard.env.Catalog().Workspace(name)
	if !ok {
		return 1
	}
	return workspace.Weight
}

func (shard *Shard) enqueue(work *run) {
	item := queue.Item[*run]{
		Workspace: work.request.Workspace, Weight: shard.weight(work.request.Workspace),
		Arrived: work.arrived, Deadline: work.deadline, Value: work,
	}
	err := work.lane.queue.Push(item)
	if errors.Is(err, queue.ErrFull) {
		work.settle(calls.Refused{
			Reason: calls.ReasonQueueFull, Ran: calls.RanNot, RetryAfter: time.Second,
			Detail: "this workspace has too many requests waiting for the upstream",
		})
	}
}

// laneFor chooses a request's policy by the policies' shares.
func (shard *Shard) laneFor() *lane {
	if len(shard.lanes) == 1 {
		return shard.lanes[0]
	}
	const steps = 1 << 20
	point := float64(shard.env.Random(steps)) / steps
	for _, lane := range shard.lanes {
		if point -= lane.share; point < 0 {
			return lane
		}
	}
	return shard.lanes[len(shard.lanes)-1]
}

// expire refuses requests whose deadline passed or whose caller left while
// they waited.
func (shard *Shard) expire(now time.Time) {
	for _, lane := range shard.lanes {
		for _, item := range lane.queue.Expire(now) {
			item.Value.settle(calls.Refused{
				Reason: calls.ReasonDeadlinePassed, Ran: calls.RanNot, RetryAfter: time.Second,
			})
		}
		gone := lane.queue.Remove(func(item queue.Item[*run]) bool { return item.Value.ctx.Err() != nil })
		for _, item := range gone {
			item.Value.settle(calls.Refused{Reason: calls.ReasonCallerGone, Ran: calls.RanNot})
		}
	}
}

// refuseWaiting refuses all requests that wait.
func (shard *Shard) refuseWaiting(reason calls.Reason) {
	shard.refuseMatching(reason, func(*run) bool { return true })
}

// refuseMoving refuses the waiting requests whose keys this upstream no longer
// owns or is about to give up.
func (shard *Shard) refuseMoving() {
	if shard.upstream == "" {
		return
	}
	table := shard.env.Catalog().Tables[shard.service]
	shard.refuseMatching(calls.ReasonKeyMoving, func(work *run) bool {
		_, owner := table.Find(work.request.Key)
		return owner.Upstream != shard.upstream || owner.MovingTo != ""
	})
}

func (shard *Shard) refuseMatching(reason calls.Reason, match func(*run) bool) {
	for _, lane := range shard.lanes {
		for _, item := range lane.queue.Remove(func(item queue.Item[*run]) bool { return match(item.Value) }) {
			item.Value.settle(calls.Refused{Reason: reason, Ran: calls.RanNot})
		}
	}
}

// dispatch sends requests while there are slots for them.
func (shard *Shard) dispatch(now time.Time) {
	if shard.stopping != "" || !shard.mine() {
		return
	}
	for {
		lane := shard.nextLane()
		if lane == nil {
			return
		}
		target := shard.choose(lane, nil, now)
		if target == nil {
			return
		}
		if ok, _ := target.ramp.Take(now); !ok {
			return
		}
		item, ok := lane.queue.Pop()
		if !ok {
			return
		}
		shard.start(item.Value, target, now)
	}
}

// nextLane takes lanes in proportion to their shares.
func (shard *Shard) nextLane() *lane {
	var best *lane
	for _, lane := range shard.lanes {
		if lane.queue.Len() == 0 {
			continue
		}
		lane.credit += lane.share
		if best == nil || lane.credit > best.credit {
			best = lane
		}
	}
	if best != nil {
		best.credit--
	}
	return best
}
