package pool

import (
	"bytes"
	"net/http"

	"damaskcrank.example/damaskcrank/internal/base/pacer"
)

// maxEncodedBodyBytes is the length up to which a request's body is written together with
// its head.
const maxEncodedBodyBytes = 16 << 10

// Request is a request to an upstream.
type Request struct {
	// ID is what the upstream repeats in its answer. All attempts of a request have the
	// same, so that no connection carries an ID twice: a late copy of the answer to one
	// attempt would be taken for the answer to the next.
	ID     string
	Method string
	// Target is the path and query, exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   Body
	// Allowed, if set, is asked once the connection is ready, which may take a while. With an
	// error the request is not sent.
	Allowed func() error
	// OnLateLoss, if set, is called if the context ended first and the upstream then
	// ends the connection without a byte of the response.
	OnLateLoss func()
	// OnLargeHead, if set, is called once the head of a response has come whose body waits
	// for the host's link.
	OnLargeHead func(status int, header http.Header)
	// Flow paces the response. A nil flow does not.
	Flow *pacer.Flow
}

// allowed returns an error if the request must not be sent any more.
func (request *Request) allowed() error {
	if request.Allowed == nil {
		return nil
	}
	return request.Allowed()
}

// separateBody returns the body if it is too long to be encoded together with the head.
func (request *Request) separateBody() Body {
	if request.Body.Len() <= maxEncodedBodyBytes {
		return nil
	}
	return request.Body
}

// writeAll writes the rest of an encoded request and its separate body.
func (conn *conn) writeAll(unsent []byte, body Body) error {
	if _, err := conn.Write(unsent); err != nil {
		return Error.New("%w", err)
	}
	_, err := body.WriteTo(conn)
	return err
}

// encode returns the wire format of the request without a separate body, and the length of
// its head.
func (request *Request) encode() (encoded []byte, headLength int) {
	var buffer bytes.Buffer
	buffer.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	for name, values := range request.Header {
		for _, value := range values {
			buffer.WriteString(name + ": " + value + "\r\n")
		}
	}
	length := request.Body.Len()
	if length > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		buffer.WriteString("Content-Length: " + itoa(length) + "\r\n")
	}
	buffer.WriteString("\r\n")
	headLength = buffer.Len()
	if length <= maxEncodedBodyBytes {
		for _, piece := range request.Body {
			buffer.Write(piece)
		}
	}
	return buffer.Bytes(), headLength
}
