// Package queue holds the requests that wait for a slot of an upstream: one
// bounded queue per workspace, served by a discipline.
package queue

import (
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("queue")

// ErrFull says that the workspace's queue holds no more.
var ErrFull = Error.New("the workspace's queue is full")

// DefaultLimit bounds the requests that one workspace may have waiting.
const DefaultLimit = 256

// Discipline decides whose request is next.
type Discipline interface{ discipline() }

// FIFO serves requests in the order of their arrival.
type FIFO struct{}

// Fair serves workspaces by deficit round robin, each in proportion to its
// weight.
type Fair struct{}

// StrictQuota serves like Fair, but never lets a workspace run more requests
// than its weight's share of the slots, even if slots stay free.
type StrictQuota struct{ Slots int }

func (FIFO) discipline()        {}
func (Fair) discipline()        {}
func (StrictQuota) discipline() {}

// Item is a request that waits.
type Item[T any] struct {
	Workspace string
	Weight    float64
	Arrived   time.Time
	Deadline  time.Time
	Value     T
}

// line is one workspace's queue.
type line[T any] struct {
	workspace string
	weight    float64
	deficit   float64
	running   int
	items     []Item[T]
}

// Queue holds waiting requests. Its zero value is an empty fair queue. It is
// not safe for concurrent use.
type Queue[T any] struct {
	// Discipline may change at any time; nil means Fair.
	Discipline Discipline
	// Limit bounds the requests of one workspace; 0 means DefaultLimit.
	Limit int
	lines []*line[T]
	turn  int
	size  int
}

// Len returns the number of requests that wait.
func (queue *Queue[T]) Len() int { return queue.size }

// Waiting returns the number of requests of a workspace that wait.
func (queue *Queue[T]) Waiting(workspace string) int {
	if line := queue.find(workspace); line != nil {
		return len(line.items)
	}
	return 0
}

// Active returns the number of workspaces that have requests waiting.
func (queue *Queue[T]) Active() int {
	active := 0
	for _, line := range queue.lines {
		if len(line.items) > 0 {
			active++
		}
	}
	return active
}

func (queue *Queue[T]) find(workspace string) *line[T] {
	for _, line := range queue.lines {
		if line.workspace == workspace {
			return line
		}
	}
	return nil
}

func (queue *Queue[T]) line(workspace string, weight float64) *line[T] {
	found := queue.find(workspace)
	if found == nil {
		found = &line[T]{workspace: workspace}
		queue.lines = append(queue.lines, found)
	}
	found.weight = max(weight, minWeight)
	return found
}

// minWeight keeps a workspace with weight 0 from waiting for ever.
const minWeight = 0.01

// Push adds a request, or returns ErrFull.
func (queue *Queue[T]) Push(item Item[T]) error {
	limit := queue.Limit
	if limit == 0 {
		limit = DefaultLimit
	}
	line := queue.line(item.Workspace, item.Weight)
	if len(line.items) >= limit {
		return ErrFull
	}
	line.items = append(line.items, item)
	queue.size++
	return nil
}

// Ahead estimates how many requests are served before one that a workspace
// adds now.
func (queue *Queue[T]) Ahead(workspace string, weight float64) float64 {
	if _, fifo := queue.Discipline.(FIFO); fifo {
		return float64(queue.size)
	}
	own := float64(queue.Waiting(workspace)) + 1
	weight = max(weight, minWeight)
	ahead := own - 1
	for _, line := range queue.lines {
		if line.workspace != workspace {
			ahead += min(float64(len(line.items)), own*line.weight/weight)
		}
	}
	return ahead
}

// Pop takes the next request out and counts it as running, or returns false.
func (queue *Queue[T]) Pop() (Item[T], bool) {
	if queue.size == 0 {
		var none Item[T]
		return none, false
	}
	line := queue.next()
	if line == nil {
		var none Item[T]
		return none, false
	}
	item := line.items[0]
	line.items = line.items[1:]
	line.running++
	queue.size--
	return item, true
}

func (queue *Queue[T]) next() *line[T] {
	switch discipline := queue.Discipline.(type) {
	case FIFO:
		return queue.oldest()
	case StrictQuota:
		return queue.roundRobin(func(line *line[T]) bool { return line.running < queue.quota(discipline, line) })
	default:
		return queue.roundRobin(func(*line[T]) bool { return true })
	}
}

func (queue *Queue[T]) oldest() *line[T] {
	var oldest *line[T]
	for _, line := range queue.lines {
		if len(line.items) > 0 && (oldest == nil || line.items[0].Arrived.Before(oldest.items[0].Arrived)) {
			oldest = line
		}
	}
	return oldest
}

// quota is the number of slots that a workspace may use at a time.
func (queue *Queue[T]) quota(discipline StrictQuota, of *line[T]) int {
	total := 0.0
	for _, line := range queue.lines {
		total += line.weight
	}
	return max(1, int(float64(discipline.Slots)*of.weight/total))
}

// roundRobin serves one request per unit of deficit. A workspace whose queue
// runs empty keeps no deficit.
func (queue *Queue[T]) roundRobin(allowed func(*line[T]) bool) *line[T] {
	ready := slices.ContainsFunc(queue.lines, func(line *line[T]) bool {
		return len(line.items) > 0 && allowed(line)
	})
	if !ready {
		return nil
	}
	for {
		line := queue.lines[queue.turn%len(queue.lines)]
		if len(line.items) == 0 {
			line.deficit = 0
		} else if line.deficit >= 1 && allowed(line) {
			line.deficit--
			return line
		}
		queue.turn = (queue.turn + 1) % len(queue.lines)
		if next := queue.lines[queue.turn]; len(next.items) > 0 && allowed(next) {
			next.deficit += next.weight
		}
	}
}

// Began counts a request of the workspace that runs without having waited.
func (queue *Queue[T]) Began(workspace string) {
	line := queue.find(workspace)
	if line == nil {
		line = queue.line(workspace, 1)
	}
	line.running++
}

// Done tells that a request of the workspace that was popped has ended.
func (queue *Queue[T]) Done(workspace string) {
	line := queue.find(workspace)
	if line == nil {
		return
	}
	line.running--
}

// Expire takes out all requests whose deadline is at or before now.
func (queue *Queue[T]) Expire(now time.Time) []Item[T] {
	return queue.Remove(func(item Item[T]) bool { return !item.Deadline.After(now) })
}

// Remove takes out all requests that match.
func (queue *Queue[T]) Remove(match func(Item[T]) bool) []Item[T] {
	var removed []Item[T]
	for _, line := range queue.lines {
		var rest []Item[T]
		for _, item := range line.items {
			if match(item) {
				removed = append(removed, item)
				continue
			}
			rest = append(rest, item)
		}
		line.items = rest
	}
	queue.size -= len(removed)
	queue.forgetIdle()
	return removed
}

// forgetIdle drops workspaces without requests, so that the list stays short.
func (queue *Queue[T]) forgetIdle() {
	queue.lines = slices.DeleteFunc(queue.lines, func(line *line[T]) bool {
		return len(line.items) == 0 && line.running <= 0
	})
	queue.turn = 0
}

// Oldest returns when the request arrived that has waited longest.
func (queue *Queue[T]) Oldest() (time.Time, bool) {
	line := queue.oldest()
	if line == nil {
		var none time.Time
		return none, false
	}
	return line.items[0].Arrived, true
}

// Longest returns the workspace with the most requests waiting.
func (queue *Queue[T]) Longest() (workspace string, waiting int) {
	for _, line := range queue.lines {
		if len(line.items) > waiting {
			workspace, waiting = line.workspace, len(line.items)
		}
	}
	return workspace, waiting
}
