// Command stand3 plays the script cases of the third review. It starts the project's own
// programs as separate processes on loopback addresses, together with small stand-ins for the
// platform: an operator, backends and consumers.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The terms of the small installation that the scripts use. They are those of the sheet of
// jrtsa-dispatch.
const (
	toleratedLosses = 2
	catchUp         = 4 * time.Second
	grace           = 6 * time.Second
	recovery        = 15 * time.Second
	contact         = 3 * time.Second
	heartbeat       = 870 * time.Millisecond
)

// ports are those that all hosts of a run have in common.
type ports struct{ front, ready, control, peer, metrics int }

// fleet is a set of processes with their settings and data folders.
type fleet struct {
	record  *record
	binary  string
	folder  string
	octet   int
	ports   ports
	hosts   []*host
	cleanup []func()
}

// host is one machine with one process.
type host struct {
	fleet  *fleet
	name   string
	role   string
	number int
	mutex  sync.Mutex
	// command is nil while no process runs.
	command *exec.Cmd
	ended   chan struct{}
}

// newFleet returns a fleet without hosts, on free addresses and in a temporary folder.
func newFleet(record *record, binary string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	fleet := &fleet{record: record, binary: binary, folder: folder}
	fleet.cleanup = append(fleet.cleanup, func() { _ = os.RemoveAll(folder) })
	if err := fleet.reserve(); err != nil {
		return nil, err
	}
	return fleet, nil
}

// reserve chooses a block of loopback addresses that no other run uses, and free ports.
func (fleet *fleet) reserve() error {
	for offset := range 100 {
		octet := 100 + (os.Getpid()+offset)%100
		guard, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:0", octet))
		if err != nil {
			continue
		}
		defer func() { _ = guard.Close() }()
		fleet.octet = octet
		var found []int
		for len(found) < 5 {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:0", octet))
			if err != nil {
				return err
			}
			defer func() { _ = listener.Close() }()
			found = append(found, listener.Addr().(*net.TCPAddr).Port)
		}
		fleet.ports = ports{found[0], found[1], found[2], found[3], found[4]}
		return nil
	}
	return errors.New("no free loopback addresses")
}

func (fleet *fleet) close() {
	for _, host := range fleet.hosts {
		host.kill()
	}
	for _, clean := range fleet.cleanup {
		clean()
	}
}

func (fleet *fleet) add(role string, number int) *host {
	added := &host{fleet: fleet, role: role, number: number, name: fmt.Sprint(role, "-", number)}
	fleet.hosts = append(fleet.hosts, added)
	return added
}

func (host *host) ip() string { return fmt.Sprintf("127.%d.%d.1", host.fleet.octet, host.number) }

func (host *host) address(port int) string { return fmt.Sprint(host.ip(), ":", port) }

func (host *host) dataFolder() string { return filepath.Join(host.fleet.folder, host.name) }

// settings returns the settings file, as the platform fills in deploy/settings.toml.
func (host *host) settings(bootstrap bool) string {
	fleet := host.fleet
	var seeds []string
	for _, other := range fleet.hosts {
		if other.role == "control" && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", other.address(fleet.ports.control)))
		}
	}
	data, front, ready, control := "", "", "", ""
	if host.role == "control" {
		data, control = host.dataFolder(), host.address(fleet.ports.control)
	} else {
		front, ready = host.address(fleet.ports.front), host.address(fleet.ports.ready)
	}
	return fmt.Sprintf("[host]\nname = %q\ndataCentre = \"zone-%d\"\ndataFolder = %q\nfirstStart = %v\nlink = 1000.0\nmemory = 284\n"+
		"[listen]\ncallers = %q\nhealth = %q\ncontrol = %q\nmetrics = %q\n"+
		"[peer]\naddress = %q\nseeds = [%s]\nsecret = \"known to all hosts of this deployment\"\nlosses = %d\n"+
		"[bounds]\nrevoke = \"5000ms\"\napply = \"2000ms\"\ndrain = \"2000ms\"\ngrace = \"%v\"\nretries = 64\n[log]\nlevel = \"info\"\n",
		host.name, host.number%4, data, bootstrap, front, ready, control, host.address(fleet.ports.metrics),
		host.address(fleet.ports.peer), strings.Join(seeds, ", "), toleratedLosses, grace)
}

// start starts the process with the command of the deploy file. Its output goes to a file in
// the temporary folder.
func (host *host) start(bootstrap bool) error {
	fleet := host.fleet
	if host.role == "control" {
		if err := os.MkdirAll(host.dataFolder(), 0o700); err != nil {
			return err
		}
	}
	file := filepath.Join(fleet.folder, host.name+".toml")
	if err := os.WriteFile(file, []byte(host.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(fleet.folder, host.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(fleet.binary, "platform", host.role)
	command.Env = []string{"DAMASKCRANK_SETTINGS=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + fleet.folder}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	host.mutex.Lock()
	host.command, host.ended = command, ended
	host.mutex.Unlock()
	go func() {
		err := command.Wait()
		fleet.record.write("%s ended: %v", host.name, err)
		close(ended)
	}()
	fleet.record.write("%s started, bootstrap %v", host.name, bootstrap)
	return nil
}

func (host *host) signal(signal syscall.Signal) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if host.command != nil {
		_ = host.command.Process.Signal(signal)
	}
}

// awaitEnd waits until the process has ended, and reports whether it has.
func (host *host) awaitEnd(within time.Duration) bool {
	host.mutex.Lock()
	ended := host.ended
	host.mutex.Unlock()
	if ended == nil {
		return true
	}
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
	}
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

func (host *host) kill() {
	host.signal(syscall.SIGCONT)
	host.signal(syscall.SIGKILL)
	host.awaitEnd(5 * time.Second)
}

// loseDisk empties the data folder of a machine without a process.
func (host *host) loseDisk() error {
	host.fleet.record.write("%s loses its disk", host.name)
	return os.RemoveAll(host.dataFolder())
}

// running reports whether the process runs.
func (host *host) running() bool { return !host.awaitEnd(0) }

func (fleet *fleet) controls() []*host {
	var found []*host
	for _, host := range fleet.hosts {
		if host.role == "control" && host.running() {
			found = append(found, host)
		}
	}
	return found
}

// operator sends orders to the control hosts in turn, as the pages say: it moves on after a
// failure, a 5xx or a second without an answer.
type operator struct {
	fleet  *fleet
	client *http.Client
	next   int
}

func newOperator(fleet *fleet) *operator {
	return &operator{fleet: fleet, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// order sends a call once, to the next control host.
func (operator *operator) order(call string, body []byte) (int, []byte, string, error) {
	controls := operator.fleet.controls()
	if len(controls) == 0 {
		return 0, nil, "", errors.New("no control host runs")
	}
	operator.next++
	chosen := controls[operator.next%len(controls)]
	url := "http://" + chosen.address(operator.fleet.ports.control) + "/rpc?call=" + call
	response, err := operator.client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, chosen.name, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, chosen.name, err
}

// until sends a call again until it is answered below 500, or the time is over.
func (operator *operator) until(ctx context.Context, call string, body []byte) (int, []byte, error) {
	var lastErr error
	for pause := 100 * time.Millisecond; ; pause = min(2*pause, time.Second) {
		status, answer, name, err := operator.order(call, body)
		if err == nil && status < http.StatusInternalServerError {
			operator.fleet.record.write("operator: %s at %s: %d", call, name, status)
			return status, answer, nil
		}
		if err == nil {
			err = fmt.Errorf("status %d at %s", status, name)
		}
		lastErr = err
		select {
		case <-ctx.Done():
			return 0, nil, fmt.Errorf("%s was not answered, at last: %w", call, lastErr)
		case <-time.After(pause):
		}
	}
}

// record is the record of a run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	since time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, since: time.Now()}, err
}

func (record *record) write(format string, args ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(record.since).Seconds(), fmt.Sprintf(format, args...))
}

// configuration returns the body of a change that holds one service, one tenant and one route,
// whose timeout tells the versions apart.
func configuration(version int, timeout string, keyed bool) []byte {
	table := func(columns []any, row []any) map[string]any {
		return map[string]any{"columns": columns, "rows": []any{row}}
	}
	body := map[string]any{"upsert": map[string]any{
		"services": table([]any{"name", "healthPath", "maxConnections", "protocol", "tls", "warmup", "warmupPerS", "sharded", "version"},
			[]any{"huvo11a", "/healthz", 110, "h1", false, "3s", 20.0, keyed, version}),
		"tenants": table([]any{"name", "apiKeys", "priority", "ratePerS", "burst", "version"}, []any{"huka270", []any{"key-of-huka270"}, 1, 0, 0, version}),
		"routes": table([]any{"name", "hostname", "pathPrefix", "routeType", "timeout", "targetLatency", "priority", "maxAttempts", "public", "version", "service"},
			[]any{"r-one", "ficu95.example", "/lohu930/", "safe", timeout, "600ms", 1, 2, false, version, "huvo11a"}),
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms", "version": version},
	}}
	data, _ := json.Marshal(body)
	return data
}
