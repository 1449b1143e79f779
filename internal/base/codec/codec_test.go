package codec

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"
)

func TestFrames(t *testing.T) {
	is := is.New(t)
	data := append(Frame([]byte("one")), Frame(nil)...)
	payload, length, err := NextFrame(data)
	is.NoErr(err)
	is.Equal(string(payload), "one")
	payload, _, err = NextFrame(data[length:])
	is.NoErr(err)
	is.Equal(len(payload), 0)
	_, _, err = NextFrame(nil)
	is.True(errors.Is(err, io.EOF))
}

// TestNextFrameDetectsBitFlips checks that flipping any single bit of a frame,
// header included, is detected.
func TestNextFrameDetectsBitFlips(t *testing.T) {
	is := is.New(t)
	frame := Frame([]byte("payload"))
	for position := range len(frame) * 8 {
		corrupt := bytes.Clone(frame)
		corrupt[position/8] ^= 1 << (position % 8)
		_, _, err := NextFrame(corrupt)
		is.True(err != nil)
	}
}

func FuzzNextFrame(f *testing.F) {
	f.Add(Frame([]byte("payload")))
	f.Fuzz(func(t *testing.T, data []byte) {
		payload, length, err := NextFrame(data)
		if err == nil && !bytes.Equal(Frame(payload), data[:length]) {
			t.Fatalf("frame %x does not round-trip", data[:length])
		}
		ContainsFrame(data)
	})
}

func TestCompress(t *testing.T) {
	is := is.New(t)
	data := bytes.Repeat([]byte("the same again "), 1000)
	compressed, err := Compress(data)
	is.NoErr(err)
	is.True(len(compressed) < len(data)/10)
	decompressed, err := Decompress(compressed)
	is.NoErr(err)
	is.Equal(decompressed, data)
	_, err = Decompress(compressed[:len(compressed)/2])
	is.True(err != nil) // truncated input
}
