// Package pool keeps HTTP/1.1 connections to upstreams. Unlike the transport of
// net/http it never sends a request a second time by itself, checks that an
// answer belongs to its request, and tells whether a request that failed may
// have run.
package pool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("pool")

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// defaultIdle is how long an idle connection is kept where the upstream does
	// not say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleTenths is the part of the upstream's idle time, in tenths, after which a
	// connection is not used again.
	idleTenths = 7
	// maxStray bounds the answers of earlier requests that are skipped.
	maxStray = 4
	// maxIdle bounds the idle connections kept to one upstream.
	maxIdle      = 8
	bufferSize   = 8 << 10
	sweepEvery   = time.Second
	maxAnswerLen = 64 << 20
)

// Request is what is sent to an upstream.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Failure says what is known of a request that got no answer.
type Failure string

const (
	// FailureNotSent means that no byte of the request reached the upstream.
	FailureNotSent Failure = "notSent"
	// FailureRefused means the same, and that the upstream's port is closed.
	FailureRefused Failure = "refused"
	// FailureLost means that the connection ended and the request may have run.
	FailureLost Failure = "lost"
	// FailureGarbled means that the answer could not be used.
	FailureGarbled Failure = "garbled"
	// FailureTimeout means that the time ran out after the request was sent.
	FailureTimeout Failure = "timeout"
)

// SendError is a request that got no answer.
type SendError struct {
	Failure Failure
	Cause   error
}

// Error returns the failure and its cause.
func (senderror *SendError) Error() string {
	return string(senderror.Failure) + ": " + senderror.Cause.Error()
}

// Unwrap returns the cause.
func (senderror *SendError) Unwrap() error { return senderror.Cause }

// MayHaveRun tells whether the upstream may have begun the request.
func (senderror *SendError) MayHaveRun() bool {
	return senderror.Failure != FailureNotSent && senderror.Failure != FailureRefused
}

// Pool holds the idle connections to all upstreams.
type Pool struct {
	// Belongs tells whether an answer's header is that of the request.
	Belongs func(request *Request, header http.Header) bool
	Clock   clockwork.Clock

	mutex   sync.Mutex
	idle    map[netip.AddrPort][]*conn
	sweptAt time.Time
	closed  bool
}

// conn is one connection.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// until is when the upstream may close the idle connection.
	until time.Time
}

// Send sends the request once and returns the whole answer. The context's
// deadline bounds it; ending the context closes the connection, which tells the
// upstream to stop.
func (pool *Pool) Send(ctx context.Context, address netip.AddrPort, request *Request) (*Response, *SendError) {
	connection, err := pool.connect(ctx, address)
	if err != nil {
		return nil, dialError(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := connection.Write(request.encode()); err != nil {
		_ = connection.Close()
		return nil, &SendError{Failure: failureOf(ctx), Cause: Error.New("send request: %w", err)}
	}
	response, reusable, failure := connection.receive(ctx, pool, request)
	if failure != nil || !reusable || !stop() {
		_ = connection.Close()
		return response, failure
	}
	pool.keep(address, connection, response.Header)
	return response, nil
}

func failureOf(ctx context.Context) Failure {
	if ctx.Err() != nil {
		return FailureTimeout
	}
	return FailureLost
}

func dialError(err error) *SendError {
	failure := FailureNotSent
	if errors.Is(err, syscall.ECONNREFUSED) {
		failure = FailureRefused
	}
	return &SendError{Failure: failure, Cause: Error.New("connect to upstream: %w", err)}
}

// connect returns an idle connection that still stands, or opens one.
func (pool *Pool) connect(ctx context.Context, address netip.AddrPort) (*conn, error) {
	for {
		connection := pool.take(address)
		if connection == nil {
			break
		}
		if pool.Clock.Now().Before(connection.until) && connection.quiet() {
			return connection, nil
		}
		_ = connection.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	opened, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, Error.New("dial: %w", err)
	}
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, bufferSize)}, nil
}

// take returns the connection that was used last.
func (pool *Pool) take(address netip.AddrPort) *conn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	idle := pool.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	pool.idle[address] = idle[:len(idle)-1]
	return last
}

func (pool *Pool) keep(address netip.AddrPort, connection *conn, header http.Header) {
	now := pool.Clock.Now()
	connection.until = now.Add(idleTime(header))
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed || len(pool.idle[address]) >= maxIdle {
		_ = connection.Close()
		return
	}
	if pool.idle == nil {
		pool.idle = map[netip.AddrPort][]*conn{}
	}
	pool.idle[address] = append(pool.idle[address], connection)
	pool.sweep(now)
}

// sweep closes connections that have been idle for too long.
func (pool *Pool) sweep(now time.Time) {
	if now.Sub(pool.sweptAt) < sweepEvery {
		return
	}
	pool.sweptAt = now
	for address, idle := range pool.idle {
		kept := idle[:0]
		for _, connection := range idle {
			if now.Before(connection.until) {
				kept = append(kept, connection)
				continue
			}
			_ = connection.Close()
		}
		pool.idle[address] = kept
		if len(kept) == 0 {
			delete(pool.idle, address)
		}
	}
}

// Drop closes the idle connections to an address, whose upstream is gone.
func (pool *Pool) Drop(address netip.AddrPort) {
	pool.mutex.Lock()
	idle := pool.idle[address]
	delete(pool.idle, address)
	pool.mutex.Unlock()
	for _, connection := range idle {
		_ = connection.Close()
	}
}

// Close closes all idle connections; none is kept from then on.
func (pool *Pool) Close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closed = true
	for _, idle := range pool.idle {
		for _, connection := range idle {
			_ = connection.Close()
		}
	}
	pool.idle = nil
}

// quiet tells whether the connection stands and nothing has come in on it.
func (conn *conn) quiet() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, received := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(received, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// receive reads the answer that belongs to the request. Answers of earlier
// requests that come late are skipped.
func (conn *conn) receive(ctx context.Context, pool *Pool, request *Request) (*Response, bool, *SendError) {
	strays := 0
	for {
		response, whole, err := conn.read(request.Method)
		if err != nil {
			failure := FailureGarbled
			var network net.Error
			switch {
			case ctx.Err() != nil:
				failure = FailureTimeout
			case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET), errors.As(err, &network):
				failure = FailureLost
			}
			return nil, false, &SendError{Failure: failure, Cause: err}
		}
		if pool.Belongs(request, response.Header) {
			return response, whole && strays == 0 && conn.reader.Buffered() == 0, nil
		}
		strays++
		if !whole || strays > maxStray {
			return nil, false, &SendError{Failure: FailureGarbled, Cause: Error.New("the answer belongs to another request")}
		}
	}
}

// read reads one answer and tells whether the connection can go on.
func (conn *conn) read(method string) (*Response, bool, error) {
	for {
		answer, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, false, Error.New("read answer: %w", err)
		}
		if answer.StatusCode < http.StatusOK && answer.StatusCode != http.StatusSwitchingProtocols {
			continue // an interim answer
		}
		body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerLen+1))
		_ = answer.Body.Close()
		switch {
		case err != nil:
			return nil, false, Error.New("read body: %w", err)
		case len(body) > maxAnswerLen:
			return nil, false, Error.New("the answer is longer than %d bytes", maxAnswerLen)
		}
		response := &Response{Status: answer.StatusCode, Header: answer.Header, Body: body}
		return response, !answer.Close && answer.StatusCode != http.StatusSwitchingProtocols, nil
	}
}

// idleTime returns how long a connection may be used again after an answer.
func idleTime(header http.Header) time.Duration {
	said, ok := keepAlive(header.Get("Keep-Alive"))
	if !ok {
		return defaultIdle
	}
	return said * idleTenths / 10
}

// encode returns the request as it goes over the wire.
func (request *Request) encode() []byte {
	var buffer bytes.Buffer
	buffer.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	for name, values := range request.Header {
		for _, value := range values {
			buffer.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		buffer.WriteString("Content-Length: " + itoa(len(request.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(request.Body)
	return buffer.Bytes()
}
