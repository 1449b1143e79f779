package pool

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	// quietTime is how long nothing was received on a connection that may lead nowhere. New
	// connections may be accepted and then reset.
	quietTime = 100 * time.Millisecond
	// acknowledgeTimeout bounds the time in which the upstream's kernel acknowledges the
	// beginning of a request. It covers one retransmission.
	acknowledgeTimeout = 250 * time.Millisecond
	// stallTimeout is how long a whole request may stay unacknowledged. It covers two
	// retransmissions.
	stallTimeout = 600 * time.Millisecond
	// minAcknowledgePoll and maxAcknowledgePoll bound the time between two looks for it.
	minAcknowledgePoll = 500 * time.Microsecond
	maxAcknowledgePoll = 20 * time.Millisecond
	// maxBeginningBytes bounds the beginning of a request, which fits into a send buffer.
	maxBeginningBytes = 8 << 10
)

var (
	errUnacknowledged = Error.New("the upstream acknowledged nothing within %s", acknowledgeTimeout)
	errClosed         = Error.New("the upstream closed the connection")
)

// begin returns a connection on which the upstream can be reached, and the part of the
// request that is left to send. On a connection that is new or was quiet it has sent a
// beginning that the upstream's kernel acknowledged, but never the whole head: an upstream
// may start on a request before it has read the body. With an error, it can't have run it.
func (pool *Pool) begin(ctx context.Context, address netip.AddrPort, request *Request) (*conn, []byte, error) {
	encoded, headLength := request.encode()
	length := min(headLength-1, maxBeginningBytes)
	for {
		connection := pool.takeUsable(address, request.ID)
		isNew := connection == nil
		if isNew {
			var err error
			if connection, err = pool.dial(ctx, address); err != nil {
				return nil, nil, err
			}
		}
		connection.carried = append(connection.carried, xxhash.Sum64String(request.ID))
		if pool.Clock.Now().Sub(connection.heardAt) < quietTime {
			return connection, encoded, nil
		}
		err := connection.sendBeginning(ctx, encoded[:length])
		if err == nil {
			return connection, encoded[length:], nil
		}
		connection.reset()
		if isNew || ctx.Err() != nil || errors.Is(err, errUnacknowledged) {
			return nil, nil, err
		}
	}
}

// sendBeginning sends a part of a request and waits until it is acknowledged.
func (conn *conn) sendBeginning(ctx context.Context, beginning []byte) error {
	if _, err := conn.Write(beginning); err != nil {
		return Error.New("send the beginning of a request: %w", err)
	}
	sent := time.Now()
	for pause := minAcknowledgePoll; ; pause = min(2*pause, maxAcknowledgePoll) {
		count, err := conn.unacknowledged()
		if err != nil {
			return err
		}
		switch state := conn.state(); {
		case state == stateClosed:
			return errClosed
		case count == 0, state == stateUnexpected: // the upstream may answer early
			return nil
		case time.Since(sent) >= acknowledgeTimeout:
			return errUnacknowledged
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return Error.New("await the acknowledgement of a request's beginning: %w", ctx.Err())
		}
	}
}

// unacknowledged returns the number of bytes sent that the upstream's kernel has not
// acknowledged.
func (conn *conn) unacknowledged() (int, error) {
	if counter, ok := conn.Conn.(interface{ Unacknowledged() (int, error) }); ok {
		return counter.Unacknowledged() //nolint:wrapcheck // only stand-ins implement it
	}
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return 0, Error.New("the connection has no socket")
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return 0, Error.New("get the socket: %w", err)
	}
	count, countErr := 0, error(nil)
	if err := rawConn.Control(func(descriptor uintptr) {
		count, countErr = unix.IoctlGetInt(int(descriptor), unix.TIOCOUTQ)
	}); err != nil {
		return 0, Error.New("use the socket: %w", err)
	}
	if countErr != nil {
		return 0, Error.New("read the length of the send queue: %w", countErr)
	}
	return count, nil
}

// watchStall interrupts reads if the upstream's kernel acknowledges nothing more of what
// was sent for stallTimeout, until the returned function is called.
func (conn *conn) watchStall() (end func()) {
	var before atomic.Int64
	look := time.AfterFunc(stallTimeout/2, func() {
		if count, err := conn.unacknowledged(); err == nil {
			before.Store(int64(count))
		}
	})
	check := time.AfterFunc(stallTimeout, func() {
		count, err := conn.unacknowledged()
		if err == nil && count > 0 && int64(count) >= before.Load() {
			conn.stalled.Store(true)
			_ = conn.SetDeadline(time.Unix(1, 0))
		}
	})
	return func() {
		look.Stop()
		check.Stop()
	}
}

// reset closes the connection so that the kernel drops the bytes that it still holds.
func (conn *conn) reset() {
	if socket, ok := conn.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // fails only if the connection is closed already
	}
	_ = conn.Close()
}
