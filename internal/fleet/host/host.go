// Package host runs one host of the fleet: it joins the control group if it is a
// control host, follows the catalog, renews its lease, serves its shards, and
// handles requests from callers and operators.
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

	"damaskcrank.example/damaskcrank/internal/base/budget"
	"damaskcrank.example/damaskcrank/internal/base/conf"
	"damaskcrank.example/damaskcrank/internal/base/heap"
	"damaskcrank.example/damaskcrank/internal/base/intake"
	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/fetch"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/lease"
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
	// headTimeout bounds how long reading a request's head may take.
	headTimeout = 5 * time.Second
	// readTimeout bounds how long reading a whole request may take, body included.
	readTimeout = time.Minute
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout  = 2 * time.Minute
	maxHeadBytes = 32 << 10
	// headParts is the divisor of the memory that yields the budget for heads and connections.
	headParts = 4
	// messageParts is the divisor of the memory that yields the bound of messages between hosts and
	// control hosts that are being received.
	messageParts = 4
	// bufferedParts is the divisor of the memory that yields the bound of responses that are
	// being read, which is maxBufferedBytes at most.
	bufferedParts    = 4
	maxBufferedBytes = 64 << 20
	// maxUpstreamConnections bounds the connections to one upstream.
	maxUpstreamConnections = 128
	// logPrefix starts each line that this package logs.
	logPrefix = "host: "
)

// Options configure a Host.
type Options struct {
	Settings conf.Settings
	Secret   trust.Secret
	Clock    clockwork.Clock
	Log      log.Interface
}

// Host is a running host.
type Host struct {
	options Options
	boot    uint64
	stats   *stats.Set
	node    *group.Node
	planner *plan.Controller
	// leases is the leader's table of all hosts' leases, and lease this host's own.
	leases    *lease.Table
	client    *group.Client
	links     *links.Client
	server    *links.Server
	follower  *fetch.Follower
	lease     *lease.Holder
	upstreams *upstr.Client
	shards    *duty.Manager
	limiters  *quota.Limiters
	front     *front.Front
	admin     *admin.Admin
	callers   *http.Server
	// callersListener is drained in place of a shutdown of callers.
	callersListener *intake.Listener
	operators       *http.Server
	draining        atomic.Bool
	stop            chan struct{}
	tasks           sync.WaitGroup
	killOnce        sync.Once
}

// Start starts all parts of a host. The host serves callers once the control
// leader has granted it a lease.
func Start(options Options) (*Host, error) {
	host := &Host{
		options: options, boot: rand.Uint64(), //nolint:gosec // identifies the process, not security-sensitive
		stats: &stats.Set{}, stop: make(chan struct{}),
	}
	for _, start := range []func() error{
		host.startControl, host.startLinks, host.startShards, host.openPeerPort, host.startServers,
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
	host.background(host.sendHeartbeats)
	host.background(host.maintainSession)
	host.background(host.dropStaleLinks)
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
	host.client.SetMessageBytes(host.memory() / messageParts)
	if !settings.Control.Enabled {
		return nil
	}
	node, err := group.Open(group.Options{
		Name: settings.Host.Name, Address: settings.Control.Address, DataFolder: settings.Host.DataFolder,
		Secret: host.options.Secret, InitialMembers: settings.Control.Hosts, Clock: host.options.Clock,
		Log: host.options.Log, SnapshotEvery: settings.Control.SnapshotEvery, MessageBytes: host.memory() / messageParts,
	})
	if err != nil {
		return Error.New("start control: %w", err)
	}
	host.node = node
	host.leases = lease.NewTable(host.options.Secret, host.options.Clock, node)
	node.SetProgress(host.leases)
	host.planner = plan.NewController(node, host.leases, host.options.Clock, host.options.Log)
	host.background(host.formGroup)
	return nil
}

// formGroup waits until the control node belongs to a group, forming the group if
// needed.
func (host *Host) formGroup() {
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
		host.options.Log.WithError(err).Error(logPrefix + "joining the control group failed")
	}
}

func (host *Host) startLinks() error {
	settings := host.options.Settings
	var err error
	host.links, err = links.NewClient(host.options.Secret, func(from netip.AddrPort, data []byte) { host.lease.HandleAck(from, data) })
	if err != nil {
		return Error.New("start links: %w", err)
	}
	host.follower = fetch.NewFollower(host.client, func() uint64 { return host.lease.LeaderIndex() }, host.options.Log)
	host.lease = lease.NewHolder(host.options.Secret, host.options.Clock, settings.Host.Name, host.boot, host.follower.Catalog)
	return nil
}

// openPeerPort listens for links and heartbeats. It runs after all parts that handle
// link requests have started, since other hosts may still know this host's address
// from before a restart and send requests at once.
func (host *Host) openPeerPort() error {
	var answer links.DatagramHandler
	if host.leases != nil {
		answer = host.leases.HandleHeartbeat
	}
	var err error
	address := host.options.Settings.Peer.Address
	host.server, err = links.Listen(address, host.options.Secret, host.serveLink, answer, host.options.Log)
	if err != nil {
		return Error.New("start peer port: %w", err)
	}
	return nil
}

func (host *Host) startShards() error {
	host.upstreams = upstr.NewClient(maxUpstreamConnections, host.lease.Valid)
	host.upstreams.SetMaxBuffered(int(min(host.memory()/bufferedParts, maxBufferedBytes)))
	env := shard.Env{
		Host: host.options.Settings.Host.Name, Lease: host.lease, Catalog: host.follower.Catalog,
		Control: host.client, Upstreams: host.upstreams, Clock: host.options.Clock, Log: host.options.Log,
		Stats: host.stats,
	}
	host.shards = duty.New(env, host.links, host.follower.Watch())
	host.limiters = &quota.Limiters{Host: env.Host, Borrow: host.shards.Borrow, Clock: env.Clock}
	host.front = &front.Front{
		Host: env.Host, Follower: host.follower, Lease: host.lease, Primary: host.shards, Links: host.links,
		Limiters: host.limiters, Clock: env.Clock, Log: env.Log, Stats: host.stats,
	}
	host.admin = &admin.Admin{
		Host: env.Host, Catalogs: host.follower, Lease: host.lease, Control: host.client, Shards: host.shards,
		Links: host.links, Tokens: host.options.Settings.Operator.Tokens, Clock: env.Clock, Log: env.Log,
		Stats: host.stats, Draining: host.draining.Load,
	}
	host.stats.Gauge("requests_running", func() float64 { return float64(host.front.Running()) })
	host.stats.Gauge("catalog_index", func() float64 { return float64(host.follower.Catalog().Index) })
	host.stats.Gauge("lease_remaining_seconds", func() float64 { return host.lease.Remaining().Seconds() })
	return nil
}

// memory returns the memory that the process may use, in bytes.
func (host *Host) memory() int64 {
	size, err := heap.Size(host.options.Settings.Host.Memory)
	if err != nil {
		host.options.Log.WithError(err).Warn(logPrefix + "the machine's memory is not known")
	}
	return size
}

func (host *Host) startServers() error {
	settings := host.options.Settings
	heads := budget.New(host.memory()/headParts, host.options.Clock)
	host.callers = newServer(host.front)
	host.operators = newServer(host.admin.Handler())
	callers, err := intake.Listen(context.Background(), settings.Caller.Address.String())
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
	operators, err := intake.Listen(context.Background(), settings.Operator.Address.String())
	if err != nil {
		return Error.New("listen for operators: %w", err)
	}
	host.callersListener = host.serveHTTP("callers", host.callers, callers, heads)
	host.serveHTTP("operators", host.operators, operators, heads)
	return nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{ //nolint:gosec // Configure sets the time limit of heads
		Handler: handler, ReadTimeout: readTimeout, ErrorLog: stdlog.New(io.Discard, "", 0),
	}
}

// headLimits returns the limits on heads of requests.
func headLimits() intake.Limits {
	return intake.Limits{HeadBytes: maxHeadBytes, HeadTimeout: headTimeout, IdleTimeout: idleTimeout}
}

func (host *Host) serveHTTP(name string, server *http.Server, accepted net.Listener, heads *budget.Budget) *intake.Listener {
	listener := intake.Wrap(accepted, intake.Options{
		Name: name, Budget: heads, Limits: headLimits, Clock: host.options.Clock, Log: host.options.Log, Stats: host.stats,
	})
	listener.Configure(server)
	host.background(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			host.options.Log.WithError(err).Errorf(logPrefix+"the HTTP server on %s failed", listener.Addr())
		}
	})
	return listener
}

// Catalog returns the host's catalog.
func (host *Host) Catalog() *state.Catalog { return host.follower.Catalog() }

// Ready reports whether the host holds its lease.
func (host *Host) Ready() bool { return host.lease.Valid() }

// Node returns the host's control node, or nil if the host is not a control host.
func (host *Host) Node() *group.Node { return host.node }

// Done returns a channel that is closed when the control node has ended, for
// example after a disk error. It returns nil if the host is not a control host.
func (host *Host) Done() <-chan struct{} {
	if host.node == nil {
		return nil
	}
	return host.node.Done()
}
