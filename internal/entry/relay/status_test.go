package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
)

// TestStatusOutOfRange guards against callers that get an answer with a status which is none of
// HTTP, or wait for their deadline, and against what such an answer says of its upstream.
func TestStatusOutOfRange(t *testing.T) {
	const notRun, rest = "Not-Run: 1\r\n", "Retry-After: 1\r\n"
	cases := []struct {
		name   string
		path   string
		status string
		field  string
		code   int
		sends  int64
	}{
		{"000, write", "/book/x", "000", "", 502, 1},
		{"099, write", "/book/x", "099", "", 502, 1},
		{"600, write", "/book/x", "600", "", 502, 1},
		{"999, write", "/book/x", "999", "", 502, 1},
		{"000 that says not run, write", "/book/x", "000", notRun, 502, 1},
		{"600 that says not run, write", "/book/x", "600", notRun, 502, 1},
		{"600 that asks for rest, write", "/book/x", "600", rest, 502, 1},
		{"000, lookup", "/look/x", "000", "", 200, 2},
		{"600, lookup", "/look/x", "600", "", 200, 2},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			first := "HTTP/1.1 " + testcase.status + " X\r\n" + testcase.field + "Signature: s\r\nContent-Length: 0\r\n\r\n"
			upstreams := startUpstreams(t, first, answered)
			relay := newRelay(t, upstreams, 0)
			request := httptest.NewRequest(http.MethodPost, "http://host"+testcase.path, nil)
			request.Header.Set("Id", "r")
			request.Header.Set("Key", "k")
			recorder, began := httptest.NewRecorder(), time.Now()
			relay.ServeHTTP(recorder, request)
			is.True(time.Since(began) < time.Second) // well before the deadline
			is.Equal(recorder.Code, testcase.code)
			is.Equal(upstreams.requests.Load(), testcase.sends)
			is.Equal(relay.Stats.EventCount("response", string(pool.ReasonBadStatus)), uint64(1))
			if testcase.code != http.StatusOK {
				is.Equal(recorder.Header().Get("Signature"), "")
				is.Equal(recorder.Header().Get("Retry-After"), "")
			}
		})
	}
}
