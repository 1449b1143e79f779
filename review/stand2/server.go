package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxAnswerBytes is the size up to which an answer acknowledges a heartbeat.
const maxAnswerBytes = 4 << 10

// run is one request that a server ran.
type run struct {
	id, method, target, tenant, service, server string
	body                                        string
	at                                          time.Time
}

// hold is a range of keys that a server holds.
type hold struct {
	from, to int
	fence    uint64
}

// server is a server of the platform: it registers by heartbeats, holds keys and runs requests.
type server struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	address string
	sharded bool
	// work is how long a request takes.
	work time.Duration
	// onRun is called with each request that runs.
	onRun func(run)

	mutex      sync.Mutex
	born       int64
	sequence   uint64
	state      string
	holds      []hold
	holdsUntil time.Time
	released   []hold
	listener   net.Listener
	cancel     context.CancelFunc
	target     int
}

func (fleet *fleet) newServer(number int, service string, sharded bool, onRun func(run)) *server {
	return &server{
		fleet: fleet, id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: fmt.Sprintf("zone-%d", number%3), sharded: sharded,
		address: fmt.Sprintf("127.%d.%d.1:%d", fleet.octet, 200+number, serverPort), work: 10 * time.Millisecond, onRun: onRun, state: "ready",
		target: number,
	}
}

// start starts the server's process.
func (server *server) start() error {
	listener, err := net.Listen("tcp", server.address)
	if err != nil {
		return fmt.Errorf("start a server: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server.mutex.Lock()
	server.born, server.sequence, server.holds, server.listener, server.cancel = time.Now().UnixMilli(), 0, nil, listener, cancel
	server.mutex.Unlock()
	go server.serve(listener)
	go server.beat(ctx)
	return nil
}

func (server *server) stop() {
	server.cancel()
	_ = server.listener.Close()
}

// heartbeat returns the body of the next heartbeat.
func (server *server) heartbeat() map[string]any {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.sequence++
	server.expire()
	holds, released := [][]any{}, [][]any{}
	for _, hold := range server.holds {
		holds = append(holds, []any{hold.from, hold.to, hold.fence})
	}
	for _, hold := range server.released {
		released = append(released, []any{hold.from, hold.to, fmt.Sprintf("%016x", rand.Uint64())})
	}
	body := map[string]any{
		"address": server.address, "born": server.born,
		"info":   map[string]any{"service": server.service, "version": "v1", "zone": server.zone, "maxConcurrency": 4},
		"status": map[string]any{"state": server.state, "sequence": server.sequence, "warmupRemaining": "0ms"},
	}
	if server.sharded {
		body["holds"], body["released"] = holds, released
	}
	return body
}

func (server *server) expire() {
	if time.Now().After(server.holdsUntil) {
		server.holds = nil
	}
}

// accept takes the answer to a heartbeat that was sent at a time, and reports whether another
// heartbeat is due at once.
func (server *server) accept(sent time.Time, releasedCount int, answer []byte) bool {
	var body struct {
		Holds    *[][]any `json:"holds"`
		HoldTime string   `json:"hold_time"`
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(answer) > maxAnswerBytes || json.Unmarshal(answer, &body) != nil {
		return false
	}
	server.released = server.released[min(releasedCount, len(server.released)):]
	if body.Holds == nil {
		return false
	}
	holdTime, _ := time.ParseDuration(body.HoldTime)
	var next []hold
	for _, row := range *body.Holds {
		from, _ := row[0].(float64)
		to, _ := row[1].(float64)
		fence, _ := row[2].(float64)
		next = append(next, hold{int(from), int(to), uint64(fence)})
	}
	again := false
	for _, former := range server.holds {
		kept := false
		for _, now := range next {
			kept = kept || now.from <= former.from && now.to >= former.to
		}
		if !kept {
			server.released = append(server.released, former)
			again = true
		}
	}
	server.holds, server.holdsUntil = next, sent.Add(holdTime)
	return again
}

// beat sends heartbeats about every 870 ms.
func (server *server) beat(ctx context.Context) {
	for ctx.Err() == nil {
		body := server.heartbeat()
		server.mutex.Lock()
		count := len(server.released)
		server.mutex.Unlock()
		sent := time.Now()
		controls := server.fleet.byRole("control")
		status, answer, err := server.fleet.post(controls[server.target%len(controls)], "call=instances.heartbeat&of="+server.id, body, time.Second)
		pause := 870 * time.Millisecond
		switch {
		case err != nil || status/100 != 2:
			server.target++
			pause = 20 * time.Millisecond
		case server.accept(sent, count, answer):
			pause = 50 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// holdsKey reports whether the server holds a key now.
func (server *server) holdsKey(key int) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.expire()
	for _, hold := range server.holds {
		if hold.from <= key && key <= hold.to {
			return true
		}
	}
	return false
}

func (server *server) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go server.serveConn(conn)
	}
}

func (server *server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if _, err := conn.Write(server.answer(request, body)); err != nil {
			return
		}
	}
}

// answer runs a request, or refuses it.
func (server *server) answer(request *http.Request, body []byte) []byte {
	id := request.Header.Get("Damaskcrank-Request-Id")
	refuse := func(status int) []byte {
		return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nDamaskcrank-Request-Id: %s\r\nDamaskcrank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), id)
	}
	if request.URL.Path == "/healthz" {
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nDamaskcrank-Instance-Id: %s\r\nDamaskcrank-Backend-Load: 0,0,4\r\nContent-Length: 0\r\n\r\n", server.id)
	}
	if target := request.Header.Get("Damaskcrank-Target-Instance"); target != "" && target != server.id {
		return refuse(http.StatusMisdirectedRequest)
	}
	if server.sharded {
		key, err := strconv.Atoi(request.Header.Get("Damaskcrank-Shard-Key"))
		if err != nil || !server.holdsKey(key) {
			return refuse(http.StatusMisdirectedRequest)
		}
	}
	if id == "" {
		return refuse(http.StatusBadRequest)
	}
	server.onRun(run{id, request.Method, request.RequestURI, request.Header.Get("Damaskcrank-Tenant-Id"), server.service, server.id, string(body), time.Now()})
	time.Sleep(server.work)
	text := server.service + " ran " + id
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nDamaskcrank-Request-Id: %s\r\nDamaskcrank-Response-Signature: sig-%s\r\nDamaskcrank-Backend-Load: 1,0,4\r\nContent-Length: %d\r\n\r\n%s", id, id, len(text), text)
}

// send sends one request on a new connection, as a consumer does, and returns the status and
// the body of the answer.
func (fleet *fleet) send(host *host, method, target, id string, key int, timeout time.Duration) (int, string, error) {
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(host.ip, strconv.Itoa(callersPort)), time.Second)
	if err != nil {
		return 0, "", fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout + time.Second))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nDamaskcrank-Request-Id: %s\r\nDamaskcrank-Deadline-Ms: %d\r\nDamaskcrank-Key: %s\r\nDamaskcrank-Shard-Key: %d\r\n\r\n",
		method, target, routeHost, id, timeout.Milliseconds(), tenantKey, key)
	if err != nil {
		return 0, "", fmt.Errorf("send: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return 0, "", fmt.Errorf("read: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}
