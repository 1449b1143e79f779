package main

import (
	"net/http"
	"time"
)

const (
	copyWindows = 8
	copyTime    = 5 * time.Second
	calmTime    = 2 * time.Second
)

func init() { scenarios["copies"] = copies }

// copies checks REFUSED and TWICE: backends shed a part of their requests, and half of them
// send second copies of some answers, late.
func copies(root string, record *record, trouble bool) (bool, error) {
	fleet, err := begin(root, record, 4, 100*time.Millisecond)
	if err != nil {
		return false, err
	}
	var faulty []*wireBackend
	for _, backend := range fleet.backends {
		if backend.service != "fieldjobs" {
			continue
		}
		wire, err := serveWire(backend)
		if err != nil {
			return false, err
		}
		faulty = append(faulty, wire)
	}
	entries := fleet.byRole("entry")
	load := &load{stop: make(chan struct{})}
	for number := range 24 {
		load.tasks.Go(func() {
			client := newClient(fleet, entries[number%len(entries)])
			for round := 0; ; round++ {
				select {
				case <-load.stop:
					return
				case <-time.After(80 * time.Millisecond):
				}
				found := client.send(http.MethodPost, "/confirm/x", (number*7919+round*4513)%65536, tenantKey, nil, 1500*time.Millisecond)
				load.mutex.Lock()
				load.answers = append(load.answers, found)
				load.mutex.Unlock()
			}
		})
	}
	sleep(4 * time.Second)
	set := func(on bool) {
		record.say("disruption: %v", on && trouble)
		for position, wire := range faulty {
			wire.faults.shed.Store(on && trouble)
			wire.faults.extra.Store(on && trouble && position < len(faulty)/2)
		}
	}
	for range copyWindows {
		set(true)
		sleep(copyTime)
		set(false)
		sleep(calmTime)
	}
	answers := load.end()
	sleep(2 * time.Second)
	runs := map[string][]string{}
	for _, backend := range fleet.backends {
		for _, run := range backend.runsAfter(time.Time{}) {
			runs[run.id] = append(runs[run.id], backend.id)
		}
	}
	twice, refused, served := 0, 0, 0
	for _, answer := range answers {
		on := runs[answer.id]
		if answer.status == http.StatusOK {
			served++
		}
		if len(on) > 1 {
			twice++
			record.say("%s, which must not be repeated, ran %d times, on %v; its client got %d", answer.id, len(on), on, answer.status)
		}
		if len(on) > 0 && (answer.status == http.StatusServiceUnavailable || answer.status == http.StatusTooManyRequests) {
			refused++
			record.say("%s was answered %d, which says that it has not run, and ran on %v", answer.id, answer.status, on)
		}
	}
	extras := int64(0)
	for _, wire := range faulty {
		extras += wire.extras.Load()
	}
	record.say("of %d requests %d were served; second copies sent: %d; requests that ran more than once: %d; requests refused that had run: %d",
		len(answers), served, extras, twice, refused)
	return twice+refused > 0, nil
}
