package direct

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/base/stats"
)

// serveBodies serves calls whose bodies are read, and returns the server's address.
func serveBodies(t *testing.T, limited *bodies) string {
	t.Helper()
	address := freeAddress(t).String()
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, err := io.ReadAll(request.Body)
		switch {
		case errors.Is(err, ErrBusy):
			writer.WriteHeader(http.StatusServiceUnavailable)
		case errors.Is(err, os.ErrDeadlineExceeded):
			writer.WriteHeader(http.StatusRequestTimeout)
		case err != nil:
			writer.WriteHeader(http.StatusBadRequest)
		}
	})
	logger := &log.Logger{Handler: discard.New()}
	server, err := serveHTTP("test", address, limited.limit(handler), Options{Clock: clockwork.NewRealClock(), Log: logger, Stats: &stats.Set{}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return address
}

// sendSlowly sends a call with a body that does not end, and returns the status of the answer.
func sendSlowly(t *testing.T, address string, size int) chan int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", maxCallBytes, strings.Repeat("x", size))
		for err == nil {
			<-time.After(10 * time.Millisecond)
			_, err = io.WriteString(conn, "x")
		}
	}()
	status := make(chan int, 1)
	go func() {
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			status <- 0
			return
		}
		_ = answer.Body.Close()
		status <- answer.StatusCode
	}()
	return status
}

// TestSlowBodiesOfCalls guards against callers of a control host that send bodies without end:
// a few of them had all other calls refused for as long as they went on.
func TestSlowBodiesOfCalls(t *testing.T) {
	const senders, fitting = 8, 3
	cases := []struct {
		name    string
		timeout time.Duration
		// waits is set if the bodies that fit are awaited to their timeout.
		waits bool
	}{
		{"others are served", time.Minute, false},
		{"each ends", 2 * time.Second, true},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			limited := &bodies{timeout: testcase.timeout}
			address := serveBodies(t, limited)
			statuses := make(chan int, senders)
			for range senders {
				status := sendSlowly(t, address, maxCallBytes*15/16)
				go func() { statuses <- <-status }()
			}
			for range senders - fitting {
				is.Equal(<-statuses, http.StatusServiceUnavailable)
			}
			ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
			defer cancel()
			for _, size := range []int{0, 1000, 200 << 10} {
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, strings.NewReader(strings.Repeat("x", size)))
				is.NoErr(err)
				answer, err := http.DefaultClient.Do(request)
				is.NoErr(err)
				_ = answer.Body.Close()
				is.Equal(answer.StatusCode, http.StatusOK)
			}
			if !testcase.waits {
				return
			}
			for range fitting {
				status := <-statuses
				is.True(status == http.StatusRequestTimeout || status == http.StatusServiceUnavailable)
			}
			for limited.held.Total() > 0 {
				<-time.After(time.Millisecond) // the handlers return
			}
		})
	}
}
