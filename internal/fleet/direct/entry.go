package direct

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damaskcrank.example/damaskcrank/internal/base/intake"
	"damaskcrank.example/damaskcrank/internal/base/pacer"
	"damaskcrank.example/damaskcrank/internal/base/sock"
	"damaskcrank.example/damaskcrank/internal/control/fetch"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/control/steer"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/dispatch/crash"
	"damaskcrank.example/damaskcrank/internal/dispatch/detour"
	"damaskcrank.example/damaskcrank/internal/dispatch/expose"
	"damaskcrank.example/damaskcrank/internal/dispatch/paths"
	"damaskcrank.example/damaskcrank/internal/dispatch/permit"
	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
	"damaskcrank.example/damaskcrank/internal/entry/relay"
	"damaskcrank.example/damaskcrank/internal/peer/links"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
	"damaskcrank.example/damaskcrank/internal/rates/share"
)

const (
	// pollInterval is how often an entry host polls the control leader.
	pollInterval = 400 * time.Millisecond
	// pollRetryInterval is the pause after a poll that failed. It doubles with each further
	// failure, up to maxPollRetryInterval.
	pollRetryInterval    = 50 * time.Millisecond
	maxPollRetryInterval = 800 * time.Millisecond
	// pollTimeout bounds one poll of the leader, including retries.
	pollTimeout = time.Second
	// borrowTimeout bounds a request for rate tokens, since a caller waits meanwhile.
	borrowTimeout = 150 * time.Millisecond
	// lenderRetryTime is how long no tokens are asked for of a workspace of which neither the
	// control host nearby nor the leader lent any.
	lenderRetryTime = 200 * time.Millisecond
	// leastShareDemand is the demand for a workspace, in requests per second, from which an
	// entry host gets a share of the rate, which it uses while no control host is there. Where
	// many hosts see a workspace seldom, their shares would only keep tokens from each other.
	leastShareDemand = 1.5
	// revocationMargin is subtracted from the time after which a revoked caller key
	// must no longer work: the upstream starts on a request a little after the key
	// was checked.
	revocationMargin = time.Second
	// rejectAgeTenths is the part, in tenths, of the time to apply changes for which the
	// configuration may be used to reject callers.
	rejectAgeTenths = 7
	// retryBurstTenths is the part, in tenths, of the retries beyond the ratio that hosts may
	// accumulate together: hosts may join before all know of them.
	retryBurstTenths = 7
	// preferInterval is how often fetches are moved back to a control host in the
	// same data centre.
	preferInterval = 3 * time.Second
	// maxUnconfirmed bounds the confirmations whose index the local catalog has not
	// reached yet.
	maxUnconfirmed = 32
	// maxReportedKeys bounds the keys of one service in a load report.
	maxReportedKeys = 4096
)

// Entry is a running entry host.
type Entry struct {
	options  Options
	client   *group.Client
	follower *fetch.Follower
	// scheduler admits the requests of this host's callers. primaryScheduler admits all
	// requests to the upstreams for which this host is the primary.
	scheduler        *admit.Scheduler
	primaryScheduler *admit.Scheduler
	permits          *permit.Client
	primary          *permit.Primary
	links            *links.Client
	server           *links.Server
	pool             *pool.Pool
	link             *pacer.Link
	sender           *detour.Sender
	limiter          *share.Limiter
	crashes          *crash.Detector
	versions         *expose.Selector
	// demand is nil unless the leader decides which requests leave the data centre.
	demand   *demandTable
	relay    *relay.Relay
	callers  *server
	health   *server
	metrics  *server
	draining atomic.Bool
	// stopsAt is when the host will have stopped, nil while it does not stop.
	stopsAt atomic.Pointer[time.Time]
	// end ends the requests in progress, which are answered then.
	end context.CancelFunc
	// reports receives a signal when there is something that the next poll should report
	// soon.
	reports chan struct{}
	// leaderIndex is the catalog index in the leader's latest poll reply.
	leaderIndex atomic.Uint64
	cancel      context.CancelFunc
	tasks       sync.WaitGroup

	// members is the number of known control hosts. Only the polling task uses it.
	members int

	// mutex guards the fields down to leaderLost.
	mutex sync.Mutex
	// confirmedAt is the latest time at which the leader confirmed that the local
	// catalog is current. unconfirmed holds the confirmations of later catalogs.
	confirmedAt time.Time
	unconfirmed []confirmation
	// requestedKeys lists the keys requested since the last report, by service.
	requestedKeys map[string][]uint16
	// leaving are the upstreams that told this host that they leave, until the catalog
	// shows it.
	leaving    []spans.Owner
	leaderLost bool
	// leavingSince is when upstreams began to leave, by ID; knownAddresses are the
	// addresses of all upstreams. Only the task that applies catalogs uses them.
	leavingSince   map[string]time.Time
	knownAddresses map[netip.AddrPort]bool
}

// confirmation records the reply to a poll: the leader confirmed that the
// configuration at index was current at the time at which the poll was sent.
type confirmation struct {
	index uint64
	at    time.Time
}

// StartEntry starts an entry host. The function matches reports whether an answer
// with the given header belongs to the request.
func StartEntry(options Options, protocol relay.Protocol, matches func(*pool.Request, http.Header, bool) bool) (*Entry, error) {
	options = options.withBudget()
	settings := options.Settings
	ctx, cancel := context.WithCancel(context.Background())
	ending, end := context.WithCancel(context.Background())
	entry := &Entry{
		options: options, cancel: cancel, end: end, limiter: &share.Limiter{}, requestedKeys: map[string][]uint16{},
		leavingSince: map[string]time.Time{}, knownAddresses: map[netip.AddrPort]bool{}, reports: make(chan struct{}, 1),
		client:           group.NewClient(settings.ControlHosts(), trust.Secret(settings.Peer.Secret)),
		scheduler:        admit.NewScheduler(settings.Host.DataCentre, options.Clock, rand.Uint64()), //nolint:gosec // spreads load
		primaryScheduler: admit.NewExclusiveScheduler(options.Clock, rand.Uint64()),                  //nolint:gosec // spreads load
	}
	entry.client.SetMessageBytes(options.memory / messageParts)
	entry.link = pacer.New(narrowLink(settings.Host.Link), options.Clock, options.Log, options.Stats)
	entry.pool = &pool.Pool{
		Matches: matches, Clock: options.Clock, OnUnexpectedBytes: entry.reportUnexpectedBytes,
		Dial:        dialFrom(settings.Listen.Source, entry.link.BufferBytes()),
		MaxBuffered: int(min(options.memory/bufferedParts, maxBufferedBytes)),
	}
	entry.limiter.Borrow = entry.borrow
	entry.follower = fetch.NewFollower(entry.client, entry.leaderIndex.Load, options.Log)
	entry.crashes = &crash.Detector{
		Suspects: func() map[string]state.Suspect { return entry.follower.Catalog().Quarantine }, OnReport: entry.hastenPoll,
		Clock: options.Clock, Log: options.Log, Stats: options.Stats,
	}
	entry.versions = &expose.Selector{
		Current: entry.currentRollouts, OnStop: entry.hastenPoll, Clock: options.Clock, Log: options.Log, Stats: options.Stats,
	}
	if err := entry.openLinks(protocol); err != nil {
		entry.Kill()
		return nil, err
	}
	entry.relay = &relay.Relay{
		Protocol: protocol, Scheduler: entry.scheduler, Permits: entry.permits, Sender: entry.sender, Limiter: entry.limiter, Config: entry.currentConfig,
		Crashes:      entry.crashes,
		Versions:     entry.versions,
		MaxConfigAge: entry.maxAge(), MaxRejectAge: entry.maxRejectAge(), OnKeyRequest: entry.recordKey, Draining: entry.turnsCallersAway, Clock: options.Clock,
		StopsAt: entry.stopTime, Ending: ending, Link: entry.link, MaxUnread: options.memory / unreadParts,
		MaxHeld: options.memory / heldParts, HeadsUsed: options.heads.Used,
		Log: options.Log, Stats: options.Stats, StartedAt: options.Clock.Now(),
	}
	if narrowLink(settings.Host.Link) > 0 {
		entry.demand = newDemandTable(settings.Host.DataCentre, options.Clock, options.Stats)
		entry.relay.OnDemand, entry.relay.OnBytes, entry.permits.Spill = entry.demand.addRequest, entry.demand.addBytes, entry.demand.order
	}
	if err := entry.listen(); err != nil {
		entry.Kill()
		return nil, err
	}
	watcher := entry.follower.Watch()
	entry.follower.Start()
	entry.background(func() { entry.poll(ctx) })
	entry.background(func() { entry.watchCatalog(ctx, watcher) })
	entry.background(func() { watchSettings(ctx, options, entry.client) })
	options.Log.WithField("callers", settings.Listen.Callers).WithField("health", settings.Listen.Health).
		Info(logPrefix + "entry host started")
	return entry, nil
}

// dialFrom returns the function that connects to upstreams from an address, which is chosen
// by the operating system if it is not valid. Connections get a receive buffer of a size, or
// the operating system's if it is 0.
func dialFrom(source netip.Addr, bufferBytes int) func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	if source.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	if bufferBytes > 0 {
		dialer.Control = sock.SetReceiveBuffer(bufferBytes)
	}
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address.String())
	}
}

// reportUnexpectedBytes counts and logs a connection that was closed because the
// upstream sent bytes on it after a complete response.
func (entry *Entry) reportUnexpectedBytes(address netip.AddrPort) {
	entry.options.Stats.Event("response", "unexpectedBytes")
	entry.options.Log.WithField("address", address.String()).Warn(logPrefix + "closed a connection on which the upstream sent bytes after its response")
}

// openLinks opens the links to other entry hosts, over which permits are requested
// and granted.
func (entry *Entry) openLinks(protocol relay.Protocol) error {
	settings, secret := entry.options.Settings, trust.Secret(entry.options.Settings.Peer.Secret)
	var err error
	if entry.links, err = links.NewClient(secret, func(netip.AddrPort, []byte) {}); err != nil {
		return Error.New("start links: %w", err)
	}
	entry.primary = permit.NewPrimary(entry.primaryScheduler, entry.options.Clock, entry.options.Log)
	self := state.Entry{Name: settings.Host.Name, DataCentre: settings.Host.DataCentre}
	entry.permits = permit.NewClient(self, entry.scheduler, entry.primary, countedCaller{entry.links, entry.link}, entry.options.Clock, entry.options.Log)
	entry.permits.Stats, entry.primary.Stats = entry.options.Stats, entry.options.Stats
	entry.primaryScheduler.LimitShare = entry.permits.LimitShare
	entry.sender = &detour.Sender{
		Self: settings.Host.Name, Pool: entry.pool, Others: entry.permits.Others, Caller: countedCaller{entry.links, entry.link}, Scheduler: entry.scheduler,
		Allowed: entry.allowsVersion, ParseNotice: relay.ParseNotices(protocol), DrainTime: entry.drainTime(), OnLeaving: entry.recordLeaving, StopsAt: entry.stopTime,
		Paths:   &paths.Table{Clock: entry.options.Clock, Log: entry.options.Log, Stats: entry.options.Stats},
		Crashes: entry.crashes, Clock: entry.options.Clock, Log: entry.options.Log, Stats: entry.options.Stats,
	}
	entry.crashes.PortClosed = entry.sender.PortClosed
	noDatagram := func([]byte) []byte { return nil }
	entry.server, err = links.Listen(settings.Peer.Address, secret, entry.serveHost, noDatagram, entry.options.Log)
	if err != nil {
		return Error.New("listen for links: %w", err)
	}
	return nil
}

// serveHost handles a request of another entry host.
func (entry *Entry) serveHost(ctx context.Context, request links.Payload) links.Payload {
	entry.link.Account(pacer.In, messageBytes(request))
	var reply links.Payload
	if detour.Handles(request) {
		reply = entry.sender.Serve(ctx, request)
	} else {
		reply = entry.primary.Serve(ctx, request)
	}
	entry.link.Account(pacer.Out, messageBytes(reply))
	return reply
}

// maxAge returns how long after its last confirmation the configuration may still be
// used to serve callers.
func (entry *Entry) maxAge() time.Duration {
	return max(time.Second, time.Duration(entry.options.Settings.Bounds.Revoke)-revocationMargin)
}

// maxRejectAge returns how long after its last confirmation the configuration may be used
// to reject callers for what it lacks. It is shorter than the time within which changes must
// be in force, as a request takes a while to be decided on.
func (entry *Entry) maxRejectAge() time.Duration {
	return time.Duration(entry.options.Settings.Bounds.Apply) * rejectAgeTenths / 10
}

func (entry *Entry) background(task func()) {
	entry.tasks.Add(1)
	go func() {
		defer entry.tasks.Done()
		task()
	}()
}

func (entry *Entry) listen() error {
	settings := entry.options.Settings
	var err error
	callers := entry.options
	callers.sendBuffer = entry.link.BufferBytes()
	if entry.callers, err = serveHTTP("callers", settings.Listen.Callers, entry.relay, callers, entry.headLimits); err != nil {
		return err
	}
	if entry.health, err = serveHTTP("health", settings.Listen.Health, http.HandlerFunc(entry.answerHealth), entry.options, nil); err != nil {
		return err
	}
	entry.metrics, err = serveMetrics(entry.options)
	return err
}

// idleMargin is how much longer than the operator's idle time a connection stays open: callers
// may use it until then, and a request may be on its way.
const idleMargin = 2 * time.Second

// headLimits returns the operator's limits on heads of callers' requests.
func (entry *Entry) headLimits() intake.Limits {
	limits := entry.follower.Catalog().View().Limits()
	if limits.IdleTimeout > 0 {
		limits.IdleTimeout += idleMargin
	}
	return intake.Limits{HeadBytes: limits.HeadBytes, HeadTimeout: limits.HeadTimeout, IdleTimeout: limits.IdleTimeout}
}

// answerHealth answers the load balancer's health check: 503 while the host is not
// ready.
func (entry *Entry) answerHealth(writer http.ResponseWriter, _ *http.Request) {
	if !entry.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// turnsCallersAway reports whether callers should use another host: this one stops, or
// reaches no upstream and no host that does.
func (entry *Entry) turnsCallersAway() bool { return entry.draining.Load() || entry.sender.Blocked() }

// Ready reports whether callers are served: the host does not turn them away, and it has a
// configuration that was confirmed recently enough.
func (entry *Entry) Ready() bool {
	config := entry.currentConfig()
	age := entry.options.Clock.Now().Sub(config.ConfirmedAt)
	return !entry.turnsCallersAway() && config.View.Configured && age < entry.maxAge()
}

// currentConfig returns the configuration and the latest time at which the leader
// confirmed it to be current.
func (entry *Entry) currentConfig() relay.ConfigSnapshot {
	catalog := entry.follower.Catalog()
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	pending := entry.unconfirmed[:0]
	for _, confirmation := range entry.unconfirmed {
		if confirmation.index > catalog.Index {
			pending = append(pending, confirmation)
			continue
		}
		if confirmation.at.After(entry.confirmedAt) {
			entry.confirmedAt = confirmation.at
		}
	}
	entry.unconfirmed = pending
	return relay.ConfigSnapshot{View: catalog.View(), Index: catalog.Index, ConfirmedAt: entry.confirmedAt}
}

// recordKey adds a requested key to the next load report.
func (entry *Entry) recordKey(service string, key uint16) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	if len(entry.requestedKeys[service]) < maxReportedKeys {
		entry.requestedKeys[service] = append(entry.requestedKeys[service], key)
	}
}

// hastenPoll makes the next poll of the control leader follow soon.
func (entry *Entry) hastenPoll() {
	select {
	case entry.reports <- struct{}{}:
	default:
	}
}

// poll polls the control leader until the context ends.
func (entry *Entry) poll(ctx context.Context) {
	backoff := group.Backoff{Min: pollRetryInterval, Max: maxPollRetryInterval}
	for {
		pause, retry := entry.pollOnce(ctx)
		if retry {
			pause = backoff.Next()
		} else {
			backoff.Reset()
		}
		select {
		case <-ctx.Done():
			return
		case <-entry.options.Clock.After(pause):
		case <-entry.reports:
		}
	}
}

// pollOnce polls the control leader once. It returns the time until the next poll, or
// reports that this one has to be repeated: it failed, or the leader asks for the shares
// that this host holds.
func (entry *Entry) pollOnce(ctx context.Context) (pause time.Duration, retry bool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	settings := entry.options.Settings
	entry.mutex.Lock()
	keys := entry.requestedKeys
	entry.requestedKeys = map[string][]uint16{}
	entry.mutex.Unlock()
	sent := entry.options.Clock.Now()
	report := entry.limiter.Report(sent, settings.Host.Name, leastShareDemand)
	if len(report.Demand) == 0 && report.Left == 0 {
		report = share.Report{} // there is nothing to say of shares
	}
	args := steer.PollArgs{
		Entry: state.Entry{
			Name: settings.Host.Name, DataCentre: settings.Host.DataCentre, Peer: settings.Peer.Address,
			Draining: entry.draining.Load(), Link: settings.Host.Link,
		},
		Report: report, Keys: keys, Work: map[string]steer.RequestStats{}, Members: entry.members,
		Suspects: entry.crashes.Report(), Leaving: entry.takeLeaving(),
	}
	if entry.demand != nil {
		args.Demand = entry.demand.take()
	}
	versions := entry.addVersions(&args)
	for _, scheduler := range []*admit.Scheduler{entry.scheduler, entry.primaryScheduler} {
		for upstream, requeststats := range scheduler.TakeStats() {
			args.Work[upstream] = steer.RequestStats(admit.RequestStats(args.Work[upstream]).Add(requeststats))
		}
	}
	reply, err := group.CallLeader[steer.PollReply](ctx, entry.client, "Steer.Poll", args)
	entry.logLeaderContact(err)
	entry.versions.Acknowledge(versions, err == nil)
	if err != nil {
		return 0, true
	}
	if report.Host != "" {
		entry.limiter.ApplyGrant(sent, entry.options.Clock.Now(), reply.Grant)
	}
	if entry.demand != nil {
		entry.demand.apply(sent, reply.Spill)
	}
	entry.client.AddHosts(reply.Members)
	entry.members = max(entry.members, len(reply.Members))
	entry.leaderIndex.Store(reply.Index)
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.unconfirmed = append(entry.unconfirmed, confirmation{index: reply.Index, at: sent})
	if len(entry.unconfirmed) > maxUnconfirmed {
		entry.unconfirmed = entry.unconfirmed[1:]
	}
	return cmp.Or(reply.Interval, pollInterval), reply.Grant.Unknown
}

// borrow asks a control host, if possible one in the same data centre, for tokens of a
// workspace's rate.
func (entry *Entry) borrow(ctx context.Context, workspace string, wanted float64) (share.Loan, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	args := steer.LoanArgs{Host: entry.options.Settings.Host.Name, Workspace: workspace, Wanted: wanted}
	reply := steer.BorrowReply{}
	err := entry.client.CallNearby(ctx, "Steer.Borrow", args, &reply)
	if err == nil {
		return reply.Loan, nil
	}
	var remote rpc.ServerError
	if !errors.As(err, &remote) {
		return share.Loan{}, Error.New("borrow tokens: %w", err)
	}
	// The control host has no tokens and reaches no leader, or it is of an earlier version, in
	// which only the leader lends.
	leaderReply, err := group.CallLeader[steer.LoanReply](ctx, entry.client, "Steer.Lend", args)
	if err != nil {
		entry.options.Log.WithError(err).WithField("workspace", workspace).Debug(logPrefix + "the leader lends no tokens either")
		return share.Loan{Wait: lenderRetryTime}, nil // other workspaces may still have some nearby
	}
	return leaderReply.Loan, nil
}

// logLeaderContact logs when contact with the leader is lost and when it is
// regained.
func (entry *Entry) logLeaderContact(err error) {
	entry.mutex.Lock()
	changed := entry.leaderLost != (err != nil)
	entry.leaderLost = err != nil
	entry.mutex.Unlock()
	switch {
	case changed && err != nil:
		entry.options.Log.WithError(err).Warn(logPrefix + "lost contact with the control leader")
	case changed:
		entry.options.Log.Info(logPrefix + "regained contact with the control leader")
	}
}

// watchCatalog applies each new catalog and moves fetches back to a control host in
// the same data centre.
func (entry *Entry) watchCatalog(ctx context.Context, watcher <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-watcher:
			entry.applyCatalog()
		case <-entry.options.Clock.After(preferInterval):
		}
		entry.preferLocalControl()
	}
}

// preferLocalControl directs fetches to the control hosts in this host's data
// centre, if there are any.
func (entry *Entry) preferLocalControl() {
	var local []netip.AddrPort
	for _, host := range entry.follower.Catalog().ControlHosts {
		if host.DataCentre == entry.options.Settings.Host.DataCentre {
			local = append(local, host.Address)
		}
	}
	if len(local) > 0 {
		entry.client.PreferLocal(local)
	}
}

// applyCatalog passes the upstreams and key owners of the latest catalog to both
// schedulers, and its entry hosts to the permit client. It drops the connections to
// upstreams that are no longer in the catalog.
func (entry *Entry) applyCatalog() {
	catalog := entry.follower.Catalog()
	now := entry.options.Clock.Now()
	entry.permits.Update(slices.Collect(maps.Values(catalog.Entries)))
	retries := float64(entry.options.Settings.Bounds.Retries) * retryBurstTenths / 10
	entry.scheduler.SetRetryBurst(retries / float64(max(1, len(catalog.Entries))))
	entry.updateVersions(catalog)
	targets := map[string][]admit.Target{}
	leaving := map[string]time.Time{}
	present := map[netip.AddrPort]bool{}
	known := map[paths.Path]bool{}
	for _, instance := range catalog.Instances {
		service, ok := catalog.View().Service(instance.Service)
		if !ok {
			continue
		}
		present[instance.Address] = true
		known[paths.Path{Owner: instance.Owner(), Address: instance.Address}] = true
		target := admit.Target{
			Owner: instance.Owner(), Service: instance.Service, Address: instance.Address,
			DataCentre: instance.DataCentre, Version: instance.Version, Slots: instance.Slots, Keyed: service.Keyed, Cold: instance.Cold, Silent: instance.Silent,
			ColdRate: service.ColdPerSecond / float64(max(1, len(catalog.Entries))),
		}
		if !catalog.Schedulable(instance) {
			since, ok := entry.leavingSince[instance.ID]
			if !ok {
				since = now
			}
			leaving[instance.ID] = since
			target.Draining = true
			target.DrainDeadline = since.Add(entry.drainTime())
		}
		if expose.Excluded(catalog.Rollouts[instance.Service], instance.Version) {
			target.Draining, target.DrainDeadline = true, time.Time{} // it gets nothing, not even for its keys
		}
		targets[instance.Service] = append(targets[instance.Service], target)
	}
	for name, service := range catalog.View().Services() {
		entry.scheduler.Update(name, targets[name], catalog.Spans[name])
		for position := range targets[name] {
			targets[name][position].ColdRate = service.ColdPerSecond
		}
		entry.primaryScheduler.Update(name, targets[name], catalog.Spans[name])
	}
	entry.sender.Paths.Keep(known)
	entry.crashes.Update(catalog.Instances)
	entry.leavingSince = leaving
	for address := range entry.knownAddresses {
		if !present[address] {
			entry.pool.CloseIdle(address)
		}
	}
	entry.knownAddresses = present
}

// Done returns a nil channel: an entry host keeps running whatever fails around
// it.
func (entry *Entry) Done() <-chan struct{} { return nil }

// Kill stops the host immediately, without waiting for running requests.
func (entry *Entry) Kill() {
	entry.cancel()
	entry.end()
	for _, server := range []*server{entry.callers, entry.health, entry.metrics} {
		if server != nil {
			_ = server.Close()
		}
	}
	if entry.server != nil {
		_ = entry.server.Close()
	}
	if entry.links != nil {
		_ = entry.links.Close()
	}
	entry.client.Close()
	entry.pool.Close()
	entry.tasks.Wait()
}
