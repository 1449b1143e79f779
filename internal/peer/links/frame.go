// Package links implements the request protocol between hosts on top of gnet.
// Frames are length-prefixed and have a CBOR head and a raw body. Requests are
// multiplexed on one connection for each host, and the same port takes datagrams
// for heartbeats.
package links

import (
	"encoding/binary"

	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/codec"
)

// Error is the class of all errors of this package.
var Error = errs.Class("links")

// frameKind is the type of a frame.
type frameKind uint8

const (
	frameChallenge frameKind = iota + 1
	frameClientProof
	frameServerProof
	frameRequest
	frameReply
	frameCancel
)

const (
	lengthPrefixSize = 4
	// headerSize is the size of the kind, the request number and the head's length.
	headerSize = 1 + 8 + 4
	// MaxFrame bounds a frame in bytes, without the length prefix.
	MaxFrame = 16 << 20
	// maxHandshakeFrame bounds a frame in bytes until the peer has proved that it
	// knows the secret.
	maxHandshakeFrame = 1024
)

// frame is one message on a link. Requests, replies and cancellations carry the
// number of their request.
type frame struct {
	kind   frameKind
	number uint64
	head   []byte
	body   []byte
}

// encode returns the frame's wire format, with the length prefix.
func (frame frame) encode() []byte {
	size := headerSize + len(frame.head) + len(frame.body)
	data := make([]byte, lengthPrefixSize+headerSize, lengthPrefixSize+size)
	binary.BigEndian.PutUint32(data, uint32(size))
	data[lengthPrefixSize] = byte(frame.kind)
	binary.BigEndian.PutUint64(data[lengthPrefixSize+1:], frame.number)
	binary.BigEndian.PutUint32(data[lengthPrefixSize+9:], uint32(len(frame.head)))
	data = append(data, frame.head...)
	return append(data, frame.body...)
}

// decodeFrame decodes a frame without its length prefix. The frame refers to data.
func decodeFrame(data []byte) (frame, error) {
	if len(data) < headerSize {
		return frame{}, Error.New("frame of %d bytes is shorter than its header", len(data))
	}
	headLength := binary.BigEndian.Uint32(data[9:])
	rest := data[headerSize:]
	if uint64(headLength) > uint64(len(rest)) {
		return frame{}, Error.New("head of %d bytes exceeds the frame", headLength)
	}
	return frame{
		kind:   frameKind(data[0]),
		number: binary.BigEndian.Uint64(data[1:]),
		head:   rest[:headLength:headLength],
		body:   rest[headLength:],
	}, nil
}

// Payload is the content of a request or reply: a message kind, an encoded head,
// and a body that is sent as it is.
type Payload struct {
	Kind string
	Head codec.Raw
	Body []byte
}

// payloadHead is the part of a payload that is encoded into a frame's head.
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
	if headerSize+len(head)+len(payload.Body) > MaxFrame {
		return frame{}, Error.New("a %s of %d bytes exceeds the frame limit", payload.Kind, len(payload.Body))
	}
	return frame{kind: kind, number: number, head: head, body: payload.Body}, nil
}

func decodePayload(frame frame) (Payload, error) {
	var head payloadHead
	if err := codec.Unmarshal(frame.head, &head); err != nil {
		return Payload{}, Error.New("decode head: %w", err)
	}
	return Payload{Kind: head.Kind, Head: head.Head, Body: frame.body}, nil
}
