package links

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/panjf2000/gnet/v2"

	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

const (
	// logPrefix starts each line that this package logs.
	logPrefix = "links: "
	// maxRunning bounds the requests in progress on one connection.
	maxRunning = 8192
	// maxHeldBytes bounds the bytes of all connections that were received and are not a whole
	// frame yet, or that are queued for sending. One of the longest requests and its reply fit.
	maxHeldBytes = 2*MaxFrame + 1<<20
	// freeBytes is what a connection may always hold, so that those with short frames work
	// while others use up maxHeldBytes.
	freeBytes        = 64 << 10
	stopTimeout      = 2 * time.Second
	handshakeTimeout = 2 * time.Second
)

// Handler handles a request of another host and returns the reply. The context
// is cancelled when that host cancels the request or its connection closes.
type Handler func(ctx context.Context, request Payload) Payload

// DatagramHandler handles a datagram and returns the one to send back, or nil for none.
type DatagramHandler func(data []byte) []byte

// Server accepts links from other hosts on the peer port.
type Server struct {
	gnet.BuiltinEventEngine

	secret   trust.Secret
	handler  Handler
	datagram DatagramHandler
	log      log.Interface
	engine   gnet.Engine
	booted   chan struct{}
	ended    chan error
	// held is what all connections hold, as of the last look at each, and queued what the event
	// loops have not sent yet.
	held, queued atomic.Int64
}

// inbound is the state of one accepted connection.
type inbound struct {
	serverNonce []byte
	ready       atomic.Bool
	// handshake ends the connection unless it is ready in time.
	handshake *time.Timer
	// held is what the connection was last seen to hold. Only its event loop uses it.
	held int64
	// heardAt is when bytes were last received, in Unix nanoseconds.
	heardAt atomic.Int64
	running atomic.Int64
	mutex   sync.Mutex
	cancels map[uint64]context.CancelFunc
	ctx     context.Context //nolint:containedctx // cancelled when the connection closes
	cancel  context.CancelFunc
}

// Listen opens the peer port for TCP and UDP. It returns once the port is open.
func Listen(address netip.AddrPort, secret trust.Secret, handler Handler, datagramhandler DatagramHandler, logger log.Interface) (*Server, error) {
	server := &Server{
		secret: secret, handler: handler, datagram: datagramhandler, log: logger,
		booted: make(chan struct{}), ended: make(chan error, 1),
	}
	addresses := []string{"tcp://" + address.String(), "udp://" + address.String()}
	go func() {
		server.ended <- gnet.Rotate(server, addresses,
			gnet.WithMulticore(true), gnet.WithReuseAddr(true), gnet.WithLogger(discardLogger{}), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
		close(server.ended)
	}()
	select {
	case <-server.booted:
		return server, nil
	case err := <-server.ended:
		return nil, Error.New("listen on %s: %w", address, err)
	}
}

// OnBoot signals to Listen that the port is open.
func (server *Server) OnBoot(engine gnet.Engine) gnet.Action {
	server.engine = engine
	close(server.booted)
	return gnet.None
}

// OnOpen sends the challenge on a new connection.
func (server *Server) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	nonce, err := trust.NewNonce()
	if err != nil {
		return nil, gnet.Close
	}
	ctx, cancel := context.WithCancel(context.Background())
	opened := &inbound{serverNonce: nonce, cancels: map[uint64]context.CancelFunc{}, ctx: ctx, cancel: cancel}
	opened.heardAt.Store(time.Now().UnixNano())
	opened.handshake = time.AfterFunc(handshakeTimeout, func() {
		if !opened.ready.Load() {
			server.log.Warnf(logPrefix+"closing connection from %s, which did not complete the handshake", conn.RemoteAddr())
			_ = conn.Close()
		}
	})
	conn.SetContext(opened)
	return frame{kind: frameChallenge, body: nonce}.encode(), gnet.None
}

// OnClose cancels the connection's requests.
func (server *Server) OnClose(conn gnet.Conn, _ error) gnet.Action {
	if inbound, ok := conn.Context().(*inbound); ok {
		inbound.handshake.Stop()
		inbound.cancel()
		server.held.Add(-inbound.held)
		inbound.held = 0
	}
	return gnet.None
}

// OnTraffic reads frames, or answers a datagram.
func (server *Server) OnTraffic(conn gnet.Conn) gnet.Action {
	if strings.HasPrefix(conn.LocalAddr().Network(), "udp") {
		server.handleDatagram(conn)
		return gnet.None
	}
	inbound, ok := conn.Context().(*inbound)
	if !ok {
		return gnet.Close
	}
	inbound.heardAt.Store(time.Now().UnixNano())
	limit := MaxFrame
	if !inbound.ready.Load() {
		limit = maxHandshakeFrame
	}
	err := readFrames(conn, limit, func(frame frame) error { return server.handleFrame(conn, inbound, frame) })
	if err == nil {
		err = server.count(conn, inbound)
	}
	if err != nil {
		server.log.WithError(err).Warnf(logPrefix+"closing connection from %s", conn.RemoteAddr())
		return gnet.Close
	}
	return gnet.None
}

// count looks at what a connection holds. It returns an error if the connection has to be closed
// because all of them hold too much.
func (server *Server) count(conn gnet.Conn, inbound *inbound) error {
	holds := int64(conn.InboundBuffered() + conn.OutboundBuffered())
	total := server.held.Add(holds-inbound.held) + server.queued.Load()
	inbound.held = holds
	if holds > freeBytes && total > maxHeldBytes {
		return Error.New("it holds %d bytes, and all connections %d of at most %d", holds, total, maxHeldBytes)
	}
	return nil
}

func (server *Server) handleDatagram(conn gnet.Conn) {
	data, err := conn.Next(-1)
	if err != nil || server.datagram == nil {
		return
	}
	if answer := server.datagram(data); answer != nil {
		_, _ = conn.Write(answer)
	}
}

// handleFrame handles a frame from a client. Until the client has proved that it
// knows the secret, only its proof is accepted.
func (server *Server) handleFrame(conn gnet.Conn, inbound *inbound, frame frame) error {
	if !inbound.ready.Load() {
		return server.handleProof(conn, inbound, frame)
	}
	switch frame.kind {
	case frameRequest:
		return server.startRequest(conn, inbound, frame)
	case frameCancel:
		inbound.cancelRequest(frame.number)
		return nil
	default:
		return Error.New("unexpected frame kind %d", frame.kind)
	}
}

// handleProof checks the client's proof and sends the server's.
func (server *Server) handleProof(conn gnet.Conn, inbound *inbound, received frame) error {
	if received.kind != frameClientProof || len(received.body) != trust.NonceSize+trust.ProofSize {
		return Error.New("the first frame is not a proof")
	}
	clientNonce := received.body[:trust.NonceSize]
	if !server.secret.Verify(received.body[trust.NonceSize:], trust.PurposeLinkClient, inbound.serverNonce, clientNonce) {
		return Error.New("the peer does not know the cluster secret")
	}
	inbound.ready.Store(true)
	proof := server.secret.Proof(trust.PurposeLinkServer, clientNonce, inbound.serverNonce)
	if _, err := conn.Write(frame{kind: frameServerProof, body: proof}.encode()); err != nil {
		return Error.New("send proof: %w", err)
	}
	return nil
}

// startRequest runs the handler for a request in its own goroutine.
func (server *Server) startRequest(conn gnet.Conn, inbound *inbound, received frame) error {
	payload, err := decodePayload(received)
	if err != nil {
		return err
	}
	if payload.Kind == kindPing {
		server.sendReply(conn, inbound, received.number, Payload{Kind: kindPong, Head: emptyHead})
		return nil
	}
	if inbound.running.Add(1) > maxRunning {
		return Error.New("the peer has more than %d requests in progress", maxRunning)
	}
	ctx, cancel := context.WithCancel(inbound.ctx)
	inbound.mutex.Lock()
	inbound.cancels[received.number] = cancel
	inbound.mutex.Unlock()
	receivedAt := inbound.HeardAt()
	go func() {
		origin := Origin{Link: inbound, Waited: time.Since(receivedAt)}
		reply := server.handler(WithOrigin(ctx, origin), payload)
		inbound.cancelRequest(received.number)
		inbound.running.Add(-1)
		server.sendReply(conn, inbound, received.number, reply)
	}()
	return nil
}

func (server *Server) sendReply(conn gnet.Conn, inbound *inbound, number uint64, reply Payload) {
	encoded, err := reply.frame(frameReply, number)
	if err != nil {
		server.log.WithError(err).Error(logPrefix + "cannot encode a reply, closing the connection")
		_ = conn.Close()
		return
	}
	data := encoded.encode()
	server.queued.Add(int64(len(data)))
	err = conn.AsyncWrite(data, func(conn gnet.Conn, err error) error {
		server.queued.Add(-int64(len(data)))
		if err != nil || conn.Context() != inbound {
			return nil //nolint:nilerr // the connection has ended
		}
		if err := server.count(conn, inbound); err != nil {
			server.log.WithError(err).Warnf(logPrefix+"closing connection to %s", conn.RemoteAddr())
			_ = conn.Close()
		}
		return nil
	})
	if err != nil {
		server.queued.Add(-int64(len(data)))
	}
}

// cancelRequest cancels a request's context and forgets the request.
func (inbound *inbound) cancelRequest(number uint64) {
	inbound.mutex.Lock()
	defer inbound.mutex.Unlock()
	if cancel, ok := inbound.cancels[number]; ok {
		cancel()
		delete(inbound.cancels, number)
	}
}

// Close closes the port and its connections.
func (server *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	// Stop returns at its next look, up to half a second after the event loops have ended.
	go func() { _ = server.engine.Stop(ctx) }()
	select {
	case err := <-server.ended:
		if err != nil {
			return Error.New("close peer port: %w", err)
		}
		return nil
	case <-ctx.Done():
		return Error.New("close peer port: %w", ctx.Err())
	}
}

// discardLogger discards gnet's own log lines. This package returns or logs
// errors itself.
type discardLogger struct{}

// Debugf discards the line.
func (discardLogger) Debugf(string, ...any) {}

// Infof discards the line.
func (discardLogger) Infof(string, ...any) {}

// Warnf discards the line.
func (discardLogger) Warnf(string, ...any) {}

// Errorf discards the line.
func (discardLogger) Errorf(string, ...any) {}

// Fatalf discards the line. It does not end the process.
func (discardLogger) Fatalf(string, ...any) {}
