package main

import (
	"syscall"
	"time"
)

const (
	evacuated = "zarqa"
	// evacuateBound is the bound of an evacuation, and skewMax what an unstable core adds to it
	// at most.
	evacuateBound = 5 * time.Second
	skewMax       = 5 * time.Second
	// freezeTime is how long the control host stands still. The site's days freeze core
	// machines for up to 7.4 s.
	freezeTime = 5 * time.Second
)

func init() { scenarios["evacuation"] = evacuation }

// evacuation checks EVAC: a control host stands still while the operator withdraws an
// evacuation, and the operator evacuates the zone again before that host wakes.
func evacuation(root string, record *record, trouble bool) (bool, error) {
	fleet, err := begin(root, record, 4, 40*time.Millisecond)
	if err != nil {
		return false, err
	}
	load := fleet.startLoad(12, 60*time.Millisecond, func() string { return tenantKey })
	defer func() {
		select {
		case <-load.stop:
		default:
			load.end()
		}
	}()
	const start, finish = "call=evacuate.start&of=" + evacuated, "call=evacuate.finish&of=" + evacuated
	if _, _, err := fleet.order(0, start, nil, 4*time.Second); err != nil {
		return false, err
	}
	sleep(6 * time.Second)
	// The operator picks the fifth control host for the next order.
	const picked = 4
	frozen := fleet.byRole("control")[picked]
	frozenAt := time.Now()
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		sleep(200 * time.Millisecond)
	}
	if _, _, err := fleet.order(picked, finish, nil, 4*time.Second); err != nil {
		return false, err
	}
	sleep(time.Second)
	_, acknowledged, err := fleet.order(1, start, nil, 4*time.Second)
	if err != nil {
		return false, err
	}
	if trouble {
		sleep(time.Until(frozenAt.Add(freezeTime)))
		frozen.signal(syscall.SIGCONT)
	}
	sleep(time.Until(acknowledged.Add(20 * time.Second)))
	load.end()
	late, inZone := 0, 0
	for _, backend := range fleet.backends {
		if backend.zone != evacuated {
			continue
		}
		inZone += len(backend.runsAfter(acknowledged.Add(evacuateBound)))
		runs := backend.runsAfter(acknowledged.Add(evacuateBound + skewMax))
		late += len(runs)
		for position, run := range runs {
			if position < 3 {
				record.say("%s in %s ran %s %.1f s after the evacuation of the zone was acknowledged", backend.id, backend.zone, run.id, run.at.Sub(acknowledged).Seconds())
			}
		}
	}
	record.say("requests that ran in the evacuated zone: %d later than %v after its acknowledgement, %d of them later than %v",
		inZone, evacuateBound, late, evacuateBound+skewMax)
	return late > 0, nil
}
