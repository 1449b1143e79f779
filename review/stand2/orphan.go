package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// orphanRounds is the number of pairs of orders. Each pair is about a service and a route of its
	// own.
	orphanRounds = 40
	// orderTime is how long an operator goes on with one order.
	orderTime = 5 * time.Second
	// applyTime is configApply with some time to spare.
	applyTime = 3 * time.Second
	// requestsPerRoute is the number of requests that consumers send on a route of a pair of
	// which both orders were acknowledged.
	requestsPerRoute = 3
)

// orphan has two operators send one order each at the same time, to two control hosts: one drops a
// service that no route names, the other adds a route to it. Whichever order comes second makes
// the configuration invalid, so that one of the two has to be refused. Without the trouble, the
// second operator waits for the answer to the first.
func orphan(record *record, trouble bool) (bool, error) {
	fleet, err := newFleet(record, 3, 2)
	if err != nil {
		return false, err
	}
	defer fleet.close()
	if err := fleet.startAll(); err != nil {
		return false, err
	}
	services := [][]any{serviceRow("jobs", false, 1)}
	for round := range orphanRounds {
		services = append(services, serviceRow(orphanService(round), false, 1))
	}
	first := firstConfig([][]any{routeRow("r-jobs", "/jobs/", "safe", "1500ms", "jobs", 1)}, services)
	if status, _, err := fleet.order(0, "call=config.update", first, 15*time.Second); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("first configuration: status %d: %w", status, err)
	}
	// Servers of every service run, so that a route to it could be served.
	for round := range orphanRounds {
		server := fleet.newServer(round, orphanService(round), false, func(run run) { record.printf("%s ran %s", run.server, run.id) })
		if err := server.start(); err != nil {
			return false, err
		}
		defer server.stop()
	}
	if err := fleet.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(applyTime)
	var both []int
	for round := range orphanRounds {
		dropped, added := raceOrders(fleet, round, trouble)
		record.printf("drop service %s: %d; set route %s to it: %d", orphanService(round), dropped, orphanRoute(round), added)
		if dropped == http.StatusOK && added == http.StatusOK {
			both = append(both, round)
		}
	}
	if err := reportOrphans(fleet); err != nil {
		return false, err
	}
	time.Sleep(applyTime)
	for _, round := range both {
		for number := range requestsPerRoute {
			id := fmt.Sprintf("%08x%08x", round+1, number+1)
			entries := fleet.byRole("entry")
			status, _, err := fleet.send(entries[number%len(entries)], http.MethodGet, orphanPath(round)+"x", id, 0, 1500*time.Millisecond)
			record.printf("%s on route %s: %d %v", id, orphanRoute(round), status, err)
		}
	}
	record.printf("both orders were acknowledged in %d of %d pairs", len(both), orphanRounds)
	return len(both) > 0, nil
}

func orphanService(round int) string { return fmt.Sprintf("s-%d", round) }

func orphanRoute(round int) string { return fmt.Sprintf("r-%d", round) }

func orphanPath(round int) string { return fmt.Sprintf("/p%d/", round) }

// raceOrders sends both orders of a round and returns the statuses of their clear answers.
func raceOrders(fleet *fleet, round int, together bool) (dropped, added int) {
	drop := map[string]any{"delete": map[string]any{"services": []map[string]any{{"name": orphanService(round), "version": 5}}}}
	add := upsert([][]any{routeRow(orphanRoute(round), orphanPath(round), "safe", "1500ms", orphanService(round), 5)}, nil, nil)
	var group sync.WaitGroup
	group.Go(func() { dropped, _, _ = fleet.order(1, "call=config.update", drop, orderTime) })
	if !together {
		group.Wait()
	}
	group.Go(func() { added, _, _ = fleet.order(2, "call=config.update", add, orderTime) })
	group.Wait()
	return dropped, added
}

// reportOrphans records the routes that config.get shows without their service.
func reportOrphans(fleet *fleet) error {
	read, err := fleet.readConfig(0, orderTime)
	if err != nil {
		return err
	}
	present := map[string]bool{}
	for _, item := range read.Services.items() {
		present[fmt.Sprint(item["name"])] = true
	}
	for _, item := range read.Routes.items() {
		if service := fmt.Sprint(item["service"]); !present[service] {
			fleet.record.printf("config.get: route %v names service %s, which the configuration does not have", item["name"], service)
		}
	}
	return nil
}
