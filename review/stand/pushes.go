package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// coreMemory is that of a core machine of the Jordan site.
	coreMemory = 280 << 20
	// moreRoutes is the number of routes that the config grows by: twice what the site's
	// big_config adds.
	moreRoutes = 740
	pushes     = 500
	pushTime   = 75 * time.Second
	operators  = 4
)

// guardCore plays the platform for a control process: one that uses more memory than its
// machine has is killed, and started again.
func (fleet *fleet) guardCore(host *host, stop chan struct{}, ends *int, peak *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		pid := host.pid()
		if pid == 0 {
			continue
		}
		used := residentBytes(pid)
		if int64(used) > peak.Load() {
			peak.Store(int64(used))
		}
		if used <= coreMemory {
			continue
		}
		fleet.record.line("%s uses %d MB, more than its %d MB: the platform kills it", host.name, used>>20, coreMemory>>20)
		host.kill()
		if *ends++; *ends == 1 {
			fleet.record.say("%s uses %d MB, more than its %d MB: the platform kills it for the first time", host.name, used>>20, coreMemory>>20)
		}
		sleep(300 * time.Millisecond)
		if err := host.start(); err != nil {
			return
		}
	}
}

func init() { scenarios["pushes"] = configPushes }

// configPushes checks CONFIG (read back) and the faults: an operator sends the whole list of
// routes with each change of one of them.
func configPushes(root string, record *record, trouble bool) (bool, error) {
	fleet, err := begin(root, record, 4, 40*time.Millisecond)
	if err != nil {
		return false, err
	}
	routes := func(version, changed int) [][]any {
		var values [][]any
		for number := range moreRoutes {
			of := 8
			if number == changed {
				of = version
			}
			values = append(values, []any{fmt.Sprintf("r-%06d", number), hostname, fmt.Sprintf("/more%06d/", number), "safe", "1200ms", "500ms", 2, nil, 2, false, of, "fieldjobs"})
		}
		return values
	}
	change := func(version, changed int) map[string]any {
		return map[string]any{"upsert": map[string]any{"routes": rows(routeColumns, routes(version, changed)...)}}
	}
	if _, _, err := fleet.update(0, change(8, -1), 10*time.Second); err != nil {
		return false, err
	}
	controls := fleet.byRole("control")
	ends, peaks := make([]int, len(controls)), make([]atomic.Int64, len(controls))
	stop := make(chan struct{})
	var guards sync.WaitGroup
	for position, host := range controls {
		guards.Go(func() { fleet.guardCore(host, stop, &ends[position], &peaks[position]) })
	}
	var acknowledged, next atomic.Int64
	began := time.Now()
	var tasks sync.WaitGroup
	for number := range operators {
		tasks.Go(func() {
			for {
				push := int(next.Add(1))
				at := began.Add(time.Duration(push) * pushTime / pushes)
				if push > pushes || time.Since(began) > pushTime+10*time.Second {
					return
				}
				sleep(time.Until(at))
				body := change(8, -1)
				if trouble {
					body = change(100+push, push%moreRoutes)
				} else {
					body = map[string]any{"upsert": map[string]any{"routes": rows(routeColumns, routes(100+push, push%moreRoutes)[push%moreRoutes])}}
				}
				data, _ := json.Marshal(body)
				if push == 1 {
					record.say("a push has %d bytes", len(data))
				}
				for attempt := 0; attempt < 5; attempt++ {
					host := controls[(number+push+attempt)%len(controls)]
					status, _, err := post(context.Background(), fmt.Sprint(host.ip, ":", controlPort), "call=config.update", data, 2*time.Second)
					if err == nil && status == http.StatusOK {
						acknowledged.Add(1)
						break
					}
				}
				if push%50 == 0 {
					record.say("push %d, acknowledged %d, memory %d MB", push, acknowledged.Load(), residentBytes(controls[0].pid())>>20)
				}
			}
		})
	}
	tasks.Wait()
	read := false
	until := time.Now().Add(10 * time.Second)
	for attempt := 0; time.Now().Before(until) && !read; attempt++ {
		host := controls[attempt%len(controls)]
		status, answer, err := post(context.Background(), fmt.Sprint(host.ip, ":", controlPort), "call=config.get", nil, 2*time.Second)
		read = err == nil && status == http.StatusOK && len(answer) > 1000
		sleep(100 * time.Millisecond)
	}
	close(stop)
	guards.Wait()
	often := 0
	for position, host := range controls {
		record.say("%s: at most %d MB, ended %d times", host.name, peaks[position].Load()>>20, ends[position])
		if ends[position] >= 3 {
			often++
		}
	}
	record.say("acknowledged %d of %d, config read back: %v", acknowledged.Load(), pushes, read)
	record.say("control hosts that ended three times or more: %d of %d", often, len(controls))
	return !read, nil
}
