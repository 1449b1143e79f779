package group

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

const (
	dialTimeout      = 300 * time.Millisecond
	handshakeTimeout = time.Second
	deliverTimeout   = 2 * time.Second
	redialPause      = 20 * time.Millisecond
)

// wire is one net/rpc connection to a control host, dialled when needed and
// given up after the first failed call.
type wire struct {
	address netip.AddrPort
	secret  trust.Secret
	mutex   sync.Mutex
	client  *rpc.Client
	retryAt time.Time
}

func newWire(address netip.AddrPort, secret trust.Secret) *wire {
	return &wire{address: address, secret: secret}
}

// connect returns the open connection or dials a new one.
func (wire *wire) connect() (*rpc.Client, error) {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	if wire.client != nil {
		return wire.client, nil
	}
	if time.Now().Before(wire.retryAt) {
		return nil, Error.New("control host %s did not answer a moment ago", wire.address)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", wire.address.String())
	if err != nil {
		wire.retryAt = time.Now().Add(redialPause)
		return nil, Error.New("dial control host: %w", err)
	}
	if err := wire.secret.Join(conn, handshakeTimeout); err != nil {
		_ = conn.Close()
		wire.retryAt = time.Now().Add(redialPause)
		return nil, Error.New("greet control host: %w", err)
	}
	wire.client = rpc.NewClient(conn)
	return wire.client, nil
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

func (wire *wire) drop(client *rpc.Client) {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	if wire.client == client {
		wire.client = nil
	}
	_ = client.Close()
}

// call makes one call. Where the open connection turns out to have ended before
// the call could leave, it is made once more on a new one.
func (wire *wire) call(method string, args, reply any, timeout time.Duration) error {
	err := wire.callOnce(method, args, reply, timeout)
	if errors.Is(err, rpc.ErrShutdown) {
		err = wire.callOnce(method, args, reply, timeout)
	}
	return err
}

// callOnce makes one call and gives the connection up if it fails or takes
// longer than the timeout. An error returned by the called method keeps it.
func (wire *wire) callOnce(method string, args, reply any, timeout time.Duration) error {
	client, err := wire.connect()
	if err != nil {
		return err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-timer.C:
		wire.drop(client)
		return Error.New("%s on %s took longer than %s", method, wire.address, timeout)
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

func (wire *wire) close() {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	if wire.client != nil {
		_ = wire.client.Close()
		wire.client = nil
	}
}
