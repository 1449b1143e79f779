package links

import (
	"encoding/binary"

	"github.com/panjf2000/gnet/v2"
)

// readFrames removes all complete frames from the connection's buffer and calls
// handle for each. Frames are copied, since gnet reuses the buffer.
func readFrames(conn gnet.Conn, limit int, handle func(frame) error) error {
	for conn.InboundBuffered() >= lengthPrefixSize {
		prefix, err := conn.Peek(lengthPrefixSize)
		if err != nil {
			return Error.New("read length: %w", err)
		}
		size := int(binary.BigEndian.Uint32(prefix))
		if size > limit || size < headerSize {
			return Error.New("frame of %d bytes is outside the range %d to %d", size, headerSize, limit)
		}
		if conn.InboundBuffered() < lengthPrefixSize+size {
			return nil
		}
		data, err := conn.Next(lengthPrefixSize + size)
		if err != nil {
			return Error.New("read frame: %w", err)
		}
		copied := append([]byte(nil), data[lengthPrefixSize:]...)
		decoded, err := decodeFrame(copied)
		if err != nil {
			return err
		}
		if err := handle(decoded); err != nil {
			return err
		}
	}
	return nil
}
