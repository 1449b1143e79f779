package pool

import (
	"context"
	"errors"
	"io"
	"net/http"

	"damaskcrank.example/damaskcrank/internal/base/bulk"
	"damaskcrank.example/damaskcrank/internal/base/pacer"
)

const (
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 64 << 20
	// minPieceBytes and maxPieceBytes bound the size of a piece of a body of unknown
	// length; the size doubles with the body.
	minPieceBytes = 4 << 10
	maxPieceBytes = 1 << 20
	// maxFirstPieceBytes bounds the first piece of a body, which is not counted.
	maxFirstPieceBytes = 64 << 10
	// responseHeadBytes is about what the head of a response takes of the host's link.
	responseHeadBytes = 300
)

var (
	errBodyTooLong  = Error.New("the response is longer than %d bytes", maxResponseBytes)
	errBadStatus    = Error.New("the status of the response is not within 100 to 599")
	errOtherRequest = Error.New("the response belongs to another request")
)

// Body is a whole body, in pieces.
type Body [][]byte

// Len returns the length of the body in bytes.
func (body Body) Len() int {
	length := 0
	for _, piece := range body {
		length += len(piece)
	}
	return length
}

// WriteTo implements io.WriterTo.
func (body Body) WriteTo(writer io.Writer) (int64, error) {
	written := int64(0)
	for _, piece := range body {
		count, err := writer.Write(piece)
		written += int64(count)
		if err != nil {
			return written, Error.New("write body: %w", err)
		}
	}
	return written, nil
}

// readBody reads the body of a response to its end.
func (conn *conn) readBody(ctx context.Context, request *Request, received *http.Response) (Body, error) {
	request.Flow.Account(pacer.In, responseHeadBytes)
	request.Flow.Begin(max(received.ContentLength, int64(-1)))
	if request.OnLargeHead != nil && request.Flow.IsLarge(pacer.In, received.ContentLength) {
		request.OnLargeHead(received.StatusCode, received.Header)
	}
	if received.Body == http.NoBody {
		return nil, nil
	}
	if received.ContentLength > maxResponseBytes {
		return nil, errBodyTooLong
	}
	body, err := ReadBody(pace(ctx, request.Flow, received), received.ContentLength, maxResponseBytes, conn.held.Add)
	if conn.held.Release() {
		return nil, bulk.ErrFull
	}
	return body, err
}

// ReadBody reads a body to its end. Whole is its length, negative if that is not known, and
// limit the most bytes that it may have. Before each piece but the first, which has at most
// 64 KiB, add is called with the size of the piece; its error ends the reading.
func ReadBody(reader io.Reader, whole int64, limit int, add func(size int) error) (Body, error) {
	if whole == 0 {
		return nil, nil
	}
	var body Body
	for length := 0; ; {
		size := pieceSize(length, int(whole))
		if length > 0 {
			if err := add(size); err != nil {
				return nil, err
			}
		}
		piece := make([]byte, size)
		filled, err := fill(reader, piece)
		if filled > 0 {
			body = append(body, piece[:filled])
		}
		length += filled
		switch {
		case length > limit:
			return nil, errBodyTooLong
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, Error.New("read body: %w", err)
		}
	}
}

// pieceSize returns the size of the next piece of a body of which length bytes have
// been read; whole is its length, negative if that is not known.
func pieceSize(length, whole int) int {
	switch {
	case whole < 0:
		return min(max(length, minPieceBytes), maxPieceBytes)
	case length == 0:
		return min(whole, maxFirstPieceBytes)
	default:
		return min(max(1, whole-length), maxPieceBytes)
	}
}

// fill reads until the piece is full or the body ends. Unlike io.ReadFull it returns
// the error of a body that ends too early as it is.
func fill(body io.Reader, piece []byte) (int, error) {
	filled := 0
	for filled < len(piece) {
		count, err := body.Read(piece[filled:])
		filled += count
		if err != nil {
			return filled, err //nolint:wrapcheck // io.EOF must not be wrapped
		}
	}
	return filled, nil
}

// discardBody reads the body of a late response to its end, without buffering it.
func discardBody(received *http.Response) error {
	if received.Body != http.NoBody && received.ContentLength > maxResponseBytes {
		return errBodyTooLong
	}
	count, err := io.Copy(io.Discard, io.LimitReader(received.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return Error.New("discard body: %w", err)
	case count > maxResponseBytes:
		return errBodyTooLong
	}
	return nil
}
