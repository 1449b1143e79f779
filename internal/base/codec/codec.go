// Package codec encodes damaskcrank's own messages and files as CBOR, and
// frames data written to disk with checksums.
package codec

import (
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("codec")

// Raw is an encoded value whose decoding is deferred.
type Raw = cbor.RawMessage

const (
	// frameMagic starts each frame. It is "dcrf" in ASCII.
	frameMagic = 0x64637266
	// HeaderSize is the size in bytes of a frame's header.
	HeaderSize = 16
	// maxElements bounds the number of elements in a decoded array or map.
	maxElements = 1 << 22
	// MaxFrameSize is the maximum size in bytes of a frame's payload.
	MaxFrameSize = 256 << 20
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	encMode    = mustEncMode()
	decMode    = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes a value deterministically: equal values have equal encodings.
func Marshal(value any) ([]byte, error) {
	data, err := encMode.Marshal(value)
	if err != nil {
		return nil, Error.New("encode %T: %w", value, err)
	}
	return data, nil
}

// Unmarshal decodes data into the value that target points to.
func Unmarshal(data []byte, target any) error {
	if err := decMode.Unmarshal(data, target); err != nil {
		return Error.New("decode %T: %w", target, err)
	}
	return nil
}

// Frame returns the payload preceded by a header of magic number, payload
// length, CRC-32C of the payload and CRC-32C of the preceding header fields.
func Frame(payload []byte) []byte {
	frame := make([]byte, HeaderSize, HeaderSize+len(payload))
	binary.BigEndian.PutUint32(frame[0:], frameMagic)
	binary.BigEndian.PutUint32(frame[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(frame[8:], crc32.Checksum(payload, castagnoli))
	binary.BigEndian.PutUint32(frame[12:], crc32.Checksum(frame[:12], castagnoli))
	return append(frame, payload...)
}

// FrameError is the error of a frame that is truncated or corrupt.
type FrameError struct{ Cause error }

// Error returns the cause.
func (frameerror *FrameError) Error() string { return frameerror.Cause.Error() }

// Unwrap returns the cause.
func (frameerror *FrameError) Unwrap() error { return frameerror.Cause }

func invalidFrame(format string, args ...any) error {
	return &FrameError{Cause: Error.New(format, args...)}
}

// parseHeader returns the size of the payload of the frame that starts with the header, of
// which there are at most limit bytes.
func parseHeader(header []byte, limit int64) (int, error) {
	headerSum := binary.BigEndian.Uint32(header[12:])
	if binary.BigEndian.Uint32(header) != frameMagic || headerSum != crc32.Checksum(header[:12], castagnoli) {
		return 0, invalidFrame("frame header is corrupt")
	}
	size := binary.BigEndian.Uint32(header[4:])
	if size > MaxFrameSize || int64(size) > limit-HeaderSize {
		return 0, invalidFrame("frame of %d bytes is truncated after %d", size, limit-HeaderSize)
	}
	return int(size), nil
}

func checkPayload(header, payload []byte) error {
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(header[8:]) {
		return invalidFrame("frame of %d bytes does not match its checksum", len(payload))
	}
	return nil
}

// NextFrame returns the payload of the frame at the start of data and the
// frame's total length, header included. It returns io.EOF if data is empty,
// and a FrameError if the frame is truncated or corrupt.
func NextFrame(data []byte) (payload []byte, length int, err error) {
	if len(data) == 0 {
		return nil, 0, io.EOF
	}
	if len(data) < HeaderSize {
		return nil, 0, invalidFrame("frame header is truncated after %d bytes", len(data))
	}
	size, err := parseHeader(data, int64(len(data)))
	if err != nil {
		return nil, 0, err
	}
	payload = data[HeaderSize : HeaderSize+size]
	if err := checkPayload(data, payload); err != nil {
		return nil, 0, err
	}
	return payload, HeaderSize + size, nil
}

// ReadFrame is like NextFrame for a reader that has limit bytes left, which must be more
// than 0. The payload is not shared with other frames.
func ReadFrame(reader io.Reader, limit int64) (payload []byte, length int, err error) {
	if limit < HeaderSize {
		return nil, 0, invalidFrame("frame header is truncated after %d bytes", limit)
	}
	header := make([]byte, HeaderSize)
	if _, err := io.ReadFull(reader, header); err != nil {
		return nil, 0, Error.New("read frame header: %w", err)
	}
	size, err := parseHeader(header, limit)
	if err != nil {
		return nil, 0, err
	}
	payload = make([]byte, size)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return nil, 0, Error.New("read frame of %d bytes: %w", size, err)
	}
	if err := checkPayload(header, payload); err != nil {
		return nil, 0, err
	}
	return payload, HeaderSize + size, nil
}

// ContainsFrame reports whether a complete, intact frame starts anywhere in
// data.
func ContainsFrame(data []byte) bool {
	for start := 0; start+HeaderSize <= len(data); start++ {
		if binary.BigEndian.Uint32(data[start:]) != frameMagic {
			continue
		}
		if _, _, err := NextFrame(data[start:]); err == nil {
			return true
		}
	}
	return false
}
