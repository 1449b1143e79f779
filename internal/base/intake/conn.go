package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"damaskcrank.example/damaskcrank/internal/base/budget"
)

const (
	// maxSkipped bounds the bytes of empty lines before a request. Clients of old send one line
	// after a body.
	maxSkipped = 8
	// firstBufferBytes is the size of the first buffer for a head that comes in pieces.
	firstBufferBytes = 1 << 10
	// maxBodyBytes is what is counted for the beginning of a body together with its head. The
	// rest is bounded where bodies are read.
	maxBodyBytes = 64 << 10
	// admitTimeout is how long a whole head waits for the budget.
	admitTimeout = 500 * time.Millisecond
	// retryAfter is the Retry-After for whole heads that no memory is left for, in seconds.
	// Requests are served within about a second.
	retryAfter = "1"
	// writeBytes is the part of an answer that has to be taken within writeTimeout. Callers'
	// deadlines are shorter.
	writeBytes   = 16 << 10
	writeTimeout = 10 * time.Second
	// refreshTime is the age of the deadline of writes at which it is set anew.
	refreshTime = time.Second
	// drainTime and drainBytes bound what is read and dropped after a refusal, so that the
	// kernel does not reset the connection before the caller has read it.
	drainTime  = 500 * time.Millisecond
	drainBytes = 256 << 10
)

// stage is what is read from a connection.
type stage uint8

const (
	stageHead stage = iota
	stageBody
	// stageAfter means that the whole request was read, and its answer is not written.
	stageAfter
)

// errRefused is returned by reads of a connection that is to be closed. net/http answers
// nothing to errors of reads of this type.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the connection is refused")}

// conn is an accepted connection. net/http reads from one task at a time, and calls answered
// while no read is in progress.
type conn struct {
	net.Conn

	listener *Listener
	account  *budget.Account
	stage    stage
	head     head
	framing  framing
	// buffer holds what was read and not passed on, and headLeft is how much of it belongs to
	// the head that may be passed on. scanned is how much of it belongs to a head that is not
	// whole.
	buffer   []byte
	headLeft int
	scanned  int
	// headDeadline is when a head that has begun must be whole, the zero time before it begins.
	headDeadline time.Time
	closed       atomic.Bool

	acceptedAt time.Time
	// writeDeadlineSet is when the deadline of writes was last set. Only Write uses it.
	writeDeadlineSet time.Time

	// mutex guards the deadlines of reads, that of the server and the conn's own, waiting, which
	// is set while nothing of the next request has come, carried, which is set once a request was
	// answered, and writesEnd, which is set once the server has set a deadline of writes.
	mutex          sync.Mutex
	waiting        bool
	carried        bool
	serverDeadline time.Time
	ownDeadline    time.Time
	writesEnd      bool
}

// Read implements net.Conn. It passes on nothing of a head before the head is whole.
func (conn *conn) Read(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	if conn.stage == stageHead {
		count, err := conn.readHead(data)
		if count > 0 || err != nil {
			return count, err
		}
	}
	if conn.headLeft > 0 {
		count := copy(data, conn.buffer[:conn.headLeft])
		conn.headLeft -= count
		conn.consume(count)
		return count, nil
	}
	if conn.stage == stageBody && conn.framing.done() {
		conn.stage = stageAfter
		if err := conn.setOwnDeadline(time.Time{}); err != nil {
			return 0, err
		}
	}
	if conn.stage == stageAfter {
		return conn.readAfter(data[:1])
	}
	return conn.readBody(data)
}

// readAfter reads a byte of the next request while the answer to this one is not written:
// net/http looks that way for the end of the connection.
func (conn *conn) readAfter(data []byte) (int, error) {
	for {
		count, err := conn.receive(data)
		if count > 0 && conn.head.skip(data[:count]) > 0 {
			if conn.head.skipped > maxSkipped {
				return 0, conn.refuse(ReasonEmptyLines, 0)
			}
			continue
		}
		conn.head.feed(data[:count])
		return count, err
	}
}

// readBody reads a part of the body.
func (conn *conn) readBody(data []byte) (int, error) {
	if !conn.framing.chunked {
		data = data[:min(int64(len(data)), conn.framing.left)]
	}
	if err := conn.setOwnDeadline(time.Now().Add(conn.listener.limits().IdleTimeout)); err != nil {
		return 0, err
	}
	count, err := conn.receive(data)
	taken := conn.framing.take(data[:count])
	if conn.framing.malformed {
		return 0, conn.refuse(ReasonTrailer, 0)
	}
	if taken < count && !conn.giveBack(data[taken:count]) {
		return 0, conn.refuse(ReasonHeadsFull, 0)
	}
	return taken, err
}

// giveBack keeps bytes that follow a body for later reads.
func (conn *conn) giveBack(data []byte) bool {
	conn.buffer = append(append([]byte(nil), data...), conn.buffer...)
	return conn.account.Buffer(int64(cap(conn.buffer)))
}

// receive reads what is buffered, or from the socket.
func (conn *conn) receive(data []byte) (int, error) {
	if len(conn.buffer) > 0 {
		count := copy(data, conn.buffer)
		conn.consume(count)
		return count, nil
	}
	return conn.Conn.Read(data) //nolint:wrapcheck // net/http expects unwrapped errors
}

// consume removes bytes from the beginning of the buffer, and releases it when it is empty.
func (conn *conn) consume(count int) {
	conn.buffer = conn.buffer[count:]
	if len(conn.buffer) == 0 {
		conn.buffer = nil
		conn.account.Buffer(0)
	}
}

// readHead reads until a head is whole and paid for. If nothing else has to be kept it passes
// it on at once, and else leaves it in the buffer and returns 0.
func (conn *conn) readHead(data []byte) (int, error) {
	limits := conn.listener.limits()
	if len(conn.buffer) == 0 {
		if count, err := conn.readUsual(data, limits); count > 0 || err != nil {
			return count, err
		}
	}
	for {
		if done, err := conn.scanBuffer(limits); done || err != nil {
			return 0, err
		}
		conn.begin(limits)
		if err := conn.setOwnDeadline(conn.headDeadline); err != nil {
			return 0, err
		}
		if err := conn.grow(limits); err != nil {
			return 0, err
		}
		count, err := conn.Conn.Read(conn.buffer[len(conn.buffer):cap(conn.buffer)])
		conn.buffer = conn.buffer[:len(conn.buffer)+count]
		if err != nil && count == 0 {
			return 0, conn.readFailed(err)
		}
	}
}

// readUsual reads into the server's buffer. A head that comes in one piece is passed on as it
// is; otherwise what has come is copied into the buffer.
func (conn *conn) readUsual(data []byte, limits Limits) (int, error) {
	count, err := conn.readBeginning(data, limits)
	if count == 0 {
		return 0, conn.readFailed(err)
	}
	data = data[:count]
	if conn.head.length == 0 && (data[0] == '\r' || data[0] == '\n') {
		return 0, conn.keep(data)
	}
	before := conn.head
	length := conn.head.feed(data)
	if !conn.head.whole {
		conn.head = before
		return 0, conn.keep(data)
	}
	framing := newFraming(data[:length])
	if framing.take(data[length:]) < count-length || framing.malformed {
		conn.head = before
		return 0, conn.keep(data)
	}
	if err := conn.finishHead(limits, framing, newFraming(data[:length])); err != nil {
		return 0, err
	}
	return count, nil
}

// readBeginning reads from the socket the beginning of a head, of which the server may have
// read a byte already.
func (conn *conn) readBeginning(data []byte, limits Limits) (int, error) {
	if conn.head.length == 0 {
		return conn.readFirst(data, limits.IdleTimeout)
	}
	if err := conn.setOwnDeadline(time.Now().Add(limits.IdleTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Read(data) //nolint:wrapcheck // net/http expects unwrapped errors
}

// begin sets the time by which the head must be whole, if it has not begun before.
func (conn *conn) begin(limits Limits) {
	if conn.headDeadline.IsZero() {
		conn.headDeadline = time.Now().Add(limits.HeadTimeout)
	}
}

// keep copies bytes into the buffer.
func (conn *conn) keep(data []byte) error {
	conn.buffer = append(make([]byte, 0, max(firstBufferBytes, len(data))), data...)
	if !conn.account.Buffer(int64(cap(conn.buffer))) {
		return conn.refuse(ReasonHeadsFull, 0)
	}
	return nil
}

// grow makes place in the buffer for more bytes of a head.
func (conn *conn) grow(limits Limits) error {
	if len(conn.buffer) < cap(conn.buffer) {
		return nil
	}
	size := min(max(2*cap(conn.buffer), firstBufferBytes), limits.HeadBytes+maxSkipped+1)
	size = max(size, len(conn.buffer)+1)
	if !conn.account.Buffer(int64(size)) {
		return conn.refuse(ReasonHeadsFull, 0)
	}
	conn.buffer = append(make([]byte, 0, size), conn.buffer...)
	return nil
}

// scanBuffer looks for the end of the head in the buffer, and reports whether it is there.
func (conn *conn) scanBuffer(limits Limits) (bool, error) {
	if skipped := conn.head.skip(conn.buffer); skipped > 0 {
		conn.buffer = conn.buffer[skipped:]
		if conn.head.skipped > maxSkipped {
			return false, conn.refuse(ReasonEmptyLines, http.StatusBadRequest)
		}
	}
	conn.scanned += conn.head.feed(conn.buffer[conn.scanned:])
	if conn.head.length > limits.HeadBytes {
		return false, conn.refuse(ReasonHeadTooLong, http.StatusRequestHeaderFieldsTooLarge)
	}
	if !conn.head.whole {
		return false, nil
	}
	framing := newFraming(conn.buffer[:conn.scanned])
	conn.headLeft = conn.scanned
	return true, conn.finishHead(limits, framing, framing)
}

// finishHead pays for a whole head. The framing is that after what is passed on with it, and
// whole that of the whole body.
func (conn *conn) finishHead(limits Limits, framing, whole framing) error {
	if conn.head.length > limits.HeadBytes {
		return conn.refuse(ReasonHeadTooLong, http.StatusRequestHeaderFieldsTooLarge)
	}
	cost := budget.HeadCost(conn.head.length, conn.head.lines) + min(whole.left, maxBodyBytes)
	if !conn.admit(cost) {
		return conn.refuse(ReasonHeadsFull, http.StatusServiceUnavailable)
	}
	conn.framing, conn.head, conn.scanned, conn.headDeadline, conn.stage = framing, head{}, 0, time.Time{}, stageBody
	return conn.setOwnDeadline(time.Time{})
}

// admit waits until a head is paid for.
func (conn *conn) admit(cost int64) bool {
	decided := conn.account.Admit(cost)
	if decided == nil {
		return true
	}
	timer := conn.listener.options.Clock.NewTimer(admitTimeout)
	defer timer.Stop()
	select {
	case <-decided:
		return conn.account.Granted()
	case <-timer.Chan():
		return conn.account.Withdraw()
	}
}

// readFailed returns the error of a read within a head, and reports a head that was too slow.
func (conn *conn) readFailed(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) && !conn.headDeadline.IsZero() {
		conn.listener.report(ReasonHeadTooSlow)
	}
	return err
}

// refuse answers a request that was not read whole, if the status is not 0, and returns the
// error that has net/http close the connection.
func (conn *conn) refuse(reason Reason, status int) error {
	if conn.closed.Load() {
		return errRefused // the reason is reported already
	}
	conn.listener.report(reason)
	if status == 0 {
		return errRefused
	}
	answer := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if status == http.StatusServiceUnavailable {
		answer += "Retry-After: " + retryAfter + "\r\n"
	}
	answer += "\r\n"
	if _, err := conn.Write([]byte(answer)); err != nil {
		return errRefused
	}
	buffer := conn.buffer[:cap(conn.buffer)]
	if conn.CloseWrite() == nil && len(buffer) > 0 && conn.Conn.SetReadDeadline(time.Now().Add(drainTime)) == nil {
		for left := drainBytes; left > 0; {
			count, err := conn.Conn.Read(buffer)
			if err != nil {
				break
			}
			left -= count
		}
	}
	return errRefused
}

// answered releases what the request took. The next head begins. If net/http sees the end of
// the body elsewhere, the connection is closed.
func (conn *conn) answered() {
	if conn.stage == stageBody && !conn.framing.done() || conn.headLeft > 0 {
		_ = conn.Close()
		return
	}
	conn.stage = stageHead
	conn.account.Served()
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.carried = true
}

// giveWay closes the connection for others that need its memory.
func (conn *conn) giveWay() {
	if conn.closed.Swap(true) {
		return
	}
	conn.listener.report(ReasonGaveWay)
	_ = conn.Conn.Close()
}

// Write implements net.Conn. The caller has to take each part of the data within some time.
func (conn *conn) Write(data []byte) (int, error) {
	written := 0
	for {
		piece := data[written:min(len(data), written+writeBytes)]
		if err := conn.refreshWriteDeadline(); err != nil {
			return written, err
		}
		count, err := conn.Conn.Write(piece)
		written += count
		if errors.Is(err, os.ErrDeadlineExceeded) {
			conn.listener.report(ReasonUnread)
		}
		if err != nil || written == len(data) {
			return written, err //nolint:wrapcheck // net/http expects unwrapped errors
		}
	}
}

// SetReadDeadline sets the server's deadline for reads. The earlier one of it and the conn's
// own applies.
func (conn *conn) SetReadDeadline(deadline time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.serverDeadline = deadline
	return conn.applyDeadline()
}

func (conn *conn) setOwnDeadline(deadline time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if deadline.IsZero() && conn.ownDeadline.IsZero() {
		return nil
	}
	conn.ownDeadline, conn.waiting = deadline, false
	return conn.applyDeadline()
}

func (conn *conn) applyDeadline() error {
	deadline := conn.serverDeadline
	if deadline.IsZero() || !conn.ownDeadline.IsZero() && conn.ownDeadline.Before(deadline) {
		deadline = conn.ownDeadline
	}
	if conn.waiting && conn.listener.drain.begun.Load() && conn.waitEnd().Before(deadline) {
		deadline = conn.waitEnd()
	}
	return conn.Conn.SetReadDeadline(deadline) //nolint:wrapcheck // net/http expects unwrapped errors
}

// SetWriteDeadline sets a deadline for all writes that follow, or are in progress. The zero
// time, which net/http sets after each request, leaves it to Write.
func (conn *conn) SetWriteDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		return nil
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.writesEnd = true
	return conn.Conn.SetWriteDeadline(deadline) //nolint:wrapcheck // net/http expects unwrapped errors
}

// refreshWriteDeadline sets the deadline of writes anew, unless the server has set it.
func (conn *conn) refreshWriteDeadline() error {
	now := time.Now()
	if now.Sub(conn.writeDeadlineSet) <= refreshTime {
		return nil
	}
	conn.writeDeadlineSet = now
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.writesEnd {
		return nil
	}
	return conn.Conn.SetWriteDeadline(now.Add(writeTimeout)) //nolint:wrapcheck // net/http expects unwrapped errors
}

// SetDeadline sets the server's deadline for reads.
func (conn *conn) SetDeadline(deadline time.Time) error { return conn.SetReadDeadline(deadline) }

// Close releases what the connection takes.
func (conn *conn) Close() error {
	conn.closed.Store(true)
	conn.account.Close()
	defer conn.listener.drain.remove(conn)
	return conn.Conn.Close() //nolint:wrapcheck // net/http expects unwrapped errors
}

// CloseWrite closes the connection for writes.
func (conn *conn) CloseWrite() error {
	if half, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite() //nolint:wrapcheck // net/http expects unwrapped errors
	}
	return io.ErrClosedPipe
}

// SyscallConn returns the socket of the connection.
func (conn *conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return nil, Error.New("the connection has no socket")
	}
	return socket.SyscallConn() //nolint:wrapcheck // it says what failed
}
