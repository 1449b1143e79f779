package upstr

import (
	"bytes"
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"damaskcrank.example/damaskcrank/internal/base/budget"
	"damaskcrank.example/damaskcrank/internal/base/bulk"
	"damaskcrank.example/damaskcrank/internal/base/sock"
)

var (
	// errWriteNotAllowed is returned by writes that are not allowed.
	errWriteNotAllowed = Error.New("the lease ended before the write")
	// errUnexpectedBytes is returned if bytes come in, or the connection ends, before
	// the request was written.
	errUnexpectedBytes = Error.New("the upstream sent bytes without a request")
)

// guardedConn is a connection that rejects writes while they are not allowed. This
// way nothing is sent if the process pauses between the lease check and the write.
//
// It also rejects bytes that come in after one response and before the next request.
// net/http looks for them, but a request that waits for the connection may be given it
// before that, and would take them for its response.
type guardedConn struct {
	net.Conn

	allowed func() bool

	mutex sync.Mutex
	// changed is signalled when reading or closed is set.
	changed *sync.Cond
	// reading is set while a Read runs. On an idle connection, net/http starts one only
	// if it has no unread bytes, and closes the connection otherwise.
	reading bool
	closed  bool
	// requested is set once the current request is being written.
	requested bool
	// held is what the response takes while it is read, nil if that is not bounded.
	held *bulk.Body
	// readsHead is set until the head of the response is read, headBytes and headLines are its
	// length so far, and headCharged is what held counts for it.
	readsHead                         bool
	headBytes, headLines, headCharged int
}

func newGuardedConn(conn net.Conn, allowed func() bool) *guardedConn {
	guardedconn := &guardedConn{Conn: conn, allowed: allowed}
	guardedconn.changed = sync.NewCond(&guardedconn.mutex)
	return guardedconn
}

// traceConnections returns a context in which each request waits until its connection
// is known to hold no unread bytes. The function gotConn, if set, is called before.
func traceConnections(ctx context.Context, gotConn func(*guardedConn)) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		guardedconn, ok := info.Conn.(*guardedConn)
		if !ok {
			return
		}
		if gotConn != nil {
			gotConn(guardedconn)
		}
		guardedconn.awaitReader(ctx)
	}})
}

// awaitReader waits until net/http has read all bytes that it has of the connection,
// or has closed it. Bytes that come in from then on are rejected until a write.
func (guardedconn *guardedConn) awaitReader(ctx context.Context) {
	guardedconn.mutex.Lock()
	defer guardedconn.mutex.Unlock()
	guardedconn.requested = false
	guardedconn.readsHead, guardedconn.headBytes, guardedconn.headLines, guardedconn.headCharged = true, 0, 0, 0
	if guardedconn.reading || guardedconn.closed {
		return
	}
	stop := context.AfterFunc(ctx, func() {
		guardedconn.mutex.Lock()
		defer guardedconn.mutex.Unlock()
		guardedconn.changed.Broadcast()
	})
	defer stop()
	for !guardedconn.reading && !guardedconn.closed && ctx.Err() == nil {
		guardedconn.changed.Wait()
	}
}

// Read reads data, or fails with errUnexpectedBytes.
func (guardedconn *guardedConn) Read(data []byte) (int, error) {
	guardedconn.mutex.Lock()
	guardedconn.reading = true
	guardedconn.changed.Broadcast()
	guardedconn.mutex.Unlock()
	count, err := guardedconn.Conn.Read(data)
	unexpected, more := guardedconn.finishRead(data[:count])
	switch {
	case unexpected:
		return 0, errUnexpectedBytes
	case more > 0:
		if err := guardedconn.held.Add(more); err != nil {
			return 0, err //nolint:wrapcheck // it says what failed
		}
	}
	return count, err //nolint:wrapcheck // net/http expects unwrapped connection errors
}

// finishRead records that data was read. It reports whether the data was not expected, and
// returns what its head takes beyond what has been counted, 0 for a usual head.
func (guardedconn *guardedConn) finishRead(data []byte) (unexpected bool, more int) {
	guardedconn.mutex.Lock()
	defer guardedconn.mutex.Unlock()
	guardedconn.reading = false
	if len(data) > 0 && !guardedconn.requested {
		return true, 0
	}
	if !guardedconn.readsHead || guardedconn.held == nil {
		return false, 0
	}
	guardedconn.headBytes += len(data)
	guardedconn.headLines += bytes.Count(data, []byte("\n"))
	cost := int(budget.HeadCost(guardedconn.headBytes, guardedconn.headLines))
	if cost <= usualHeadCost {
		return false, 0
	}
	more = cost - guardedconn.headCharged
	guardedconn.headCharged = cost
	return false, more
}

// endHead records that the head of the response is read.
func (guardedconn *guardedConn) endHead() {
	guardedconn.mutex.Lock()
	defer guardedconn.mutex.Unlock()
	guardedconn.readsHead = false
}

// Write writes the data, or fails with errWriteNotAllowed or errUnexpectedBytes.
func (guardedconn *guardedConn) Write(data []byte) (int, error) {
	if guardedconn.allowed != nil && !guardedconn.allowed() {
		return 0, errWriteNotAllowed
	}
	if !guardedconn.beginRequest() {
		return 0, errUnexpectedBytes
	}
	return guardedconn.Conn.Write(data) //nolint:wrapcheck // net/http expects unwrapped connection errors
}

// Close closes the connection.
func (guardedconn *guardedConn) Close() error {
	guardedconn.mutex.Lock()
	guardedconn.closed = true
	guardedconn.changed.Broadcast()
	guardedconn.mutex.Unlock()
	return guardedconn.Conn.Close() //nolint:wrapcheck // net/http expects unwrapped connection errors
}

// beginRequest reports whether a request may be written: the one that has begun, or a
// new one if no byte has come in.
func (guardedconn *guardedConn) beginRequest() bool {
	guardedconn.mutex.Lock()
	defer guardedconn.mutex.Unlock()
	if !guardedconn.requested && holdsBytes(guardedconn.Conn) {
		return false
	}
	guardedconn.requested = true
	return true
}

// holdsBytes reports whether a socket holds unread bytes or has ended.
func holdsBytes(conn net.Conn) bool {
	state := sock.Peek(conn)
	return state == sock.Readable || state == sock.Ended
}
