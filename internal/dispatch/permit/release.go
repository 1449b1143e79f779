package permit

import (
	"context"
	"sync"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	// batchInterval is the least time between two messages that release permits at a primary.
	batchInterval = 20 * time.Millisecond
	// maxBatch bounds the releases in one message, to about 8 KB.
	maxBatch = 200
	// maxReleases bounds the releases that wait for one primary. The earliest ones are
	// dropped beyond that: their permits expire first.
	maxReleases = 4096
	// releaseTimeout bounds the wait for an acknowledgement, after which releases are repeated.
	releaseTimeout = time.Second
	// minReleaseBackoff and maxReleaseBackoff bound the pause before releases are repeated.
	minReleaseBackoff = 50 * time.Millisecond
	maxReleaseBackoff = time.Second
)

// pendingRelease is a release that its primary has not acknowledged.
type pendingRelease struct {
	message doneMessage
	// expiresAt is when the primary has revoked the permit in any case.
	expiresAt time.Time
}

// releases holds the releases that primaries have not acknowledged. The zero value is
// ready to use.
type releases struct {
	mutex  sync.Mutex
	queues map[string]*releaseQueue
}

// releaseQueue holds the releases for one primary. It exists while there are any, and
// until batchInterval after the last message.
type releaseQueue struct {
	entry   state.Entry
	waiting []pendingRelease
}

// release releases a permit at its primary. The message is repeated until the primary has
// acknowledged it or the permit has expired there; the primary ignores repetitions.
func (client *Client) release(entry state.Entry, message doneMessage, deadline time.Time) {
	if entry.Name == client.self {
		client.localPrimary.handleDone(message)
		return
	}
	releases := &client.releases
	releases.mutex.Lock()
	defer releases.mutex.Unlock()
	if releases.queues == nil {
		releases.queues = map[string]*releaseQueue{}
	}
	queue, sending := releases.queues[entry.Name]
	if !sending {
		queue = &releaseQueue{entry: entry}
		releases.queues[entry.Name] = queue
	}
	if len(queue.waiting) >= maxReleases {
		queue.waiting = queue.waiting[1:]
	}
	// A request for a permit may have been under way for requestTimeout.
	queue.waiting = append(queue.waiting, pendingRelease{message: message, expiresAt: deadline.Add(requestTimeout + expiryGrace)})
	if !sending {
		go client.sendReleases(queue)
	}
}

// sendReleases sends the releases for one primary until there are no more.
func (client *Client) sendReleases(queue *releaseQueue) {
	backoff := time.Duration(0)
	for {
		taken := client.clock.Now()
		batch := client.takeBatch(queue, taken)
		if batch == nil {
			return
		}
		pause := batchInterval
		if err := client.sendBatch(queue.entry, batch); err != nil {
			if backoff == 0 {
				client.log.WithError(err).WithField("primary", queue.entry.Name).WithField("count", len(batch)).
					Warn(logPrefix + "releases of permits are repeated")
			}
			countEvent(client.Stats, "releaseRepeated")
			client.returnBatch(queue, batch)
			backoff = min(max(minReleaseBackoff, 2*backoff), maxReleaseBackoff)
			pause = backoff
		} else {
			backoff = 0
		}
		if left := taken.Add(pause).Sub(client.clock.Now()); left > 0 {
			client.clock.Sleep(left)
		}
	}
}

// takeBatch removes the next releases from the queue, without those whose permits have
// expired. If there are none, it removes the queue and returns nil.
func (client *Client) takeBatch(queue *releaseQueue, now time.Time) []pendingRelease {
	client.releases.mutex.Lock()
	defer client.releases.mutex.Unlock()
	var batch []pendingRelease
	taken := 0
	for _, release := range queue.waiting {
		if len(batch) == maxBatch {
			break
		}
		taken++
		if now.Before(release.expiresAt) {
			batch = append(batch, release)
		}
	}
	queue.waiting = queue.waiting[taken:]
	if batch == nil {
		delete(client.releases.queues, queue.entry.Name)
	}
	return batch
}

// returnBatch puts releases that were not acknowledged back to the front of the queue.
func (client *Client) returnBatch(queue *releaseQueue, batch []pendingRelease) {
	client.releases.mutex.Lock()
	defer client.releases.mutex.Unlock()
	queue.waiting = append(batch, queue.waiting...)
	if excess := len(queue.waiting) - maxReleases; excess > 0 {
		queue.waiting = queue.waiting[excess:]
	}
}

// sendBatch sends releases to a primary in the form that it knows, and returns nil once it
// has acknowledged all of them.
func (client *Client) sendBatch(entry state.Entry, batch []pendingRelease) error {
	if !client.isFormer(entry) {
		message := doneBatchMessage{Host: client.self}
		for _, release := range batch {
			release.message.Reporter = ""
			message.Done = append(message.Done, release.message)
		}
		known, err := client.sendRelease(entry, kindDoneBatch, message)
		if known || err != nil {
			return err
		}
		client.recordFormer(entry)
	}
	for _, release := range batch {
		if _, err := client.sendRelease(entry, kindDone, release.message); err != nil {
			return err
		}
	}
	return nil
}

// sendRelease sends a message that releases permits. It reports whether the primary knows
// the kind of message.
func (client *Client) sendRelease(entry state.Entry, kind string, message any) (known bool, err error) {
	request, err := payload(kind, message)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	reply, err := client.call(ctx, entry, request)
	if err != nil {
		return false, err
	}
	return reply.Kind == kindTaken, nil
}
