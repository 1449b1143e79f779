package relay

import (
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// defaultMaxUnread bounds the answers that callers have not taken yet, in bytes. It is more
	// than 100 of 540 KB.
	defaultMaxUnread = 64 << 20
	// headerBytes is what a field of an answer's header takes.
	headerBytes = 400
	// unreadTime is how long a caller has in any case to take an answer.
	unreadTime = time.Second
)

// unread accounts for the answers that are being written to callers. The zero value is ready
// to use.
type unread struct {
	mutex    sync.Mutex
	total    int64
	writings map[*writing]struct{}
}

// writing is an answer that is being written.
type writing struct {
	size  int64
	since time.Time
	// abort ends the writing.
	abort func()
}

// add accounts for an answer, and returns the answers to abort so that all of them are within
// the limit: of those that callers had time to take the longest, and of equals the oldest.
func (unread *unread) add(added *writing, limit int64) []*writing {
	unread.mutex.Lock()
	defer unread.mutex.Unlock()
	if unread.writings == nil {
		unread.writings = map[*writing]struct{}{}
	}
	unread.writings[added] = struct{}{}
	unread.total += added.size
	var aborted []*writing
	for unread.total > limit {
		found := unread.mostExpensive(added.since)
		if found == nil {
			break
		}
		unread.drop(found)
		aborted = append(aborted, found)
	}
	return aborted
}

func (unread *unread) mostExpensive(now time.Time) *writing {
	var found *writing
	for writing := range unread.writings {
		if now.Sub(writing.since) < unreadTime {
			continue
		}
		if found == nil || writing.size > found.size || writing.size == found.size && writing.since.Before(found.since) {
			found = writing
		}
	}
	return found
}

// remove ends the accounting of an answer.
func (unread *unread) remove(writing *writing) {
	unread.mutex.Lock()
	defer unread.mutex.Unlock()
	unread.drop(writing)
}

func (unread *unread) drop(writing *writing) {
	if _, ok := unread.writings[writing]; ok {
		delete(unread.writings, writing)
		unread.total -= writing.size
	}
}

// beginWriting accounts for an answer until the returned function is called. Others that
// callers do not take may be aborted for it: their connections are closed.
func (exchange *exchange) beginWriting(size int) (end func()) {
	relay := exchange.relay
	limit := relay.MaxUnread
	if limit <= 0 {
		limit = defaultMaxUnread
	}
	controller := http.NewResponseController(exchange.writer)
	added := &writing{size: int64(size), since: relay.Clock.Now(), abort: func() {
		_ = controller.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection has ended
	}}
	for _, writing := range relay.unread.add(added, limit) {
		writing.abort()
		relay.Stats.Event("intake", "answersFull")
		exchange.logEvent("gave up an answer that its caller does not take", nil, log.Fields{
			"bytes": writing.size, "taken": added.since.Sub(writing.since).String(), "limit": limit,
		})
	}
	return func() { relay.unread.remove(added) }
}
