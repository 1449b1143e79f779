package links

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// maxPending bounds the requests that wait on one link.
const maxPending = 8192

var (
	// ErrNotSent says that a request never left this host.
	ErrNotSent = Error.New("the request was not sent")
	// ErrLost says that the link ended after the request may have left.
	ErrLost = Error.New("the link was lost")
)

// Client keeps one link to each host that requests go to.
type Client struct {
	gnet.BuiltinEventEngine

	secret   trust.Secret
	engine   *gnet.Client
	datagram func(from netip.AddrPort, data []byte)
	mutex    sync.Mutex
	links    map[netip.AddrPort]*outbound
	sockets  map[netip.AddrPort]gnet.Conn
}

// outbound is one link to another host.
type outbound struct {
	address netip.AddrPort
	conn    gnet.Conn
	nonce   []byte
	server  []byte
	ready   chan struct{}
	closed  chan struct{}
	isReady bool
	number  atomic.Uint64
	mutex   sync.Mutex
	ended   bool
	pending map[uint64]chan Payload
}

// NewClient starts the client's event loop. Datagrams that come back go to the
// function.
func NewClient(secret trust.Secret, datagram func(from netip.AddrPort, data []byte)) (*Client, error) {
	client := &Client{
		secret: secret, datagram: datagram,
		links: map[netip.AddrPort]*outbound{}, sockets: map[netip.AddrPort]gnet.Conn{},
	}
	engine, err := gnet.NewClient(client, gnet.WithLogger(quiet{}), gnet.WithMulticore(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
	if err != nil {
		return nil, Error.New("create client: %w", err)
	}
	if err := engine.Start(); err != nil {
		return nil, Error.New("start client: %w", err)
	}
	client.engine = engine
	return client, nil
}

// Call sends a request and waits for its reply. An error that is ErrNotSent
// proves that the other host never saw the request.
func (client *Client) Call(ctx context.Context, address netip.AddrPort, request Payload) (Payload, error) {
	link, err := client.link(ctx, address)
	if err != nil {
		return Payload{}, errors.Join(ErrNotSent, err)
	}
	number := link.number.Add(1)
	encoded, err := request.frame(frameRequest, number)
	if err != nil {
		return Payload{}, errors.Join(ErrNotSent, err)
	}
	reply, err := link.expect(number)
	if err != nil {
		return Payload{}, errors.Join(ErrNotSent, err)
	}
	if err := link.write(encoded); err != nil {
		link.forget(number)
		return Payload{}, errors.Join(ErrNotSent, Error.New("send: %w", err))
	}
	select {
	case payload, ok := <-reply:
		if !ok {
			return Payload{}, ErrLost
		}
		return payload, nil
	case <-ctx.Done():
		link.forget(number)
		_ = link.write(frame{kind: frameCancel, number: number})
		return Payload{}, Error.New("wait for reply: %w", ctx.Err())
	}
}

// expect registers a request for its reply.
func (outbound *outbound) expect(number uint64) (chan Payload, error) {
	outbound.mutex.Lock()
	defer outbound.mutex.Unlock()
	if outbound.ended {
		return nil, Error.New("link to %s has ended", outbound.address)
	}
	if len(outbound.pending) >= maxPending {
		return nil, Error.New("link to %s has %d requests waiting", outbound.address, maxPending)
	}
	reply := make(chan Payload, 1)
	outbound.pending[number] = reply
	return reply, nil
}

func (outbound *outbound) forget(number uint64) {
	outbound.mutex.Lock()
	defer outbound.mutex.Unlock()
	delete(outbound.pending, number)
}

// link returns the ready link to a host, and dials it if there is none.
func (client *Client) link(ctx context.Context, address netip.AddrPort) (*outbound, error) {
	link, err := client.openLink(address)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(greetTimeout)
	defer timer.Stop()
	select {
	case <-link.ready:
		return link, nil
	case <-link.closed:
		return nil, Error.New("link to %s was closed during the greeting", address)
	case <-timer.C:
		link.shut()
		return nil, Error.New("link to %s: no greeting within %s", address, greetTimeout)
	case <-ctx.Done():
		return nil, Error.New("open link: %w", ctx.Err())
	}
}

// openLink returns the link to a host, which may not be ready yet. The dial
// runs without the lock, since the event loop needs it.
func (client *Client) openLink(address netip.AddrPort) (*outbound, error) {
	client.mutex.Lock()
	link, ok := client.links[address]
	if !ok {
		link = &outbound{
			address: address,
			ready:   make(chan struct{}), closed: make(chan struct{}),
			pending: map[uint64]chan Payload{},
		}
		client.links[address] = link
	}
	client.mutex.Unlock()
	if ok {
		return link, nil
	}
	conn, err := client.engine.DialContext("tcp", address.String(), link)
	if err != nil {
		client.forgetLink(link)
		return nil, Error.New("dial %s: %w", address, err)
	}
	link.attach(conn)
	return link, nil
}

// forgetLink ends a link and lets the next request dial anew.
func (client *Client) forgetLink(link *outbound) {
	client.mutex.Lock()
	if client.links[link.address] == link {
		delete(client.links, link.address)
	}
	client.mutex.Unlock()
	link.end()
}

// attach notes the connection, and closes it if the link was dropped during
// the dial.
func (outbound *outbound) attach(conn gnet.Conn) {
	outbound.mutex.Lock()
	defer outbound.mutex.Unlock()
	outbound.conn = conn
	if outbound.ended {
		_ = conn.Close()
	}
}

// write sends a frame.
func (outbound *outbound) write(frame frame) error {
	outbound.mutex.Lock()
	conn := outbound.conn
	outbound.mutex.Unlock()
	if conn == nil {
		return Error.New("link to %s is not open", outbound.address)
	}
	if err := conn.AsyncWrite(frame.encode(), nil); err != nil {
		return Error.New("write: %w", err)
	}
	return nil
}

// shut closes the connection.
func (outbound *outbound) shut() {
	outbound.mutex.Lock()
	defer outbound.mutex.Unlock()
	if outbound.conn != nil {
		_ = outbound.conn.Close()
	}
}

// Send sends a datagram to a host's peer port.
func (client *Client) Send(address netip.AddrPort, data []byte) error {
	socket, err := client.socket(address)
	if err != nil {
		return err
	}
	if err := socket.AsyncWrite(data, nil); err != nil {
		client.mutex.Lock()
		delete(client.sockets, address)
		client.mutex.Unlock()
		return Error.New("send datagram: %w", err)
	}
	return nil
}

func (client *Client) socket(address netip.AddrPort) (gnet.Conn, error) {
	client.mutex.Lock()
	socket, ok := client.sockets[address]
	client.mutex.Unlock()
	if ok {
		return socket, nil
	}
	socket, err := client.engine.DialContext("udp", address.String(), address)
	if err != nil {
		return nil, Error.New("open socket to %s: %w", address, err)
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.sockets[address] = socket
	return socket, nil
}

// OnClose fails all requests that wait on the connection.
func (client *Client) OnClose(conn gnet.Conn, _ error) gnet.Action {
	switch owner := conn.Context().(type) {
	case netip.AddrPort:
		client.mutex.Lock()
		if client.sockets[owner] == conn {
			delete(client.sockets, owner)
		}
		client.mutex.Unlock()
	case *outbound:
		client.forgetLink(owner)
	}
	return gnet.None
}

func (outbound *outbound) end() {
	outbound.mutex.Lock()
	defer outbound.mutex.Unlock()
	if outbound.ended {
		return
	}
	outbound.ended = true
	close(outbound.closed)
	for number, reply := range outbound.pending {
		close(reply)
		delete(outbound.pending, number)
	}
}

// OnTraffic reads the frames or datagrams that come back.
func (client *Client) OnTraffic(conn gnet.Conn) gnet.Action {
	if from, ok := conn.Context().(netip.AddrPort); ok {
		if data, err := conn.Next(-1); err == nil && client.datagram != nil {
			client.datagram(from, append([]byte(nil), data...))
		}
		return gnet.None
	}
	link, ok := conn.Context().(*outbound)
	if !ok {
		return gnet.Close
	}
	limit := MaxFrame
	if !link.isReady {
		limit = maxGreeting
	}
	if err := readFrames(conn, limit, func(frame frame) error { return client.take(conn, link, frame) }); err != nil {
		return gnet.Close
	}
	return gnet.None
}

func (client *Client) take(conn gnet.Conn, link *outbound, received frame) error {
	switch {
	case !link.isReady && received.kind == frameChallenge:
		return client.prove(conn, link, received.body)
	case !link.isReady && received.kind == frameWelcome:
		if !client.secret.Check(received.body, trust.PurposeLinkServer, link.nonce, link.server) {
			return Error.New("host %s does not know the cluster secret", link.address)
		}
		link.isReady = true
		// The greeting may end before the dial returns; requests wait for it alone.
		link.attach(conn)
		close(link.ready)
		return nil
	case link.isReady && received.kind == frameReply:
		return link.deliver(received)
	default:
		return Error.New("frame kind %d is not expected", received.kind)
	}
}

func (client *Client) prove(conn gnet.Conn, link *outbound, challenge []byte) error {
	if len(challenge) != trust.NonceSize || link.nonce != nil {
		return Error.New("the challenge is malformed")
	}
	nonce, err := trust.NewNonce()
	if err != nil {
		return err
	}
	link.nonce = nonce
	link.server = challenge
	proof := client.secret.Proof(trust.PurposeLinkClient, challenge, nonce)
	body := append(append([]byte(nil), nonce...), proof...)
	if _, err := conn.Write(frame{kind: frameProof, body: body}.encode()); err != nil {
		return Error.New("send proof: %w", err)
	}
	return nil
}

// deliver hands a reply to the request with its number. A reply that nobody
// waits for any more is dropped.
func (outbound *outbound) deliver(received frame) error {
	payload, err := payloadOf(received)
	if err != nil {
		return err
	}
	outbound.mutex.Lock()
	defer outbound.mutex.Unlock()
	reply, ok := outbound.pending[received.number]
	if ok {
		delete(outbound.pending, received.number)
		reply <- payload
	}
	return nil
}

// Drop closes the link to a host that has left the fleet, so that requests
// which wait for it fail at once.
func (client *Client) Drop(address netip.AddrPort) {
	client.mutex.Lock()
	link, ok := client.links[address]
	client.mutex.Unlock()
	if !ok {
		return
	}
	client.forgetLink(link)
	link.shut()
}

// Close ends all links.
func (client *Client) Close() error {
	if err := client.engine.Stop(); err != nil {
		return Error.New("stop client: %w", err)
	}
	return nil
}
