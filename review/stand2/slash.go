package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// slashRequests is the number of requests that each case of slash sends.
const slashRequests = 6

// slash sends requests to a host with the routes /a/, to service outer, and /a/b/, to service
// inner. The path of the requests is /a/b%2Fc, which /a/ begins and /a/b/ does not. Without the
// trouble it is /a/bc.
func slash(record *record, trouble bool) (bool, error) {
	fleet, err := newFleet(record, 3, 2)
	if err != nil {
		return false, err
	}
	defer fleet.close()
	if err := fleet.startAll(); err != nil {
		return false, err
	}
	first := firstConfig([][]any{
		routeRow("r-outer", "/a/", "unsafe", "1500ms", "outer", 1), routeRow("r-inner", "/a/b/", "unsafe", "1500ms", "inner", 1),
	}, [][]any{serviceRow("outer", false, 1), serviceRow("inner", false, 1)})
	if status, _, err := fleet.order(0, "call=config.update", first, 15*time.Second); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("first configuration: status %d: %w", status, err)
	}
	var mutex sync.Mutex
	broken, served := false, 0
	onRun := func(run run) {
		mutex.Lock()
		defer mutex.Unlock()
		record.printf("%s of service %s ran %s: %s %s", run.server, run.service, run.id, run.method, run.target)
		broken = broken || run.service != "outer"
	}
	for number, service := range []string{"outer", "inner"} {
		server := fleet.newServer(number, service, false, onRun)
		if err := server.start(); err != nil {
			return false, err
		}
		defer server.stop()
	}
	if err := fleet.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(applyTime)
	target := "/a/bc"
	if trouble {
		target = "/a/b%2Fc"
	}
	entries := fleet.byRole("entry")
	for number := range slashRequests {
		id := fmt.Sprintf("%016x", number+1)
		status, body, err := fleet.send(entries[number%len(entries)], http.MethodPost, target, id, 0, 1500*time.Millisecond)
		record.printf("%s: POST %s: %d %q %v", id, target, status, body, err)
		if status == http.StatusOK {
			served++
		}
	}
	if served == 0 {
		return false, fmt.Errorf("none of %d requests was served", slashRequests)
	}
	mutex.Lock()
	defer mutex.Unlock()
	return broken, nil
}
