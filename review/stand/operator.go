package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// order sends an order of the operator, first to one control host, then to the others, as
// long as there is no clear answer. It returns the status of the clear answer and when it
// came.
func (fleet *fleet) order(first int, query string, body []byte, within time.Duration) (int, time.Time, error) {
	controls := fleet.byRole("control")
	until := time.Now().Add(within)
	for attempt := 0; time.Now().Before(until); attempt++ {
		host := controls[(first+attempt)%len(controls)]
		fleet.record.line("operator sends %s to %s", query, host.name)
		status, _, err := post(context.Background(), fmt.Sprint(host.ip, ":", controlPort), query, body, time.Second)
		if err == nil && status < http.StatusInternalServerError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			fleet.record.say("operator gets %d for %s from %s", status, query, host.name)
			return status, time.Now(), nil
		}
		fleet.record.say("operator gets no clear answer for %s from %s (status %d)", query, host.name, status)
		sleep(50 * time.Millisecond)
	}
	return 0, time.Time{}, fmt.Errorf("%w: no answer to %s", errSetup, query)
}

// rows encodes items as columns and rows.
func rows(columns []string, values ...[]any) map[string]any {
	return map[string]any{"columns": columns, "rows": values}
}

var (
	routeColumns   = []string{"name", "hostname", "pathPrefix", "routeType", "timeout", "targetLatency", "priority", "trafficSplit", "maxAttempts", "public", "version", "service"}
	tenantColumns  = []string{"name", "apiKeys", "priority", "ratePerS", "burst", "version"}
	serviceColumns = []string{"name", "healthPath", "maxConnections", "protocol", "tls", "warmup", "warmupPerS", "sharded", "prewarm", "grants", "version"}
)

const (
	hostname  = "jobs.example"
	tenantKey = "2b9wu3fexd9dnn2ctnfz"
	tenant    = "huka270"
)

// firstItems is the first call of the operator, with all items.
func firstItems() map[string]any {
	return map[string]any{
		"upsert": map[string]any{
			"routes": rows(routeColumns,
				[]any{"r-lookup", hostname, "/lookup/", "safe", "1200ms", "500ms", 2, nil, 2, false, 7, "fieldjobs"},
				[]any{"r-confirm", hostname, "/confirm/", "unsafe", "1500ms", "600ms", 1, nil, 2, false, 7, "fieldjobs"},
				[]any{"r-booking", hostname, "/booking/", "unsafe", "1500ms", "300ms", 0, nil, 2, false, 7, "dispatchdesk"}),
			"tenants": rows(tenantColumns, []any{tenant, []string{tenantKey}, 1, 0, 0, 7}),
			"services": rows(serviceColumns,
				[]any{"fieldjobs", "/healthz", 130, "h1", false, "3s", 3.8, true, "3s", "heartbeat", 7},
				[]any{"dispatchdesk", "/healthz", 130, "h1", false, "3s", 3.8, nil, nil, nil, 7}),
			"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms", "version": 7},
		},
		"delete": map[string]any{"routes": []any{}},
	}
}

// update sends a change of the config.
func (fleet *fleet) update(first int, change map[string]any, within time.Duration) (int, time.Time, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return 0, time.Time{}, err
	}
	return fleet.order(first, "call=config.update", body, within)
}
