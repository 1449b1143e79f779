package pool

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestAnswerCutAtEachByte guards against a response that counts as whole although its upstream
// closed or reset the connection within its head or its body.
func TestAnswerCutAtEachByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	cases := []struct {
		name, raw string
		// endsWithConn is set if the end of the connection ends the body.
		endsWithConn bool
	}{
		{"length", head + "Content-Length: 4\r\n\r\nbody", false},
		{"length last in a folded head", head + "X: a\r\n b\r\nContent-Length: 4\r\n\r\nbody", false},
		{"empty body", head + "Content-Length: 0\r\n\r\n", false},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", false},
		{"chunks and a trailer", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: y\r\n\r\n", false},
		{"bare line feeds", strings.ReplaceAll(head+"Content-Length: 4\r\n\r\nbody", "\r", ""), false},
		{"interim response first", "HTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody", false},
		{"no length", head + "\r\nbody", true},
		{"HTTP/1.0", strings.Replace(head, "1.1", "1.0", 1) + "\r\nbody", true},
	}
	for _, testcase := range cases {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", testcase.name, reset), func(t *testing.T) {
				whole := strings.Index(testcase.raw, "\r\n\r\n") + len("\r\n\r\n")
				for cut := range len(testcase.raw) {
					is := is.New(t)
					standin := startStandIn(t, script{responses: []string{testcase.raw[:cut]}, reset: reset})
					ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
					pool := newPool()
					response, failure := pool.Send(ctx, standin.address(), newRequest("1"))
					cancel()
					pool.Close()
					if testcase.endsWithConn && cut >= whole && !reset {
						is.True(failure == nil)
						is.Equal(string(bytes.Join(response.Body, nil)), testcase.raw[whole:cut])
						continue
					}
					if failure == nil {
						t.Fatalf("a response of %q and no more counts as whole", testcase.raw[:cut])
					}
					is.True(failure.MayHaveRun())
				}
			})
		}
	}
}
