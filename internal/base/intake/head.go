package intake

import (
	"bytes"
	"strconv"
)

// head finds the end of a request's head in bytes that come in pieces, and counts its bytes
// and lines. The zero value is at the beginning of a head.
type head struct {
	length, lines int
	// skipped is the number of bytes of empty lines before the request.
	skipped int
	// lineLength is the number of bytes of the line that has begun, without carriage returns.
	lineLength int
	whole      bool
}

// skip returns the number of bytes of empty lines at the beginning of the data, which come
// before the request.
func (head *head) skip(data []byte) int {
	if head.length > 0 {
		return 0
	}
	count := 0
	for count < len(data) && (data[count] == '\r' || data[count] == '\n') {
		count++
	}
	head.skipped += count
	return count
}

// feed scans the next bytes, and returns how many of them belong to the head.
func (head *head) feed(data []byte) int {
	position := 0
	for position < len(data) && !head.whole {
		rest := data[position:]
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			head.lineLength += lengthWithoutReturns(rest)
			position = len(data)
			break
		}
		head.lines++
		head.whole = head.lineLength+lengthWithoutReturns(rest[:end]) == 0
		head.lineLength = 0
		position += end + 1
	}
	head.length += position
	return position
}

// lengthWithoutReturns returns 0 for what an empty line consists of, but for its line feed.
func lengthWithoutReturns(data []byte) int {
	if len(data) == 1 && data[0] == '\r' {
		return 0
	}
	return len(data)
}

// maxTrailerLines bounds the lines after the last chunk of a body.
const maxTrailerLines = 32

// chunkState is what comes next in a body that is sent in chunks.
type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkData
	chunkEnd
	chunkTrailer
)

// framing follows the body of a request to its end. The zero value is that of no body.
type framing struct {
	// left is the number of bytes up to the end of the body, or of the current chunk.
	left    int64
	chunked bool
	state   chunkState
	// lines is the number of lines of the trailer, and matched that of bytes of its end that
	// came last.
	lines, matched   int
	ended, malformed bool
}

// newFraming returns the framing of the body that follows a head.
func newFraming(text []byte) framing {
	var framing framing
	line, rest, _ := bytes.Cut(text, []byte("\n"))
	former := bytes.HasSuffix(bytes.TrimRight(line, "\r"), []byte("HTTP/1.0"))
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			continue
		}
		switch len(name) {
		case len("Content-Length"):
			if bytes.EqualFold(name, []byte("Content-Length")) {
				length, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
				if err == nil && length > 0 {
					framing.left = length
				}
			}
		case len("Transfer-Encoding"):
			if bytes.EqualFold(name, []byte("Transfer-Encoding")) && !former {
				framing.chunked = true
			}
		}
	}
	if framing.chunked {
		framing.left = 0
	}
	return framing
}

// done reports whether the body is at its end.
func (framing *framing) done() bool {
	if framing.chunked {
		return framing.ended
	}
	return framing.left == 0
}

// take returns how many of the next bytes belong to the body.
func (framing *framing) take(data []byte) int {
	if !framing.chunked {
		count := int(min(framing.left, int64(len(data))))
		framing.left -= int64(count)
		return count
	}
	position := 0
	for position < len(data) && !framing.ended {
		if framing.state == chunkData {
			count := int(min(framing.left, int64(len(data)-position)))
			framing.left -= int64(count)
			position += count
			if framing.left == 0 {
				framing.state = chunkEnd
			}
			continue
		}
		framing.step(data[position])
		position++
	}
	return position
}

// step takes a byte between the chunks' data.
func (framing *framing) step(char byte) {
	switch framing.state {
	case chunkSize, chunkExtension:
		framing.stepSize(char)
	case chunkEnd:
		if char == '\n' {
			framing.state = chunkSize
		}
	case chunkTrailer:
		framing.stepTrailer(char)
	case chunkData:
	}
}

// maxChunk bounds the length of a chunk, so that it does not overflow. net/http takes no longer
// one either.
const maxChunk = 1 << 58

func (framing *framing) stepSize(char byte) {
	if char == '\n' {
		framing.state = chunkData
		if framing.left == 0 {
			framing.state, framing.matched = chunkTrailer, len("\r\n")
		}
		return
	}
	digit, err := strconv.ParseUint(string(rune(char)), 16, 8)
	if framing.state == chunkExtension || err != nil {
		framing.state = chunkExtension
		return
	}
	framing.left = framing.left*16 + int64(digit)
	framing.malformed = framing.malformed || framing.left > maxChunk
	framing.left = min(framing.left, maxChunk)
}

// stepTrailer looks for the end of the trailer as net/http does: it is an empty line at once,
// or the first one between two line ends with carriage returns.
func (framing *framing) stepTrailer(char byte) {
	const end = "\r\n\r\n"
	switch char {
	case end[framing.matched]:
		framing.matched++
	case '\r':
		framing.matched = 1
	default:
		framing.matched = 0
	}
	if char == '\n' {
		framing.lines++
	}
	framing.malformed = framing.malformed || framing.lines > maxTrailerLines
	framing.ended = framing.matched == len(end) || framing.malformed
}
