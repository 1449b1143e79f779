// Package intake wraps the listeners of HTTP servers. It reads the heads of requests within the
// operator's limits and a budget of memory, and passes on whole ones only.
package intake

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"

	"damaskcrank.example/damaskcrank/internal/base/budget"
	"damaskcrank.example/damaskcrank/internal/base/stats"
)

// Error is the class of all errors of this package.
var Error = errs.Class("intake")

const (
	// logPrefix starts each line that this package logs.
	logPrefix = "memory: "
	// event is the name of this package's counters.
	event = "intake"
	// The default limits apply until the configuration is known, and to listeners that have no
	// limits of their own.
	defaultHeadBytes   = 16 << 10
	defaultHeadTimeout = 3 * time.Second
	defaultIdleTimeout = 30 * time.Second
	// maxHeadBytes bounds the limit that operators may set, so that a head in lines of four
	// bytes fits into the budget of a small host.
	maxHeadBytes = 256 << 10
	// maxServerHeadBytes is the bound of net/http, which is not reached.
	maxServerHeadBytes = 2 * maxHeadBytes
	// serverHeadTimeout is the bound of net/http on the time of a head. The operator's limit is
	// meant to be below.
	serverHeadTimeout = 10 * time.Minute
	// socketBytes is the size of the kernel's buffers of a connection in each direction, which
	// doubles it. Without it they grow to several MiB for bytes that are not read.
	socketBytes = 32 << 10
	// logInterval is the least time between two log lines for the same reason.
	logInterval = time.Second
)

// Reason is why a connection was closed or a request refused.
type Reason string

const (
	// ReasonHeadTooLong means that a head was longer than the operator's limit.
	ReasonHeadTooLong Reason = "headTooLong"
	// ReasonHeadTooSlow means that a head took longer than the operator's limit.
	ReasonHeadTooSlow Reason = "headTooSlow"
	// ReasonEmptyLines means that empty lines did not end before a request.
	ReasonEmptyLines Reason = "emptyLines"
	// ReasonTrailer means that the trailer of a body has too many lines.
	ReasonTrailer Reason = "trailerTooLong"
	// ReasonHeadsFull means that no memory was left for a head.
	ReasonHeadsFull Reason = "headsFull"
	// ReasonGaveWay means that a connection was closed as it took most of the memory while its
	// head was read, or was idle for the longest time, and others needed it.
	ReasonGaveWay Reason = "gaveWay"
	// ReasonConnectionsFull means that a connection was not accepted for want of memory.
	ReasonConnectionsFull Reason = "connectionsFull"
	// ReasonUnread means that the caller did not read its answer.
	ReasonUnread Reason = "answerUnread"
)

// Limits bound the heads of requests. A value of 0 means the default.
type Limits struct {
	HeadBytes   int
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

// withDefaults returns the limits with the defaults for what is not set.
func (limits Limits) withDefaults() Limits {
	if limits.HeadBytes <= 0 {
		limits.HeadBytes = defaultHeadBytes
	}
	if limits.HeadTimeout <= 0 {
		limits.HeadTimeout = defaultHeadTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	limits.HeadBytes = min(limits.HeadBytes, maxHeadBytes)
	limits.HeadTimeout = min(limits.HeadTimeout, serverHeadTimeout)
	return limits
}

// Options configure a Listener.
type Options struct {
	// Name names the listener in log lines.
	Name   string
	Budget *budget.Budget
	// Limits, if set, returns the limits that are in force.
	Limits func() Limits
	Clock  clockwork.Clock
	Log    log.Interface
	Stats  *stats.Set
}

// Listener accepts connections for an HTTP server.
type Listener struct {
	net.Listener

	options Options
	reports reports
	drain   *drain
}

// Wrap returns a listener whose connections are accounted for.
func Wrap(listener net.Listener, options Options) *Listener {
	return &Listener{
		Listener: listener, options: options, reports: reports{next: map[Reason]time.Time{}, left: map[Reason]int{}}, drain: newDrain(),
	}
}

// Listen listens on an address for TCP. The kernel's buffers of the connections are bounded.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: boundBuffers}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, Error.New("listen on %s: %w", address, err)
	}
	return listener, nil
}

// boundBuffers bounds the buffers of a listening socket, from which connections take theirs.
func boundBuffers(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
			if err := unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, option, socketBytes); err != nil {
				failed = err
			}
		}
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		return Error.New("bound the buffers of a socket: %w", err)
	}
	return nil
}

// Configure has a server leave the limits of heads to the listener, and tell it when an answer
// is written. The server must have its handler.
func (listener *Listener) Configure(server *http.Server) {
	server.Handler = listener.closeAnswered(server.Handler)
	server.MaxHeaderBytes = maxServerHeadBytes
	server.ReadHeaderTimeout = serverHeadTimeout
	server.IdleTimeout = serverHeadTimeout
	server.ConnState = func(accepted net.Conn, state http.ConnState) {
		if conn, ok := accepted.(*conn); ok && state == http.StateIdle {
			conn.answered()
		}
	}
}

// Accept returns the next connection that fits into the budget, or http.ErrServerClosed once
// the listener drains.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil && listener.drain.begun.Load() {
			listener.drain.endAccept()
			return nil, http.ErrServerClosed
		}
		if err != nil {
			return nil, err //nolint:wrapcheck // net/http expects unwrapped errors
		}
		conn := &conn{Conn: accepted, listener: listener, acceptedAt: time.Now()}
		account, ok := listener.options.Budget.Open(conn.giveWay)
		if !ok {
			listener.report(ReasonConnectionsFull)
			_ = accepted.Close()
			continue
		}
		conn.account = account
		listener.drain.add(conn)
		return conn, nil
	}
}

func (listener *Listener) limits() Limits {
	if listener.options.Limits == nil {
		return Limits{}.withDefaults()
	}
	return listener.options.Limits().withDefaults()
}
