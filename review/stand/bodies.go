package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is that of an edge machine of the Jordan site.
	memoryLimit = 284 << 20
	// bodyBytes is below maxBodyBytes, 64 MiB.
	bodyBytes = 60 << 20
	// uploadPause is the time between two of them.
	uploadPause = 2 * time.Second
	// lostAllowed is the number of requests that LOST allows to be cut off.
	lostAllowed = 3
)

// residentBytes returns the memory that a process uses.
func residentBytes(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kilobytes int
		if count, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); count == 1 {
			return kilobytes << 10
		}
	}
	return 0
}

// guard plays the platform: it kills an entry process that uses more memory than its machine
// has, and starts it again after a short delay.
func (fleet *fleet) guard(host *host, stop chan struct{}, ends, peak *int) {
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
		*peak = max(*peak, used)
		if used <= memoryLimit {
			continue
		}
		fleet.record.say("%s uses %d MB, more than its %d MB: the platform kills it", host.name, used>>20, memoryLimit>>20)
		host.signal(syscall.SIGKILL)
		host.kill()
		*ends++
		sleep(300 * time.Millisecond)
		if err := host.start(); err != nil {
			fleet.record.say("start %s: %v", host.name, err)
			return
		}
	}
}

func init() { scenarios["bodies"] = bodies }

// bodies checks LOST: one client sends requests with bodies near maxBodyBytes, one at a time.
func bodies(root string, record *record, trouble bool) (bool, error) {
	fleet, err := begin(root, record, 4, 40*time.Millisecond)
	if err != nil {
		return false, err
	}
	entries := fleet.byRole("entry")
	ends, peaks := make([]int, len(entries)), make([]int, len(entries))
	stop := make(chan struct{})
	var guards sync.WaitGroup
	for position, host := range entries {
		guards.Go(func() { fleet.guard(host, stop, &ends[position], &peaks[position]) })
	}
	load := fleet.startLoad(24, 30*time.Millisecond, func() string { return tenantKey })
	sleep(4 * time.Second)
	size := 1200
	if trouble {
		size = bodyBytes
	}
	body := make([]byte, size)
	until := time.Now().Add(40 * time.Second)
	for round := 0; time.Now().Before(until); round++ {
		client := newClient(fleet, entries[round%len(entries)])
		client.send(http.MethodPost, "/confirm/x", (round*977)%65536, tenantKey, body, 1500*time.Millisecond)
		client.client.CloseIdleConnections()
		sleep(uploadPause)
	}
	answers := load.end()
	close(stop)
	guards.Wait()
	ran := map[string]bool{}
	for _, backend := range fleet.backends {
		for _, run := range backend.runsAfter(time.Time{}) {
			ran[run.id] = true
		}
	}
	cut := 0
	for _, answer := range answers {
		if answer.kept && answer.status == 0 && answer.err != nil && ran[answer.id] {
			cut++
		}
	}
	for position, host := range entries {
		record.say("%s: at most %d MB, ended %d times", host.name, peaks[position]>>20, ends[position])
	}
	record.say("requests of kept connections that were passed on to a backend and whose connection ended without an answer: %d", cut)
	return cut > lostAllowed, nil
}
