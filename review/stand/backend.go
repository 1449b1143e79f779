package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 870 * time.Millisecond
	heartbeatTimeout  = time.Second
	slots             = 2
	queueLength       = 8
)

// hold is a range of keys that a backend holds under a fence number.
type hold struct {
	from, to int
	fence    uint64
}

// run is a request that a backend began to work on.
type run struct {
	id, tenant, key string
	shardKey        int
	at              time.Time
}

// backend is a sound backend: it registers by heartbeats, holds the keys that it is granted
// until they expire or are left out, and runs requests that it holds the key of.
type backend struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	address string
	sharded bool
	work    time.Duration
	born    int64
	server  *http.Server
	cancel  context.CancelFunc
	slot    chan struct{}

	mutex    sync.Mutex
	sequence uint64
	holds    []hold
	// until is when the holds expire.
	until    time.Time
	released []hold
	waiting  int
	running  int
	runs     []run
	near     string
	next     int
	// spans are the times for which keys were held, for the check.
	spans []holding
}

// holding is a time for which a backend held keys.
type holding struct {
	hold
	since, until time.Time
}

func (fleet *fleet) addBackend(service, zone string, number int, sharded bool, work time.Duration) (*backend, error) {
	backend := &backend{
		fleet: fleet, id: fmt.Sprint("i-", number), service: service, zone: zone, sharded: sharded, work: work,
		address: fmt.Sprint(fleet.address(100+number), ":", backendPort), born: time.Now().UnixMilli(),
		slot: make(chan struct{}, slots), next: number,
	}
	listener, err := net.Listen("tcp", backend.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	backend.server = &http.Server{Handler: backend, IdleTimeout: 10 * time.Second}
	go func() { _ = backend.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	backend.cancel = cancel
	go backend.beat(ctx)
	fleet.backends = append(fleet.backends, backend)
	return backend, nil
}

func (backend *backend) stop() {
	backend.cancel()
	_ = backend.server.Close()
}

// expire ends holds that have run out. The mutex must be held.
func (backend *backend) expire(now time.Time) {
	if len(backend.holds) > 0 && !now.Before(backend.until) {
		for position := range backend.spans {
			if backend.spans[position].until.IsZero() {
				backend.spans[position].until = backend.until
			}
		}
		backend.holds = nil
	}
}

func (backend *backend) holdsKey(key int) bool {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	backend.expire(time.Now())
	return slices.ContainsFunc(backend.holds, func(hold hold) bool { return hold.from <= key && key <= hold.to })
}

// ServeHTTP runs a request, or says that it has not run.
func (backend *backend) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := request.Header
	id := header.Get("Damaskcrank-Request-Id")
	out := writer.Header()
	out.Set("Damaskcrank-Instance-Id", backend.id)
	backend.mutex.Lock()
	out.Set("Damaskcrank-Backend-Load", fmt.Sprintf("%d,%d,%d,100", backend.running, backend.waiting, slots))
	backend.mutex.Unlock()
	if request.URL.Path == "/healthz" {
		return
	}
	if id != "" {
		out.Set("Damaskcrank-Request-Id", id)
	}
	reject := func(status int, why string) {
		out.Set("Damaskcrank-Not-Executed", "1")
		writer.WriteHeader(status)
		backend.fleet.record.line("backend %s rejects %s with %d (%s)", backend.id, id, status, why)
	}
	key, _ := strconv.Atoi(header.Get("Damaskcrank-Shard-Key"))
	switch {
	case id == "":
		reject(http.StatusBadRequest, "no id")
		return
	case header.Get("Damaskcrank-Target-Instance") != backend.id:
		reject(http.StatusMisdirectedRequest, "meant for another backend")
		return
	case backend.sharded && !backend.holdsKey(key):
		reject(http.StatusMisdirectedRequest, "key not held")
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	backend.mutex.Lock()
	if backend.waiting >= queueLength {
		backend.mutex.Unlock()
		reject(http.StatusServiceUnavailable, "full")
		return
	}
	backend.waiting++
	backend.mutex.Unlock()
	budget, err := strconv.Atoi(header.Get("Damaskcrank-Deadline-Ms"))
	if err != nil {
		budget = 60000
	}
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(budget)*time.Millisecond)
	defer cancel()
	select {
	case backend.slot <- struct{}{}:
	case <-ctx.Done():
		backend.mutex.Lock()
		backend.waiting--
		backend.mutex.Unlock()
		reject(http.StatusServiceUnavailable, "time budget passed in the queue")
		return
	}
	defer func() { <-backend.slot }()
	backend.mutex.Lock()
	backend.waiting--
	backend.running++
	began := run{id: id, tenant: header.Get("Damaskcrank-Tenant-Id"), key: header.Get("Damaskcrank-Key"), shardKey: key, at: time.Now()}
	backend.runs = append(backend.runs, began)
	backend.mutex.Unlock()
	backend.fleet.record.line("backend %s (%s, %s) runs %s for tenant %q, key %d", backend.id, backend.service, backend.zone, id, began.tenant, key)
	select {
	case <-time.After(backend.work):
	case <-ctx.Done():
	}
	backend.mutex.Lock()
	backend.running--
	backend.mutex.Unlock()
	if ctx.Err() != nil {
		writer.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	out.Set("Damaskcrank-Response-Signature", "signed-"+id)
	_, _ = io.WriteString(writer, "body of "+id)
}

// runsAfter returns the requests that began after a time.
func (backend *backend) runsAfter(at time.Time) []run {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	var found []run
	for _, began := range backend.runs {
		if began.at.After(at) {
			found = append(found, began)
		}
	}
	return found
}

// beat sends heartbeats until the context ends.
func (backend *backend) beat(ctx context.Context) {
	for ctx.Err() == nil {
		pause := heartbeatInterval
		if backend.sendHeartbeat(ctx) {
			pause = 50 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// heartbeat returns the body of the next heartbeat.
func (backend *backend) heartbeat() []byte {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	backend.expire(time.Now())
	backend.sequence++
	body := map[string]any{
		"address": backend.address, "born": backend.born,
		"info":   map[string]any{"service": backend.service, "version": "v1", "zone": backend.zone, "maxConcurrency": slots},
		"status": map[string]any{"state": "ready", "sequence": backend.sequence, "warmupRemaining": "0ms"},
	}
	if backend.sharded {
		holds, released := [][]any{}, [][]any{}
		for _, hold := range backend.holds {
			holds = append(holds, []any{hold.from, hold.to, hold.fence})
		}
		for _, release := range backend.released {
			released = append(released, []any{release.from, release.to, fmt.Sprintf("handover-%d-%d", release.from, release.fence)})
		}
		body["holds"], body["released"] = holds, released
	}
	data, _ := json.Marshal(body)
	return data
}

// sendHeartbeat sends one heartbeat, to the next control host after a failure. It reports
// whether keys were released, so that the next one follows within 100 ms.
func (backend *backend) sendHeartbeat(ctx context.Context) bool {
	data := backend.heartbeat()
	controls := backend.fleet.byRole("control")
	for range controls {
		target := backend.near
		if target == "" {
			target = fmt.Sprint(controls[backend.next%len(controls)].ip, ":", controlPort)
		}
		sent := time.Now()
		status, answer, err := post(ctx, target, "call=instances.heartbeat&of="+backend.id, data, heartbeatTimeout)
		if err == nil && status/100 == 2 && len(answer) <= 4096 {
			return backend.accept(sent, answer)
		}
		backend.near = ""
		backend.next++
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// accept takes over the holds in the answer to a heartbeat.
func (backend *backend) accept(sent time.Time, answer []byte) bool {
	var reply struct {
		HeartbeatURL string               `json:"heartbeatUrl"`
		Holds        *[][]json.RawMessage `json:"holds"`
		HoldTime     string               `json:"hold_time"`
	}
	if json.Unmarshal(answer, &reply) != nil {
		return false
	}
	backend.near = reply.HeartbeatURL
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	now := time.Now()
	backend.expire(now)
	backend.released = nil
	if reply.Holds == nil || !backend.sharded {
		return false
	}
	holdTime, err := time.ParseDuration(reply.HoldTime)
	if err != nil {
		return false
	}
	var next []hold
	for _, row := range *reply.Holds {
		var granted hold
		if len(row) == 4 && json.Unmarshal(row[0], &granted.from) == nil && json.Unmarshal(row[1], &granted.to) == nil &&
			json.Unmarshal(row[2], &granted.fence) == nil {
			next = append(next, granted)
		}
	}
	for _, present := range backend.holds {
		if !slices.Contains(next, present) {
			backend.fleet.record.line("backend %s releases keys %d to %d, fence %d", backend.id, present.from, present.to, present.fence)
			if !slices.ContainsFunc(next, func(hold hold) bool { return hold.from <= present.from && present.to <= hold.to }) {
				backend.released = append(backend.released, present)
			}
			backend.endSpan(present, now)
		}
	}
	for _, granted := range next {
		if !slices.Contains(backend.holds, granted) {
			backend.fleet.record.line("backend %s takes keys %d to %d, fence %d", backend.id, granted.from, granted.to, granted.fence)
			backend.spans = append(backend.spans, holding{hold: granted, since: now})
		}
	}
	backend.holds, backend.until = next, sent.Add(holdTime)
	return len(backend.released) > 0
}

// endSpan records the end of a time for which keys were held. The mutex must be held.
func (backend *backend) endSpan(ended hold, at time.Time) {
	for position := range backend.spans {
		if backend.spans[position].hold == ended && backend.spans[position].until.IsZero() {
			backend.spans[position].until = at
		}
	}
}

// holdings returns the times for which keys were held, up to now.
func (backend *backend) holdings() []holding {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	now := time.Now()
	backend.expire(now)
	found := slices.Clone(backend.spans)
	for position := range found {
		if found[position].until.IsZero() {
			found[position].until = now
		}
	}
	return found
}

// post sends a call to a control host, on a connection of its own that is closed afterwards.
func post(ctx context.Context, target, query string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/rpc?"+query, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
