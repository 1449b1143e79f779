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

const (
	// maxPending bounds the requests that wait for a reply on one link.
	maxPending = 8192
	// maxDials bounds the dials in progress to one host. The operating system gives up a
	// dial that gets no answer after minutes, the client after handshakeTimeout.
	maxDials = 16
)

var (
	// ErrNotSent is returned if a request never left this host.
	ErrNotSent = Error.New("the request was not sent")
	// ErrLost is returned if the link ended after the request may have been sent.
	ErrLost = Error.New("the link was lost")
	// errNotOpen is returned by writes to a link without a connection.
	errNotOpen = Error.New("the link is not open")
)

// Client keeps one link to each host that it sends requests to.
type Client struct {
	gnet.BuiltinEventEngine

	secret     trust.Secret
	engine     *gnet.Client
	onDatagram func(from netip.AddrPort, data []byte)
	mutex      sync.Mutex
	links      map[netip.AddrPort]*outbound
	sockets    map[netip.AddrPort]gnet.Conn
	// dials counts the dials in progress to each host.
	dials map[netip.AddrPort]int
	// held is what all links hold of frames that are not whole, as of the last look at each.
	held atomic.Int64
	// done is closed when the client is closed.
	done     chan struct{}
	doneOnce sync.Once
}

// outbound is a link to another host.
type outbound struct {
	address     netip.AddrPort
	conn        gnet.Conn
	clientNonce []byte
	serverNonce []byte
	// ready is closed when the handshake is complete.
	ready chan struct{}
	// closed is closed when the link has ended.
	closed chan struct{}
	// isReady is set when the handshake is complete, and held is what the link was last seen to
	// hold. Only the event loop uses them.
	isReady    bool
	held       int64
	lastNumber atomic.Uint64
	// heard is set when bytes were received since the last check of the link.
	heard    atomic.Bool
	mutex    sync.Mutex
	ended    bool
	liveness liveness
	// retired is set once another link takes new requests. The link ends with its last one.
	retired bool
	// cause is why the dial failed, nil if it did not.
	cause   error
	pending map[uint64]pendingCall
}

// pendingCall is a request that waits for its reply.
type pendingCall struct {
	reply chan Payload
	// patient is set if the request outlasts the silence of its link.
	patient bool
}

// NewClient starts the client's event loop. It calls onDatagram for each datagram
// that a host sends back.
func NewClient(secret trust.Secret, onDatagram func(from netip.AddrPort, data []byte)) (*Client, error) {
	client := &Client{
		secret: secret, onDatagram: onDatagram,
		links: map[netip.AddrPort]*outbound{}, sockets: map[netip.AddrPort]gnet.Conn{},
		dials: map[netip.AddrPort]int{}, done: make(chan struct{}),
	}
	engine, err := gnet.NewClient(client, gnet.WithLogger(discardLogger{}), gnet.WithMulticore(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
	if err != nil {
		return nil, Error.New("create client: %w", err)
	}
	if err := engine.Start(); err != nil {
		return nil, Error.New("start client: %w", err)
	}
	client.engine = engine
	go client.watch()
	return client, nil
}

// Open opens the link to a host, if there is none, and waits until it is ready.
func (client *Client) Open(ctx context.Context, address netip.AddrPort) error {
	_, err := client.readyLink(ctx, address)
	return err
}

// Call sends a request and waits for its reply. If the error is ErrNotSent, the
// other host is known not to have received the request.
func (client *Client) Call(ctx context.Context, address netip.AddrPort, request Payload) (Payload, error) {
	link, err := client.readyLink(ctx, address)
	if err != nil {
		return Payload{}, errors.Join(ErrNotSent, err)
	}
	number := link.lastNumber.Add(1)
	encoded, err := request.frame(frameRequest, number)
	if err != nil {
		return Payload{}, errors.Join(ErrNotSent, err)
	}
	reply, err := link.addPending(number, isPatient(ctx))
	if err != nil {
		return Payload{}, errors.Join(ErrNotSent, err)
	}
	if err := link.write(encoded); err != nil {
		link.removePending(number)
		if errors.Is(err, errNotOpen) {
			return Payload{}, errors.Join(ErrNotSent, err)
		}
		return Payload{}, errors.Join(ErrLost, err) // the event loop may have it
	}
	select {
	case payload, ok := <-reply:
		if !ok {
			return Payload{}, ErrLost
		}
		return payload, nil
	case <-ctx.Done():
		link.removePending(number)
		_ = link.write(frame{kind: frameCancel, number: number})
		return Payload{}, Error.New("wait for reply: %w", ctx.Err())
	}
}

// addPending registers a request and returns the channel that gets its reply. The
// channel is closed if the link ends first.
func (outbound *outbound) addPending(number uint64, patient bool) (chan Payload, error) {
	outbound.mutex.Lock()
	defer outbound.mutex.Unlock()
	if outbound.ended || outbound.retired {
		return nil, Error.New("link to %s has ended", outbound.address)
	}
	if len(outbound.pending) >= maxPending {
		return nil, Error.New("link to %s already has %d pending requests", outbound.address, maxPending)
	}
	reply := make(chan Payload, 1)
	outbound.pending[number] = pendingCall{reply: reply, patient: patient}
	return reply, nil
}

func (outbound *outbound) removePending(number uint64) {
	outbound.mutex.Lock()
	defer outbound.mutex.Unlock()
	delete(outbound.pending, number)
	outbound.endRetired()
}

// readyLink returns the link to a host once its handshake is complete. It dials
// the host if there is no link. That a request does not wait any longer does not end the
// handshake: on a congested link it would never be completed.
func (client *Client) readyLink(ctx context.Context, address netip.AddrPort) (*outbound, error) {
	link, err := client.openLink(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-link.ready:
		return link, nil
	default:
	}
	timer := time.NewTimer(handshakeTimeout)
	defer timer.Stop()
	select {
	case <-link.ready:
		return link, nil
	case <-link.closed:
		return nil, link.closedError()
	case <-timer.C:
		return nil, Error.New("link to %s: handshake not completed within %s", address, handshakeTimeout)
	case <-ctx.Done():
		return nil, Error.New("open link: %w", ctx.Err())
	}
}

// closedError returns why the link was closed before it was ready.
func (outbound *outbound) closedError() error {
	outbound.mutex.Lock()
	defer outbound.mutex.Unlock()
	if outbound.cause != nil {
		return Error.New("dial %s: %w", outbound.address, outbound.cause)
	}
	return Error.New("link to %s was closed during the handshake", outbound.address)
}

// openLink returns the link to a host, and dials it if there is none. The link
// may not be ready yet. The dial blocks until the host answers or the operating system
// gives up, longer than requests wait.
func (client *Client) openLink(address netip.AddrPort) (*outbound, error) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	link, ok := client.links[address]
	if ok {
		return link, nil
	}
	if client.dials[address] >= maxDials {
		return nil, Error.New("%d dials of %s are in progress", maxDials, address)
	}
	client.dials[address]++
	link = &outbound{
		address: address,
		ready:   make(chan struct{}), closed: make(chan struct{}),
		pending: map[uint64]pendingCall{},
	}
	client.links[address] = link
	go client.dial(link)
	return link, nil
}

// dial connects a new link.
func (client *Client) dial(link *outbound) {
	conn, err := client.engine.DialContext("tcp", link.address.String(), link)
	client.mutex.Lock()
	client.dials[link.address]--
	if client.dials[link.address] == 0 {
		delete(client.dials, link.address)
	}
	client.mutex.Unlock()
	if err == nil {
		link.attach(conn)
		return
	}
	link.mutex.Lock()
	link.cause = err
	link.mutex.Unlock()
	client.removeLink(link)
}

// removeLink ends a link and removes it, so that the next request dials again.
func (client *Client) removeLink(link *outbound) {
	client.forget(link)
	link.terminate()
}

// forget has the next request dial again.
func (client *Client) forget(link *outbound) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.links[link.address] == link {
		delete(client.links, link.address)
	}
}

// attach sets the link's connection, and closes it if the link has ended during
// the dial.
func (outbound *outbound) attach(conn gnet.Conn) {
	outbound.mutex.Lock()
	defer outbound.mutex.Unlock()
	outbound.conn = conn
	if outbound.ended {
		_ = conn.Close()
	}
}

// write queues a frame for sending.
func (outbound *outbound) write(frame frame) error {
	outbound.mutex.Lock()
	conn := outbound.conn
	outbound.mutex.Unlock()
	if conn == nil {
		return Error.New("link to %s: %w", outbound.address, errNotOpen)
	}
	if err := conn.AsyncWrite(frame.encode(), nil); err != nil {
		return Error.New("write: %w", err)
	}
	return nil
}

// closeConn closes the connection, if there is one.
func (outbound *outbound) closeConn() {
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

// OnClose fails all requests that are pending on the connection.
func (client *Client) OnClose(conn gnet.Conn, _ error) gnet.Action {
	switch owner := conn.Context().(type) {
	case netip.AddrPort:
		client.mutex.Lock()
		if client.sockets[owner] == conn {
			delete(client.sockets, owner)
		}
		client.mutex.Unlock()
	case *outbound:
		client.held.Add(-owner.held)
		owner.held = 0
		client.removeLink(owner)
	}
	return gnet.None
}

// terminate marks the link as ended and fails its pending requests.
func (outbound *outbound) terminate() {
	outbound.mutex.Lock()
	defer outbound.mutex.Unlock()
	if outbound.ended {
		return
	}
	outbound.ended = true
	close(outbound.closed)
	outbound.failPending(func(pendingCall) bool { return true })
}

// failPending fails the pending requests that match. The mutex must be held.
func (outbound *outbound) failPending(matches func(pendingCall) bool) {
	for number, call := range outbound.pending {
		if matches(call) {
			close(call.reply)
			delete(outbound.pending, number)
		}
	}
}

// OnTraffic reads frames, or a datagram, from a host.
func (client *Client) OnTraffic(conn gnet.Conn) gnet.Action {
	if from, ok := conn.Context().(netip.AddrPort); ok {
		if data, err := conn.Next(-1); err == nil && client.onDatagram != nil {
			client.onDatagram(from, append([]byte(nil), data...))
		}
		return gnet.None
	}
	link, ok := conn.Context().(*outbound)
	if !ok {
		return gnet.Close
	}
	link.heard.Store(true)
	limit := MaxFrame
	if !link.isReady {
		limit = maxHandshakeFrame
	}
	if err := readFrames(conn, limit, func(frame frame) error { return client.handleFrame(conn, link, frame) }); err != nil {
		return gnet.Close
	}
	holds := int64(conn.InboundBuffered())
	total := client.held.Add(holds - link.held)
	link.held = holds
	if holds > freeBytes && total > maxHeldBytes {
		return gnet.Close
	}
	return gnet.None
}

// handleFrame handles a frame from the server. During the handshake only the
// challenge and the server's proof are accepted, afterwards only replies.
func (client *Client) handleFrame(conn gnet.Conn, link *outbound, received frame) error {
	switch {
	case !link.isReady && received.kind == frameChallenge:
		return client.answerChallenge(conn, link, received.body)
	case !link.isReady && received.kind == frameServerProof:
		if !client.secret.Verify(received.body, trust.PurposeLinkServer, link.clientNonce, link.serverNonce) {
			return Error.New("host %s does not know the cluster secret", link.address)
		}
		link.isReady = true
		// The handshake may complete before the dial returns. Waiting requests are
		// released by the handshake alone, so they need the connection now.
		link.attach(conn)
		close(link.ready)
		return nil
	case link.isReady && received.kind == frameReply:
		return link.deliver(received)
	default:
		return Error.New("unexpected frame kind %d", received.kind)
	}
}

// answerChallenge sends the client's proof, with a challenge for the server.
func (client *Client) answerChallenge(conn gnet.Conn, link *outbound, challenge []byte) error {
	if len(challenge) != trust.NonceSize || link.clientNonce != nil {
		return Error.New("the challenge is malformed")
	}
	nonce, err := trust.NewNonce()
	if err != nil {
		return err
	}
	link.clientNonce = nonce
	link.serverNonce = challenge
	proof := client.secret.Proof(trust.PurposeLinkClient, challenge, nonce)
	body := append(append([]byte(nil), nonce...), proof...)
	if _, err := conn.Write(frame{kind: frameClientProof, body: body}.encode()); err != nil {
		return Error.New("send proof: %w", err)
	}
	return nil
}

// deliver passes a reply to the pending request with its number. The reply to a
// request that is no longer pending is discarded.
func (outbound *outbound) deliver(received frame) error {
	payload, err := decodePayload(received)
	if err != nil {
		return err
	}
	outbound.mutex.Lock()
	defer outbound.mutex.Unlock()
	call, ok := outbound.pending[received.number]
	if ok {
		delete(outbound.pending, received.number)
		call.reply <- payload
		outbound.endRetired()
	}
	return nil
}

// CloseLink closes the link to a host that has left the fleet, so that its pending
// requests fail at once.
func (client *Client) CloseLink(address netip.AddrPort) {
	client.mutex.Lock()
	link, ok := client.links[address]
	client.mutex.Unlock()
	if !ok {
		return
	}
	client.removeLink(link)
	link.closeConn()
}

// Close stops the event loop, which closes all links.
func (client *Client) Close() error {
	client.doneOnce.Do(func() { close(client.done) })
	if err := client.engine.Stop(); err != nil {
		return Error.New("stop client: %w", err)
	}
	return nil
}
