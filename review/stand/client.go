package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Uint64

// answer is what a client saw of one request.
type answer struct {
	id        string
	sent      time.Time
	status    int
	body      string
	signature string
	err       error
	// kept is set if the connection had carried a request before.
	kept bool
	host string
}

// client sends requests to one entry host and keeps its connection.
type client struct {
	fleet  *fleet
	host   *host
	client *http.Client
}

func newClient(fleet *fleet, host *host) *client {
	return &client{fleet: fleet, host: host, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, IdleConnTimeout: 12 * time.Second}}}
}

// send sends one request and returns what came of it.
func (client *client) send(method, path string, key int, caller string, body []byte, budget time.Duration) answer {
	id := fmt.Sprintf("q%06d", lastRequest.Add(1))
	found := answer{id: id, sent: time.Now(), host: client.host.name}
	ctx, cancel := context.WithTimeout(context.Background(), budget+200*time.Millisecond)
	defer cancel()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { found.kept = info.Reused }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method,
		fmt.Sprintf("http://%s:%d%s", client.host.ip, frontPort, path), bytes.NewReader(body))
	if err != nil {
		found.err = err
		return found
	}
	request.GetBody = nil // the transport must not send it again
	request.Host = hostname
	request.Header.Set("Damaskcrank-Request-Id", id)
	request.Header.Set("Damaskcrank-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	if caller != "" {
		request.Header.Set("Damaskcrank-Key", caller)
	}
	request.Header.Set("Damaskcrank-Shard-Key", strconv.Itoa(key))
	client.fleet.record.line("client sends %s %s %s to %s, key %d, %d bytes", id, method, path, client.host.name, key, len(body))
	response, err := client.client.Do(request)
	if err != nil {
		found.err = err
		client.fleet.record.line("client gets no answer to %s: %v", id, err)
		return found
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	found.status, found.body, found.err, found.signature = response.StatusCode, string(data), err, response.Header.Get("Damaskcrank-Response-Signature")
	client.fleet.record.line("client gets %d for %s, signature %q, %d bytes", found.status, id, found.signature, len(data))
	return found
}

// load sends requests of several clients at a steady pace until it is ended, and returns
// all answers.
type load struct {
	stop    chan struct{}
	tasks   sync.WaitGroup
	mutex   sync.Mutex
	answers []answer
}

func (fleet *fleet) startLoad(clients int, pause time.Duration, caller func() string) *load {
	load := &load{stop: make(chan struct{})}
	entries := fleet.byRole("entry")
	for number := range clients {
		load.tasks.Go(func() {
			client := newClient(fleet, entries[number%len(entries)])
			for round := 0; ; round++ {
				select {
				case <-load.stop:
					return
				case <-time.After(pause):
				}
				key := (number*7919 + round*4513) % 65536
				method, path := http.MethodGet, "/lookup/x"
				switch (number + round) % 3 {
				case 1:
					method, path = http.MethodPost, "/confirm/x"
				case 2:
					method, path = http.MethodPut, "/booking/x"
				}
				found := client.send(method, path, key, caller(), nil, 1500*time.Millisecond)
				load.mutex.Lock()
				load.answers = append(load.answers, found)
				load.mutex.Unlock()
			}
		})
	}
	return load
}

func (load *load) end() []answer {
	close(load.stop)
	load.tasks.Wait()
	return load.answers
}

// awaitService waits until every backend has run a request.
func (fleet *fleet) awaitService(within time.Duration) error {
	until := time.Now().Add(within)
	entries := fleet.byRole("entry")
	for round := 0; time.Now().Before(until); round++ {
		client := newClient(fleet, entries[round%len(entries)])
		client.send(http.MethodGet, "/lookup/x", (round*4513)%65536, tenantKey, nil, 1200*time.Millisecond)
		client.send(http.MethodPut, "/booking/x", 0, tenantKey, nil, 1200*time.Millisecond)
		client.client.CloseIdleConnections()
		idle := 0
		for _, backend := range fleet.backends {
			if len(backend.runsAfter(time.Time{})) == 0 {
				idle++
			}
		}
		if idle == 0 {
			return nil
		}
	}
	return fmt.Errorf("%w: not all backends serve", errSetup)
}
