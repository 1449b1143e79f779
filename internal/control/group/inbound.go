package group

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync"

	"damaskcrank.example/damaskcrank/internal/base/bulk"
)

const (
	// defaultMessageBytes bounds a message, and what several take together that are being
	// received, unless another bound is set.
	defaultMessageBytes = 64 << 20
	// freeMessageBytes are the first bytes of a message, which are not counted with others.
	freeMessageBytes = 64 << 10
	// messageCopies is the number of copies of a message while it is received: encoding/gob
	// grows its buffer by copying.
	messageCopies = 2
	// maxCallsInProgress bounds the calls of one connection that are processed at the same time.
	// Further ones wait in the socket. A control host forwards some hundred heartbeats at once.
	maxCallsInProgress = 1024
)

var (
	errMessageTooLong   = Error.New("the message is too long")
	errMessageMalformed = Error.New("the length of a message is malformed")
)

// inboundMessages bounds the messages that a process receives on control connections, of all
// connections together. The zero value is ready to use.
type inboundMessages struct {
	bodies bulk.Bodies
	mutex  sync.Mutex
	// limit is that of one message in bytes, 0 for defaultMessageBytes.
	limit uint64
}

// setLimit sets the most bytes of one message, and of what all take together. 0 is the default.
func (inboundmessages *inboundMessages) setLimit(limit int64) {
	inboundmessages.mutex.Lock()
	defer inboundmessages.mutex.Unlock()
	inboundmessages.limit = uint64(max(0, limit))
	inboundmessages.bodies.SetLimit(int(max(0, limit)))
}

// bound returns a connection whose reads fail once a message is too long, or is given up since
// all of them are.
func (inboundmessages *inboundMessages) bound(conn net.Conn) *boundedConn {
	inboundmessages.mutex.Lock()
	defer inboundmessages.mutex.Unlock()
	limit := inboundmessages.limit
	if limit == 0 {
		limit = defaultMessageBytes
	}
	return &boundedConn{Conn: conn, limit: limit, held: bulk.NewBody(&inboundmessages.bodies, conn)}
}

// boundedConn is a connection that follows the lengths of the messages of encoding/gob, which
// itself accepts messages of gigabytes: each message is preceded by its length, in one byte if
// that is below 128, or else in as many bytes as the first one, negated, says.
type boundedConn struct {
	net.Conn

	limit uint64
	held  *bulk.Body
	// left is what is left of the message, and count how much of it was received.
	left  uint64
	count int
	// lengthLeft is the number of bytes that are left of a length, and length what they say so
	// far.
	lengthLeft int
	length     uint64
	// refused is why the connection was closed, nil if it was not. Only the reader uses it.
	refused error
}

// Read implements net.Conn.
func (boundedconn *boundedConn) Read(data []byte) (int, error) {
	count, err := boundedconn.Conn.Read(data)
	if followErr := boundedconn.follow(data[:count]); followErr != nil {
		boundedconn.refused = followErr
		_ = boundedconn.Conn.Close()
		return 0, followErr
	}
	return count, err //nolint:wrapcheck // net/rpc compares connection errors by identity
}

// Close implements net.Conn.
func (boundedconn *boundedConn) Close() error {
	boundedconn.held.Release()
	return boundedconn.Conn.Close() //nolint:wrapcheck // net/rpc expects unwrapped errors
}

func (boundedconn *boundedConn) follow(data []byte) error {
	for len(data) > 0 {
		if boundedconn.left == 0 {
			if err := boundedconn.followLength(data[0]); err != nil {
				return err
			}
			data = data[1:]
			continue
		}
		part := int(min(boundedconn.left, uint64(len(data))))
		if err := boundedconn.followMessage(part); err != nil {
			return err
		}
		data = data[part:]
	}
	return nil
}

// followLength follows one byte of a length.
func (boundedconn *boundedConn) followLength(next byte) error {
	const highBit, longest = 1 << 7, 8
	switch {
	case boundedconn.lengthLeft > 0:
		boundedconn.length = boundedconn.length<<8 | uint64(next)
		boundedconn.lengthLeft--
	case next < highBit:
		boundedconn.length = uint64(next)
	default:
		boundedconn.lengthLeft, boundedconn.length = -int(int8(next)), 0
		if boundedconn.lengthLeft > longest {
			return errMessageMalformed
		}
	}
	if boundedconn.lengthLeft > 0 {
		return nil
	}
	boundedconn.left, boundedconn.count = boundedconn.length, 0
	if boundedconn.left > boundedconn.limit {
		return errMessageTooLong
	}
	return nil
}

// followMessage follows a part of a message.
func (boundedconn *boundedConn) followMessage(part int) error {
	free := max(0, freeMessageBytes-boundedconn.count)
	boundedconn.count += part
	boundedconn.left -= uint64(part)
	if more := part - free; more > 0 {
		if err := boundedconn.held.Add(messageCopies * more); err != nil {
			return Error.New("receive a message: %w", err)
		}
	}
	if boundedconn.left == 0 {
		boundedconn.held.Release()
	}
	return nil
}

// serverCodec encodes as net/rpc does by default, but bounds the calls in progress: net/rpc
// starts a task for each that comes in.
type serverCodec struct {
	conn    net.Conn
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	// running has an element for each call in progress.
	running chan struct{}
}

func newServerCodec(conn net.Conn) *serverCodec {
	buffer := bufio.NewWriter(conn)
	return &serverCodec{
		conn: conn, decoder: gob.NewDecoder(conn), encoder: gob.NewEncoder(buffer), buffer: buffer,
		running: make(chan struct{}, maxCallsInProgress),
	}
}

// ReadRequestHeader implements rpc.ServerCodec. It waits while too many calls are in progress.
func (servercodec *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	if err := servercodec.decoder.Decode(request); err != nil {
		return err //nolint:wrapcheck // net/rpc compares io.EOF by identity
	}
	servercodec.running <- struct{}{}
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (servercodec *serverCodec) ReadRequestBody(body any) error {
	return servercodec.decoder.Decode(body) //nolint:wrapcheck // its text is sent to the caller
}

// WriteResponse implements rpc.ServerCodec. It is called once for each request header. After a
// failure the stream can't be continued, so that it closes the connection.
func (servercodec *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	defer func() { <-servercodec.running }()
	for _, part := range []any{response, body} {
		if err := servercodec.encoder.Encode(part); err != nil {
			_ = servercodec.conn.Close()
			return Error.New("encode a response: %w", err)
		}
	}
	if err := servercodec.buffer.Flush(); err != nil {
		return Error.New("send a response: %w", err)
	}
	return nil
}

// Close implements rpc.ServerCodec.
func (servercodec *serverCodec) Close() error {
	return servercodec.conn.Close() //nolint:wrapcheck // net/rpc ignores it
}
