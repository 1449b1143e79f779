package pool

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// deadConn is a connection whose path breaks: what is written is lost, or answered with a
// reset.
type deadConn struct {
	*net.TCPConn

	resets         bool
	broken         atomic.Bool
	unacknowledged atomic.Int64
}

// Write implements net.Conn.
func (deadconn *deadConn) Write(data []byte) (int, error) {
	if !deadconn.broken.Load() {
		return deadconn.TCPConn.Write(data)
	}
	deadconn.unacknowledged.Add(int64(len(data)))
	if deadconn.resets {
		_ = deadconn.Close()
	}
	return len(data), nil
}

// Unacknowledged returns the number of bytes that were lost.
func (deadconn *deadConn) Unacknowledged() (int, error) {
	return int(deadconn.unacknowledged.Load()), nil
}

// TestQuietConnectionThatLeadsNowhere guards against requests that are written whole to a
// kept connection whose path has broken in the meantime: whether they ran is not known, so
// that one that must not run twice fails.
func TestQuietConnectionThatLeadsNowhere(t *testing.T) {
	cases := []struct {
		name     string
		resets   bool
		conns    int
		failure  Failure
		requests int
	}{
		{"a connection that is reset is replaced", true, 2, "", 2},
		{"a path that loses all packets is given up", false, 1, FailureNotSent, 1},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			answers := []string{responseText("1", "a"), responseText("2", "b")}
			standin := startStandIn(t, script{responses: answers[:1], silent: true}, script{responses: answers[1:], silent: true})
			clock := clockwork.NewFakeClock()
			var first *deadConn
			pool := newPool()
			pool.Clock = clock
			pool.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
				var dialer net.Dialer
				opened, err := dialer.DialContext(ctx, "tcp", address.String())
				if err != nil || first != nil {
					return opened, err
				}
				first = &deadConn{TCPConn: opened.(*net.TCPConn), resets: testcase.resets}
				return first, nil
			}
			ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
			defer cancel()
			_, failure := pool.Send(ctx, standin.address(), newRequest("1"))
			is.True(failure == nil)
			clock.Advance(quietTime + time.Millisecond)
			first.broken.Store(true)
			_, failure = pool.Send(ctx, standin.address(), newRequest("2"))
			if testcase.failure == "" {
				is.True(failure == nil)
			} else {
				is.Equal(failure.Failure, testcase.failure)
				is.True(!failure.MayHaveRun())
			}
			requests, conns := standin.count()
			is.Equal(requests, testcase.requests)
			is.Equal(conns, testcase.conns)
		})
	}
}

// TestNewConnectionIsReset guards against requests that may have run on connections that
// are accepted and then reset, as by an upstream that has too many of them.
func TestNewConnectionIsReset(t *testing.T) {
	is := is.New(t)
	standin := startStandIn(t, script{}, script{})
	pool := newPool()
	pool.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		var dialer net.Dialer
		opened, err := dialer.DialContext(ctx, "tcp", address.String())
		if err != nil {
			return nil, err
		}
		dead := &deadConn{TCPConn: opened.(*net.TCPConn), resets: true}
		dead.broken.Store(true)
		return dead, nil
	}
	ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
	defer cancel()
	_, failure := pool.Send(ctx, standin.address(), newRequest("1"))
	is.Equal(failure.Failure, FailureNotSent)
	requests, conns := standin.count()
	is.Equal(requests, 0)
	is.True(conns <= 1)
}

// TestUpstreamThatStartsAtTheHead guards against taking a request for one that was not sent,
// so that it is sent again, when an upstream starts on it before it has read the body and
// then ends the connection.
func TestUpstreamThatStartsAtTheHead(t *testing.T) {
	is := is.New(t)
	for range 200 { // the upstream may be faster or slower than the request's end
		standin := startStandIn(t, script{responses: []string{""}, reset: true})
		request := newRequest("1")
		request.Method, request.Body = http.MethodPost, Body{[]byte("body")}
		ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
		_, failure := newPool().Send(ctx, standin.address(), request)
		cancel()
		is.True(failure.MayHaveRun())
		requests, _ := standin.count()
		is.Equal(requests, 1)
	}
}

// TestStalledRequest guards against requests that wait for their deadline on a connection
// whose path breaks just as they are sent.
func TestStalledRequest(t *testing.T) {
	is := is.New(t)
	standin := startStandIn(t, script{responses: []string{responseText("1", "a")}, silent: true})
	pool := newPool()
	pool.Clock = clockwork.NewFakeClock() // the connection is not quiet
	var dead *deadConn
	pool.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		var dialer net.Dialer
		opened, err := dialer.DialContext(ctx, "tcp", address.String())
		if err != nil {
			return nil, err
		}
		dead = &deadConn{TCPConn: opened.(*net.TCPConn)}
		return dead, nil
	}
	ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
	defer cancel()
	_, failure := pool.Send(ctx, standin.address(), newRequest("1"))
	is.True(failure == nil)
	dead.broken.Store(true)
	_, failure = pool.Send(ctx, standin.address(), newRequest("2"))
	is.Equal(failure.Failure, FailureUnacknowledged)
	is.True(failure.MayHaveRun())
	is.True(ctx.Err() == nil)
}
