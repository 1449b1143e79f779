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

// TestReadFrame guards against a reader that takes a truncated or corrupt frame for a whole
// one, or allocates what a header claims beyond the data there is.
func TestReadFrame(t *testing.T) {
	is := is.New(t)
	data := append(Frame([]byte("one")), Frame([]byte("second"))...)
	reader := bytes.NewReader(data)
	payload, length, err := ReadFrame(reader, int64(len(data)))
	is.NoErr(err)
	is.Equal(string(payload), "one")
	payload, _, err = ReadFrame(reader, int64(len(data)-length))
	is.NoErr(err)
	is.Equal(string(payload), "second")
	frame := Frame([]byte("payload"))
	for size := 1; size < len(frame); size++ {
		_, _, err := ReadFrame(bytes.NewReader(frame[:size]), int64(size))
		var invalid *FrameError
		is.True(errors.As(err, &invalid))
	}
	for position := range len(frame) * 8 {
		corrupt := bytes.Clone(frame)
		corrupt[position/8] ^= 1 << (position % 8)
		_, _, err := ReadFrame(bytes.NewReader(corrupt), int64(len(corrupt)))
		is.True(err != nil)
	}
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
