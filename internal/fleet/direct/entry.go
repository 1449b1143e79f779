package direct

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/fetch"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/control/steer"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/dispatch/permit"
	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
	"damaskcrank.example/damaskcrank/internal/entry/relay"
	"damaskcrank.example/damaskcrank/internal/peer/links"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
	"damaskcrank.example/damaskcrank/internal/rates/share"
)

const (
	// pollInterval is how often an entry host asks the control leader.
	pollInterval = 400 * time.Millisecond
	// pollAgain is the same where it was not reached, or asks for more at once.
	pollAgain = 50 * time.Millisecond
	// pollTimeout bounds one question to the leader, all tries included.
	pollTimeout = time.Second
	// borrowTimeout bounds a question for tokens while a caller waits.
	borrowTimeout = 150 * time.Millisecond
	// confirmMargin is kept from the time after which a withdrawn key must not
	// work: the upstream's work on a request begins a little later.
	confirmMargin = time.Second
	// lookPause is how long the load balancer needs to notice that the host is
	// not ready any more: it looks once a second and believes the second miss.
	lookPause = 2300 * time.Millisecond
	// graceMargin is kept from the time after which the process is killed.
	graceMargin = 400 * time.Millisecond
	// preferEvery is how often fetches return to a control host nearby.
	preferEvery = 3 * time.Second
	// maxUnconfirmed bounds the confirmations that wait for the configuration.
	maxUnconfirmed = 32
	// maxKeyReports bounds the keys in one report of load.
	maxKeyReports = 4096
)

// Entry is a running entry host.
type Entry struct {
	options  Options
	client   *group.Client
	follower *fetch.Follower
	board    *admit.Board
	exact    *admit.Board
	desk     *permit.Desk
	primary  *permit.Primary
	links    *links.Client
	server   *links.Server
	pool     *pool.Pool
	purse    *share.Purse
	relay    *relay.Relay
	callers  *http.Server
	health   *http.Server
	metrics  *http.Server
	draining atomic.Bool
	// leaderIndex is the index that the leader last told.
	leaderIndex atomic.Uint64
	cancel      context.CancelFunc
	tasks       sync.WaitGroup

	// members is the number of control hosts known, used by the polling task only.
	members int

	mutex       sync.Mutex
	confirmedAt time.Time
	unconfirmed []confirmation
	asked       map[string][]uint16
	lost        bool
	// leaving says since when upstreams leave, by ID; known are the addresses of all
	// upstreams. Only the task that takes catalogs over uses them.
	leaving map[string]time.Time
	known   map[netip.AddrPort]bool
}

// confirmation is the leader's word that a configuration of this index is
// current at a time.
type confirmation struct {
	index uint64
	at    time.Time
}

// StartEntry starts an entry host.
func StartEntry(options Options, protocol relay.Protocol, belongs func(*pool.Request, http.Header) bool) (*Entry, error) {
	settings := options.Settings
	ctx, cancel := context.WithCancel(context.Background())
	entry := &Entry{
		options: options, cancel: cancel, purse: &share.Purse{}, asked: map[string][]uint16{},
		leaving: map[string]time.Time{}, known: map[netip.AddrPort]bool{},
		client: group.NewClient(settings.ControlHosts(), trust.Secret(settings.Peer.Secret)),
		board:  admit.NewBoard(settings.Host.DataCentre, options.Clock, rand.Uint64()), //nolint:gosec // spreads load
		exact:  admit.NewExact(options.Clock, rand.Uint64()),                           //nolint:gosec // spreads load
		pool:   &pool.Pool{Belongs: belongs, Clock: options.Clock},
	}
	if err := entry.link(); err != nil {
		entry.Kill()
		return nil, err
	}
	entry.purse.Borrow = entry.borrow
	entry.follower = fetch.NewFollower(entry.client, entry.leaderIndex.Load, options.Log)
	entry.relay = &relay.Relay{
		Protocol: protocol, Board: entry.board, Desk: entry.desk, Pool: entry.pool, Purse: entry.purse, Belief: entry.belief,
		MaxAge: entry.maxAge(), Asked: entry.noteKey, Draining: entry.draining.Load, Clock: options.Clock,
		Log: options.Log, Stats: options.Stats, StartedAt: options.Clock.Now(),
	}
	if err := entry.listen(); err != nil {
		entry.Kill()
		return nil, err
	}
	watcher := entry.follower.Watch()
	entry.follower.Start()
	entry.background(func() { entry.poll(ctx) })
	entry.background(func() { entry.watch(ctx, watcher) })
	entry.background(func() { follow(ctx, options, entry.client) })
	options.Log.WithField("callers", settings.Listen.Callers).WithField("health", settings.Listen.Health).
		Info(logPrefix + "entry host started")
	return entry, nil
}

// link opens the links to other entry hosts, for permits.
func (entry *Entry) link() error {
	settings, secret := entry.options.Settings, trust.Secret(entry.options.Settings.Peer.Secret)
	var err error
	if entry.links, err = links.NewClient(secret, func(netip.AddrPort, []byte) {}); err != nil {
		return Error.New("start links: %w", err)
	}
	entry.primary = permit.NewPrimary(entry.exact, entry.options.Clock, entry.options.Log)
	self := state.Entry{Name: settings.Host.Name, DataCentre: settings.Host.DataCentre}
	entry.desk = permit.NewDesk(self, entry.board, entry.primary, entry.links, entry.options.Clock, entry.options.Log)
	noDatagram := func([]byte) []byte { return nil }
	entry.server, err = links.Listen(settings.Peer.Address, secret, entry.primary.Serve, noDatagram, entry.options.Log)
	if err != nil {
		return Error.New("take links: %w", err)
	}
	return nil
}

func (entry *Entry) maxAge() time.Duration {
	return max(time.Second, time.Duration(entry.options.Settings.Bounds.Revoke)-confirmMargin)
}

func (entry *Entry) background(task func()) {
	entry.tasks.Add(1)
	go func() {
		defer entry.tasks.Done()
		task()
	}()
}

func (entry *Entry) listen() error {
	settings, logger := entry.options.Settings, entry.options.Log
	var err error
	if entry.callers, err = serveHTTP(settings.Listen.Callers, entry.relay, logger); err != nil {
		return err
	}
	if entry.health, err = serveHTTP(settings.Listen.Health, http.HandlerFunc(entry.answerHealth), logger); err != nil {
		return err
	}
	entry.metrics, err = serveMetrics(entry.options)
	return err
}

// answerHealth tells the load balancer whether to send callers here.
func (entry *Entry) answerHealth(writer http.ResponseWriter, _ *http.Request) {
	if !entry.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Ready tells whether callers are served.
func (entry *Entry) Ready() bool {
	belief := entry.belief()
	age := entry.options.Clock.Now().Sub(belief.ConfirmedAt)
	return !entry.draining.Load() && belief.View.Configured && age < entry.maxAge()
}

// belief returns the configuration and since when it is known to be current.
func (entry *Entry) belief() relay.Belief {
	catalog := entry.follower.Catalog()
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	rest := entry.unconfirmed[:0]
	for _, confirmation := range entry.unconfirmed {
		if confirmation.index > catalog.Index {
			rest = append(rest, confirmation)
			continue
		}
		if confirmation.at.After(entry.confirmedAt) {
			entry.confirmedAt = confirmation.at
		}
	}
	entry.unconfirmed = rest
	return relay.Belief{View: catalog.View(), Index: catalog.Index, ConfirmedAt: entry.confirmedAt}
}

// noteKey remembers a key that was asked for until the next report.
func (entry *Entry) noteKey(service string, key uint16) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	if len(entry.asked[service]) < maxKeyReports {
		entry.asked[service] = append(entry.asked[service], key)
	}
}

// poll asks the control leader again and again.
func (entry *Entry) poll(ctx context.Context) {
	for {
		pause := pollInterval
		if !entry.pollOnce(ctx) {
			pause = pollAgain
		}
		select {
		case <-ctx.Done():
			return
		case <-entry.options.Clock.After(pause):
		}
	}
}

// pollOnce asks the control leader, and tells whether the next time is not urgent:
// the leader was reached and knows what it needs to know of this host.
func (entry *Entry) pollOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	settings := entry.options.Settings
	entry.mutex.Lock()
	keys := entry.asked
	entry.asked = map[string][]uint16{}
	entry.mutex.Unlock()
	sent := entry.options.Clock.Now()
	args := steer.PollArgs{
		Entry: state.Entry{
			Name: settings.Host.Name, DataCentre: settings.Host.DataCentre, Peer: settings.Peer.Address,
			Draining: entry.draining.Load(),
		},
		Report: entry.purse.Report(sent, settings.Host.Name), Keys: keys, Work: map[string]steer.Work{},
		Members: entry.members,
	}
	for _, board := range []*admit.Board{entry.board, entry.exact} {
		for upstream, work := range board.Work() {
			args.Work[upstream] = steer.Work(admit.Work(args.Work[upstream]).Add(work))
		}
	}
	reply, err := group.CallLeader[steer.PollReply](ctx, entry.client, "Steer.Poll", args)
	entry.noteContact(err)
	if err != nil {
		return false
	}
	entry.purse.Accept(sent, entry.options.Clock.Now(), reply.Grant)
	entry.client.Learn(reply.Members)
	entry.members = max(entry.members, len(reply.Members))
	entry.leaderIndex.Store(reply.Index)
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.unconfirmed = append(entry.unconfirmed, confirmation{index: reply.Index, at: sent})
	if len(entry.unconfirmed) > maxUnconfirmed {
		entry.unconfirmed = entry.unconfirmed[1:]
	}
	return !reply.Grant.Unknown
}

// borrow asks the leader for tokens of a workspace's rate.
func (entry *Entry) borrow(ctx context.Context, workspace string, wanted float64) (share.Loan, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	args := steer.LoanArgs{Host: entry.options.Settings.Host.Name, Workspace: workspace, Wanted: wanted}
	reply, err := group.CallLeader[steer.LoanReply](ctx, entry.client, "Steer.Lend", args)
	if err != nil {
		return share.Loan{}, Error.New("borrow tokens: %w", err)
	}
	return reply.Loan, nil
}

// noteContact logs when the leader is lost and regained.
func (entry *Entry) noteContact(err error) {
	entry.mutex.Lock()
	changed := entry.lost != (err != nil)
	entry.lost = err != nil
	entry.mutex.Unlock()
	switch {
	case changed && err != nil:
		entry.options.Log.WithError(err).Warn(logPrefix + "the control leader is lost")
	case changed:
		entry.options.Log.Info(logPrefix + "the control leader is regained")
	}
}

// watch takes over each new catalog.
func (entry *Entry) watch(ctx context.Context, watcher <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-watcher:
			entry.takeCatalog()
		case <-entry.options.Clock.After(preferEvery):
		}
		entry.preferNear()
	}
}

// preferNear makes fetches go to a control host of the own data centre.
func (entry *Entry) preferNear() {
	var near []netip.AddrPort
	for _, host := range entry.follower.Catalog().ControlHosts {
		if host.DataCentre == entry.options.Settings.Host.DataCentre {
			near = append(near, host.Address)
		}
	}
	if len(near) > 0 {
		entry.client.Prefer(near)
	}
}

// takeCatalog tells the board which upstreams there are.
func (entry *Entry) takeCatalog() {
	catalog := entry.follower.Catalog()
	now := entry.options.Clock.Now()
	targets := map[string][]admit.Target{}
	leaving := map[string]time.Time{}
	present := map[netip.AddrPort]bool{}
	for _, instance := range catalog.Instances {
		service, ok := catalog.View().Service(instance.Service)
		if !ok {
			continue
		}
		present[instance.Address] = true
		target := admit.Target{
			Owner: instance.Owner(), Service: instance.Service, Address: instance.Address,
			DataCentre: instance.DataCentre, Slots: instance.Slots, Keyed: service.Keyed, Cold: instance.Cold, Silent: instance.Silent,
			ColdPerSecond: service.ColdPerSecond / float64(max(1, len(catalog.Entries))),
		}
		if !catalog.Wanted(instance) {
			since, ok := entry.leaving[instance.ID]
			if !ok {
				since = now
			}
			leaving[instance.ID] = since
			target.Leaving = true
			target.LeaveBy = since.Add(time.Duration(entry.options.Settings.Bounds.Drain) / 2)
		}
		targets[instance.Service] = append(targets[instance.Service], target)
	}
	for name, service := range catalog.View().Services() {
		entry.board.Update(name, targets[name], catalog.Spans[name])
		for position := range targets[name] {
			targets[name][position].ColdPerSecond = service.ColdPerSecond
		}
		entry.exact.Update(name, targets[name], catalog.Spans[name])
	}
	entry.desk.Update(slices.Collect(maps.Values(catalog.Entries)))
	entry.leaving = leaving
	for address := range entry.known {
		if !present[address] {
			entry.pool.Drop(address)
		}
	}
	entry.known = present
}

// Failed never closes: an entry host goes on whatever happens around it.
func (entry *Entry) Failed() <-chan struct{} { return nil }

// Stop ends the host without cutting a request: the health check turns red,
// callers go elsewhere, and what runs ends.
func (entry *Entry) Stop(ctx context.Context) error {
	entry.options.Log.WithField("running", entry.relay.Running()).Info(logPrefix + "stopping")
	entry.draining.Store(true)
	grace := time.Duration(entry.options.Settings.Bounds.Grace) - graceMargin
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	select {
	case <-entry.options.Clock.After(min(lookPause, grace/2)):
	case <-ctx.Done():
	}
	err := entry.callers.Shutdown(ctx)
	entry.Kill()
	if err != nil {
		return Error.New("stop entry host: %w", err)
	}
	return nil
}

// Kill ends the host at once.
func (entry *Entry) Kill() {
	entry.cancel()
	for _, server := range []*http.Server{entry.callers, entry.health, entry.metrics} {
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
