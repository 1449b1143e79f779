package links

import (
	"encoding/binary"

	"github.com/panjf2000/gnet/v2"
)

// readFrames takes all whole frames out of the connection's buffer. Frames are
// copied, since the buffer is reused.
func readFrames(conn gnet.Conn, limit int, handle func(frame) error) error {
	for conn.InboundBuffered() >= lengthSize {
		prefix, err := conn.Peek(lengthSize)
		if err != nil {
			return Error.New("read length: %w", err)
		}
		size := int(binary.BigEndian.Uint32(prefix))
		if size > limit || size < headSize {
			return Error.New("frame of %d bytes is outside %d to %d", size, headSize, limit)
		}
		if conn.InboundBuffered() < lengthSize+size {
			return nil
		}
		data, err := conn.Next(lengthSize + size)
		if err != nil {
			return Error.New("read frame: %w", err)
		}
		copied := append([]byte(nil), data[lengthSize:]...)
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
