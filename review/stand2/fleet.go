package main

import (
	"bytes"
	"context"
	"encoding/json"
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

// The ports of all hosts. Each host has a loopback address of its own.
const (
	controlPort = 8407
	callersPort = 8405
	healthPort  = 8406
	peerPort    = 7660
	serverPort  = 9000
)

// tenantKey is the API key of the only tenant, and routeHost the host of all routes.
const (
	tenantName = "drivers"
	tenantKey  = "key-of-the-drivers"
	routeHost  = "jobs.example"
)

// record writes what was sent, answered and run to the record file.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{file: file, began: time.Now()}, nil
}

// printf writes a line with the time since the start.
func (record *record) printf(format string, args ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(record.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(record.file, line)
	fmt.Println(line)
}

// fleet is the project's processes on loopback addresses.
type fleet struct {
	record *record
	folder string
	binary string
	octet  int
	hosts  []*host
	client *http.Client
}

// host is one process of the project, a control host or an entry host.
type host struct {
	fleet      *fleet
	name, role string
	ip, zone   string
	firstStart bool
	mutex      sync.Mutex
	command    *exec.Cmd
	done       chan struct{}
	exit       string
}

// newFleet returns a fleet of control and entry hosts, which are not started yet.
func newFleet(record *record, controls, entries int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("create a folder: %w", err)
	}
	binary, err := filepath.Abs("target/damaskcrank")
	if err != nil {
		return nil, fmt.Errorf("find the program: %w", err)
	}
	fleet := &fleet{
		record: record, folder: folder, binary: binary, octet: freeOctet(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	for number := range controls {
		fleet.addHost("control", number+1)
	}
	for number := range entries {
		fleet.addHost("entry", number+101)
	}
	return fleet, nil
}

// freeOctet returns the second octet of loopback addresses that nothing uses.
func freeOctet() int {
	for octet := 40 + os.Getpid()%20; octet < 250; octet++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", octet, controlPort))
		if err == nil {
			_ = listener.Close()
			return octet
		}
	}
	return 39
}

func (fleet *fleet) addHost(role string, number int) *host {
	host := &host{
		fleet: fleet, role: role, name: fmt.Sprintf("%s-%d", role, number), firstStart: true,
		ip: fmt.Sprintf("127.%d.%d.1", fleet.octet, number), zone: fmt.Sprintf("zone-%d", number%3),
	}
	fleet.hosts = append(fleet.hosts, host)
	return host
}

func (fleet *fleet) byRole(role string) []*host {
	var found []*host
	for _, host := range fleet.hosts {
		if host.role == role {
			found = append(found, host)
		}
	}
	return found
}

// settings is deploy/settings.toml, filled in as the platform does.
func (host *host) settings() string {
	var seeds []string
	for _, control := range host.fleet.byRole("control")[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", control.ip, controlPort)))
	}
	callers, health, control := "", "", ""
	if host.role == "entry" {
		callers, health = fmt.Sprintf("%s:%d", host.ip, callersPort), fmt.Sprintf("%s:%d", host.ip, healthPort)
	} else {
		control = fmt.Sprintf("%s:%d", host.ip, controlPort)
	}
	losses := (len(host.fleet.byRole("control")) - 1) / 2
	return fmt.Sprintf("[host]\nname = %q\ndataCentre = %q\ndataFolder = %q\nfirstStart = %v\nlink = 1000.0\nmemory = 284\n"+
		"[listen]\ncallers = %q\nhealth = %q\ncontrol = %q\n"+
		"[peer]\naddress = \"%s:%d\"\nseeds = [%s]\nsecret = \"known to all hosts of this deployment\"\nlosses = %d\n"+
		"[bounds]\nrevoke = \"5000ms\"\napply = \"2000ms\"\ndrain = \"2000ms\"\ngrace = \"6s\"\nretries = 64\n[log]\nlevel = \"info\"\n",
		host.name, host.zone, filepath.Join(host.fleet.folder, host.name), host.firstStart, callers, health, control,
		host.ip, peerPort, strings.Join(seeds, ","), losses)
}

// start starts the process with the command of the deploy file.
func (host *host) start() error {
	path := filepath.Join(host.fleet.folder, host.name+".toml")
	if err := os.WriteFile(path, []byte(host.settings()), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if err := os.MkdirAll(filepath.Join(host.fleet.folder, host.name), 0o700); err != nil {
		return fmt.Errorf("create the data folder: %w", err)
	}
	output, err := os.OpenFile(filepath.Join(host.fleet.folder, host.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("create the log: %w", err)
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(host.fleet.binary, "platform", host.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAMASKCRANK_SETTINGS=" + path}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", host.name, err)
	}
	done := make(chan struct{})
	host.mutex.Lock()
	host.command, host.done, host.firstStart, host.exit = command, done, false, ""
	host.mutex.Unlock()
	go func() {
		_ = command.Wait()
		host.mutex.Lock()
		host.exit = command.ProcessState.String()
		host.mutex.Unlock()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (host *host) signal(signal syscall.Signal) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if host.command != nil {
		_ = host.command.Process.Signal(signal)
	}
}

// kill ends the process and waits for its end.
func (host *host) kill() {
	host.signal(syscall.SIGCONT)
	host.signal(syscall.SIGKILL)
	host.mutex.Lock()
	done := host.done
	host.mutex.Unlock()
	if done != nil {
		<-done
	}
}

// exited returns how the process ended, or "" while it runs.
func (host *host) exited() string {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return host.exit
}

// startAll starts all hosts.
func (fleet *fleet) startAll() error {
	for _, host := range fleet.hosts {
		if err := host.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the folder.
func (fleet *fleet) close() {
	for _, host := range fleet.hosts {
		host.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fleet.folder)
	} else {
		fmt.Println("kept", fleet.folder)
	}
}

// post sends one call to a control host.
func (fleet *fleet) post(host *host, query string, body any, timeout time.Duration) (int, []byte, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, nil, fmt.Errorf("encode: %w", err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d/rpc?%s", host.ip, controlPort, query)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil, fmt.Errorf("build: %w", err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := fleet.client.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("send: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// order sends a call as the operator does: to one host after the other until the answer is
// clear.
func (fleet *fleet) order(first int, query string, body any, within time.Duration) (int, []byte, error) {
	controls := fleet.byRole("control")
	until := time.Now().Add(within)
	pause := 50 * time.Millisecond
	for attempt := 0; time.Now().Before(until); attempt++ {
		status, answer, err := fleet.post(controls[(first+attempt)%len(controls)], query, body, time.Second)
		if err == nil && status < 500 && status != 408 && status != 429 {
			return status, answer, nil
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	return 0, nil, fmt.Errorf("no clear answer to %s within %s", query, within)
}

// list is a list of items, as columns and rows.
type list struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// items returns the items of a list, each as a map of its fields that are set.
func (list *list) items() []map[string]any {
	var items []map[string]any
	if list == nil {
		return nil
	}
	for _, row := range list.Rows {
		item := map[string]any{}
		for position, column := range list.Columns {
			if row[position] != nil {
				item[column] = row[position]
			}
		}
		items = append(items, item)
	}
	return items
}

// config is what config.get returns.
type config struct {
	Routes   *list `json:"routes"`
	Tenants  *list `json:"tenants"`
	Services *list `json:"services"`
}

var (
	routeColumns = []string{"name", "hostname", "pathPrefix", "routeType", "timeout", "targetLatency", "priority", "trafficSplit", "maxAttempts", "public", "version", "service"}
	serviceCols  = []string{"name", "healthPath", "maxConnections", "protocol", "tls", "warmup", "warmupPerS", "sharded", "prewarm", "grants", "version"}
	tenantCols   = []string{"name", "apiKeys", "priority", "ratePerS", "burst", "version"}
)

func routeRow(name, prefix, kind, timeout, service string, version int) []any {
	return []any{name, routeHost, prefix, kind, timeout, "600ms", 1, nil, 2, false, version, service}
}

func serviceRow(name string, sharded bool, version int) []any {
	row := []any{name, "/healthz", 110, "h1", false, "0ms", 2.7, nil, nil, nil, version}
	if sharded {
		row[7], row[8], row[9] = true, "2s", "heartbeat"
	}
	return row
}

// upsert returns a config.update with complete items.
func upsert(routes, tenants, services [][]any) map[string]any {
	set := map[string]any{}
	if routes != nil {
		set["routes"] = list{routeColumns, routes}
	}
	if tenants != nil {
		set["tenants"] = list{tenantCols, tenants}
	}
	if services != nil {
		set["services"] = list{serviceCols, services}
	}
	return map[string]any{"upsert": set}
}

// firstConfig returns the first configuration: its limits, the tenant, and the items given.
func firstConfig(routes, services [][]any) map[string]any {
	change := upsert(routes, [][]any{{tenantName, []string{tenantKey}, 1, 0, 0, 1}}, services)
	set, _ := change["upsert"].(map[string]any)
	set["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms", "version": 1}
	return change
}

// readConfig reads the configuration back.
func (fleet *fleet) readConfig(first int, within time.Duration) (config, error) {
	status, answer, err := fleet.order(first, "call=config.get", nil, within)
	if err != nil {
		return config{}, err
	}
	var read config
	if err := json.Unmarshal(answer, &read); err != nil || status != http.StatusOK {
		return config{}, fmt.Errorf("config.get: status %d: %w", status, err)
	}
	return read, nil
}

// awaitReady waits until all entry hosts say that they are ready.
func (fleet *fleet) awaitReady(within time.Duration) error {
	until := time.Now().Add(within)
	for _, host := range fleet.byRole("entry") {
		for {
			response, err := fleet.client.Get(fmt.Sprintf("http://%s:%d/readyz", host.ip, healthPort))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", host.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
