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
	// maxRunning bounds the requests that one connection may have running.
	maxRunning = 8192
	// maxOutbound bounds the bytes that wait to be sent on one connection.
	maxOutbound  = 64 << 20
	stopTimeout  = 2 * time.Second
	greetTimeout = 2 * time.Second
)

// Handler answers requests of other hosts. The context ends when the asking
// host cancels the request or its connection ends.
type Handler func(ctx context.Context, request Payload) Payload

// Datagram answers a datagram; a nil answer is not sent.
type Datagram func(data []byte) []byte

// Server is a host's peer port.
type Server struct {
	gnet.BuiltinEventEngine

	secret   trust.Secret
	handler  Handler
	datagram Datagram
	log      log.Interface
	engine   gnet.Engine
	booted   chan struct{}
	ended    chan error
}

// inbound is the state of one accepted connection.
type inbound struct {
	nonce   []byte
	ready   bool
	opened  time.Time
	running atomic.Int64
	mutex   sync.Mutex
	cancels map[uint64]context.CancelFunc
	ctx     context.Context //nolint:containedctx // ends with the connection
	cancel  context.CancelFunc
}

// Listen opens the peer port for TCP and UDP.
func Listen(address netip.AddrPort, secret trust.Secret, handler Handler, datagram Datagram, logger log.Interface) (*Server, error) {
	server := &Server{
		secret: secret, handler: handler, datagram: datagram, log: logger,
		booted: make(chan struct{}), ended: make(chan error, 1),
	}
	addresses := []string{"tcp://" + address.String(), "udp://" + address.String()}
	go func() {
		server.ended <- gnet.Rotate(server, addresses,
			gnet.WithMulticore(true), gnet.WithReuseAddr(true), gnet.WithLogger(quiet{}), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
	}()
	select {
	case <-server.booted:
		return server, nil
	case err := <-server.ended:
		return nil, Error.New("listen on %s: %w", address, err)
	}
}

// OnBoot notes that the port is open.
func (server *Server) OnBoot(engine gnet.Engine) gnet.Action {
	server.engine = engine
	close(server.booted)
	return gnet.None
}

// OnOpen sends the challenge to a new connection.
func (server *Server) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	nonce, err := trust.NewNonce()
	if err != nil {
		return nil, gnet.Close
	}
	ctx, cancel := context.WithCancel(context.Background())
	conn.SetContext(&inbound{
		nonce: nonce, opened: time.Now(), cancels: map[uint64]context.CancelFunc{}, ctx: ctx, cancel: cancel,
	})
	return frame{kind: frameChallenge, body: nonce}.encode(), gnet.None
}

// OnClose ends the requests of the connection.
func (server *Server) OnClose(conn gnet.Conn, _ error) gnet.Action {
	if inbound, ok := conn.Context().(*inbound); ok {
		inbound.cancel()
	}
	return gnet.None
}

// OnTraffic reads frames, or answers a datagram.
func (server *Server) OnTraffic(conn gnet.Conn) gnet.Action {
	if strings.HasPrefix(conn.LocalAddr().Network(), "udp") {
		server.answerDatagram(conn)
		return gnet.None
	}
	inbound, ok := conn.Context().(*inbound)
	if !ok {
		return gnet.Close
	}
	limit := MaxFrame
	if !inbound.ready {
		limit = maxGreeting
	}
	err := readFrames(conn, limit, func(frame frame) error { return server.take(conn, inbound, frame) })
	if err != nil {
		server.log.WithError(err).Warnf(logPrefix+"connection from %s is closed", conn.RemoteAddr())
		return gnet.Close
	}
	return gnet.None
}

func (server *Server) answerDatagram(conn gnet.Conn) {
	data, err := conn.Next(-1)
	if err != nil || server.datagram == nil {
		return
	}
	if answer := server.datagram(data); answer != nil {
		_, _ = conn.Write(answer)
	}
}

func (server *Server) take(conn gnet.Conn, inbound *inbound, frame frame) error {
	if !inbound.ready {
		return server.greet(conn, inbound, frame)
	}
	switch frame.kind {
	case frameRequest:
		return server.start(conn, inbound, frame)
	case frameCancel:
		inbound.stop(frame.number)
		return nil
	default:
		return Error.New("frame kind %d is not expected", frame.kind)
	}
}

// greet checks the dialling host's proof and proves the secret in turn.
func (server *Server) greet(conn gnet.Conn, inbound *inbound, received frame) error {
	if received.kind != frameProof || len(received.body) != trust.NonceSize+trust.ProofSize {
		return Error.New("the first frame is no proof")
	}
	theirs := received.body[:trust.NonceSize]
	if !server.secret.Check(received.body[trust.NonceSize:], trust.PurposeLinkClient, inbound.nonce, theirs) {
		return Error.New("the peer does not know the cluster secret")
	}
	inbound.ready = true
	proof := server.secret.Proof(trust.PurposeLinkServer, theirs, inbound.nonce)
	if _, err := conn.Write(frame{kind: frameWelcome, body: proof}.encode()); err != nil {
		return Error.New("send proof: %w", err)
	}
	return nil
}

func (server *Server) start(conn gnet.Conn, inbound *inbound, received frame) error {
	payload, err := payloadOf(received)
	if err != nil {
		return err
	}
	if inbound.running.Add(1) > maxRunning {
		return Error.New("the peer has over %d requests running", maxRunning)
	}
	ctx, cancel := context.WithCancel(inbound.ctx)
	inbound.mutex.Lock()
	inbound.cancels[received.number] = cancel
	inbound.mutex.Unlock()
	go func() {
		reply := server.handler(ctx, payload)
		inbound.stop(received.number)
		inbound.running.Add(-1)
		server.reply(conn, received.number, reply)
	}()
	return nil
}

func (server *Server) reply(conn gnet.Conn, number uint64, reply Payload) {
	encoded, err := reply.frame(frameReply, number)
	if err != nil {
		server.log.WithError(err).Error(logPrefix + "a reply can't be sent")
		_ = conn.Close()
		return
	}
	_ = conn.AsyncWrite(encoded.encode(), nil)
}

// stop cancels a request.
func (inbound *inbound) stop(number uint64) {
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
	if err := server.engine.Stop(ctx); err != nil {
		return Error.New("close peer port: %w", err)
	}
	return nil
}

// quiet drops gnet's own log lines; this package logs what matters.
type quiet struct{}

// Debugf drops the line.
func (quiet) Debugf(string, ...any) {}

// Infof drops the line.
func (quiet) Infof(string, ...any) {}

// Warnf drops the line.
func (quiet) Warnf(string, ...any) {}

// Errorf drops the line.
func (quiet) Errorf(string, ...any) {}

// Fatalf drops the line.
func (quiet) Fatalf(string, ...any) {}
