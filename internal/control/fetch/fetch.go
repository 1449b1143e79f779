// Package fetch keeps a host's copy of the catalog up to date. It long-polls any
// control host for changes.
package fetch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// Error is the class of all errors of this package.
var Error = errs.Class("fetch")

const (
	// longPollTime is how long a control host waits for a change before it answers a
	// fetch.
	longPollTime = 500 * time.Millisecond
	// laggingPollTime replaces longPollTime while the leader is known to have changes
	// that this host lacks: a control host that does not have them may be partitioned.
	laggingPollTime = 60 * time.Millisecond
	retryDelay      = 30 * time.Millisecond
	// batchDelay is the pause between changes and the next fetch. While keys move
	// there are tens of changes a second, and each pass over the catalog costs an
	// entry host of the users' platform about a millisecond.
	batchDelay = 25 * time.Millisecond
	// logPrefix starts each line that this package logs.
	logPrefix = "configuration: "
)

// Source fetches catalog changes from control hosts.
type Source interface {
	// Fetch returns the changes after an index. The control host waits up to the given
	// time for one.
	Fetch(after uint64, wait time.Duration) (group.FetchReply, error)
	// NextSource switches to another control host.
	NextSource()
}

// Follower holds a host's copy of the catalog. It is safe for concurrent use, and
// reading the catalog is cheap.
type Follower struct {
	source Source
	log    log.Interface
	// leaderIndex returns the highest index that a leader has reported to the host.
	leaderIndex func() uint64
	catalog     atomic.Pointer[state.Catalog]
	mutex       sync.Mutex
	watchers    []chan struct{}
	stop        chan struct{}
	done        chan struct{}
	// failing is set while fetches fail. Only the follower's goroutine uses it.
	failing bool
}

// NewFollower returns a Follower with an empty catalog. Start starts it.
func NewFollower(source Source, leaderIndex func() uint64, logger log.Interface) *Follower {
	follower := &Follower{
		source: source, leaderIndex: leaderIndex, log: logger,
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	follower.catalog.Store(&state.Catalog{})
	return follower
}

// Start starts the follower's goroutine.
func (follower *Follower) Start() { go follower.run() }

// Catalog returns the latest catalog.
func (follower *Follower) Catalog() *state.Catalog { return follower.catalog.Load() }

// Watch returns a channel that receives a signal after changes. Several changes may
// share a signal.
func (follower *Follower) Watch() chan struct{} {
	watcher := make(chan struct{}, 1)
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.watchers = append(follower.watchers, watcher)
	return watcher
}

// Unwatch stops the signals to a channel that Watch returned.
func (follower *Follower) Unwatch(watcher chan struct{}) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	for position, other := range follower.watchers {
		if other == watcher {
			follower.watchers = append(follower.watchers[:position:position], follower.watchers[position+1:]...)
			return
		}
	}
}

func (follower *Follower) run() {
	defer close(follower.done)
	for {
		select {
		case <-follower.stop:
			return
		default:
		}
		expected := follower.leaderIndex()
		wait := longPollTime
		if follower.Catalog().Index < expected {
			wait = laggingPollTime
		}
		reply, err := follower.source.Fetch(follower.Catalog().Index, wait)
		if err == nil {
			err = follower.apply(reply)
		}
		follower.logContact(err)
		if err != nil {
			follower.pause(retryDelay)
			continue
		}
		if len(reply.Deltas) > 0 || reply.Batch != nil {
			follower.pause(batchDelay)
		}
		if follower.Catalog().Index < expected {
			// The control host lags behind what the leader had committed before the
			// fetch began, so it may be partitioned from the leader.
			follower.source.NextSource()
		}
	}
}

// logContact logs when fetches begin to fail and when they succeed again.
func (follower *Follower) logContact(err error) {
	if follower.failing == (err != nil) {
		return
	}
	follower.failing = err != nil
	if follower.failing {
		follower.log.WithError(err).WithField("version", follower.Catalog().Index).Warn(logPrefix + "fetching catalog changes failed, retrying")
		return
	}
	follower.log.WithField("version", follower.Catalog().Index).Info(logPrefix + "fetching catalog changes succeeds again")
}

func (follower *Follower) pause(delay time.Duration) {
	select {
	case <-follower.stop:
	case <-time.After(delay):
	}
}

// apply applies a reply to the catalog. A reply that is older than the catalog
// changes nothing, so the catalog's index never decreases.
func (follower *Follower) apply(reply group.FetchReply) error {
	catalog := follower.Catalog()
	before := catalog.Index
	if reply.Catalog != nil {
		encoded, err := codec.Decompress(reply.Catalog)
		if err != nil {
			return Error.New("decompress catalog: %w", err)
		}
		full, err := state.DecodeCatalog(encoded)
		if err != nil {
			return Error.New("decode catalog: %w", err)
		}
		if full.Index > catalog.Index {
			catalog = full
		}
	}
	changes, err := reply.Changes()
	if err != nil {
		return Error.New("decode changes: %w", err)
	}
	for _, delta := range changes {
		if delta.Index <= catalog.Index {
			continue
		}
		command, err := delta.Decode()
		if err != nil {
			return Error.New("decode change: %w", err)
		}
		catalog, _ = catalog.Apply(delta.Index, command)
	}
	catalog = catalog.AdvanceTo(reply.Upto)
	if catalog.Index == before {
		return nil
	}
	follower.catalog.Store(catalog)
	if reply.Catalog != nil || len(changes) > 0 {
		follower.notify()
	}
	return nil
}

func (follower *Follower) notify() {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	for _, watcher := range follower.watchers {
		select {
		case watcher <- struct{}{}:
		default:
		}
	}
}

// Close stops the follower's goroutine and waits for its end. It must be called only
// after Start.
func (follower *Follower) Close() {
	close(follower.stop)
	<-follower.done
}
