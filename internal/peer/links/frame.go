// Package links carries requests between hosts over gnet: length-prefixed
// frames with a CBOR head and a raw body, many requests on one connection, and
// datagrams for heartbeats on the same port.
package links

import (
	"encoding/binary"

	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/codec"
)

// Error is the class of all errors of this package.
var Error = errs.Class("links")

// frameKind says what a frame is.
type frameKind uint8

const (
	frameChallenge frameKind = iota + 1
	frameProof
	frameWelcome
	frameRequest
	frameReply
	frameCancel
)

const (
	lengthSize = 4
	// headSize is the kind, the request number and the head's length.
	headSize = 1 + 8 + 4
	// MaxFrame bounds a frame in bytes, without its length.
	MaxFrame = 16 << 20
	// maxGreeting bounds a frame before the peer has proved the secret.
	maxGreeting = 1024
)

// frame is one unit on a link.
type frame struct {
	kind   frameKind
	number uint64
	head   []byte
	body   []byte
}

// encode returns the frame as it goes over the link.
func (frame frame) encode() []byte {
	size := headSize + len(frame.head) + len(frame.body)
	data := make([]byte, lengthSize+headSize, lengthSize+size)
	binary.BigEndian.PutUint32(data, uint32(size))
	data[lengthSize] = byte(frame.kind)
	binary.BigEndian.PutUint64(data[lengthSize+1:], frame.number)
	binary.BigEndian.PutUint32(data[lengthSize+9:], uint32(len(frame.head)))
	data = append(data, frame.head...)
	return append(data, frame.body...)
}

// decodeFrame decodes what follows the length.
func decodeFrame(data []byte) (frame, error) {
	if len(data) < headSize {
		return frame{}, Error.New("frame of %d bytes has no head", len(data))
	}
	headLength := binary.BigEndian.Uint32(data[9:])
	rest := data[headSize:]
	if uint64(headLength) > uint64(len(rest)) {
		return frame{}, Error.New("frame head of %d bytes exceeds the frame", headLength)
	}
	return frame{
		kind:   frameKind(data[0]),
		number: binary.BigEndian.Uint64(data[1:]),
		head:   rest[:headLength:headLength],
		body:   rest[headLength:],
	}, nil
}

// Payload is what a request or reply carries: a named, encoded head and a raw
// body that is not encoded again.
type Payload struct {
	Kind string
	Head codec.Raw
	Body []byte
}

// payloadHead is the part of a payload that goes into a frame's head.
type payloadHead struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Head codec.Raw
}

func (payload Payload) frame(kind frameKind, number uint64) (frame, error) {
	head, err := codec.Marshal(payloadHead{Kind: payload.Kind, Head: payload.Head})
	if err != nil {
		return frame{}, Error.New("encode head: %w", err)
	}
	if headSize+len(head)+len(payload.Body) > MaxFrame {
		return frame{}, Error.New("a %s of %d bytes exceeds the frame limit", payload.Kind, len(payload.Body))
	}
	return frame{kind: kind, number: number, head: head, body: payload.Body}, nil
}

func payloadOf(frame frame) (Payload, error) {
	var head payloadHead
	if err := codec.Unmarshal(frame.head, &head); err != nil {
		return Payload{}, Error.New("decode head: %w", err)
	}
	return Payload{Kind: head.Kind, Head: head.Head, Body: frame.body}, nil
}
