package main

import (
	"cmp"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// slashRequests is the number of requests that slash sends for each path.
const slashRequests = 6

// slashPath is a path and the service that may run requests for it, empty if no route begins the
// path.
type slashPath struct{ path, service string }

// slash sends requests to a host with the routes /a/, to service outer, and /a/b/, to service
// inner. Their paths have an encoded slash where a prefix has a plain one, so that the prefix does
// not begin the path. Without the trouble they have none.
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
	paths := []slashPath{{"/a/bc", "outer"}, {"/a/b/c", "inner"}}
	if trouble {
		paths = []slashPath{{"/a/b%2Fc", "outer"}, {"/a%2Fb", ""}}
	}
	allowed := map[string]string{}
	for _, path := range paths {
		allowed[path.path] = path.service
	}
	broken, served := false, 0
	onRun := func(run run) {
		mutex.Lock()
		defer mutex.Unlock()
		record.printf("%s of service %s ran %s: %s %s", run.server, run.service, run.id, run.method, run.target)
		broken = broken || run.service != allowed[run.target]
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
	entries := fleet.byRole("entry")
	for number := range slashRequests {
		for position, path := range paths {
			id := fmt.Sprintf("%08x%08x", position+1, number+1)
			status, body, err := fleet.send(entries[number%len(entries)], http.MethodPost, path.path, id, 0, 1500*time.Millisecond)
			record.printf("%s: POST %s, which %s may run: %d %q %v", id, path.path, cmp.Or(path.service, "no service"), status, body, err)
			if status == http.StatusOK {
				served++
			}
		}
	}
	if served == 0 {
		return false, fmt.Errorf("none of %d requests was served", slashRequests*len(paths))
	}
	mutex.Lock()
	defer mutex.Unlock()
	return broken, nil
}
