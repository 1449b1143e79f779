package codec

import (
	"bytes"
	"compress/flate"
	"io"
)

// Compress packs data that is sent over narrow links.
func Compress(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, Error.New("compress: %w", err)
	}
	if _, err := writer.Write(data); err != nil {
		return nil, Error.New("compress: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, Error.New("compress: %w", err)
	}
	return packed.Bytes(), nil
}

// Decompress unpacks what Compress has packed, up to MaxFrameSize bytes.
func Decompress(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(reader, MaxFrameSize+1))
	if err != nil {
		return nil, Error.New("decompress: %w", err)
	}
	if len(data) > MaxFrameSize {
		return nil, Error.New("decompress: more than %d bytes", MaxFrameSize)
	}
	return data, nil
}
