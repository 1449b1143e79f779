// Package host runs one host of the fleet: it joins control, follows the
// catalog, keeps its lease, serves its shards, and takes callers' and
// operators' requests.
package host

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/conf"
	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/beats"
	"damaskcrank.example/damaskcrank/internal/control/fetch"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/plan"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/duty"
	"damaskcrank.example/damaskcrank/internal/dispatch/quota"
	"damaskcrank.example/damaskcrank/internal/dispatch/shard"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
	"damaskcrank.example/damaskcrank/internal/entry/front"
	"damaskcrank.example/damaskcrank/internal/oper/admin"
	"damaskcrank.example/damaskcrank/internal/peer/links"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// Error is the class of all errors of this package.
var Error = errs.Class("host")

const (
	headTimeout = 5 * time.Second
	bodyTimeout = time.Minute
	idleTimeout = 2 * time.Minute
	maxHead     = 32 << 10
	// upstreamConnections bounds the connections to one upstream.
	upstreamConnections = 128
	// logPrefix starts each line that this package logs.
	logPrefix = "host: "
)

// Options set up a Host.
type Options struct {
	Settings conf.Settings
	Secret   trust.Secret
	Clock    clockwork.Clock
	Log      log.Interface
}

// Host is a running host.
type Host struct {
	options  Options
	boot     uint64
	stats    *stats.Set
	node     *group.Node
	steward  *plan.Steward
	keeper   *beats.Keeper
	client   *group.Client
	links    *links.Client
	server   *links.Server
	follower *fetch.Follower
	pulse    *beats.Pulse
	upstream *upstr.Client
	duties   *duty.Duties
	purses   *quota.Purses
	front    *front.Front
	admin    *admin.Admin
	callers  *http.Server
	opers    *http.Server
	draining atomic.Bool
	stop     chan struct{}
	tasks    sync.WaitGroup
	ended    sync.Once
}

// Start starts all parts of a host. It serves callers once control has given
// it a lease.
func Start(options Options) (*Host, error) {
	host := &Host{
		options: options, boot: rand.Uint64(), //nolint:gosec // tells processes apart, guards nothing
		stats: &stats.Set{}, stop: make(chan struct{}),
	}
	for _, start := range []func() error{
		host.startControl, host.startPeers, host.startDuties, host.openPeerPort, host.startServers,
	} {
		if err := start(); err != nil {
			host.Kill()
			return nil, err
		}
	}
	host.follower.Start()
	host.background(func() {
		<-host.stop
		host.follower.Close()
	})
	host.background(host.beat)
	host.background(host.keepSession)
	host.background(host.dropLinks)
	options.Log.Infof(logPrefix+"%s serves callers on %s and operators on %s",
		options.Settings.Host.Name, options.Settings.Caller.Address, options.Settings.Operator.Address)
	return host, nil
}

func (host *Host) background(task func()) {
	host.tasks.Add(1)
	go func() {
		defer host.tasks.Done()
		task()
	}()
}

func (host *Host) startControl() error {
	settings := host.options.Settings
	host.client = group.NewClient(settings.Control.Hosts, host.options.Secret)
	if !settings.Control.Enabled {
		return nil
	}
	node, err := group.Open(group.Options{
		Name: settings.Host.Name, Address: settings.Control.Address, Folder: settings.Host.DataFolder,
		Secret: host.options.Secret, Initial: settings.Control.Hosts, Clock: host.options.Clock,
		Log: host.options.Log, SnapshotEvery: settings.Control.SnapshotEvery,
	})
	if err != nil {
		return Error.New("start control: %w", err)
	}
	host.node = node
	host.keeper = beats.NewKeeper(host.options.Secret, host.options.Clock, node)
	node.SetProgress(host.keeper)
	host.steward = plan.NewSteward(node, host.keeper, host.options.Clock, host.options.Log)
	host.background(host.form)
	return nil
}

// form brings the control node into its group.
func (host *Host) form() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-host.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := host.node.Form(ctx); err != nil && ctx.Err() == nil {
		host.options.Log.WithError(err).Error(logPrefix + "the control group was not joined")
	}
}

func (host *Host) startPeers() error {
	settings := host.options.Settings
	var err error
	host.links, err = links.NewClient(host.options.Secret, func(from netip.AddrPort, data []byte) { host.pulse.Receive(from, data) })
	if err != nil {
		return Error.New("start links: %w", err)
	}
	host.follower = fetch.NewFollower(host.client, func() uint64 { return host.pulse.LeaderIndex() }, host.options.Log)
	host.pulse = beats.NewPulse(host.options.Secret, host.options.Clock, settings.Host.Name, host.boot, host.follower.Catalog)
	return nil
}

// openPeerPort takes links and heartbeats. It comes after all parts that links
// ask, since other hosts may still know this host from before a restart.
func (host *Host) openPeerPort() error {
	var answer links.Datagram
	if host.keeper != nil {
		answer = host.keeper.Answer
	}
	var err error
	address := host.options.Settings.Peer.Address
	host.server, err = links.Listen(address, host.options.Secret, host.serveLink, answer, host.options.Log)
	if err != nil {
		return Error.New("start peer port: %w", err)
	}
	return nil
}

func (host *Host) startDuties() error {
	host.upstream = upstr.NewClient(upstreamConnections, host.pulse.Valid)
	env := shard.Env{
		Host: host.options.Settings.Host.Name, Lease: host.pulse, Catalog: host.follower.Catalog,
		Control: host.client, Upstreams: host.upstream, Clock: host.options.Clock, Log: host.options.Log,
		Stats: host.stats,
	}
	host.duties = duty.New(env, host.links, host.follower.Watch())
	host.purses = &quota.Purses{Host: env.Host, Borrow: host.duties.Borrow, Clock: env.Clock}
	host.front = &front.Front{
		Host: env.Host, Follower: host.follower, Lease: host.pulse, Primary: host.duties, Links: host.links,
		Purses: host.purses, Clock: env.Clock, Log: env.Log, Stats: host.stats,
	}
	host.admin = &admin.Admin{
		Host: env.Host, Follower: host.follower, Lease: host.pulse, Control: host.client, Duties: host.duties,
		Links: host.links, Tokens: host.options.Settings.Operator.Tokens, Clock: env.Clock, Log: env.Log,
		Stats: host.stats, Draining: host.draining.Load,
	}
	host.stats.Gauge("requests_running", func() float64 { return float64(host.front.Running()) })
	host.stats.Gauge("catalog_index", func() float64 { return float64(host.follower.Catalog().Index) })
	host.stats.Gauge("lease_remaining_seconds", func() float64 { return host.pulse.Remaining().Seconds() })
	return nil
}

func (host *Host) startServers() error {
	settings := host.options.Settings
	host.callers = newServer(host.front)
	host.opers = newServer(host.admin.Handler())
	callers, err := listenHTTP(settings.Caller.Address)
	if err != nil {
		return Error.New("listen for callers: %w", err)
	}
	if settings.Caller.TLSCertificate != "" {
		certificate, err := tls.LoadX509KeyPair(settings.Caller.TLSCertificate, settings.Caller.TLSKey)
		if err != nil {
			return Error.New("load certificate: %w", err)
		}
		callers = tls.NewListener(callers, &tls.Config{
			Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12,
		})
	}
	opers, err := listenHTTP(settings.Operator.Address)
	if err != nil {
		return Error.New("listen for operators: %w", err)
	}
	host.serveHTTP(host.callers, callers)
	host.serveHTTP(host.opers, opers)
	return nil
}

func listenHTTP(address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, Error.New("%w", err)
	}
	return listener, nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHead, ErrorLog: stdlog.New(io.Discard, "", 0),
	}
}

func (host *Host) serveHTTP(server *http.Server, listener net.Listener) {
	host.background(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			host.options.Log.WithError(err).Error(logPrefix + "an HTTP listener ended")
		}
	})
}

// Catalog returns the host's catalog.
func (host *Host) Catalog() *state.Catalog { return host.follower.Catalog() }

// Ready tells whether the host holds its lease.
func (host *Host) Ready() bool { return host.pulse.Valid() }

// Node returns the host's control node, or nil.
func (host *Host) Node() *group.Node { return host.node }

// Failed is closed when the control node ended by itself.
func (host *Host) Failed() <-chan struct{} {
	if host.node == nil {
		return nil
	}
	return host.node.Done()
}
