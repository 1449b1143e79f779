// Package pool implements an HTTP/1.1 client with a connection pool for upstreams.
// Unlike the transport of net/http it never retries a request by itself, checks
// that a response belongs to its request, and reports whether a failed request may
// have run.
package pool

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/budget"
	"damaskcrank.example/damaskcrank/internal/base/bulk"
	"damaskcrank.example/damaskcrank/internal/base/codes"
	"damaskcrank.example/damaskcrank/internal/base/pacer"
	"damaskcrank.example/damaskcrank/internal/base/sock"
)

// Error is the class of all errors of this package.
var Error = errs.Class("pool")

const (
	// dialTimeout bounds the time to open a connection. The kernel repeats a lost SYN only
	// after a second.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTime is how long an idle connection may be reused if the upstream
	// sends no Keep-Alive timeout.
	defaultIdleTime = 4 * time.Second
	// reuseTenths is the part of the upstream's Keep-Alive timeout, in tenths, after
	// which a connection is not reused.
	reuseTenths = 7
	// maxStaleResponses bounds the responses to earlier requests that are skipped.
	maxStaleResponses = 4
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 8
	// maxHeadBytes bounds the head of a response together with the interim responses
	// before it.
	maxHeadBytes = 64 << 10
	// usualHeadCost is the cost of a head up to which it is not counted.
	usualHeadCost = 32 << 10
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 8 << 10
	// maxRequests bounds the requests that one connection carries, as it remembers their IDs.
	maxRequests = 256
	// sweepInterval is the time between two sweeps for idle connections that can't be
	// reused.
	sweepInterval = time.Second
	// defaultLingerTime is how long the connection of a request that was given up is
	// watched for its end. It exceeds the time that a request is on its way.
	defaultLingerTime = 50 * time.Millisecond
)

// Response is an upstream's response with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   Body
}

// Failure classifies why a request got no response.
type Failure string

const (
	// FailureNotSent means that the upstream can't have run the request: not even its whole
	// head was sent.
	FailureNotSent Failure = "notSent"
	// FailureRefused means that the upstream's port is closed: the connection was
	// refused, and nothing was sent.
	FailureRefused Failure = "refused"
	// FailureLost means that the connection was lost and the request may have run.
	FailureLost Failure = "lost"
	// FailureGarbled means that the response was malformed, too long, or belonged
	// to another request.
	FailureGarbled Failure = "garbled"
	// FailureUnacknowledged means that the upstream's kernel acknowledged nothing more for
	// some time. The request may have run.
	FailureUnacknowledged Failure = "unacknowledged"
	// FailureTimeout means that the context ended after sending had begun.
	FailureTimeout Failure = "timeout"
)

// Reason names what is wrong with a response that was given up.
type Reason string

const (
	// ReasonHeadTooLong means that the head is too long, interim responses included.
	ReasonHeadTooLong Reason = "headTooLong"
	// ReasonBodyTooLong means that the body is too long.
	ReasonBodyTooLong Reason = "bodyTooLong"
	// ReasonBuffersFull means that the body was the longest when those of all responses
	// were too long together.
	ReasonBuffersFull Reason = "buffersFull"
	// ReasonOtherRequest means that the response belongs to another request.
	ReasonOtherRequest Reason = "otherRequest"
	// ReasonBadStatus means that the status is below 100 or above 599.
	ReasonBadStatus Reason = "badStatus"
	// ReasonMalformed means that the response is not one of HTTP/1.
	ReasonMalformed Reason = "malformed"
	// ReasonUnfinished means that the context ended within the response.
	ReasonUnfinished Reason = "unfinished"
	// ReasonUnread means that the context ended while the response waited for the host's
	// link. The upstream is not at fault.
	ReasonUnread Reason = "unread"
)

// SendError is the error of a request that got no response.
type SendError struct {
	Failure Failure
	// Reason is empty if the response did not begin, or ended with the connection.
	Reason Reason
	// Received is the number of bytes received after the request was sent.
	Received int
	Cause    error
}

// Error returns the failure and its cause.
func (senderror *SendError) Error() string {
	return string(senderror.Failure) + ": " + senderror.Cause.Error()
}

// BadStatus returns the failure of a response whose status is not that of a final response.
func BadStatus(received int) *SendError {
	return &SendError{Failure: FailureGarbled, Reason: ReasonBadStatus, Received: received, Cause: errBadStatus}
}

// Unwrap returns the cause.
func (senderror *SendError) Unwrap() error { return senderror.Cause }

// MayHaveRun reports whether the upstream may have started to process the request.
func (senderror *SendError) MayHaveRun() bool {
	return senderror.Failure != FailureNotSent && senderror.Failure != FailureRefused
}

// Pool holds the idle connections to all upstreams.
type Pool struct {
	// Matches reports whether a response with the header belongs to the request. Reused is
	// set if it may also be a late one to an earlier request on its connection.
	Matches func(request *Request, header http.Header, reused bool) bool
	// OnUnexpectedBytes, if set, is called when a connection is closed because the
	// upstream sent bytes on it after a complete response.
	OnUnexpectedBytes func(address netip.AddrPort)
	// LingerTime is how long a connection is watched for OnLateLoss after the context
	// ended; 0 means defaultLingerTime.
	LingerTime time.Duration
	// MaxBuffered bounds the bodies of all responses that are being read, with long heads, in
	// bytes; 0 means maxBufferedBytes. A single response may be longer.
	MaxBuffered int
	// Dial, if set, opens the connections in place of a net.Dialer.
	Dial  func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Clock clockwork.Clock

	bodies bulk.Bodies
	// lingering are the connections that are watched for OnLateLoss.
	lingering sync.WaitGroup
	mutex     sync.Mutex
	idle      map[netip.AddrPort][]*conn
	// sweeper runs the next sweep; it is nil while no connection is idle.
	sweeper clockwork.Timer
	closed  bool
}

// errHeadTooLong is returned by reads beyond maxHeadBytes.
var errHeadTooLong = Error.New("the head of the response is longer than %d bytes", maxHeadBytes)

// conn is a connection to an upstream.
type conn struct {
	net.Conn

	reader *bufio.Reader
	// readsHead is set while a head is read, and headLeft is the number of bytes that
	// may still be read for it.
	readsHead bool
	headLeft  int
	// headLines is the number of lines of the head so far, headCharged what held counts for it.
	headLines, headCharged int
	// held is what the response takes while it is read, nil before the first.
	held *bulk.Body
	// received is the number of bytes read since the last request was sent.
	received int
	// reused is set once the connection has carried a request.
	reused bool
	// carried holds the hashes of the IDs of all requests that were sent.
	carried []uint64
	// reusableUntil is when the connection is too old to be reused, as the upstream
	// may be about to close it.
	reusableUntil time.Time
	// stalled is set once reads are interrupted because nothing more is acknowledged.
	stalled atomic.Bool
	// heardAt is when the connection became idle, right after bytes were received on it.
	heardAt time.Time
}

// Send sends the request once and returns the whole response. When the context
// ends, by its deadline or by cancellation, Send fails and closes the connection,
// which signals the upstream to stop, or closes it shortly after if OnLateLoss is set.
func (pool *Pool) Send(ctx context.Context, address netip.AddrPort, request *Request) (*Response, *SendError) {
	connection, unsent, err := pool.begin(ctx, address, request)
	if err != nil {
		return nil, unsentError(err)
	}
	if err := request.allowed(); err != nil {
		connection.reset() // a part of the head may be sent
		return nil, &SendError{Failure: FailureNotSent, Cause: err}
	}
	stop := connection.interruptAfter(ctx)
	defer stop()
	if err := connection.writeAll(unsent, request.separateBody()); err != nil {
		_ = connection.Close()
		return nil, &SendError{Failure: failureOf(ctx), Cause: Error.New("send request: %w", err)}
	}
	request.Flow.Account(pacer.Out, len(unsent)+request.separateBody().Len())
	connection.received = 0
	endWatch := connection.watchStall()
	response, reusable, failure := connection.receive(ctx, pool, request)
	endWatch()
	if failure == nil && connection.reader.Buffered() > 0 {
		pool.reportUnexpected(address)
	}
	if failure != nil && failure.Failure == FailureTimeout && failure.Received == 0 && request.OnLateLoss != nil {
		pool.lingering.Go(func() { connection.awaitLoss(cmp.Or(pool.LingerTime, defaultLingerTime), request.OnLateLoss) })
		return nil, failure
	}
	if failure != nil && failure.Failure == FailureUnacknowledged {
		connection.reset()
		return nil, failure
	}
	if failure != nil || !reusable || !stop() || connection.stalled.Load() || len(connection.carried) >= maxRequests {
		_ = connection.Close()
		return response, failure
	}
	pool.put(address, connection, response.Header)
	return response, nil
}

// awaitLoss closes the connection of a request that was given up, and calls onLoss if
// the upstream ends it first.
func (conn *conn) awaitLoss(within time.Duration, onLoss func()) {
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return
	}
	_, err := conn.Conn.Read(make([]byte, 1))
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		onLoss()
	}
}

func failureOf(ctx context.Context) Failure {
	if ctx.Err() != nil {
		return FailureTimeout
	}
	return FailureLost
}

func unsentError(err error) *SendError {
	failure := FailureNotSent
	if errors.Is(err, syscall.ECONNREFUSED) {
		failure = FailureRefused
	}
	return &SendError{Failure: failure, Cause: Error.New("connect to upstream: %w", err)}
}

// Probe opens a connection to an upstream and keeps it for a later request.
func (pool *Pool) Probe(ctx context.Context, address netip.AddrPort) error {
	connection, err := pool.dial(ctx, address)
	if err != nil {
		return err
	}
	pool.put(address, connection, nil)
	return nil
}

// takeUsable removes and returns an idle connection that may be used and has not carried a
// request with the ID, or nil if there is none. It closes those that may not be used.
func (pool *Pool) takeUsable(address netip.AddrPort, id string) *conn {
	for {
		connection := pool.takeIdle(address, xxhash.Sum64String(id))
		if connection == nil {
			return nil
		}
		state := connection.state()
		if pool.Clock.Now().Before(connection.reusableUntil) && state == stateUsable {
			return connection
		}
		_ = connection.Close()
		if state == stateUnexpected {
			pool.reportUnexpected(address)
		}
	}
}

// dial opens a connection.
func (pool *Pool) dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dial := pool.Dial
	if dial == nil {
		var dialer net.Dialer
		dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address.String())
		}
	}
	opened, err := dial(ctx, address)
	if err != nil {
		return nil, Error.New("dial: %w", err)
	}
	return newConn(opened), nil
}

func newConn(opened net.Conn) *conn {
	connection := &conn{Conn: opened}
	connection.reader = bufio.NewReaderSize(connection, readBufferBytes)
	return connection
}

// interruptAfter interrupts reads and writes once the context ends, unless the returned
// function is called before and returns true.
func (conn *conn) interruptAfter(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
}

// Read reads from the socket. While a head is read, it fails after maxHeadBytes, as
// the readers of net/http buffer a head of any length.
func (conn *conn) Read(data []byte) (int, error) {
	if conn.readsHead {
		if conn.headLeft <= 0 {
			return 0, errHeadTooLong
		}
		data = data[:min(len(data), conn.headLeft)]
	}
	count, err := conn.Conn.Read(data)
	conn.headLeft -= count
	conn.received += count
	if conn.readsHead {
		if err := conn.chargeHead(data[:count]); err != nil {
			return 0, err
		}
	}
	return count, err //nolint:wrapcheck // io.EOF must not be wrapped
}

// chargeHead counts more bytes of a head with the bodies that are being read, if the head is
// longer than usual.
func (conn *conn) chargeHead(data []byte) error {
	conn.headLines += bytes.Count(data, []byte("\n"))
	cost := int(budget.HeadCost(maxHeadBytes-conn.headLeft, conn.headLines))
	if cost <= usualHeadCost || conn.held == nil {
		return nil
	}
	more := cost - conn.headCharged
	conn.headCharged = cost
	return conn.held.Add(more) //nolint:wrapcheck // its class is told apart by reasonOf
}

func (pool *Pool) reportUnexpected(address netip.AddrPort) {
	if pool.OnUnexpectedBytes != nil {
		pool.OnUnexpectedBytes(address)
	}
}

// Wait blocks until no connection is watched for OnLateLoss.
func (pool *Pool) Wait() { pool.lingering.Wait() }

// Close closes all idle connections. Connections in use are closed after their
// response.
func (pool *Pool) Close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closed = true
	if pool.sweeper != nil {
		pool.sweeper.Stop()
	}
	for _, idle := range pool.idle {
		for _, connection := range idle {
			_ = connection.Close()
		}
	}
	pool.idle = nil
}

// connState is the state of an idle connection.
type connState uint8

const (
	stateUsable connState = iota
	// stateUnexpected means that the upstream sent bytes without a request.
	stateUnexpected
	stateClosed
)

// state peeks at an idle connection without blocking.
func (conn *conn) state() connState {
	if conn.reader.Buffered() > 0 {
		return stateUnexpected
	}
	switch sock.Peek(conn.Conn) {
	case sock.Quiet:
		return stateUsable
	case sock.Readable:
		return stateUnexpected
	default:
		return stateClosed
	}
}

// receive reads the response that belongs to the request, and reports whether the
// connection can be reused. Late responses to earlier requests are skipped.
func (conn *conn) receive(ctx context.Context, pool *Pool, request *Request) (*Response, bool, *SendError) {
	pool.bodies.SetLimit(pool.MaxBuffered)
	if conn.held == nil {
		conn.held = bulk.NewBody(&pool.bodies, conn)
	}
	defer conn.held.Release()
	response, reusable, err := conn.read(ctx, pool, request)
	if err == nil {
		return response, reusable, nil
	}
	failure := &SendError{Failure: FailureGarbled, Received: conn.received, Cause: err}
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		failure.Failure = FailureTimeout
		if conn.received > 0 {
			failure.Reason = ReasonUnfinished
		}
		if errors.Is(err, pacer.ErrWaiting) {
			failure.Reason = ReasonUnread
		}
	case conn.stalled.Load():
		failure.Failure = FailureUnacknowledged
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET), errors.As(err, &netErr):
		failure.Failure = FailureLost
	default:
		failure.Reason = reasonOf(err)
	}
	return nil, false, failure
}

// reasonOf returns what is wrong with a response that could not be read.
func reasonOf(err error) Reason {
	switch {
	case errors.Is(err, errHeadTooLong):
		return ReasonHeadTooLong
	case errors.Is(err, errBodyTooLong):
		return ReasonBodyTooLong
	case errors.Is(err, bulk.ErrFull):
		return ReasonBuffersFull
	case errors.Is(err, errOtherRequest):
		return ReasonOtherRequest
	case errors.Is(err, errBadStatus):
		return ReasonBadStatus
	default:
		return ReasonMalformed
	}
}

// read implements receive. It never closes a body, since that would read what is left
// of it.
func (conn *conn) read(ctx context.Context, pool *Pool, request *Request) (*Response, bool, error) {
	for stale := 0; ; stale++ {
		received, err := conn.readHead(request.Method) //nolint:bodyclose // see above
		if err != nil {
			if conn.held.Release() {
				err = bulk.ErrFull // it may have been given up for another one
			}
			return nil, false, err
		}
		reusable := !received.Close
		if pool.Matches(request, received.Header, conn.reused || stale > 0) {
			body, err := conn.readBody(ctx, request, received)
			if err != nil {
				return nil, false, err
			}
			response := &Response{Status: received.StatusCode, Header: received.Header, Body: body}
			return response, reusable && stale == 0 && conn.reader.Buffered() == 0, nil
		}
		if !reusable || stale == maxStaleResponses {
			return nil, false, errOtherRequest
		}
		if err := discardBody(received); err != nil {
			return nil, false, err
		}
	}
}

// readHead reads the head of a response, and skips interim (1xx) responses before it.
func (conn *conn) readHead(method string) (*http.Response, error) {
	conn.readsHead, conn.headLeft, conn.headLines, conn.headCharged = true, maxHeadBytes, 0, 0
	defer func() { conn.readsHead = false }()
	for {
		received, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		switch {
		case err != nil && conn.headLeft <= 0 && !errors.Is(err, bulk.ErrFull):
			return nil, errHeadTooLong // the error may be that of a line cut at the limit
		case err != nil:
			return nil, Error.New("read response: %w", err)
		}
		switch {
		case received.StatusCode == http.StatusSwitchingProtocols:
			return nil, Error.New("the upstream switched protocols without being asked to")
		case codes.IsFinal(received.StatusCode):
			return received, nil
		case !codes.IsInterim(received.StatusCode):
			return nil, errBadStatus
		}
	}
}
