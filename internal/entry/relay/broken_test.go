package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// startBreaking starts an upstream that answers each request with the bytes, and then closes
// the connection.
func startBreaking(t *testing.T, answer string) *upstreams {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, answer)
			}
			_ = conn.Close()
		}
	}()
	return &upstreams{listener: listener}
}

// TestAnswerCutAtEachByte guards against callers that get a success with an empty or short
// body, framed as whole, because their upstream closed the connection within the head or the
// body of its answer.
func TestAnswerCutAtEachByte(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	for _, raw := range []string{whole, strings.Replace(answered, "\r\n", "\r\nId: r\r\n", 1)} {
		for cut := range len(raw) + 1 {
			is := is.New(t)
			relay := newRelay(t, startBreaking(t, raw[:cut]), 0)
			request := httptest.NewRequest(http.MethodPost, "http://host/book/x", nil)
			request.Header.Set("Id", "r")
			request.Header.Set("Key", "k")
			recorder := httptest.NewRecorder()
			relay.ServeHTTP(recorder, request)
			if cut < len(raw) {
				is.Equal(recorder.Code, http.StatusBadGateway)
				is.Equal(recorder.Body.Len(), 0)
				continue
			}
			is.Equal(recorder.Code, http.StatusOK)
			is.Equal(recorder.Body.String(), "body")
		}
	}
}
