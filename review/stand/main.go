package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
	// maxTime is the time after which a case that is stuck ends all of its processes.
	maxTime = 115 * time.Second
)

// scenario is one case. Trouble is not set if the disruption is left out. It reports whether
// the rule was broken.
type scenario func(root string, record *record, trouble bool) (broken bool, err error)

// scenarios holds the cases by name; the file of each case adds it.
var scenarios = map[string]scenario{}

// running is the fleet to end if the case is interrupted.
var running *fleet

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT FOLDER")
		os.Exit(exitCouldNot)
	}
	play, known := scenarios[os.Args[1]]
	root, err := filepath.Abs(os.Args[2])
	if !known || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitCouldNot)
	}
	record, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCouldNot)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxTime):
		}
		if running != nil {
			running.close()
		}
		record.say("interrupted")
		record.close()
		os.Exit(exitCouldNot)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := play(root, record, trouble)
	if running != nil {
		running.close()
	}
	code := exitHeld
	switch {
	case err != nil:
		record.say("%v", err)
		code = exitCouldNot
		if !errors.Is(err, errSetup) {
			record.say("unexpected error")
		}
	case broken:
		record.say("the rule was broken")
		code = exitBroken
	default:
		record.say("the rule held")
	}
	record.close()
	os.Exit(code)
}

// begin starts a deployment with backends in all zones, sends the first config and waits
// until all backends serve.
func begin(root string, record *record, entries int, work time.Duration) (*fleet, error) {
	fleet, err := newFleet(root, record, entries)
	if err != nil {
		return nil, err
	}
	running = fleet
	if err := fleet.startAll(); err != nil {
		return nil, err
	}
	for number := range 8 {
		if _, err := fleet.addBackend("fieldjobs", zones[number%len(zones)], 1+number, true, work); err != nil {
			return nil, err
		}
	}
	for number := range 4 {
		if _, err := fleet.addBackend("dispatchdesk", zones[number%len(zones)], 11+number, false, work); err != nil {
			return nil, err
		}
	}
	if _, _, err := fleet.update(0, firstItems(), 20*time.Second); err != nil {
		return nil, err
	}
	if err := fleet.awaitService(30 * time.Second); err != nil {
		return nil, err
	}
	record.say("all backends serve")
	return fleet, nil
}
