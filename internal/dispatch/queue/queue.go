// Package queue implements the scheduler for requests that wait for an upstream
// slot: one bounded queue per workspace, served by a configurable discipline.
package queue

import (
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("queue")

// ErrFull is returned by Push when the workspace's queue is at its limit.
var ErrFull = Error.New("the workspace's queue is full")

// DefaultLimit is the default maximum number of waiting requests per workspace.
const DefaultLimit = 256

// Discipline selects the order in which workspaces are served.
type Discipline interface{ discipline() }

// FIFO serves requests in order of arrival, regardless of workspace.
type FIFO struct{}

// Fair serves workspaces by deficit round robin, each in proportion to its
// weight.
type Fair struct{}

// StrictQuota serves workspaces like Fair, but limits the running requests of
// each to its weighted share of the slots (at least one), even if other slots
// are free.
type StrictQuota struct{ Slots int }

func (FIFO) discipline()        {}
func (Fair) discipline()        {}
func (StrictQuota) discipline() {}

// Item is a waiting request.
type Item[T any] struct {
	Workspace string
	Weight    float64
	Arrived   time.Time
	Deadline  time.Time
	Value     T
}

// flow is the queue of one workspace, with its deficit round robin state.
type flow[T any] struct {
	workspace string
	weight    float64
	deficit   float64
	running   int
	items     []Item[T]
}

// Queue schedules waiting requests. The zero value is an empty queue that uses
// Fair. It is not safe for concurrent use.
type Queue[T any] struct {
	// Discipline may be changed at any time; nil means Fair.
	Discipline Discipline
	// Limit is the maximum number of waiting requests per workspace; 0 means
	// DefaultLimit.
	Limit  int
	flows  []*flow[T]
	cursor int
	size   int
}

// Len returns the number of waiting requests.
func (queue *Queue[T]) Len() int { return queue.size }

// Waiting returns the number of waiting requests of a workspace.
func (queue *Queue[T]) Waiting(workspace string) int {
	if flow := queue.find(workspace); flow != nil {
		return len(flow.items)
	}
	return 0
}

// ActiveWorkspaces returns the number of workspaces with waiting requests.
func (queue *Queue[T]) ActiveWorkspaces() int {
	active := 0
	for _, flow := range queue.flows {
		if len(flow.items) > 0 {
			active++
		}
	}
	return active
}

func (queue *Queue[T]) find(workspace string) *flow[T] {
	for _, flow := range queue.flows {
		if flow.workspace == workspace {
			return flow
		}
	}
	return nil
}

func (queue *Queue[T]) flowFor(workspace string, weight float64) *flow[T] {
	found := queue.find(workspace)
	if found == nil {
		found = &flow[T]{workspace: workspace}
		queue.flows = append(queue.flows, found)
	}
	found.weight = max(weight, minWeight)
	return found
}

// minWeight prevents a workspace with weight 0 from starving.
const minWeight = 0.01

// Push adds a request. It returns ErrFull if the workspace's queue is full.
func (queue *Queue[T]) Push(item Item[T]) error {
	limit := queue.Limit
	if limit == 0 {
		limit = DefaultLimit
	}
	flow := queue.flowFor(item.Workspace, item.Weight)
	if len(flow.items) >= limit {
		return ErrFull
	}
	flow.items = append(flow.items, item)
	queue.size++
	return nil
}

// Ahead estimates how many waiting requests would be served before a request
// that the workspace pushes now.
func (queue *Queue[T]) Ahead(workspace string, weight float64) float64 {
	if _, fifo := queue.Discipline.(FIFO); fifo {
		return float64(queue.size)
	}
	own := float64(queue.Waiting(workspace)) + 1
	weight = max(weight, minWeight)
	ahead := own - 1
	for _, flow := range queue.flows {
		if flow.workspace != workspace {
			ahead += min(float64(len(flow.items)), own*flow.weight/weight)
		}
	}
	return ahead
}

// Pop removes the next request and counts it as running. It returns false if
// the queue is empty or the discipline allows no request to run.
func (queue *Queue[T]) Pop() (Item[T], bool) {
	if queue.size == 0 {
		var none Item[T]
		return none, false
	}
	flow := queue.next()
	if flow == nil {
		var none Item[T]
		return none, false
	}
	item := flow.items[0]
	flow.items = flow.items[1:]
	flow.running++
	queue.size--
	return item, true
}

func (queue *Queue[T]) next() *flow[T] {
	switch discipline := queue.Discipline.(type) {
	case FIFO:
		return queue.oldest()
	case StrictQuota:
		return queue.roundRobin(func(flow *flow[T]) bool { return flow.running < queue.quota(discipline, flow) })
	default:
		return queue.roundRobin(func(*flow[T]) bool { return true })
	}
}

func (queue *Queue[T]) oldest() *flow[T] {
	var oldest *flow[T]
	for _, flow := range queue.flows {
		if len(flow.items) > 0 && (oldest == nil || flow.items[0].Arrived.Before(oldest.items[0].Arrived)) {
			oldest = flow
		}
	}
	return oldest
}

// quota returns the maximum number of running requests of the candidate's
// workspace.
func (queue *Queue[T]) quota(discipline StrictQuota, candidate *flow[T]) int {
	total := 0.0
	for _, flow := range queue.flows {
		total += flow.weight
	}
	return max(1, int(float64(discipline.Slots)*candidate.weight/total))
}

// roundRobin implements deficit round robin: serving a request costs one unit of
// deficit, and a workspace whose queue is empty loses its deficit.
func (queue *Queue[T]) roundRobin(allowed func(*flow[T]) bool) *flow[T] {
	ready := slices.ContainsFunc(queue.flows, func(flow *flow[T]) bool {
		return len(flow.items) > 0 && allowed(flow)
	})
	if !ready {
		return nil
	}
	for {
		flow := queue.flows[queue.cursor%len(queue.flows)]
		if len(flow.items) == 0 {
			flow.deficit = 0
		} else if flow.deficit >= 1 && allowed(flow) {
			flow.deficit--
			return flow
		}
		queue.cursor = (queue.cursor + 1) % len(queue.flows)
		if next := queue.flows[queue.cursor]; len(next.items) > 0 && allowed(next) {
			next.deficit += next.weight
		}
	}
}

// AddRunning counts a running request that bypassed the queue, such as a hedge.
func (queue *Queue[T]) AddRunning(workspace string) {
	flow := queue.find(workspace)
	if flow == nil {
		flow = queue.flowFor(workspace, 1)
	}
	flow.running++
}

// Done records that a running request of the workspace has ended.
func (queue *Queue[T]) Done(workspace string) {
	flow := queue.find(workspace)
	if flow == nil {
		return
	}
	flow.running--
}

// Expire removes and returns all requests whose deadline is at or before now.
func (queue *Queue[T]) Expire(now time.Time) []Item[T] {
	return queue.Remove(func(item Item[T]) bool { return !item.Deadline.After(now) })
}

// Remove removes and returns all requests that match.
func (queue *Queue[T]) Remove(match func(Item[T]) bool) []Item[T] {
	var removed []Item[T]
	for _, flow := range queue.flows {
		var rest []Item[T]
		for _, item := range flow.items {
			if match(item) {
				removed = append(removed, item)
				continue
			}
			rest = append(rest, item)
		}
		flow.items = rest
	}
	queue.size -= len(removed)
	queue.removeIdle()
	return removed
}

// removeIdle removes workspaces with no waiting or running requests, so that
// the list stays short.
func (queue *Queue[T]) removeIdle() {
	queue.flows = slices.DeleteFunc(queue.flows, func(flow *flow[T]) bool {
		return len(flow.items) == 0 && flow.running <= 0
	})
	queue.cursor = 0
}

// OldestArrival returns the arrival time of the request that has waited longest.
func (queue *Queue[T]) OldestArrival() (time.Time, bool) {
	flow := queue.oldest()
	if flow == nil {
		var none time.Time
		return none, false
	}
	return flow.items[0].Arrived, true
}

// LongestQueue returns the workspace with the most waiting requests and their
// number.
func (queue *Queue[T]) LongestQueue() (workspace string, waiting int) {
	for _, flow := range queue.flows {
		if len(flow.items) > waiting {
			workspace, waiting = flow.workspace, len(flow.items)
		}
	}
	return workspace, waiting
}
