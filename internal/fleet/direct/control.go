// Package direct assembles the processes of a fleet whose entry hosts send
// requests directly to upstreams: control hosts and entry hosts.
package direct

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/budget"
	"damaskcrank.example/damaskcrank/internal/base/conf"
	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/control/steer"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// Error is the class of all errors of this package.
var Error = errs.Class("direct")

const (
	// logPrefix starts each line that this package logs.
	logPrefix = "host: "
	// electionTimeout and heartbeatInterval are the timers of consensus. They are
	// longer than the defaults of package group, which are meant for a fleet in one
	// network, because traffic between data centres is expensive.
	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 180 * time.Millisecond
	tickInterval      = 30 * time.Millisecond
	// snapshotEvery is the number of log entries between two snapshots. It is low
	// because disks are small; catalogs, and so snapshots, are small too.
	snapshotEvery = 4000
	// stopTimeout bounds, when a control host stops, first the wait for running HTTP
	// requests and at last the handover of leadership.
	stopTimeout = 500 * time.Millisecond
	// leaveTimeout bounds the time that a learner has to take the place of a control host
	// that stops: two membership changes and a handover of leadership.
	leaveTimeout = 4 * electionTimeout
	// settingsPollInterval is how often the settings file is read again.
	settingsPollInterval = time.Second
)

// Options configure a process.
type Options struct {
	Settings conf.DirectSettings
	// Reload reads the settings file again.
	Reload func() (conf.DirectSettings, error)
	Clock  clockwork.Clock
	Log    log.Interface
	Stats  *stats.Set

	// memory is the memory that the process may use, in bytes, and heads the budget of all
	// listeners.
	memory int64
	heads  *budget.Budget
	// sendBuffer is the size of the send buffers of accepted connections, 0 for the default.
	sendBuffer int
}

// Control is a running control host.
type Control struct {
	options Options
	node    *group.Node
	client  *group.Client
	// startedAt is when the host started.
	startedAt time.Time
	steer     *steer.Coordinator
	lender    *steer.Lender
	server    *server
	metrics   *server
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
}

// StartControl starts a control host. It calls handler, which returns the HTTP
// handler for operators and upstreams, once the control node is open.
func StartControl(options Options, handler func(*Control) http.Handler) (*Control, error) {
	options = options.withBudget()
	settings := options.Settings
	secret := trust.Secret(settings.Peer.Secret)
	seeds := settings.ControlHosts()
	node, err := group.Open(group.Options{
		Name: settings.Host.Name, Address: settings.Peer.Address, DataFolder: settings.Host.DataFolder,
		Secret: secret, InitialMembers: seeds, Clock: options.Clock, Log: options.Log, SnapshotEvery: snapshotEvery,
		Timing:       group.Timing{Election: electionTimeout, Heartbeat: heartbeatInterval, Tick: tickInterval},
		TargetVoters: settings.TargetVoters(),
		JoinOnly:     !settings.Host.FirstStart,
		MessageBytes: options.memory / messageParts,
	})
	if err != nil {
		return nil, Error.New("start control: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	control := &Control{
		options: options, node: node, client: group.NewClient(seeds, secret), startedAt: options.Clock.Now(),
		steer: steer.New(node, options.Clock, options.Log), cancel: cancel,
	}
	control.client.SetMessageBytes(options.memory / messageParts)
	control.steer.ByteCost = time.Duration(settings.DataCentres.ByteCost)
	control.steer.UseRollouts(rolloutOptions(options))
	control.lender = steer.NewLender(settings.Peer.Address.String(), control.steer, control.client, options.Clock, options.Log)
	if err := node.Register("Steer", steer.NewRPCService(control.steer, node, control.lender)); err != nil {
		control.Kill()
		return nil, Error.New("start control: %w", err)
	}
	options.Stats.Gauge("control_losses", func() float64 { return float64(node.Status().Losses) })
	options.Stats.Gauge("control_voters", func() float64 { return float64(node.Status().Voters()) })
	control.steer.Start()
	if err := control.listen(handler(control)); err != nil {
		control.Kill()
		return nil, err
	}
	control.background(func() { control.formGroup(ctx) })
	control.background(func() { node.Join(ctx, control.client) })
	control.background(func() { control.announce(ctx) })
	control.background(func() { control.lender.Run(ctx) })
	control.background(func() { watchSettings(ctx, options, control.client) })
	options.Log.WithField("control", settings.Listen.Control).WithField("peer", settings.Peer.Address.String()).
		WithField("firstStart", settings.Host.FirstStart).WithField("member", string(node.ID())).
		Info(logPrefix + "control host started")
	return control, nil
}

func (control *Control) background(task func()) {
	control.tasks.Add(1)
	go func() {
		defer control.tasks.Done()
		task()
	}()
}

func (control *Control) formGroup(ctx context.Context) {
	if err := control.node.Form(ctx); err != nil && ctx.Err() == nil {
		control.options.Log.WithError(err).Error(logPrefix + "forming the control group failed")
	}
}

func (control *Control) listen(handler http.Handler) error {
	var err error
	control.server, err = serveHTTP("control", control.options.Settings.Listen.Control, new(bodies).limit(handler), control.options, nil)
	if err != nil {
		return err
	}
	control.metrics, err = serveMetrics(control.options)
	return err
}

// announce records the host's address and data centre in the catalog, so that
// entry hosts can find a control host in their own data centre.
func (control *Control) announce(ctx context.Context) {
	settings := control.options.Settings
	self := state.ControlHost{Address: settings.Peer.Address, DataCentre: settings.Host.DataCentre}
	for ctx.Err() == nil {
		if control.node.Catalog().ControlHosts[self.Address.String()] == self {
			return
		}
		if control.node.Status().Leader != "" {
			if err := control.propose(ctx, state.RegisterControlHost{ControlHost: self}); err != nil {
				control.options.Log.WithError(err).Debug(logPrefix + "recording the host in the catalog failed, retrying")
			}
		}
		select {
		case <-ctx.Done():
		case <-control.options.Clock.After(electionTimeout):
		}
	}
}

// propose commits a command. It forwards the command to the leader if this host
// does not lead.
func (control *Control) propose(ctx context.Context, command state.Command) error {
	if control.node.HoldsLease() {
		if _, err := control.node.Propose(ctx, command); !errors.Is(err, group.ErrNotLeader) {
			return err //nolint:wrapcheck // it says what failed
		}
	}
	if _, err := control.client.Propose(ctx, command); err != nil {
		return Error.New("propose: %w", err)
	}
	return nil
}

// HandleHeartbeat answers an upstream's heartbeat. If this host can't answer
// it as the leader, it forwards the heartbeat to the leader.
func (control *Control) HandleHeartbeat(ctx context.Context, heartbeat steer.Heartbeat) (steer.HeartbeatReply, error) {
	if err := heartbeat.Validate(control.options.Clock.Now()); err != nil {
		control.options.Stats.Event("heartbeat", "invalid")
		return steer.HeartbeatReply{}, err //nolint:wrapcheck // it says what is wrong
	}
	heartbeatreply, err := control.steer.HandleHeartbeat(ctx, heartbeat)
	if err == nil {
		return heartbeatreply, nil
	}
	reply, err := group.CallLeader[steer.ForwardReply](ctx, control.client, "Steer.Beat", heartbeat)
	if err != nil {
		return steer.HeartbeatReply{}, Error.New("forward heartbeat: %w", err)
	}
	return reply.Answer, nil
}

// Deregister records that an upstream is leaving, so that it gets no more keys. The start of
// its process is 0 if the upstream does not state it. If this host can't do so as the leader,
// it forwards the request to the leader.
func (control *Control) Deregister(ctx context.Context, owner spans.Owner) error {
	if owner.Born == 0 {
		var err error
		if owner, err = control.registered(ctx, owner.ID); err != nil {
			return err
		}
	}
	if err := control.awaitCaller(ctx, settleTime); err != nil {
		return err
	}
	if control.steer.Deregister(ctx, owner) == nil {
		return nil
	}
	_, err := group.CallLeader[steer.ForwardReply](ctx, control.client, "Steer.Depart", owner)
	if errors.Is(err, group.ErrUnknownMethod) {
		_, err = group.CallLeader[steer.ForwardReply](ctx, control.client, "Steer.Leave", owner.ID)
	}
	if err != nil {
		return Error.New("forward deregistration: %w", err)
	}
	return nil
}

// ErrTooLarge is returned for a change with which the configuration would be too large.
var ErrTooLarge = Error.New("the configuration would take more than %d bytes", items.MaxBytes)

// ErrLeaderOutdated is returned for a change that deletes a service while the leader is of a
// version that may acknowledge a route to the service at the same time.
var ErrLeaderOutdated = Error.New("the control leader is of a version that may commit a route to a deleted service")

// PutItems commits changes of configuration items. Operators may send the whole
// configuration with each change; only what may have an effect is committed.
func (control *Control) PutItems(ctx context.Context, changes []items.Item) (state.Result, error) {
	catalog := control.node.Catalog()
	trimmed, err := catalog.Items.Trim(changes)
	result := state.Result{Index: catalog.Index, Outcome: state.OutcomeResent}
	switch {
	case err != nil:
		result.Outcome, result.Detail = state.OutcomeInvalid, err.Error()
	case items.ExceedsMaxBytes(trimmed): // whatever is in force by then
		result.Outcome = state.OutcomeTooLarge
	case len(trimmed) > 0:
		if result, err = control.order(ctx, 0, state.PutItems{Items: trimmed}); err != nil {
			return result, err
		}
	default: // all of it is committed, perhaps by a call that did not wait for its acknowledgement
		if err = control.awaitVoters(ctx); err != nil {
			return result, err
		}
	}
	control.logChange(len(trimmed), len(changes), result)
	if result.Outcome == state.OutcomeTooLarge {
		return result, ErrTooLarge
	}
	return result, nil
}

// judge refuses changes of the configuration that members accept before
// state.FormatCheckedItems. The outcome is empty if they may be proposed; the leader then keeps
// services that routes name, while concurrent changes may exceed the bound on the size.
func (control *Control) judge(ctx context.Context, ticket group.Ticket, changes []items.Item) (state.Result, error) {
	if !ticket.GuardsServices && slices.ContainsFunc(changes, items.Item.DeletesService) {
		control.options.Stats.Event("order", "leaderOutdated")
		return state.Result{}, ErrLeaderOutdated
	}
	catalog, err := control.readCatalog(ctx)
	if err != nil {
		return state.Result{}, err
	}
	result := state.Result{Index: catalog.Index}
	_, outcome, err := catalog.Items.MergeChecked(changes)
	switch outcome {
	case items.OutcomeInvalid:
		result.Outcome, result.Detail = state.OutcomeInvalid, err.Error()
	case items.OutcomeTooLarge:
		result.Outcome = state.OutcomeTooLarge
	case items.OutcomeDone, items.OutcomeResent, items.OutcomeConflict:
	}
	return result, nil
}

// logChange logs what became of a change of the configuration: of the items that were sent,
// some may have an effect.
func (control *Control) logChange(items, sent int, result state.Result) {
	control.options.Log.WithField("items", items).WithField("sent", sent).WithField("outcome", string(result.Outcome)).
		WithField("detail", result.Detail).WithField("version", result.Index).Info(logPrefix + "processed a configuration change")
}

// SetEvacuated sets whether a data centre is evacuated. The upstreams of an evacuated
// data centre get no new work.
func (control *Control) SetEvacuated(ctx context.Context, dataCentre string, evacuated bool) error {
	result, err := control.order(ctx, settleTime, state.EvacuateDataCentre{Name: dataCentre, Evacuated: evacuated})
	if err != nil {
		control.options.Log.WithError(err).WithField("dataCentre", dataCentre).WithField("evacuated", evacuated).
			Warn(logPrefix + "did not change the evacuation of a data centre, or its outcome is unknown")
		return err
	}
	control.options.Log.WithField("dataCentre", dataCentre).WithField("evacuated", evacuated).
		WithField("version", result.Index).Info(logPrefix + "changed the evacuation of a data centre")
	return nil
}

// Items returns the configuration items in force. The read is linearizable: it
// includes every change that was acknowledged before the call.
func (control *Control) Items(ctx context.Context) ([]items.Item, error) {
	began := control.options.Clock.Now()
	inForce, err := control.readItems(ctx)
	line := control.options.Log.WithField("items", len(inForce)).WithField("version", control.node.Catalog().Index).
		WithField("after", control.options.Clock.Now().Sub(began).String())
	if err != nil {
		line.WithError(err).Warn(logPrefix + "reading the configuration failed")
		return nil, err
	}
	line.Info(logPrefix + "read the configuration")
	return inForce, nil
}

func (control *Control) readItems(ctx context.Context) ([]items.Item, error) {
	catalog, err := control.readCatalog(ctx)
	if err != nil {
		return nil, err
	}
	return catalog.Items.Active(), nil
}

// readCatalog performs a linearizable read, with the leader's help if this host is another.
func (control *Control) readCatalog(ctx context.Context) (*state.Catalog, error) {
	catalog, err := control.node.ReadLinearizable(ctx)
	if err == nil {
		return catalog, nil
	}
	reply, err := group.CallLeader[steer.IndexReply](ctx, control.client, "Steer.Index", steer.IndexArgs{})
	if err != nil {
		return nil, Error.New("read items: %w", err)
	}
	for control.node.Catalog().Index < reply.Index {
		select {
		case <-ctx.Done():
			return nil, Error.New("read items: %w", ctx.Err())
		case <-control.options.Clock.After(tickInterval):
		}
	}
	return control.node.Catalog(), nil
}

// Done returns a channel that is closed when the control node has ended, for
// example after a disk error.
func (control *Control) Done() <-chan struct{} { return control.node.Done() }

// Stop shuts the host down without lowering the number of losses that the control group
// bears, where a learner can take its place, and hands leadership over.
func (control *Control) Stop(_ context.Context) error {
	control.options.Log.Info(logPrefix + "stopping the control host")
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := control.server.Drain(ctx)
	control.leaveGroup()
	if control.node.TransferLeadership() {
		select {
		case <-control.options.Clock.After(stopTimeout):
		case <-control.node.Done():
		}
	}
	control.Kill()
	if err != nil {
		return Error.New("stop control: %w", err)
	}
	return nil
}

// leaveGroup lets a learner take this host's place in the control group, if there is one.
func (control *Control) leaveGroup() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	began := control.options.Clock.Now()
	replaced, err := control.node.Leave(ctx, control.client)
	line := control.options.Log.WithField("after", control.options.Clock.Now().Sub(began).String()).WithField("replaced", replaced)
	if err != nil {
		control.options.Stats.Event("leave", "failed")
		line.WithError(err).Warn(logPrefix + "no learner took this host's place in the control group in time")
		return
	}
	if replaced {
		control.options.Stats.Event("leave", "replaced")
	} else {
		control.options.Stats.Event("leave", "noLearner")
	}
	line.Info(logPrefix + "leaving the control group")
}

// Kill stops the host immediately, without a handover and without waiting for
// running requests.
func (control *Control) Kill() {
	control.cancel()
	for _, server := range []*server{control.server, control.metrics} {
		if server != nil {
			_ = server.Close()
		}
	}
	if err := control.node.Close(); err != nil {
		control.options.Log.WithError(err).Warn(logPrefix + "the control node ended with an error")
	}
	control.client.Close()
	control.steer.Close()
	control.tasks.Wait()
}

// ClearSuspect deletes what is recorded about a request that ended upstreams, by the
// fingerprint of its content. Entry hosts then send it again.
func ClearSuspect(ctx context.Context, settings conf.DirectSettings, content string) error {
	client := group.NewClient(settings.ControlHosts(), trust.Secret(settings.Peer.Secret))
	defer client.Close()
	for {
		ticket, err := client.Ticket(ctx)
		if err != nil {
			return Error.New("clear suspect %q: %w", content, err)
		}
		_, err = client.ProposeWithTicket(ctx, ticket, state.UpdateSuspects{Cleared: []string{content}})
		switch {
		case errors.Is(err, group.ErrStaleTicket):
		case err != nil:
			return Error.New("clear suspect %q: %w", content, err)
		default:
			return nil
		}
	}
}
