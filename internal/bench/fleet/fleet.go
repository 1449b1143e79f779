// Package fleet runs several hosts and fake upstreams in one process, each on its
// own loopback address, for the demo, for load tests and for end-to-end tests.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/conf"
	"damaskcrank.example/damaskcrank/internal/bench/fake"
	"damaskcrank.example/damaskcrank/internal/entry/front"
	"damaskcrank.example/damaskcrank/internal/fleet/host"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// Error is the class of all errors of this package.
var Error = errs.Class("fleet")

const (
	callerPort   = 7400
	operatorPort = 7401
	peerPort     = 7402
	controlPort  = 7403
	upstreamPort = 8000
	// firstUpstreamOctet is the last octet of the address of the first upstream.
	// Hosts use the octets from 1 upwards.
	firstUpstreamOctet = 100
	operatorTimeout    = 15 * time.Second
	pollInterval       = 10 * time.Millisecond
	folderMode         = 0o700
	maxPrefixAttempts  = 50
	operatorToken      = "fleet-operator"
)

// Options configures a Fleet.
type Options struct {
	// Hosts is the number of hosts; the first ControlHosts of them are control
	// hosts.
	Hosts        int
	ControlHosts int
	// DataCentres are assigned to the hosts in round-robin order.
	DataCentres []string
	// Folder holds the hosts' data folders.
	Folder string
	Log    log.Interface
}

// Fleet is a group of hosts and upstreams that run in this process.
type Fleet struct {
	options Options
	// prefix is the first three octets of all addresses, with a trailing dot.
	prefix string
	secret trust.Secret
	// Hosts holds the hosts by number; a host that is not running is nil.
	Hosts     []*host.Host
	Upstreams []*fake.Upstream
	// Journal records the writes that ran on any of the upstreams.
	Journal *fake.Journal
	client  *http.Client
}

// Start starts the hosts and waits until all of them hold their leases.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	prefix, err := findFreePrefix()
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{
		options: options, prefix: prefix, secret: trust.Secret("a fleet's secret on loopback"),
		Hosts: make([]*host.Host, options.Hosts), Journal: &fake.Journal{},
		client: &http.Client{Timeout: operatorTimeout},
	}
	for number := range options.Hosts {
		if err := fleet.StartHost(number); err != nil {
			fleet.Close()
			return nil, err
		}
	}
	if err := fleet.AwaitReady(ctx); err != nil {
		fleet.Close()
		return nil, err
	}
	return fleet, nil
}

// findFreePrefix returns the prefix of a random loopback network that no other
// fleet uses.
func findFreePrefix() (string, error) {
	for range maxPrefixAttempts {
		prefix := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250)) //nolint:gosec // only has to avoid collisions
		var config net.ListenConfig
		listener, err := config.Listen(context.Background(), "tcp", fmt.Sprintf("%s1:%d", prefix, callerPort))
		if err == nil {
			_ = listener.Close()
			return prefix, nil
		}
	}
	return "", Error.New("no free loopback network found")
}

// address returns an address in the fleet's loopback network.
func (fleet *Fleet) address(lastOctet, port int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s%d:%d", fleet.prefix, lastOctet, port))
}

// CallerAddress returns the address on which a host accepts callers' requests.
func (fleet *Fleet) CallerAddress(number int) netip.AddrPort {
	return fleet.address(number+1, callerPort)
}

// OperatorAddress returns the address of a host's operator API.
func (fleet *Fleet) OperatorAddress(number int) netip.AddrPort {
	return fleet.address(number+1, operatorPort)
}

// ControlAddress returns the address on which a host accepts connections of the
// control group.
func (fleet *Fleet) ControlAddress(number int) netip.AddrPort {
	return fleet.address(number+1, controlPort)
}

// DataFolder returns a host's data folder.
func (fleet *Fleet) DataFolder(number int) string {
	return filepath.Join(fleet.options.Folder, fmt.Sprintf("host-%d", number))
}

// settings returns the settings of a host.
func (fleet *Fleet) settings(number int) conf.Settings {
	settings := conf.Settings{
		Host: conf.Host{
			Name:       fmt.Sprintf("host-%d", number),
			DataCentre: fleet.options.DataCentres[number%len(fleet.options.DataCentres)],
			DataFolder: fleet.DataFolder(number),
		},
		Caller: conf.Caller{Address: fleet.CallerAddress(number)},
		Operator: conf.Operator{
			Address: fleet.OperatorAddress(number),
			Tokens:  []conf.Token{{Name: "fleet", Hash: front.HashSecret(operatorToken)}},
		},
		Peer:    conf.Peer{Address: fleet.address(number+1, peerPort)},
		Control: conf.Control{Enabled: number < fleet.options.ControlHosts, Address: fleet.address(number+1, controlPort)},
	}
	for control := range fleet.options.ControlHosts {
		settings.Control.Hosts = append(settings.Control.Hosts, fleet.address(control+1, controlPort))
		settings.Control.HeartbeatAddresses = append(settings.Control.HeartbeatAddresses, fleet.address(control+1, peerPort))
	}
	return settings
}

// StartHost starts a host for the first time or after it was stopped.
func (fleet *Fleet) StartHost(number int) error {
	settings := fleet.settings(number)
	if err := os.MkdirAll(settings.Host.DataFolder, folderMode); err != nil {
		return Error.New("create data folder: %w", err)
	}
	started, err := host.Start(host.Options{
		Settings: settings, Secret: fleet.secret, Clock: clockwork.NewRealClock(),
		Log: fleet.options.Log.WithField("host", settings.Host.Name),
	})
	if err != nil {
		return Error.New("start %s: %w", settings.Host.Name, err)
	}
	fleet.Hosts[number] = started
	return nil
}

// KillHost terminates a host as a crash would. It does nothing if the host is not
// running.
func (fleet *Fleet) KillHost(number int) {
	if fleet.Hosts[number] != nil {
		fleet.Hosts[number].Kill()
		fleet.Hosts[number] = nil
	}
}

// StopHost shuts down a host gracefully.
func (fleet *Fleet) StopHost(ctx context.Context, number int) error {
	stopped := fleet.Hosts[number]
	fleet.Hosts[number] = nil
	if err := stopped.Stop(ctx); err != nil {
		return Error.New("stop host %d: %w", number, err)
	}
	return nil
}

// Leader returns the number of the control leader, or -1 if there is none.
func (fleet *Fleet) Leader() int {
	for number, running := range fleet.Hosts {
		if running != nil && running.Node() != nil && running.Node().HoldsLease() {
			return number
		}
	}
	return -1
}

// ReadyHost returns the number of a host that is ready, or 0 if none is.
func (fleet *Fleet) ReadyHost() int {
	for number, running := range fleet.Hosts {
		if running != nil && running.Ready() {
			return number
		}
	}
	return 0
}

// AwaitReady waits until all running hosts hold their leases.
func (fleet *Fleet) AwaitReady(ctx context.Context) error {
	return fleet.WaitFor(ctx, "all hosts to hold their leases", func() bool {
		for _, running := range fleet.Hosts {
			if running != nil && !running.Ready() {
				return false
			}
		}
		return true
	})
}

// WaitFor polls a condition until it holds or ctx is cancelled. The description of
// the condition appears in the error.
func (fleet *Fleet) WaitFor(ctx context.Context, description string, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return Error.New("wait for %s: %w", description, ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// StartUpstream starts a fake upstream that announces itself to the hosts in
// turn.
func (fleet *Fleet) StartUpstream(options fake.Options) (*fake.Upstream, error) {
	options.Address = fleet.address(firstUpstreamOctet+len(fleet.Upstreams), upstreamPort)
	options.Seed = uint64(len(fleet.Upstreams))
	for number := range fleet.options.Hosts {
		options.OperatorAddresses = append(options.OperatorAddresses, fleet.OperatorAddress(number))
	}
	upstream, err := fake.Start(options, fleet.Journal)
	if err != nil {
		return nil, Error.New("start upstream %s: %w", options.Name, err)
	}
	fleet.Upstreams = append(fleet.Upstreams, upstream)
	return upstream, nil
}

// RestartUpstream stops an upstream and starts a new instance of it on the same
// address.
func (fleet *Fleet) RestartUpstream(number int, options fake.Options) error {
	fleet.Upstreams[number].Kill()
	options.Address = fleet.Upstreams[number].Address()
	for host := range fleet.options.Hosts {
		options.OperatorAddresses = append(options.OperatorAddresses, fleet.OperatorAddress(host))
	}
	upstream, err := fake.Start(options, fleet.Journal)
	if err != nil {
		return Error.New("restart upstream %s: %w", options.Name, err)
	}
	fleet.Upstreams[number] = upstream
	return nil
}

// CallOperatorAPI sends a request to a host's operator API and decodes the JSON
// response into result, unless that is nil. Any status other than 200 is an error.
func (fleet *Fleet) CallOperatorAPI(ctx context.Context, number int, method, path, contentType string, body []byte, result any) error {
	url := "http://" + fleet.OperatorAddress(number).String() + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Error.New("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	request.Header.Set("Content-Type", contentType)
	response, err := fleet.client.Do(request)
	if err != nil {
		return Error.New("%s %s: %w", method, path, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return Error.New("%s %s: read response: %w", method, path, err)
	}
	if response.StatusCode != http.StatusOK {
		return Error.New("%s %s: %s: %s", method, path, response.Status, strings.TrimSpace(string(data)))
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return Error.New("%s %s: decode response: %w", method, path, err)
	}
	return nil
}

// ApplyRecords applies the configuration records of a TOML document through the
// operator API of a host.
func (fleet *Fleet) ApplyRecords(ctx context.Context, number int, document string) error {
	return fleet.CallOperatorAPI(ctx, number, http.MethodPost, "/api/v1/records", "application/toml", []byte(document), nil)
}

// AwaitOwners waits until every partition of the service has an owner and no move
// is in progress.
func (fleet *Fleet) AwaitOwners(ctx context.Context, service string) error {
	return fleet.WaitFor(ctx, "owners of all keys of "+service, func() bool {
		for _, running := range fleet.Hosts {
			if running == nil {
				continue
			}
			table, ok := running.Catalog().Tables[service]
			if !ok {
				return false
			}
			for _, owner := range table.Partitions {
				if owner.Upstream == "" || owner.MovingTo != "" {
					return false
				}
			}
		}
		return true
	})
}

// Close stops all upstreams and hosts.
func (fleet *Fleet) Close() {
	for _, upstream := range fleet.Upstreams {
		upstream.Kill()
	}
	for number := range fleet.Hosts {
		fleet.KillHost(number)
	}
	fleet.client.CloseIdleConnections()
}
