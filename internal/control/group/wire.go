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
	redialPause      = 20 * time.Millisecond
	// suspectTime is how long a control host that gave no answer is not taken for
	// the leader: an election takes less.
	suspectTime = 700 * time.Millisecond
	// stallTime is how long an answer that has begun to come may pause: it is the
	// slack that a call has in which no byte comes.
	stallTime = 500 * time.Millisecond
	// transferTime bounds an answer that keeps coming: the whole catalog of letter
	// 1's size over a link of 2 Mbit/s.
	transferTime = 8 * time.Second
)

// meter notes when bytes last came over a connection.
type meter struct {
	net.Conn
	openedAt time.Time
	// readAfter is when bytes last came, in nanoseconds after openedAt.
	readAfter atomic.Int64
}

// Read reads from the connection.
func (meter *meter) Read(buffer []byte) (int, error) {
	count, err := meter.Conn.Read(buffer)
	if count > 0 {
		meter.readAfter.Store(int64(time.Since(meter.openedAt)))
	}
	return count, err //nolint:wrapcheck // a connection's errors are compared as they are
}

// lastRead returns when bytes last came.
func (meter *meter) lastRead() time.Time {
	return meter.openedAt.Add(time.Duration(meter.readAfter.Load()))
}

// patience is how long a call may take. The zero patience is none.
type patience struct {
	// Timeout is the time within which the answer must have come or, with Transfer
	// set, have begun to come.
	Timeout  time.Duration
	Transfer bool
}

// left returns how much longer a call waits that was sent at a time and on whose
// connection bytes last came at another.
func (patience patience) left(sent, lastRead, now time.Time) time.Duration {
	until := sent.Add(patience.Timeout)
	if patience.Transfer && lastRead.After(sent) {
		until = later(until, lastRead.Add(stallTime))
		until = earlier(until, sent.Add(patience.Timeout+transferTime))
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

// wire is one net/rpc connection to a control host, dialled when needed and
// given up after the first failed call.
type wire struct {
	address netip.AddrPort
	secret  trust.Secret
	mutex   sync.Mutex
	client  *rpc.Client
	meter   *meter
	retryAt time.Time
	// silentAt is when a call was last given up.
	silentAt time.Time
}

func newWire(address netip.AddrPort, secret trust.Secret) *wire {
	return &wire{address: address, secret: secret}
}

// connect returns the open connection or dials a new one.
func (wire *wire) connect() (*rpc.Client, *meter, error) {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	if wire.client != nil {
		return wire.client, wire.meter, nil
	}
	if time.Now().Before(wire.retryAt) {
		return nil, nil, Error.New("control host %s did not answer a moment ago", wire.address)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", wire.address.String())
	if err != nil {
		wire.retryAt = time.Now().Add(redialPause)
		return nil, nil, Error.New("dial control host: %w", err)
	}
	if err := wire.secret.Join(conn, handshakeTimeout); err != nil {
		_ = conn.Close()
		wire.retryAt = time.Now().Add(redialPause)
		return nil, nil, Error.New("greet control host: %w", err)
	}
	wire.meter = &meter{Conn: conn, openedAt: time.Now()}
	wire.client = rpc.NewClient(wire.meter)
	return wire.client, wire.meter, nil
}

// open returns the open connection, or nil.
func (wire *wire) open() *rpc.Client {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	return wire.client
}

// resting tells whether the host did not answer a moment ago.
func (wire *wire) resting() bool {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	return time.Now().Before(wire.retryAt)
}

// suspect tells whether a call was given up lately. Other hosts may still name
// this one as leader, until they have elected another.
func (wire *wire) suspect(now time.Time) bool {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	return !wire.silentAt.IsZero() && now.Sub(wire.silentAt) < suspectTime
}

// noteSilent notes that a call was given up.
func (wire *wire) noteSilent(now time.Time) {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	wire.silentAt = now
}

func (wire *wire) drop(client *rpc.Client) {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	if wire.client == client {
		wire.client = nil
	}
	_ = client.Close()
}

// call makes one call.
func (wire *wire) call(method string, args, reply any, timeout time.Duration) error {
	return wire.callPatiently(method, args, reply, patience{Timeout: timeout})
}

// transfer makes one call whose answer may be long: once it has begun to come it
// is waited for as long as it keeps coming, since what is given up halfway over a
// narrow link has to be sent again from its start.
func (wire *wire) transfer(method string, args, reply any, timeout time.Duration) error {
	return wire.callPatiently(method, args, reply, patience{Timeout: timeout, Transfer: true})
}

// callPatiently makes one call. Where the open connection turns out to have ended
// before the call could leave, it is made once more on a new one.
func (wire *wire) callPatiently(method string, args, reply any, patience patience) error {
	err := wire.callOnce(method, args, reply, patience)
	if errors.Is(err, rpc.ErrShutdown) {
		err = wire.callOnce(method, args, reply, patience)
	}
	return err
}

// callOnce makes one call and gives the connection up if it fails or takes too
// long. An error returned by the called method keeps it.
func (wire *wire) callOnce(method string, args, reply any, patience patience) error {
	client, meter, err := wire.connect()
	if err != nil {
		return err
	}
	sent := time.Now()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	if !await(call, meter, sent, patience) {
		wire.drop(client)
		wire.noteSilent(time.Now())
		return Error.New("%s on %s took longer than %s", method, wire.address, time.Since(sent).Round(time.Millisecond))
	}
	if call.Error == nil {
		return nil
	}
	var remote rpc.ServerError
	if !errors.As(call.Error, &remote) {
		wire.drop(client)
	}
	return Error.New("%s on %s: %w", method, wire.address, call.Error)
}

// await waits for the end of a call, and tells whether it came in time.
func await(call *rpc.Call, meter *meter, sent time.Time, patience patience) bool {
	for {
		left := patience.left(sent, meter.lastRead(), time.Now())
		if left <= 0 {
			return false
		}
		timer := time.NewTimer(left)
		select {
		case <-call.Done:
			timer.Stop()
			return true
		case <-timer.C:
		}
	}
}

func (wire *wire) close() {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	if wire.client != nil {
		_ = wire.client.Close()
		wire.client = nil
	}
}
