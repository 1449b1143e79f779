package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/base/budget"
	"damaskcrank.example/damaskcrank/internal/base/stats"
)

const usualHead = "POST /x HTTP/1.1\r\nHost: host\r\n"

// serve starts a server that answers with the number of lines and of bytes of the body.
func serve(t *testing.T, total int64, limits func() Limits) *Listener {
	t.Helper()
	return serveHandler(t, total, limits, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		lines := 0
		for _, values := range request.Header {
			lines += len(values)
		}
		writer.Header().Set("Lines", strconv.Itoa(lines))
		_, _ = io.WriteString(writer, strconv.Itoa(len(body)))
	}))
}

func serveHandler(t *testing.T, total int64, limits func() Limits, handler http.Handler) *Listener {
	t.Helper()
	return serveWithClock(t, total, limits, clockwork.NewRealClock(), handler)
}

func serveWithClock(t *testing.T, total int64, limits func() Limits, clock clockwork.Clock, handler http.Handler) *Listener {
	t.Helper()
	accepted, err := Listen(t.Context(), "127.0.0.1:0")
	is.New(t).NoErr(err)
	listener := Wrap(accepted, Options{
		Name: "test", Budget: budget.New(total, clock), Limits: limits, Clock: clock,
		Log: &log.Logger{Handler: discard.New()}, Stats: &stats.Set{},
	})
	server := &http.Server{Handler: handler}
	listener.Configure(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener
}

func dial(t *testing.T, listener *Listener) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.New(t).NoErr(conn.SetDeadline(time.Now().Add(time.Minute)))
	return conn, bufio.NewReader(conn)
}

// TestRequests guards against requests within the limits that are not served, or changed, in
// whatever pieces they come, and against those beyond that are served.
func TestRequests(t *testing.T) {
	manyLines := usualHead + strings.Repeat("a:\r\n", 4000) + "\r\n"
	for _, test := range []struct {
		name, sent string
		// answers are the status, number of lines and length of the body of each answer.
		answers []string
	}{
		{"one request", usualHead + "A: b\r\n\r\n", []string{"200 1 0"}},
		{"4000 lines", manyLines, []string{"200 4000 0"}},
		{"4000 lines, twice", manyLines + manyLines, []string{"200 4000 0", "200 4000 0"}},
		{"a body", usualHead + "Content-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000), []string{"200 1 9000"}},
		{"bodies, at once", strings.Repeat(usualHead+"Content-Length: 3\r\n\r\nabc", 3), []string{"200 1 3", "200 1 3", "200 1 3"}},
		{
			"chunks, at once", strings.Repeat(usualHead+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1f;x\r\n"+strings.Repeat("y", 31)+"\r\n0\r\n\r\n", 2),
			[]string{"200 0 34", "200 0 34"},
		},
		{"an empty line before", "\r\n" + usualHead + "\r\n", []string{"200 0 0"}},
		{"empty lines before", strings.Repeat("\r\n", 5) + usualHead + "\r\n", []string{"400 0 0"}},
		{"a head over the limit", usualHead + "A: " + strings.Repeat("x", 17<<10) + "\r\n\r\n", []string{"431 0 0"}},
		{"a line without end", strings.Repeat("x", 100<<10), []string{"431 0 0"}},
	} {
		for _, size := range []int{1 << 20, 4096, 7} {
			t.Run(test.name+", pieces of "+strconv.Itoa(size), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				listener := serve(t, 0, nil)
				conn, reader := dial(t, listener)
				go sendPieces(conn, test.sent, size)
				for _, want := range test.answers {
					response, err := http.ReadResponse(reader, nil)
					is.NoErr(err)
					body, err := io.ReadAll(response.Body)
					is.NoErr(err)
					lines := response.Header.Get("Lines")
					if lines == "" {
						lines, body = "0", []byte("0")
					}
					is.Equal(strconv.Itoa(response.StatusCode)+" "+lines+" "+string(body), want)
				}
			})
		}
	}
}

func sendPieces(conn net.Conn, text string, size int) {
	for len(text) > 0 {
		size = min(size, len(text))
		if _, err := io.WriteString(conn, text[:size]); err != nil {
			return
		}
		text = text[size:]
	}
}

// TestLimitsOfOperator guards against a host that keeps to other limits than those in force.
func TestLimitsOfOperator(t *testing.T) {
	is := is.New(t)
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{HeadBytes: 32 << 10})
	listener := serve(t, 0, func() Limits { return *limits.Load() })
	long := usualHead + "A: " + strings.Repeat("x", 20<<10) + "\r\n\r\n"
	conn, reader := dial(t, listener)
	_, err := io.WriteString(conn, long)
	is.NoErr(err)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	_, _ = io.Copy(io.Discard, response.Body)
	limits.Store(&Limits{HeadBytes: 1 << 10, HeadTimeout: 50 * time.Millisecond})
	second, secondReader := dial(t, listener)
	_, err = io.WriteString(second, long)
	is.NoErr(err)
	response, err = http.ReadResponse(secondReader, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	third, thirdReader := dial(t, listener)
	_, err = io.WriteString(third, usualHead)
	is.NoErr(err)
	_, err = thirdReader.ReadByte() // closed without an answer
	is.Equal(err, io.EOF)
	is.Equal(listener.options.Stats.EventCount(event, string(ReasonHeadTooSlow)), uint64(1))
}

// TestBudgetIsReleased guards against connections that leave something of the budget behind.
func TestBudgetIsReleased(t *testing.T) {
	is := is.New(t)
	listener := serve(t, 0, nil)
	for _, sent := range []string{"", "GET", usualHead + "\r\n", usualHead + "Content-Length: 9\r\n\r\nx", strings.Repeat("x", 20<<10)} {
		conn, _ := dial(t, listener)
		_, err := io.WriteString(conn, sent)
		is.NoErr(err)
		is.NoErr(conn.Close())
	}
	for deadline := time.Now().Add(10 * time.Second); listener.options.Budget.Used() > 0; {
		is.True(time.Now().Before(deadline)) // the budget is released
		<-time.After(time.Millisecond)
	}
}

// TestWriteDeadline guards against answers that can't be given up: a server's deadline for
// writes also ends one that is in progress.
func TestWriteDeadline(t *testing.T) {
	is := is.New(t)
	begun, failed := make(chan *http.ResponseController, 1), make(chan error, 1)
	listener := serveHandler(t, 0, nil, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		begun <- http.NewResponseController(writer)
		_, err := writer.Write(make([]byte, 8<<20))
		failed <- err
	}))
	conn, _ := dial(t, listener)
	_, err := io.WriteString(conn, usualHead+"\r\n")
	is.NoErr(err)
	is.NoErr((<-begun).SetWriteDeadline(time.Unix(1, 0)))
	is.True(<-failed != nil)
}
