package group

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

const (
	dialTimeout      = 300 * time.Millisecond
	handshakeTimeout = time.Second
	deliverTimeout   = 2 * time.Second
	redialDelay      = 20 * time.Millisecond
	// suspectTime is how long a control host is not considered the leader after
	// a call to it timed out. An election takes less.
	suspectTime = 700 * time.Millisecond
	// stallTimeout is how long a response may stall once its first bytes have
	// arrived. It equals fetchSlack, the margin of a call during which no byte
	// arrives.
	stallTimeout = 500 * time.Millisecond
	// silenceLimit is how long a connection may answer nothing while calls wait for it
	// before it counts as dead. A host that is late still answers on it, and hundreds of
	// new connections at once would keep it late.
	silenceLimit = time.Second
	// maxTransferTime bounds a response that keeps arriving. It allows for the
	// full catalog of the largest specified fleet over a link of 2 Mbit/s.
	maxTransferTime = 8 * time.Second
)

// tracker is a connection that records when bytes last arrived.
type tracker struct {
	net.Conn
	openedAt time.Time
	// readAfter is when bytes last arrived, in nanoseconds after openedAt.
	readAfter atomic.Int64
}

// Read reads from the connection and records the time.
func (tracker *tracker) Read(buffer []byte) (int, error) {
	count, err := tracker.Conn.Read(buffer)
	if count > 0 {
		tracker.readAfter.Store(int64(time.Since(tracker.openedAt)))
	}
	return count, err //nolint:wrapcheck // net/rpc compares connection errors by identity
}

// lastRead returns when bytes last arrived.
func (tracker *tracker) lastRead() time.Time {
	return tracker.openedAt.Add(time.Duration(tracker.readAfter.Load()))
}

// deadline limits the duration of a call. The zero value allows no time.
type deadline struct {
	// Timeout is the time within which the whole response must arrive or, if
	// Transfer is set, its first bytes.
	Timeout  time.Duration
	Transfer bool
	// Short is set if the caller waits for less than a host that works may take, so that one
	// timeout says nothing about the host.
	Short bool
}

// remaining returns how much longer to wait at the time now for a call that was sent
// at the time sent and whose connection last received bytes at the time lastRead.
func (deadline deadline) remaining(sent, lastRead, now time.Time) time.Duration {
	until := sent.Add(deadline.Timeout)
	if deadline.Transfer && lastRead.After(sent) {
		until = later(until, lastRead.Add(stallTimeout))
		until = earlier(until, sent.Add(deadline.Timeout+maxTransferTime))
	}
	return until.Sub(now)
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}

// silence tracks how long a connection has answered nothing although calls waited. The
// zero value is that of a new connection.
type silence struct{ since time.Time }

// timedOut records that a call timed out, and reports whether the connection counts as
// dead. Bytes last arrived on it at lastRead.
func (silence *silence) timedOut(sent, lastRead, now time.Time) bool {
	if lastRead.After(sent) {
		silence.since = time.Time{}
		return false
	}
	if silence.since.IsZero() || lastRead.After(silence.since) || sent.Before(silence.since) {
		silence.since = sent
	}
	return now.Sub(silence.since) >= silenceLimit
}

// connection is a net/rpc connection to a control host. It is dialled on demand, and
// closed when a call fails or the host is silent.
type connection struct {
	address netip.AddrPort
	secret  trust.Secret
	inbound *inboundMessages
	mutex   sync.Mutex
	client  *rpc.Client
	tracker *tracker
	retryAt time.Time
	// timedOutAt is when a call last timed out.
	timedOutAt time.Time
	// slowAt is when a call that any control host serves last failed or took too long.
	slowAt  time.Time
	silence silence
}

// newConnection returns a connection whose replies are bounded by inbound.
func newConnection(address netip.AddrPort, secret trust.Secret, inbound *inboundMessages) *connection {
	return &connection{address: address, secret: secret, inbound: inbound}
}

// connect returns the open connection or dials a new one.
func (connection *connection) connect() (*rpc.Client, *tracker, error) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.client != nil {
		return connection.client, connection.tracker, nil
	}
	if time.Now().Before(connection.retryAt) {
		return nil, nil, Error.New("control host %s failed recently, waiting before the next dial", connection.address)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", connection.address.String())
	if err != nil {
		connection.retryAt = time.Now().Add(redialDelay)
		return nil, nil, Error.New("dial control host: %w", err)
	}
	if err := connection.secret.ClientHandshake(conn, handshakeTimeout); err != nil {
		_ = conn.Close()
		connection.retryAt = time.Now().Add(redialDelay)
		return nil, nil, Error.New("authenticate with control host %s: %w", connection.address, err)
	}
	connection.tracker = &tracker{Conn: connection.inbound.bound(conn), openedAt: time.Now()}
	connection.client = rpc.NewClient(connection.tracker)
	return connection.client, connection.tracker, nil
}

// openClient returns the client of the open connection, or nil.
func (connection *connection) openClient() *rpc.Client {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.client
}

// backingOff reports whether the host could not be connected to a moment ago.
func (connection *connection) backingOff() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return time.Now().Before(connection.retryAt)
}

// suspect reports whether a call timed out recently. Other hosts may still name
// this one as the leader until they have elected another.
func (connection *connection) suspect(now time.Time) bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return !connection.timedOutAt.IsZero() && now.Sub(connection.timedOutAt) < suspectTime
}

// isSlow reports whether other control hosts are asked first for what any of them serves.
func (connection *connection) isSlow(now time.Time) bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return !connection.slowAt.IsZero() && now.Sub(connection.slowAt) < suspectTime
}

func (connection *connection) recordSlow(now time.Time) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.slowAt = now
}

// recordTimeout records that a call timed out, and drops the client if the host has been
// silent for too long. A late host keeps the connection: it answers other calls on it.
func (connection *connection) recordTimeout(client *rpc.Client, deadline deadline, sent, lastRead time.Time) {
	now := time.Now()
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if !deadline.Short {
		connection.timedOutAt = now
	}
	if connection.client == client && connection.silence.timedOut(sent, lastRead, now) {
		connection.dropLocked(client)
	}
}

// drop closes the client, and forgets it if it is the current one.
func (connection *connection) drop(client *rpc.Client) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.dropLocked(client)
}

func (connection *connection) dropLocked(client *rpc.Client) {
	if connection.client == client {
		connection.client, connection.silence = nil, silence{}
	}
	_ = client.Close()
}

// call makes one call whose whole response must arrive within the timeout.
func (connection *connection) call(method string, args, reply any, timeout time.Duration) error {
	return connection.callWithRetry(method, args, reply, deadline{Timeout: timeout})
}

// callWithin makes one call that takes no longer than the context or, if that is shorter,
// the timeout.
func (connection *connection) callWithin(ctx context.Context, method string, args, reply any, timeout time.Duration) error {
	limit := deadline{Timeout: timeout}
	if until, ok := ctx.Deadline(); ok && time.Until(until) < timeout {
		limit = deadline{Timeout: time.Until(until), Short: true}
	}
	return connection.callWithRetry(method, args, reply, limit)
}

// transfer makes one call whose response may be large. Once the first bytes have
// arrived, it waits as long as more arrive, because a response abandoned halfway
// over a slow link would have to be sent again from the start.
func (connection *connection) transfer(method string, args, reply any, timeout time.Duration) error {
	return connection.callWithRetry(method, args, reply, deadline{Timeout: timeout, Transfer: true})
}

// callWithRetry makes one call. If the open connection turns out to have closed
// before the call was sent, it retries once on a new one.
func (connection *connection) callWithRetry(method string, args, reply any, deadline deadline) error {
	err := connection.callOnce(method, args, reply, deadline)
	if errors.Is(err, rpc.ErrShutdown) {
		err = connection.callOnce(method, args, reply, deadline)
	}
	return err
}

// callOnce makes one call, and closes the connection if the call fails or the host is
// silent. An error returned by the called method does not close it.
func (connection *connection) callOnce(method string, args, reply any, deadline deadline) error {
	client, tracker, err := connection.connect()
	if err != nil {
		return err
	}
	sent := time.Now()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	if !await(call, tracker, sent, deadline) {
		connection.recordTimeout(client, deadline, sent, tracker.lastRead())
		return Error.New("%s on %s timed out after %s", method, connection.address, time.Since(sent).Round(time.Millisecond))
	}
	if call.Error == nil {
		return nil
	}
	var remote rpc.ServerError
	if !errors.As(call.Error, &remote) {
		connection.drop(client)
	}
	return Error.New("%s on %s: %w", method, connection.address, call.Error)
}

// await waits until a call completes, and reports whether it did so in time.
func await(call *rpc.Call, tracker *tracker, sent time.Time, deadline deadline) bool {
	for {
		remaining := deadline.remaining(sent, tracker.lastRead(), time.Now())
		if remaining <= 0 {
			return false
		}
		timer := time.NewTimer(remaining)
		select {
		case <-call.Done:
			timer.Stop()
			return true
		case <-timer.C:
		}
	}
}

func (connection *connection) close() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.client != nil {
		_ = connection.client.Close()
		connection.client = nil
	}
}
