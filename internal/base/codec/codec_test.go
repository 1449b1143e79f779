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

// TestEveryFlippedBit finds each damage of a single bit.
func TestEveryFlippedBit(t *testing.T) {
	is := is.New(t)
	whole := Frame([]byte("payload"))
	for position := range len(whole) * 8 {
		damaged := bytes.Clone(whole)
		damaged[position/8] ^= 1 << (position % 8)
		_, _, err := NextFrame(damaged)
		is.True(err != nil)
	}
}

func FuzzNextFrame(f *testing.F) {
	f.Add(Frame([]byte("payload")))
	f.Fuzz(func(t *testing.T, data []byte) {
		payload, length, err := NextFrame(data)
		if err == nil && !bytes.Equal(Frame(payload), data[:length]) {
			t.Fatalf("frame %x does not come back", data[:length])
		}
		ContainsFrame(data)
	})
}

func TestCompress(t *testing.T) {
	is := is.New(t)
	data := bytes.Repeat([]byte("the same again "), 1000)
	packed, err := Compress(data)
	is.NoErr(err)
	is.True(len(packed) < len(data)/10)
	again, err := Decompress(packed)
	is.NoErr(err)
	is.Equal(again, data)
	_, err = Decompress(packed[:len(packed)/2])
	is.True(err != nil) // cut on its way
}
