package pool

import (
	"context"
	"io"
	"math"
	"net/http"

	"damaskcrank.example/damaskcrank/internal/base/pacer"
)

// pacedReader reads the body of a response in pieces that the host's link grants. What was
// not granted stays in the buffers of the connection, and at the upstream.
type pacedReader struct {
	ctx    context.Context //nolint:containedctx // it ends with the request
	reader io.Reader
	flow   *pacer.Flow
	// unpaced is the number of bytes that are read without waiting.
	unpaced int64
	// left is the number of bytes until the end, large if that is not known.
	left int64
	// granted is the number of bytes of the piece that are left to read.
	granted int
}

// pace returns the reader of a body. One of unknown length counts as small up to the size of a
// piece.
func pace(ctx context.Context, flow *pacer.Flow, received *http.Response) io.Reader {
	if flow == nil {
		return received.Body
	}
	paced := &pacedReader{ctx: ctx, reader: received.Body, flow: flow, left: math.MaxInt64}
	if received.ContentLength >= 0 {
		paced.left = received.ContentLength
	}
	if received.ContentLength < 0 || !flow.IsLarge(pacer.In, received.ContentLength) {
		paced.unpaced = int64(flow.PieceBytes(pacer.In))
	}
	return paced
}

// Read implements io.Reader.
func (pacedreader *pacedReader) Read(data []byte) (int, error) {
	if pacedreader.unpaced > 0 || pacedreader.left == 0 {
		return pacedreader.readUnpaced(data)
	}
	if pacedreader.granted == 0 {
		granted, err := pacedreader.flow.Take(pacedreader.ctx, pacer.In, int(min(int64(len(data)), pacedreader.left)))
		if err != nil {
			return 0, err //nolint:wrapcheck // it says what failed
		}
		pacedreader.granted = granted
	}
	count, err := pacedreader.reader.Read(data[:min(len(data), pacedreader.granted)])
	pacedreader.granted -= count
	pacedreader.left -= int64(count)
	if pacedreader.granted == 0 {
		pacedreader.flow.Done(pacer.In)
	}
	return count, err //nolint:wrapcheck // io.EOF must not be wrapped
}

// readUnpaced reads without waiting for the link.
func (pacedreader *pacedReader) readUnpaced(data []byte) (int, error) {
	if pacedreader.left > 0 {
		data = data[:min(int64(len(data)), pacedreader.unpaced)]
	}
	count, err := pacedreader.reader.Read(data)
	pacedreader.unpaced -= int64(count)
	pacedreader.left -= int64(count)
	pacedreader.flow.Account(pacer.In, count)
	return count, err //nolint:wrapcheck // io.EOF must not be wrapped
}
