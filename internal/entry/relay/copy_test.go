package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
)

// copier is an upstream that rejects the first request under each ID that ends in 0. If
// another request comes on the connection of a rejection, it repeats the rejection before it
// answers.
type copier struct {
	mutex    sync.Mutex
	rejected map[string]bool
	// copies counts the repeated rejections, and runs the requests that ran.
	copies, runs int
}

func (copier *copier) serve(conn net.Conn) {
	defer conn.Close()
	reader, latest := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Id")
		_, _ = conn.Write([]byte(copier.answer(id, latest)))
		latest = ""
		if !copier.ran(id) {
			latest = id
		}
	}
}

const rejectionFormat = "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

func (copier *copier) answer(id, latest string) string {
	copier.mutex.Lock()
	defer copier.mutex.Unlock()
	late := ""
	if latest != "" {
		copier.copies++
		late = fmt.Sprintf(rejectionFormat, latest)
	}
	if _, seen := copier.rejected[id]; !seen && strings.HasSuffix(id, "0") {
		copier.rejected[id] = false
		return late + fmt.Sprintf(rejectionFormat, id)
	}
	copier.runs++
	copier.rejected[id] = true
	return late + fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\nbody", id)
}

func (copier *copier) ran(id string) bool {
	copier.mutex.Lock()
	defer copier.mutex.Unlock()
	return copier.rejected[id]
}

// TestLateCopiesOfRejections guards against callers that are told "not run" for requests that
// ran, and requests that run twice: the next attempt of a rejected request has its ID, and
// the upstream repeats the rejection on the connection that both were sent on.
func TestLateCopiesOfRejections(t *testing.T) {
	is := is.New(t)
	upstream := &copier{rejected: map[string]bool{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go upstream.serve(conn)
		}
	}()
	relay := newRelay(t, &upstreams{listener: listener}, 0)
	relay.Sender.Pool.Matches = func(request *pool.Request, header http.Header, reused bool) bool {
		id := header.Get("Id")
		return id == request.Header.Get("Id") || id == "" && !reused
	}
	const requests = 100
	for number := range requests {
		request := httptest.NewRequest(http.MethodPost, "http://host/book/x", nil)
		request.Header.Set("Id", fmt.Sprint("r-", number))
		request.Header.Set("Key", "k")
		recorder := httptest.NewRecorder()
		relay.ServeHTTP(recorder, request)
		is.Equal(recorder.Code, http.StatusOK)
	}
	is.Equal(upstream.runs, requests)
	is.True(upstream.copies > 0) // else the fault was not played
}
