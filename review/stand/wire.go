package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
)

// faults are what a backend does wrong while a disruption lasts.
type faults struct {
	// shed is set while the backend sheds shedShare of its requests although it is healthy.
	shed atomic.Bool
	// extra is set while it sends a second copy of extraShare of its answers, late: at the
	// point where the next answer on the connection is expected.
	extra atomic.Bool
}

const (
	shedShare  = 0.55
	extraShare = 0.03
)

// wireBackend serves a backend's connections one request after the other, so that the bytes
// on the wire can be chosen.
type wireBackend struct {
	*backend
	listener net.Listener
	faults   faults
	extras   atomic.Int64
}

// serve replaces the HTTP server of a backend.
func serveWire(backend *backend) (*wireBackend, error) {
	if err := backend.server.Close(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", backend.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	wire := &wireBackend{backend: backend, listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go wire.serveConn(conn)
		}
	}()
	return wire, nil
}

// buffered is a ResponseWriter that keeps the answer.
type buffered struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (buffered *buffered) Header() http.Header { return buffered.header }

func (buffered *buffered) WriteHeader(status int) { buffered.status = status }

func (buffered *buffered) Write(data []byte) (int, error) { return buffered.body.Write(data) }

func (buffered *buffered) bytes() []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", buffered.status, http.StatusText(buffered.status))
	buffered.header.Set("Content-Length", strconv.Itoa(buffered.body.Len()))
	buffered.header.Set("Keep-Alive", "timeout=10")
	_ = buffered.header.Write(&out)
	out.WriteString("\r\n")
	out.Write(buffered.body.Bytes())
	return out.Bytes()
}

func (wire *wireBackend) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var late []byte
	var lateOf string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Damaskcrank-Request-Id")
		if late != nil {
			wire.extras.Add(1)
			wire.fleet.record.line("backend %s sends its second copy of the answer to %s, as the answer to %s is expected", wire.id, lateOf, id)
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := &buffered{header: http.Header{}, status: http.StatusOK}
		if wire.faults.shed.Load() && rand.Float64() < shedShare && request.URL.Path != "/healthz" {
			answer.header.Set("Damaskcrank-Not-Executed", "1")
			answer.header.Set("Damaskcrank-Request-Id", id)
			answer.status = http.StatusServiceUnavailable
			wire.fleet.record.line("backend %s rejects %s with 503 (sheds)", wire.id, id)
		} else {
			wire.ServeHTTP(answer, request)
		}
		data := answer.bytes()
		if _, err := conn.Write(data); err != nil {
			return
		}
		if wire.faults.extra.Load() && rand.Float64() < extraShare {
			late, lateOf = data, id
		}
	}
}
