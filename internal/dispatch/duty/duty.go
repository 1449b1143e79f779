// Package duty runs the shards that the catalog assigns to this host. It starts and
// stops their tasks (dispatch primaries and quota allocators) and routes requests to
// the task or host that owns the shard.
package duty

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/quota"
	"damaskcrank.example/damaskcrank/internal/dispatch/shard"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// Error is the class of all errors of this package.
var Error = errs.Class("duty")

// releaseTimeout bounds the proposal that releases a quota shard.
const releaseTimeout = 5 * time.Second

// Links sends payloads to other hosts.
type Links interface {
	Call(ctx context.Context, address netip.AddrPort, request links.Payload) (links.Payload, error)
}

// Manager starts and stops the tasks of this host's shards and routes requests to
// them.
type Manager struct {
	env    shard.Env
	links  Links
	watch  chan struct{}
	stop   chan struct{}
	done   chan struct{}
	mutex  sync.RWMutex
	shards map[state.ShardID]*shard.Shard
	// allocators holds the allocators of the quota shards.
	allocators map[state.ShardID]*quota.Allocator
	closing    bool
}

// New returns a Manager that follows the catalog. The channel watch receives a value
// whenever the catalog has changed.
func New(env shard.Env, peers Links, watch chan struct{}) *Manager {
	manager := &Manager{
		env: env, links: peers, watch: watch,
		stop: make(chan struct{}), done: make(chan struct{}),
		shards: map[state.ShardID]*shard.Shard{}, allocators: map[state.ShardID]*quota.Allocator{},
	}
	go manager.run()
	return manager
}

func (manager *Manager) run() {
	defer close(manager.done)
	for {
		select {
		case <-manager.stop:
			return
		case <-manager.watch:
			manager.reconcile()
		}
	}
}

// reconcile brings the tasks in line with the catalog: it starts tasks for newly
// assigned shards, notifies running dispatch shards, and stops or removes tasks
// whose epoch has ended.
func (manager *Manager) reconcile() {
	catalog := manager.env.Catalog()
	session := manager.env.Lease.Epoch()
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	if manager.closing {
		return
	}
	for id, assigned := range catalog.Shards {
		if assigned.Host == manager.env.Host && assigned.Session == session {
			manager.ensureTask(id, assigned)
		}
	}
	for id, task := range manager.shards {
		select {
		case <-task.Done():
			if catalog.Shards[id].Epoch != task.Epoch() {
				delete(manager.shards, id)
			}
		default:
			task.CatalogChanged()
		}
	}
	for id, allocator := range manager.allocators {
		if catalog.Shards[id].Epoch != allocator.Epoch() {
			go allocator.Close()
			delete(manager.allocators, id)
		}
	}
	manager.releaseAllocators(catalog)
}

// ensureTask starts the task of a shard unless it runs already in the same epoch.
func (manager *Manager) ensureTask(id state.ShardID, assigned state.Shard) {
	if _, ok := id.Quota(); ok {
		if allocator, ok := manager.allocators[id]; !ok || allocator.Epoch() != assigned.Epoch {
			if ok {
				go allocator.Close()
			}
			manager.allocators[id] = quota.NewAllocator(id, assigned.Epoch, manager.env.Host, manager.env.Lease, manager.env.Catalog, manager.env.Clock)
		}
		return
	}
	task, ok := manager.shards[id]
	if ok && task.Epoch() == assigned.Epoch {
		return
	}
	manager.shards[id] = shard.New(manager.env, id, assigned.Epoch)
}

// releaseAllocators releases the quota shards that are to move to another host. Each
// allocator is stopped before its shard is released.
func (manager *Manager) releaseAllocators(catalog *state.Catalog) {
	for id, allocator := range manager.allocators {
		assigned := catalog.Shards[id]
		if assigned.MovingTo == "" {
			continue
		}
		delete(manager.allocators, id)
		go manager.releaseAllocator(id, allocator, assigned)
	}
}

func (manager *Manager) releaseAllocator(id state.ShardID, allocator *quota.Allocator, assigned state.Shard) {
	allocator.Close()
	manager.env.Stats.Moved("shard", 1)
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	command := state.ReleaseShards{Session: assigned.Session, Epoch: assigned.Epoch, Shards: []state.ShardID{id}}
	if _, err := manager.env.Control.Propose(ctx, command); err != nil {
		manager.env.Log.WithError(err).Warnf("duty: cannot release shard %s", id)
	}
}

// task returns the task of a dispatch shard on this host. An epoch of 0 matches any.
func (manager *Manager) task(id state.ShardID, epoch uint64) (*shard.Shard, bool) {
	manager.mutex.RLock()
	defer manager.mutex.RUnlock()
	task, ok := manager.shards[id]
	if !ok || epoch != 0 && task.Epoch() != epoch {
		return nil, false
	}
	return task, true
}

// Serve executes a request for a shard whose primary is this host.
func (manager *Manager) Serve(ctx context.Context, request calls.Request) calls.Outcome {
	task, ok := manager.task(request.Shard, request.ShardEpoch)
	if !ok {
		return calls.Refusal{Reason: calls.ReasonShardMoved, Ran: calls.RanNot}
	}
	return task.Submit(ctx, request)
}

// HandleBorrow handles a request for tokens if the workspace's allocator runs on this host.
func (manager *Manager) HandleBorrow(ctx context.Context, borrowrequest quota.BorrowRequest) quota.BorrowResponse {
	manager.mutex.RLock()
	allocator, ok := manager.allocators[borrowrequest.Shard]
	manager.mutex.RUnlock()
	if !ok {
		return quota.BorrowResponse{Refusal: calls.ReasonShardMoved}
	}
	return allocator.Borrow(ctx, borrowrequest)
}

// Borrow sends a request for tokens to the workspace's current allocator, on this host
// or another.
func (manager *Manager) Borrow(ctx context.Context, borrowrequest quota.BorrowRequest) quota.BorrowResponse {
	catalog := manager.env.Catalog()
	borrowrequest.Shard = state.QuotaShard(borrowrequest.Workspace)
	assigned := catalog.Shards[borrowrequest.Shard]
	if assigned.Host == manager.env.Host {
		return manager.HandleBorrow(ctx, borrowrequest)
	}
	session, ok := catalog.Sessions[assigned.Host]
	if !ok {
		return quota.BorrowResponse{Refusal: calls.ReasonQuotaUnavailable}
	}
	payload, err := quota.EncodeBorrowRequest(borrowrequest)
	if err != nil {
		return quota.BorrowResponse{Refusal: calls.ReasonQuotaUnavailable}
	}
	reply, err := manager.links.Call(ctx, session.Host.Peer, payload)
	if err != nil {
		return quota.BorrowResponse{Refusal: calls.ReasonQuotaUnavailable}
	}
	borrowresponse, err := quota.DecodeBorrowResponse(reply)
	if err != nil {
		return quota.BorrowResponse{Refusal: calls.ReasonQuotaUnavailable}
	}
	return borrowresponse
}

// ReportLoad passes an upstream's load report to its dispatch shards on this host.
func (manager *Manager) ReportLoad(announcement upstr.Announcement) {
	for _, id := range []state.ShardID{
		state.DispatchShard(announcement.Service, announcement.Name),
		state.DispatchShard(announcement.Service, ""),
	} {
		if task, ok := manager.task(id, 0); ok {
			task.ReportLoad(announcement)
		}
	}
}

// Status returns the status of this host's dispatch shards.
func (manager *Manager) Status() []shard.Status {
	manager.mutex.RLock()
	tasks := make([]*shard.Shard, 0, len(manager.shards))
	for _, task := range manager.shards {
		tasks = append(tasks, task)
	}
	manager.mutex.RUnlock()
	var statuses []shard.Status
	for _, task := range tasks {
		if status, ok := task.Status(); ok {
			statuses = append(statuses, status)
		}
	}
	return statuses
}

// Close stops all tasks.
func (manager *Manager) Close() {
	close(manager.stop)
	<-manager.done
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.closing = true
	for _, task := range manager.shards {
		select {
		case <-task.Done():
		default:
			task.Close()
		}
	}
	for _, allocator := range manager.allocators {
		allocator.Close()
	}
}
