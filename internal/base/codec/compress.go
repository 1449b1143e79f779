package codec

import (
	"bytes"
	"compress/flate"
	"io"
)

// Compress deflates data sent over links of limited bandwidth. It uses the
// fastest compression level.
func Compress(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, Error.New("compress: %w", err)
	}
	if _, err := writer.Write(data); err != nil {
		return nil, Error.New("compress: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, Error.New("compress: %w", err)
	}
	return compressed.Bytes(), nil
}

// Decompress reverses Compress. It fails if the result would exceed MaxFrameSize
// bytes.
func Decompress(compressed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	data, err := io.ReadAll(io.LimitReader(reader, MaxFrameSize+1))
	if err != nil {
		return nil, Error.New("decompress: %w", err)
	}
	if len(data) > MaxFrameSize {
		return nil, Error.New("decompress: more than %d bytes", MaxFrameSize)
	}
	return data, nil
}
