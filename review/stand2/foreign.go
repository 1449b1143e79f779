package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// foreignServers is the number of servers that divide the keys.
	foreignServers = 3
	// watchTime is how long the holds are watched after the ping of another writer, and
	// watchInterval the time between two looks.
	watchTime     = 8 * time.Second
	watchInterval = 10 * time.Millisecond
	// maxOverlap is how long two servers may hold the same keys.
	maxOverlap = 500 * time.Millisecond
)

// foreign sends a ping of another writer, which lacks fields: it has the id and the address of a
// live server and a later start. The holds of all servers are watched.
func foreign(record *record, trouble bool) (bool, error) {
	fleet, err := newFleet(record, 3, 2)
	if err != nil {
		return false, err
	}
	defer fleet.close()
	if err := fleet.startAll(); err != nil {
		return false, err
	}
	first := firstConfig([][]any{routeRow("r-jobs", "/jobs/", "unsafe", "1500ms", "jobs", 1)}, [][]any{serviceRow("jobs", true, 1)})
	if status, _, err := fleet.order(0, "call=config.update", first, 15*time.Second); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("first configuration: status %d: %w", status, err)
	}
	var mutex sync.Mutex
	runsBy := map[string]int{}
	var servers []*server
	for number := range foreignServers {
		server := fleet.newServer(number, "jobs", true, func(run run) {
			mutex.Lock()
			defer mutex.Unlock()
			runsBy[run.server]++
			record.printf("%s ran %s", run.server, run.id)
		})
		if err := server.start(); err != nil {
			return false, err
		}
		defer server.stop()
		servers = append(servers, server)
	}
	if err := fleet.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	if err := awaitHolds(servers, 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(applyTime)
	ended := make(chan struct{})
	var consumers sync.WaitGroup
	defer consumers.Wait()
	defer close(ended)
	consumers.Go(func() { fleet.sendSteadily(ended) })
	time.Sleep(time.Second)
	for _, server := range servers {
		record.printf("%s holds %v", server.id, server.current())
	}
	if trouble {
		status, err := fleet.sendForeign(servers[0])
		record.printf("ping of another writer for %s: %d %v", servers[0].id, status, err)
	}
	longest := watchHolds(record, servers)
	mutex.Lock()
	defer mutex.Unlock()
	record.printf("runs by server: %v", runsBy)
	record.printf("two servers held the same keys for %v at most", longest.Round(watchInterval))
	return longest > maxOverlap, nil
}

// awaitHolds waits until the servers hold all keys.
func awaitHolds(servers []*server, within time.Duration) error {
	until := time.Now().Add(within)
	for {
		count := 0
		for _, server := range servers {
			for _, hold := range server.current() {
				count += hold.to - hold.from + 1
			}
		}
		if count == keyCount {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("the servers hold %d of %d keys", count, keyCount)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// keyCount is the number of keys of a service.
const keyCount = 1 << 16

// current returns what the server holds now.
func (server *server) current() []hold {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.expire()
	return append([]hold(nil), server.holds...)
}

// sendForeign sends the ping of another writer for a live server. It lacks version,
// warmupRemaining, holds and released.
func (fleet *fleet) sendForeign(server *server) (int, error) {
	body := map[string]any{
		"address": server.address, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": server.service, "zone": server.zone, "maxConcurrency": 4},
		"status": map[string]any{"state": "ready", "sequence": 1},
	}
	status, _, err := fleet.post(fleet.byRole("control")[0], "call=instances.heartbeat&of="+server.id, body, time.Second)
	return status, err
}

// sendSteadily sends requests for all parts of the key range until the channel is closed.
func (fleet *fleet) sendSteadily(ended chan struct{}) {
	const keyStep = 4093
	var group sync.WaitGroup
	defer group.Wait()
	var serial atomic.Int64
	for {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		number := serial.Add(1)
		group.Go(func() {
			key, id := int(number*keyStep%keyCount), fmt.Sprintf("%016x", number)
			entries := fleet.byRole("entry")
			status, _, err := fleet.send(entries[int(number)%len(entries)], http.MethodPost, "/jobs/x", id, key, 1500*time.Millisecond)
			fleet.record.printf("%s for key %d: %d %v", id, key, status, err)
		})
	}
}

// watchHolds returns the longest time for which two servers held the same keys.
func watchHolds(record *record, servers []*server) time.Duration {
	since := map[string]time.Time{}
	longest := time.Duration(0)
	for until := time.Now().Add(watchTime); time.Now().Before(until); time.Sleep(watchInterval) {
		now := time.Now()
		for position, left := range servers {
			for _, right := range servers[position+1:] {
				pair := left.id + " and " + right.id
				mine, other, both := overlap(left.current(), right.current())
				began, known := since[pair]
				switch {
				case !both && known:
					record.printf("%s held the same keys for %v", pair, now.Sub(began).Round(watchInterval))
					delete(since, pair)
				case both && !known:
					since[pair] = now
					record.printf("%s hold the same keys: %v and %v", pair, mine, other)
				case both:
					longest = max(longest, now.Sub(began))
				}
			}
		}
	}
	return longest
}

// overlap returns two holds that have keys in common, if there are any.
func overlap(left, right []hold) (mine, other hold, both bool) {
	for _, mine := range left {
		for _, other := range right {
			if mine.from <= other.to && other.from <= mine.to {
				return mine, other, true
			}
		}
	}
	return hold{}, hold{}, false
}
