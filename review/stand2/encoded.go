package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// encodedRequests is the number of requests that encoded sends on each route.
const encodedRequests = 60

// encoded has the operator add a route whose prefix holds an encoded space, and sends requests with
// that prefix. Without the trouble the prefix holds a hyphen instead.
func encoded(record *record, trouble bool) (bool, error) {
	fleet, err := newFleet(record, 3, 2)
	if err != nil {
		return false, err
	}
	defer fleet.close()
	if err := fleet.startAll(); err != nil {
		return false, err
	}
	first := firstConfig([][]any{routeRow("r-jobs", "/jobs/", "unsafe", "1500ms", "jobs", 1)}, [][]any{serviceRow("jobs", false, 1)})
	if status, _, err := fleet.order(0, "call=config.update", first, 15*time.Second); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("first configuration: status %d: %w", status, err)
	}
	var mutex sync.Mutex
	runs := 0
	server := fleet.newServer(0, "jobs", false, func(run run) {
		mutex.Lock()
		defer mutex.Unlock()
		runs++
		record.printf("%s ran %s: %s %s", run.server, run.id, run.method, run.target)
	})
	if err := server.start(); err != nil {
		return false, err
	}
	defer server.stop()
	if err := fleet.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	prefix := "/order-desk/"
	if trouble {
		prefix = "/order%20desk/"
	}
	change := upsert([][]any{routeRow("r-desk", prefix, "unsafe", "1500ms", "jobs", 2)}, nil, nil)
	status, _, err := fleet.order(1, "call=config.update", change, orderTime)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("route %s: status %d: %w", prefix, status, err)
	}
	record.printf("route with prefix %s acknowledged", prefix)
	time.Sleep(applyTime)
	denied := map[string]int{}
	for number := range encodedRequests {
		for _, target := range []string{"/jobs/7", prefix + "7"} {
			id := fmt.Sprintf("%015x%d", number+1, len(target)%10)
			entries := fleet.byRole("entry")
			status, _, err := fleet.send(entries[number%len(entries)], http.MethodPost, target, id, 0, 1500*time.Millisecond)
			record.printf("%s: POST %s: %d %v", id, target, status, err)
			if status == http.StatusNotFound {
				denied[target]++
			}
		}
	}
	if runs == 0 {
		return false, fmt.Errorf("no request was run")
	}
	record.printf("answered 404 of %d each: %v", encodedRequests, denied)
	return len(denied) > 0, nil
}
