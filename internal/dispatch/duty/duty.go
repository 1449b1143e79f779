// Package duty runs the shards that the catalog gives to this host: it starts
// and ends their tasks, and finds the task or the host that is in charge.
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

// releaseTimeout bounds the handover of a quota shard.
const releaseTimeout = 5 * time.Second

// Links carries payloads to other hosts.
type Links interface {
	Call(ctx context.Context, address netip.AddrPort, request links.Payload) (links.Payload, error)
}

// Duties holds the tasks of this host's shards.
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

// New starts to follow the catalog; watch signals its changes.
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
			duties.follow()
		}
	}
}

// follow starts the tasks of new shards and tells all others of the change.
func (duties *Duties) follow() {
	catalog := duties.env.Catalog()
	session := duties.env.Lease.Epoch()
	duties.mutex.Lock()
	defer duties.mutex.Unlock()
	if duties.closing {
		return
	}
	for id, held := range catalog.Shards {
		if held.Host == duties.env.Host && held.Session == session {
			duties.ensure(id, held)
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

func (duties *Duties) ensure(id state.ShardID, held state.Shard) {
	if _, ok := id.Quota(); ok {
		if bank, ok := duties.banks[id]; !ok || bank.Epoch() != held.Epoch {
			if ok {
				go bank.Close()
			}
			duties.banks[id] = quota.NewBank(id, held.Epoch, duties.env.Host, duties.env.Lease, duties.env.Catalog, duties.env.Clock)
		}
		return
	}
	task, ok := duties.shards[id]
	if ok && task.Epoch() == held.Epoch {
		return
	}
	duties.shards[id] = shard.New(duties.env, id, held.Epoch)
}

// releaseBanks hands over quota shards that are to move: the bank ends first.
func (duties *Duties) releaseBanks(catalog *state.Catalog) {
	for id, bank := range duties.banks {
		held := catalog.Shards[id]
		if held.MovingTo == "" {
			continue
		}
		delete(duties.banks, id)
		go duties.releaseBank(id, bank, held.Session)
	}
}

func (duties *Duties) releaseBank(id state.ShardID, bank *quota.Bank, session uint64) {
	bank.Close()
	duties.env.Stats.Moved("shard", 1)
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	command := state.ReleaseShards{Session: session, Shards: []state.ShardID{id}}
	if _, err := duties.env.Control.Propose(ctx, command); err != nil {
		duties.env.Log.WithError(err).Warnf("duty: shard %s was not released", id)
	}
}

// task returns this host's task of a shard.
func (duties *Duties) task(id state.ShardID, epoch uint64) (*shard.Shard, bool) {
	duties.mutex.RLock()
	defer duties.mutex.RUnlock()
	task, ok := duties.shards[id]
	if !ok || epoch != 0 && task.Epoch() != epoch {
		return nil, false
	}
	return task, true
}

// Serve carries out a request that came to this host as the primary.
func (duties *Duties) Serve(ctx context.Context, request calls.Request) calls.Outcome {
	task, ok := duties.task(request.Shard, request.ShardEpoch)
	if !ok {
		return calls.Refused{Reason: calls.ReasonShardMoved, Ran: calls.RanNot}
	}
	return task.Submit(ctx, request)
}

// Lend answers a borrower if this host has the bank.
func (duties *Duties) Lend(ctx context.Context, ask quota.Ask) quota.Lent {
	duties.mutex.RLock()
	bank, ok := duties.banks[ask.Shard]
	duties.mutex.RUnlock()
	if !ok {
		return quota.Lent{Refusal: calls.ReasonShardMoved}
	}
	return bank.Borrow(ctx, ask)
}

// Borrow carries an ask to the bank in charge, here or on another host.
func (duties *Duties) Borrow(ctx context.Context, ask quota.Ask) quota.Lent {
	catalog := duties.env.Catalog()
	ask.Shard = state.QuotaShard(ask.Workspace)
	held := catalog.Shards[ask.Shard]
	if held.Host == duties.env.Host {
		return duties.Lend(ctx, ask)
	}
	session, ok := catalog.Sessions[held.Host]
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

// Load hands an upstream's load report to its primary, if that is here.
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

// Close ends all tasks.
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
