package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"damaskcrank.example/damaskcrank/internal/base/sock"
)

// firstRequestTime is how long a connection that was just accepted has for its first request
// while the listener drains: callers send it as soon as the connection is open.
const firstRequestTime = time.Second

// drain is the state of a listener that is about to end, and of the connections that it waits
// for.
type drain struct {
	// begun is set under the mutex, and read by connections under their own.
	begun atomic.Bool
	mutex sync.Mutex
	open  map[*conn]struct{}
	// accepting is set until the server is told that no more connections are accepted.
	accepting bool
	// ended is closed once no more connections are accepted and none is open.
	ended chan struct{}
}

func newDrain() *drain {
	return &drain{open: map[*conn]struct{}{}, accepting: true, ended: make(chan struct{})}
}

// add records that a connection was accepted.
func (drain *drain) add(conn *conn) {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	drain.open[conn] = struct{}{}
}

// remove records that a connection was closed.
func (drain *drain) remove(conn *conn) {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	if _, open := drain.open[conn]; open {
		delete(drain.open, conn)
		drain.checkEnd()
	}
}

// endAccept records that no more connections are accepted.
func (drain *drain) endAccept() {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	if drain.accepting {
		drain.accepting = false
		drain.checkEnd()
	}
}

func (drain *drain) checkEnd() {
	if !drain.accepting && len(drain.open) == 0 {
		close(drain.ended)
	}
}

// begin returns the connections that are open, and reports whether the drain has begun before.
func (drain *drain) begin() (open []*conn, before bool) {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	for conn := range drain.open {
		open = append(open, conn)
	}
	return open, drain.begun.Swap(true)
}

func (drain *drain) count() int {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	return len(drain.open)
}

// Drain ends the listener without cutting off requests, and takes the place of the server's
// Shutdown: that closes connections on which a request has come that was not parsed yet, and
// drops the requests that it reads later. Drain closes a connection only if nothing of a
// request has come on it, waits until the others were answered and closed, and returns an
// error if the context ends before. It may be called again.
func (listener *Listener) Drain(ctx context.Context) error {
	open, before := listener.drain.begin()
	if !before {
		_ = listener.Close()
		waiting := 0
		for _, conn := range open {
			if conn.endWait() {
				waiting++
			}
		}
		listener.options.Log.WithFields(log.Fields{
			"listener": listener.options.Name, "connections": len(open), "withoutRequest": waiting,
		}).Info(logPrefix + "closing the connections of callers")
	}
	select {
	case <-listener.drain.ended:
		return nil
	case <-ctx.Done():
		return Error.New("drain with %d connections open: %w", listener.drain.count(), ctx.Err())
	}
}

// closeAnswered has the answers of a listener that drains say that the connection is closed.
func (listener *Listener) closeAnswered(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if listener.drain.begun.Load() {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request)
	})
}

// endWait ends the wait for a request if the connection is in one, and reports whether it is.
func (conn *conn) endWait() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if !conn.waiting {
		return false
	}
	_ = conn.applyDeadline() // fails only if the connection has ended
	return true
}

// readFirst waits for a request and reads its first bytes. Where the wait ends, it looks once
// more: the bytes may have come before the reading task could run.
func (conn *conn) readFirst(data []byte, idleTime time.Duration) (int, error) {
	if err := conn.setWait(time.Now().Add(idleTime)); err != nil {
		return 0, err
	}
	count, err := conn.Conn.Read(data)
	if count > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || sock.Peek(socketOf(conn.Conn)) != sock.Readable {
		return count, err //nolint:wrapcheck // net/http expects unwrapped errors
	}
	if err := conn.setOwnDeadline(time.Now().Add(idleTime)); err != nil {
		return 0, err
	}
	return conn.Conn.Read(data) //nolint:wrapcheck // net/http expects unwrapped errors
}

// socketOf returns the connection below one of TLS.
func socketOf(conn net.Conn) net.Conn {
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return wrapper.NetConn()
	}
	return conn
}

// setWait sets the time until which a request is waited for.
func (conn *conn) setWait(deadline time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.ownDeadline, conn.waiting = deadline, true
	return conn.applyDeadline()
}

// waitEnd returns until when a connection without a request stays open while the listener
// drains.
func (conn *conn) waitEnd() time.Time {
	if conn.carried {
		return time.Unix(1, 0)
	}
	return conn.acceptedAt.Add(firstRequestTime)
}
