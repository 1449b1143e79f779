// Package main runs the cases of the review: it starts the project's programs as separate
// processes on loopback addresses, plays clients, backends, operator and platform, and
// checks one rule.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	frontPort   = 8405
	readyPort   = 8406
	controlPort = 8407
	peerPort    = 7660
	backendPort = 8080
	// controlCount is that of the Jordan site, which bears the loss of two.
	controlCount = 5
)

// zones are those of the Jordan site.
var zones = []string{"amman-north", "amman-south", "zarqa", "madaba"}

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

// fleet is one deployment of the project's programs with its stand-ins.
type fleet struct {
	root, folder string
	octet        int
	record       *record
	hosts        []*host
	backends     []*backend
	retrySlack   string
}

// host is one process of the project.
type host struct {
	fleet     *fleet
	name      string
	role      string
	zone      string
	ip        string
	bootstrap bool

	mutex   sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// newFleet prepares a deployment with the given number of entry hosts.
func newFleet(root string, record *record, entries int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	fleet := &fleet{root: root, folder: folder, record: record, octet: freeOctet()}
	if fleet.octet == 0 {
		return nil, fmt.Errorf("%w: no free loopback addresses", errSetup)
	}
	for number := range controlCount {
		fleet.hosts = append(fleet.hosts, &host{
			fleet: fleet, name: fmt.Sprint("core-", number+1), role: "control", zone: zones[number%len(zones)],
			ip: fleet.address(1 + number), bootstrap: true,
		})
	}
	for number := range entries {
		fleet.hosts = append(fleet.hosts, &host{
			fleet: fleet, name: fmt.Sprint("edge-", number+1), role: "entry", zone: zones[number%len(zones)],
			ip: fleet.address(20 + number), bootstrap: true,
		})
	}
	return fleet, nil
}

func (fleet *fleet) address(number int) string {
	return fmt.Sprintf("127.%d.%d.1", fleet.octet, number)
}

// freeOctet returns the second number of loopback addresses on which the ports are free.
func freeOctet() int {
	for range 50 {
		octet := 10 + rand.IntN(240)
		free := true
		for number := 1; number < 60 && free; number++ {
			for _, port := range []int{frontPort, controlPort, peerPort, backendPort} {
				listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:%d", octet, number, port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return octet
		}
	}
	return 0
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

// settings fills in the project's own template of the settings file, with the values of the
// Jordan site.
func (host *host) settings() (string, error) {
	template, err := os.ReadFile(filepath.Join(host.fleet.root, "deploy", "settings.toml"))
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, control := range host.fleet.byRole("control")[:3] {
		seeds = append(seeds, fmt.Sprint(control.ip, ":", controlPort))
	}
	list, err := json.Marshal(seeds)
	if err != nil {
		return "", err
	}
	values := map[string]string{
		"node": host.name, "zone": host.zone, "bootstrap|json": fmt.Sprint(host.bootstrap), "ip": host.ip,
		"internalPorts.0": fmt.Sprint(peerPort), "seeds|json": string(list), "faultTolerance.machines|json": "2",
		"bounds.revoke": "5000ms", "bounds.configApply": "2000ms", "bounds.drain": "2000ms", "bounds.grace": "6s",
		"bounds.retryBudgetSlack": "64", "#bounds.retryBudgetSlack": "", "/bounds.retryBudgetSlack": "",
		// The site has no rollouts.
		"bounds.exposureShare": "0", "#bounds.exposureShare": "", "/bounds.exposureShare": "",
		"bounds.exposureSlack": "0", "#bounds.exposureSlack": "", "/bounds.exposureSlack": "",
		"bounds.rollback": "", "#bounds.rollback": "", "/bounds.rollback": "",
		"dataDir": "", "listen.front": "", "listen.ready": "", "listen.control": "", "limits.linkMbps|json": "0", "limits.memoryMb|json": "0",
	}
	if host.role == "control" {
		values["dataDir"] = filepath.Join(host.fleet.folder, "data-"+host.name)
		values["listen.control"] = fmt.Sprint(host.ip, ":", controlPort)
	} else {
		values["listen.front"] = fmt.Sprint(host.ip, ":", frontPort)
		values["listen.ready"] = fmt.Sprint(host.ip, ":", readyPort)
	}
	var pairs []string
	for name, value := range values {
		pairs = append(pairs, "{{"+name+"}}", value)
	}
	text := strings.NewReplacer(pairs...).Replace(string(template))
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("%w: the template of the settings has unknown placeholders", errSetup)
	}
	return text, nil
}

// start writes the settings file and starts the process with the command of the deploy file.
func (host *host) start() error {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	text, err := host.settings()
	if err != nil {
		return err
	}
	file := filepath.Join(host.fleet.folder, host.name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(host.fleet.folder, host.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command("target/damaskcrank", "platform", host.role)
	command.Dir = host.fleet.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAMASKCRANK_SETTINGS=" + file}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return fmt.Errorf("%w: start %s: %w", errSetup, host.name, err)
	}
	host.command, host.bootstrap = command, false
	host.done = make(chan struct{})
	go func(done chan struct{}) {
		_ = command.Wait()
		close(done)
	}(host.done)
	host.fleet.record.line("platform starts %s (%s, %s)", host.name, host.role, host.zone)
	return nil
}

// signal sends a signal to the process.
func (host *host) signal(signal syscall.Signal) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if host.command == nil {
		return
	}
	select {
	case <-host.done:
		return
	default:
	}
	_ = host.command.Process.Signal(signal)
	host.fleet.record.line("signal %s to %s", signal, host.name)
}

// kill ends the process and waits for its end.
func (host *host) kill() {
	host.mutex.Lock()
	command, done := host.command, host.done
	host.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	<-done
}

// pid returns the process ID, or 0 if the process has ended.
func (host *host) pid() int {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if host.command == nil {
		return 0
	}
	select {
	case <-host.done:
		return 0
	default:
		return host.command.Process.Pid
	}
}

// startAll starts all hosts within a moment, as at the first start of a deployment.
func (fleet *fleet) startAll() error {
	for _, host := range fleet.hosts {
		if err := host.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and stand-ins and removes the folder.
func (fleet *fleet) close() {
	for _, backend := range fleet.backends {
		backend.stop()
	}
	for _, host := range fleet.hosts {
		host.kill()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(fleet.folder))
	}
	_ = os.RemoveAll(fleet.folder)
}

// sleep pauses the scenario.
func sleep(duration time.Duration) { time.Sleep(duration) }
