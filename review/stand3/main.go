package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	cases := map[string]func(*fleet, bool) (bool, error){
		"first-start": playFirstStart, "planned-replacement": playPlannedReplacement,
		"first-change": playFirstChange, "lost-seed": playLostSeed,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER, in the root of the repository")
		os.Exit(exitNotRun)
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	binary, err := filepath.Abs("target/damaskcrank")
	if err != nil {
		os.Exit(exitNotRun)
	}
	fleet, err := newFleet(record, binary)
	if err != nil {
		record.write("the case could not run: %v", err)
		os.Exit(exitNotRun)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		fleet.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.write("case %s, with the disruption: %v", os.Args[1], trouble)
	held, err := cases[os.Args[1]](fleet, trouble)
	if folder := os.Getenv("KEEP_LOGS"); folder != "" {
		_ = os.CopyFS(folder, os.DirFS(fleet.folder))
	}
	fleet.close()
	switch {
	case err != nil:
		record.write("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(exitNotRun)
	case !held:
		record.write("the rule was broken")
		fmt.Println("broken")
		os.Exit(exitBroken)
	}
	record.write("the rule held")
	fmt.Println("held")
	os.Exit(exitHeld)
}

// seconds returns a number of seconds from the environment, for trials.
func seconds(name string, otherwise time.Duration) time.Duration {
	value, err := strconv.ParseFloat(os.Getenv(name), 64)
	if err != nil {
		return otherwise
	}
	return time.Duration(value * float64(time.Second))
}

// awaitServed waits until a first share of requests is served.
func (consumers *consumers) awaitServed(within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if share, sent := consumers.share(time.Now().Add(-2*time.Second), time.Now()); sent >= 10 && share > 0.9 {
			return true
		}
	}
	return false
}

// startTraffic starts backends and consumers.
func startTraffic(fleet *fleet, entries []*host) (*consumers, func(), error) {
	for number := range 3 {
		if _, err := startBackend(fleet, number+1); err != nil {
			return nil, nil, err
		}
	}
	sending, stop := &consumers{fleet: fleet, entries: entries}, make(chan struct{})
	go sending.run(stop)
	return sending, func() { close(stop) }, nil
}

// playFirstStart kills the process of one seed in the first moment of the first start of the
// whole system. It is restarted at once, with its disk.
func playFirstStart(fleet *fleet, trouble bool) (bool, error) {
	var controls []*host
	for number := range 5 {
		controls = append(controls, fleet.add("control", number+1))
	}
	entries := []*host{fleet.add("entry", 11), fleet.add("entry", 12)}
	killed := controls[0]
	if err := killed.start(true); err != nil {
		return false, err
	}
	time.Sleep(150 * time.Millisecond)
	if trouble {
		fleet.record.write("SIGKILL to %s", killed.name)
		killed.kill()
	}
	for _, host := range append(controls[1:], entries...) {
		if err := host.start(true); err != nil {
			return false, err
		}
	}
	if trouble {
		time.Sleep(100 * time.Millisecond)
		if err := killed.start(false); err != nil {
			return false, err
		}
	}
	return firstConfiguration(fleet, entries)
}

// playPlannedReplacement replaces a machine of the core as planned: the new one first, then
// SIGTERM to the old one once the new one has had its catchUp. Then a change is acknowledged,
// and two other machines lose their disks, as many as the installation has to bear.
func playPlannedReplacement(fleet *fleet, trouble bool) (bool, error) {
	var controls []*host
	for number := range 5 {
		controls = append(controls, fleet.add("control", number+1))
	}
	entries := []*host{fleet.add("entry", 11), fleet.add("entry", 12)}
	for _, host := range fleet.hosts {
		if err := host.start(true); err != nil {
			return false, err
		}
	}
	operator := newOperator(fleet)
	if err := accepted(operator, configuration(1, "1500ms", false), 20*time.Second); err != nil {
		return false, err
	}
	sending, stop, err := startTraffic(fleet, entries)
	if err != nil {
		return false, err
	}
	defer stop()
	if !sending.awaitServed(20 * time.Second) {
		return false, errors.New("no requests are served before the disruption")
	}
	successor, old := fleet.add("control", 6), controls[4]
	if err := successor.start(false); err != nil {
		return false, err
	}
	time.Sleep(catchUp + time.Second)
	fleet.record.write("SIGTERM to %s, which is removed for good", old.name)
	old.signal(syscall.SIGTERM)
	if !old.awaitEnd(grace) {
		old.kill()
	}
	time.Sleep(seconds("PAUSE", 500*time.Millisecond))
	if err := accepted(operator, configuration(2, "1400ms", false), 4*time.Second); err != nil {
		return false, err
	}
	if trouble {
		if err := loseDisks(fleet, controls[:toleratedLosses]); err != nil {
			return false, err
		}
	}
	return readBack(fleet, operator, sending)
}

var errRefused = errors.New("a change was refused")

// accepted sends a change until it is acknowledged.
func accepted(operator *operator, body []byte, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	status, _, err := operator.until(ctx, "config.update", body)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%w with %d", errRefused, status)
	}
	return err
}

// playFirstChange starts the whole system for the first time. As soon as the first
// configuration is acknowledged, two machines lose their disks, as many as the installation
// has to bear.
func playFirstChange(fleet *fleet, trouble bool) (bool, error) {
	var controls []*host
	for number := range 5 {
		controls = append(controls, fleet.add("control", number+1))
	}
	entries := []*host{fleet.add("entry", 11), fleet.add("entry", 12)}
	for position, host := range fleet.hosts {
		if position == 3 { // the seeds have started; all start within 0.3 s of each other
			time.Sleep(200 * time.Millisecond)
		}
		if err := host.start(true); err != nil {
			return false, err
		}
	}
	operator := newOperator(fleet)
	if err := accepted(operator, configuration(1, "1400ms", false), 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(seconds("PAUSE", 0))
	if trouble {
		if err := loseDisks(fleet, controls[:toleratedLosses]); err != nil {
			return false, err
		}
	}
	sending, stop, err := startTraffic(fleet, entries)
	if err != nil {
		return false, err
	}
	defer stop()
	return readBack(fleet, operator, sending)
}

// loseDisks has machines lose power and their disks. They are back after a second.
func loseDisks(fleet *fleet, lost []*host) error {
	for _, host := range lost {
		fleet.record.write("%s loses power", host.name)
		host.signal(syscall.SIGKILL)
	}
	for _, host := range lost {
		host.kill()
		if err := host.loseDisk(); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	for _, host := range lost {
		if err := host.start(false); err != nil {
			return err
		}
	}
	return nil
}

// readBack reports whether the acknowledged configuration, whose timeout is 1400 ms, is read
// back, and requests are served once the recovery time is over.
func readBack(fleet *fleet, operator *operator, sending *consumers) (bool, error) {
	back := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 2*recovery)
	defer cancel()
	_, answer, err := operator.until(ctx, "config.get", nil)
	time.Sleep(time.Until(back.Add(recovery)))
	from := time.Now()
	time.Sleep(5 * time.Second)
	share, sent := sending.share(from, time.Now().Add(-1500*time.Millisecond))
	fleet.record.write("%.0f s after the machines were back, %.2f of %d requests were served", from.Sub(back).Seconds(), share, sent)
	for _, host := range fleet.hosts {
		fleet.record.write("%s runs: %v", host.name, host.running())
	}
	switch {
	case err != nil:
		fleet.record.write("the configuration was not read back: %v", err)
		return false, nil
	case !strings.Contains(string(answer), "1400ms"):
		fleet.record.write("the acknowledged configuration is gone: %s", answer)
		return false, nil
	}
	return share >= 0.25, nil
}

// playLostSeed loses a seed for good in the first moment of the first start of the whole
// system. A machine with an empty disk takes its place at another address.
func playLostSeed(fleet *fleet, trouble bool) (bool, error) {
	var controls []*host
	for number := range 5 {
		controls = append(controls, fleet.add("control", number+1))
	}
	entries := []*host{fleet.add("entry", 11), fleet.add("entry", 12)}
	lost := controls[2]
	if err := lost.start(true); err != nil {
		return false, err
	}
	time.Sleep(150 * time.Millisecond)
	if trouble {
		fleet.record.write("%s loses power and is gone for good", lost.name)
		lost.kill()
	}
	for _, host := range fleet.hosts {
		if host == lost {
			continue
		}
		if err := host.start(true); err != nil {
			return false, err
		}
	}
	if trouble {
		time.Sleep(2 * time.Second)
		successor := fleet.add("control", 6)
		if err := successor.start(false); err != nil {
			return false, err
		}
	}
	return firstConfiguration(fleet, entries)
}

// firstConfiguration sends the first configuration until it is accepted, for a minute, and then
// reads it back for contact. It reports whether it is read back, and requests are served.
func firstConfiguration(fleet *fleet, entries []*host) (bool, error) {
	sending, stop, err := startTraffic(fleet, entries)
	if err != nil {
		return false, err
	}
	defer stop()
	operator := newOperator(fleet)
	err = accepted(operator, configuration(1, "1400ms", false), 60*time.Second)
	for _, host := range fleet.hosts {
		fleet.record.write("%s runs: %v", host.name, host.running())
	}
	if errors.Is(err, errRefused) {
		return false, err
	}
	if err != nil {
		fleet.record.write("the first configuration was not accepted for 60 s: %v", err)
	}
	served := err == nil && sending.awaitServed(recovery)
	share, sent := sending.share(time.Time{}, time.Now())
	fleet.record.write("requests are served: %v; of %d requests so far %.2f were served", served, sent, share)
	ctx, cancel := context.WithTimeout(context.Background(), contact)
	defer cancel()
	_, answer, err := operator.until(ctx, "config.get", nil)
	if err != nil {
		fleet.record.write("the configuration was not read back: %v", err)
		return false, nil
	}
	return served && strings.Contains(string(answer), "1400ms"), nil
}
