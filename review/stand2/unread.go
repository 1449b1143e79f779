package main

import (
	"fmt"
	"net/http"
	"time"
)

// badCall is a config.update, and the name of the route that it is to set.
type badCall struct {
	what, route string
	change      map[string]any
}

// badGap is the time between two calls.
const badGap = time.Second

// unread sends calls of the operator that can't be read in full, each with a route of its own under
// a wrong name: of the list, or of its rows. Without the trouble the names are right.
func unread(record *record, trouble bool) (bool, error) {
	fleet, err := newFleet(record, 3, 1)
	if err != nil {
		return false, err
	}
	defer fleet.close()
	if err := fleet.startAll(); err != nil {
		return false, err
	}
	first := firstConfig([][]any{routeRow("r-jobs", "/jobs/", "safe", "1500ms", "jobs", 1)}, [][]any{serviceRow("jobs", false, 1)})
	if status, _, err := fleet.order(0, "call=config.update", first, 15*time.Second); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("first configuration: status %d: %w", status, err)
	}
	if err := fleet.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	listName, rowsName := "routes", "rows"
	if trouble {
		listName, rowsName = "route", "row"
	}
	calls := []badCall{
		{"a list named " + listName, "r-list", badUpsert(listName, "rows", "r-list")},
		{"rows named " + rowsName, "r-rows", badUpsert("routes", rowsName, "r-rows")},
	}
	statuses := map[string]int{}
	for _, call := range calls {
		status, _, err := fleet.order(1, "call=config.update", call.change, orderTime)
		record.printf("config.update with %s, route %s: %d %v", call.what, call.route, status, err)
		statuses[call.route] = status
		time.Sleep(badGap)
	}
	read, err := fleet.readConfig(2, orderTime)
	if err != nil {
		return false, err
	}
	present := map[string]bool{}
	for _, item := range read.Routes.items() {
		present[fmt.Sprint(item["name"])] = true
	}
	broken := false
	for _, call := range calls {
		acknowledged := statuses[call.route] == http.StatusOK
		record.printf("route %s: acknowledged %v, in config.get %v", call.route, acknowledged, present[call.route])
		broken = broken || acknowledged && !present[call.route]
		if !trouble && !acknowledged {
			return false, fmt.Errorf("a valid call was answered %d", statuses[call.route])
		}
	}
	return broken, nil
}

// badUpsert returns a call with one route, in a list and with rows of the given names.
func badUpsert(listName, rowsName, route string) map[string]any {
	row := routeRow(route, "/"+route+"/", "safe", "1500ms", "jobs", 2)
	return map[string]any{"upsert": map[string]any{listName: map[string]any{"columns": routeColumns, rowsName: [][]any{row}}}}
}
