package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a sound backend of a service without keys. It sends heartbeats to the control
// hosts in turn.
type backend struct {
	fleet    *fleet
	id       string
	listener net.Listener
	born     int64
	runs     atomic.Int64
	stop     chan struct{}
}

func startBackend(fleet *fleet, number int) (*backend, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", fleet.octet, 200+number))
	if err != nil {
		return nil, err
	}
	backend := &backend{fleet: fleet, id: fmt.Sprint("i-", number), listener: listener, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	server := &http.Server{Handler: backend}
	go func() { _ = server.Serve(listener) }()
	go backend.beat()
	fleet.cleanup = append(fleet.cleanup, func() { close(backend.stop); _ = server.Close() })
	return backend, nil
}

// ServeHTTP runs a request for 20 ms.
func (backend *backend) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	header.Set("Damaskcrank-Instance-Id", backend.id)
	header.Set("Damaskcrank-Backend-Load", "0,0,2")
	if request.URL.Path == "/healthz" {
		return
	}
	id := request.Header.Get("Damaskcrank-Request-Id")
	header.Set("Damaskcrank-Request-Id", id)
	_, _ = io.Copy(io.Discard, request.Body)
	if target := request.Header.Get("Damaskcrank-Target-Instance"); target != "" && target != backend.id {
		header.Set("Damaskcrank-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	backend.runs.Add(1)
	time.Sleep(20 * time.Millisecond)
	header.Set("Damaskcrank-Response-Signature", "of-"+id)
	_, _ = io.WriteString(writer, "answer to "+id)
}

// beat sends heartbeats until the backend stops.
func (backend *backend) beat() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"address": backend.listener.Addr().String(), "born": backend.born,
			"info":   map[string]any{"service": "huvo11a", "version": "v1", "zone": "zone-0", "maxConcurrency": 2},
			"status": map[string]any{"state": "ready", "sequence": sequence, "warmupRemaining": "0ms"},
		})
		for _, host := range backend.fleet.controls() {
			url := fmt.Sprintf("http://%s/rpc?call=instances.heartbeat&of=%s", host.address(backend.fleet.ports.control), backend.id)
			response, err := client.Post(url, "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode < http.StatusMultipleChoices {
				break
			}
		}
		select {
		case <-backend.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// consumers send a request every 100 ms to the entry hosts in turn, and count what is served.
type consumers struct {
	fleet   *fleet
	entries []*host
	mutex   sync.Mutex
	// sentAt and served are of all requests in order.
	sentAt []time.Time
	served []bool
}

func (consumers *consumers) run(stop <-chan struct{}) {
	client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		go consumers.send(client, number)
	}
}

func (consumers *consumers) send(client *http.Client, number int) {
	sentAt := time.Now()
	entry := consumers.entries[number%len(consumers.entries)]
	id := fmt.Sprintf("%016x", number+1)
	request, err := http.NewRequest(http.MethodGet, "http://"+entry.address(consumers.fleet.ports.front)+"/lohu930/"+id, nil)
	if err != nil {
		return
	}
	request.Host = "ficu95.example"
	request.Header.Set("Damaskcrank-Request-Id", id)
	request.Header.Set("Damaskcrank-Deadline-Ms", "1500")
	request.Header.Set("Damaskcrank-Key", "key-of-huka270")
	outcome := ""
	response, err := client.Do(request)
	if err != nil {
		outcome = "no answer"
	} else {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		outcome = response.Status
	}
	served := err == nil && response.StatusCode == http.StatusOK
	consumers.mutex.Lock()
	defer consumers.mutex.Unlock()
	consumers.sentAt, consumers.served = append(consumers.sentAt, sentAt), append(consumers.served, served)
	consumers.fleet.record.write("consumer: %s to %s: %s", id, entry.name, outcome)
}

// share returns the share of the requests sent in a time that were served, and their number.
func (consumers *consumers) share(from, to time.Time) (float64, int) {
	consumers.mutex.Lock()
	defer consumers.mutex.Unlock()
	served, sent := 0, 0
	for position, at := range consumers.sentAt {
		if at.Before(from) || at.After(to) {
			continue
		}
		sent++
		if consumers.served[position] {
			served++
		}
	}
	return float64(served) / float64(max(1, sent)), sent
}
