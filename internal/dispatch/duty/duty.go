// Package duty runs the shards that the catalog assigns to this host. It starts and
// stops their tasks, dispatch shards and quota banks, and routes requests to the
// task or host in charge.
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

// Duties manages the tasks of this host's shards.
type Duties struct {
	env     shard.Env
	links   Links
	watch   chan struct{}
	stop    chan struct{}
	done    chan struct{}
	mutex   sync.RWMutex
	shards  map[state.ShardID]*shard.Shard
	banks   map[state.ShardID]*quota.Bank
	closing bool
}

// New returns a Duties and starts to follow the catalog. Watch receives a value
// whenever the catalog has changed.
func New(env shard.Env, peers Links, watch chan struct{}) *Duties {
	duties := &Duties{
		env: env, links: peers, watch: watch,
		stop: make(chan struct{}), done: make(chan struct{}),
		shards: map[state.ShardID]*shard.Shard{}, banks: map[state.ShardID]*quota.Bank{},
	}
	go duties.run()
	return duties
}

func (duties *Duties) run() {
	defer close(duties.done)
	for {
		select {
		case <-duties.stop:
			return
		case <-duties.watch:
			duties.reconcile()
		}
	}
}

// reconcile brings the tasks in line with the catalog: it starts tasks for newly
// assigned shards, notifies running dispatch shards, and stops or removes tasks
// whose epoch has ended.
func (duties *Duties) reconcile() {
	catalog := duties.env.Catalog()
	session := duties.env.Lease.Epoch()
	duties.mutex.Lock()
	defer duties.mutex.Unlock()
	if duties.closing {
		return
	}
	for id, assigned := range catalog.Shards {
		if assigned.Host == duties.env.Host && assigned.Session == session {
			duties.ensureTask(id, assigned)
		}
	}
	for id, task := range duties.shards {
		select {
		case <-task.Done():
			if catalog.Shards[id].Epoch != task.Epoch() {
				delete(duties.shards, id)
			}
		default:
			task.Changed()
		}
	}
	for id, bank := range duties.banks {
		if catalog.Shards[id].Epoch != bank.Epoch() {
			go bank.Close()
			delete(duties.banks, id)
		}
	}
	duties.releaseBanks(catalog)
}

// ensureTask starts the task of a shard unless it runs already in the same epoch.
func (duties *Duties) ensureTask(id state.ShardID, assigned state.Shard) {
	if _, ok := id.Quota(); ok {
		if bank, ok := duties.banks[id]; !ok || bank.Epoch() != assigned.Epoch {
			if ok {
				go bank.Close()
			}
			duties.banks[id] = quota.NewBank(id, assigned.Epoch, duties.env.Host, duties.env.Lease, duties.env.Catalog, duties.env.Clock)
		}
		return
	}
	task, ok := duties.shards[id]
	if ok && task.Epoch() == assigned.Epoch {
		return
	}
	duties.shards[id] = shard.New(duties.env, id, assigned.Epoch)
}

// releaseBanks releases the quota shards that are to move to another host. Each
// bank is stopped before its shard is released.
func (duties *Duties) releaseBanks(catalog *state.Catalog) {
	for id, bank := range duties.banks {
		assigned := catalog.Shards[id]
		if assigned.MovingTo == "" {
			continue
		}
		delete(duties.banks, id)
		go duties.releaseBank(id, bank, assigned.Session)
	}
}

func (duties *Duties) releaseBank(id state.ShardID, bank *quota.Bank, session uint64) {
	bank.Close()
	duties.env.Stats.Moved("shard", 1)
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	command := state.ReleaseShards{Session: session, Shards: []state.ShardID{id}}
	if _, err := duties.env.Control.Propose(ctx, command); err != nil {
		duties.env.Log.WithError(err).Warnf("duty: cannot release shard %s", id)
	}
}

// task returns the task of a dispatch shard on this host. An epoch of 0 matches any.
func (duties *Duties) task(id state.ShardID, epoch uint64) (*shard.Shard, bool) {
	duties.mutex.RLock()
	defer duties.mutex.RUnlock()
	task, ok := duties.shards[id]
	if !ok || epoch != 0 && task.Epoch() != epoch {
		return nil, false
	}
	return task, true
}

// Serve executes a request for a shard whose primary is this host.
func (duties *Duties) Serve(ctx context.Context, request calls.Request) calls.Outcome {
	task, ok := duties.task(request.Shard, request.ShardEpoch)
	if !ok {
		return calls.Refused{Reason: calls.ReasonShardMoved, Ran: calls.RanNot}
	}
	return task.Submit(ctx, request)
}

// Lend handles a request for tokens if the workspace's bank runs on this host.
func (duties *Duties) Lend(ctx context.Context, ask quota.Ask) quota.Lent {
	duties.mutex.RLock()
	bank, ok := duties.banks[ask.Shard]
	duties.mutex.RUnlock()
	if !ok {
		return quota.Lent{Refusal: calls.ReasonShardMoved}
	}
	return bank.Borrow(ctx, ask)
}

// Borrow sends a request for tokens to the bank in charge, on this host or another.
func (duties *Duties) Borrow(ctx context.Context, ask quota.Ask) quota.Lent {
	catalog := duties.env.Catalog()
	ask.Shard = state.QuotaShard(ask.Workspace)
	assigned := catalog.Shards[ask.Shard]
	if assigned.Host == duties.env.Host {
		return duties.Lend(ctx, ask)
	}
	session, ok := catalog.Sessions[assigned.Host]
	if !ok {
		return quota.Lent{Refusal: calls.ReasonQuotaUnavailable}
	}
	payload, err := quota.EncodeAsk(ask)
	if err != nil {
		return quota.Lent{Refusal: calls.ReasonQuotaUnavailable}
	}
	reply, err := duties.links.Call(ctx, session.Host.Peer, payload)
	if err != nil {
		return quota.Lent{Refusal: calls.ReasonQuotaUnavailable}
	}
	lent, err := quota.DecodeLent(reply)
	if err != nil {
		return quota.Lent{Refusal: calls.ReasonQuotaUnavailable}
	}
	return lent
}

// Load passes an upstream's load report to its dispatch shards on this host.
func (duties *Duties) Load(announcement upstr.Announcement) {
	for _, id := range []state.ShardID{
		state.DispatchShard(announcement.Service, announcement.Name),
		state.DispatchShard(announcement.Service, ""),
	} {
		if task, ok := duties.task(id, 0); ok {
			task.Load(announcement)
		}
	}
}

// Status returns the status of this host's dispatch shards.
func (duties *Duties) Status() []shard.Status {
	duties.mutex.RLock()
	tasks := make([]*shard.Shard, 0, len(duties.shards))
	for _, task := range duties.shards {
		tasks = append(tasks, task)
	}
	duties.mutex.RUnlock()
	var statuses []shard.Status
	for _, task := range tasks {
		if status, ok := task.Status(); ok {
			statuses = append(statuses, status)
		}
	}
	return statuses
}

// Close stops all tasks.
func (duties *Duties) Close() {
	close(duties.stop)
	<-duties.done
	duties.mutex.Lock()
	defer duties.mutex.Unlock()
	duties.closing = true
	for _, task := range duties.shards {
		select {
		case <-task.Done():
		default:
			task.Close()
		}
	}
	for _, bank := range duties.banks {
		bank.Close()
	}
}
