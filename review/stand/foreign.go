package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

func init() { scenarios["foreign"] = foreignHeartbeat }

// foreignHeartbeat checks OWNER: a heartbeat of another writer arrives that names a service
// that no config names.
func foreignHeartbeat(root string, record *record, trouble bool) (bool, error) {
	fleet, err := begin(root, record, 4, 40*time.Millisecond)
	if err != nil {
		return false, err
	}
	load := fleet.startLoad(24, 30*time.Millisecond, func() string { return tenantKey })
	sleep(8 * time.Second)
	victim := fleet.backends[0]
	if trouble {
		body, err := json.Marshal(map[string]any{
			"address": fmt.Sprint(fleet.address(150), ":", backendPort), "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "another-service", "version": "v1", "zone": victim.zone, "maxConcurrency": slots},
			"status": map[string]any{"state": "ready", "sequence": 1, "warmupRemaining": "0ms"},
		})
		if err != nil {
			return false, err
		}
		status, _, err := post(context.Background(), fmt.Sprint(fleet.byRole("control")[1].ip, ":", controlPort), "call=instances.heartbeat&of="+victim.id, body, time.Second)
		record.say("a heartbeat of another writer for %s, with a service that no config names, got status %d, error %v", victim.id, status, err)
	}
	sleep(6 * time.Second)
	load.end()
	return fleet.overlaps(), nil
}

// overlaps reports whether two backends held the same keys for over half a second.
func (fleet *fleet) overlaps() bool {
	type owned struct {
		backend *backend
		holding
	}
	var all []owned
	for _, backend := range fleet.backends {
		for _, holding := range backend.holdings() {
			all = append(all, owned{backend, holding})
		}
	}
	broken := false
	for position, left := range all {
		for _, right := range all[position+1:] {
			if left.backend == right.backend || left.from > right.to || right.from > left.to {
				continue
			}
			since, until := left.since, left.until
			if right.since.After(since) {
				since = right.since
			}
			if right.until.Before(until) {
				until = right.until
			}
			if !until.After(since) {
				continue
			}
			from, to := max(left.from, right.from), min(left.to, right.to)
			runs := func(backend *backend) int {
				count := 0
				for _, run := range backend.runsAfter(since) {
					if !run.at.After(until) && run.shardKey >= from && run.shardKey <= to {
						count++
					}
				}
				return count
			}
			leftRuns, rightRuns := runs(left.backend), runs(right.backend)
			fleet.record.say("%s (fence %d) and %s (fence %d) both held keys %d to %d for %.3f s, and began %d and %d requests on them", left.backend.id, left.fence,
				right.backend.id, right.fence, from, to, until.Sub(since).Seconds(), leftRuns, rightRuns)
			if until.Sub(since) > 500*time.Millisecond || leftRuns > 0 && rightRuns > 0 {
				broken = true
			}
		}
	}
	return broken
}
