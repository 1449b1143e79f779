package logs

import (
	"bytes"
	"io"
	"testing"

	"github.com/matryer/is"
)

// TestLinesThatWaitAreBounded guards against lines of any length that take the memory of a
// host while nobody reads its output.
func TestLinesThatWaitAreBounded(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	async := NewAsync(writer)
	line := append(bytes.Repeat([]byte("x"), 64<<10), '\n')
	for range maxBufferedLines / 2 {
		count, err := async.Write(line)
		is.NoErr(err)
		is.Equal(count, len(line))
	}
	is.True(async.buffered.Load() <= maxBufferedBytes)
	is.True(async.dropped.Load() > 0)
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	async.Close()
}
