// Package fetch keeps a host's catalog up to date from any control host.
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
	// wait is how long a control host holds a fetch that finds no news.
	wait = 500 * time.Millisecond
	// lagWait is the same while the leader is known to have news: a control host
	// that has none may be cut off.
	lagWait    = 60 * time.Millisecond
	retryPause = 30 * time.Millisecond
	// gatherTime is the time after news before more are asked for: while keys move
	// there are tens of changes a second, and each look at the catalog costs an
	// entry host of the users' platform about a millisecond.
	gatherTime = 25 * time.Millisecond
	// logPrefix starts each line that this package logs.
	logPrefix = "configuration: "
)

// Source is where catalog changes come from.
type Source interface {
	Fetch(after uint64, wait time.Duration) (group.FetchReply, error)
	// NextSource turns to another control host.
	NextSource()
}

// Follower holds a host's catalog. Reading it is cheap and safe from any
// goroutine.
type Follower struct {
	source Source
	log    log.Interface
	// leaderIndex is the highest index that a leader has told the host of.
	leaderIndex func() uint64
	catalog     atomic.Pointer[state.Catalog]
	mutex       sync.Mutex
	watchers    []chan struct{}
	stop        chan struct{}
	done        chan struct{}
	// lost is set while fetches fail; only the task uses it.
	lost bool
}

// NewFollower starts to follow from an empty catalog.
func NewFollower(source Source, leaderIndex func() uint64, logger log.Interface) *Follower {
	follower := &Follower{
		source: source, leaderIndex: leaderIndex, log: logger,
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	follower.catalog.Store(&state.Catalog{})
	return follower
}

// Start starts the follower's task.
func (follower *Follower) Start() { go follower.run() }

// Catalog returns the latest catalog.
func (follower *Follower) Catalog() *state.Catalog { return follower.catalog.Load() }

// Watch returns a channel that signals after changes; signals may merge.
func (follower *Follower) Watch() chan struct{} {
	watcher := make(chan struct{}, 1)
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.watchers = append(follower.watchers, watcher)
	return watcher
}

// Unwatch ends the signals to a channel.
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
		hold := wait
		if follower.Catalog().Index < expected {
			hold = lagWait
		}
		reply, err := follower.source.Fetch(follower.Catalog().Index, hold)
		if err == nil {
			err = follower.take(reply)
		}
		follower.noteContact(err)
		if err != nil {
			follower.pause(retryPause)
			continue
		}
		if len(reply.Deltas) > 0 {
			follower.pause(gatherTime)
		}
		if follower.Catalog().Index < expected {
			// The control host lags behind what the leader had committed before
			// the fetch began: it may be cut off.
			follower.source.NextSource()
		}
	}
}

// noteContact logs when changes stop to come, and when they come again.
func (follower *Follower) noteContact(err error) {
	if follower.lost == (err != nil) {
		return
	}
	follower.lost = err != nil
	if follower.lost {
		follower.log.WithError(err).WithField("version", follower.Catalog().Index).Warn(logPrefix + "changes do not come")
		return
	}
	follower.log.WithField("version", follower.Catalog().Index).Info(logPrefix + "changes come again")
}

func (follower *Follower) pause(pause time.Duration) {
	select {
	case <-follower.stop:
	case <-time.After(pause):
	}
}

// take applies a reply. A reply that is older than the catalog changes
// nothing: the host never goes back.
func (follower *Follower) take(reply group.FetchReply) error {
	catalog := follower.Catalog()
	before := catalog.Index
	if reply.Catalog != nil {
		encoded, err := codec.Decompress(reply.Catalog)
		if err != nil {
			return Error.New("take catalog: %w", err)
		}
		whole, err := state.DecodeCatalog(encoded)
		if err != nil {
			return Error.New("take catalog: %w", err)
		}
		if whole.Index > catalog.Index {
			catalog = whole
		}
	}
	for _, delta := range reply.Deltas {
		if delta.Index <= catalog.Index {
			continue
		}
		command, err := delta.Decode()
		if err != nil {
			return Error.New("take change: %w", err)
		}
		catalog, _ = catalog.Apply(delta.Index, command)
	}
	catalog = catalog.Skip(reply.Upto)
	if catalog.Index == before {
		return nil
	}
	follower.catalog.Store(catalog)
	if reply.Catalog != nil || len(reply.Deltas) > 0 {
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

// Close ends the follower's task.
func (follower *Follower) Close() {
	close(follower.stop)
	<-follower.done
}
