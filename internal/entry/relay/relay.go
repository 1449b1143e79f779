// Package relay is the reverse proxy of an entry host: it authenticates callers'
// requests, applies rate limits, and forwards the requests directly to upstreams.
package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/pacer"
	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/crash"
	"damaskcrank.example/damaskcrank/internal/dispatch/detour"
	"damaskcrank.example/damaskcrank/internal/dispatch/expose"
	"damaskcrank.example/damaskcrank/internal/dispatch/permit"
	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
	"damaskcrank.example/damaskcrank/internal/rates/share"
)

// Error is the class of all errors of this package.
var Error = errs.Class("relay")

const (
	// logPrefix starts every log message of this package.
	logPrefix = "relay: "
	// fieldCause is the log field for the cause of a failure or of a retry.
	fieldCause = "cause"
	// workspacePriorityFactor weights a workspace's priority relative to a route's.
	workspacePriorityFactor = 1000
	// defaultRetryAfter is the Retry-After for refusals without an estimate of
	// their own: the host is not ready, or the retry budget is used up.
	defaultRetryAfter = 300 * time.Millisecond
	// startupGrace is the time after its start within which a host gets its first
	// configuration, even if the control hosts have only just started too.
	startupGrace = 3 * time.Second
	// startupWaitDivisor is the divisor of a caller's timeout that yields the longest
	// wait for the first configuration.
	startupWaitDivisor  = 2
	startupPollInterval = 20 * time.Millisecond
	// responseMargin is the time reserved before the deadline for returning the
	// response to the caller.
	responseMargin = 10 * time.Millisecond
	// defaultTimeout bounds requests whose caller states no timeout, in addition to
	// the route's timeout.
	defaultTimeout = time.Minute
	// quarantineRetryAfter is the Retry-After for requests that end upstreams. They are
	// refused until an operator clears them.
	quarantineRetryAfter = time.Hour
	// maxUnsent bounds the attempts of a request that reach no upstream.
	maxUnsent = 3
	// stopRetryAfter is the Retry-After for requests that a host which stops does not take.
	// Other hosts serve them at once.
	stopRetryAfter = 10 * time.Millisecond
	// maxCauseBytes bounds the text of an error in a log line.
	maxCauseBytes = 256
)

// RequestInfo holds the metadata that a request carries in its header.
type RequestInfo struct {
	// ID identifies the request in logs.
	ID string
	// Key is the caller key, empty if the request has none.
	Key string
	// Timeout is the caller's timeout, 0 if the request states none.
	Timeout time.Duration
	// ShardKey is the key that determines which upstream owns the request. It is
	// valid only if HasShardKey is set.
	ShardKey    uint16
	HasShardKey bool
}

// ResponseInfo holds the metadata of an upstream's response.
type ResponseInfo struct {
	// NotRun is set if the upstream states that it did not run the request. A status alone
	// does not state that.
	NotRun bool
	// Misplaced is set if the upstream does not own the key, or if another
	// upstream than the intended one responded.
	Misplaced bool
	// Load is the load report of the upstream, nil if there is none.
	Load *admit.Load
	// RateLimit is the number of requests per second that the upstream takes from all
	// hosts together, 0 if it names none.
	RateLimit float64
	// Rest is how long the upstream wants no requests from this host, 0 if it does not say.
	Rest time.Duration
	// Leaving is set if the upstream is about to stop.
	Leaving bool
}

// ForwardInfo holds the metadata that is sent to the upstream with a request.
type ForwardInfo struct {
	// Timeout is the time remaining until the response is due.
	Timeout   time.Duration
	Upstream  string
	Workspace string
}

// Protocol maps the header fields of callers and upstreams to the types of this
// package.
type Protocol interface {
	// ParseRequest parses the header of a caller's request.
	ParseRequest(header http.Header) RequestInfo
	// PrepareHeader sets the header fields for the upstream and removes the caller key.
	// The header has no hop-by-hop fields.
	PrepareHeader(header http.Header, forwardinfo ForwardInfo)
	// ParseResponse parses the status and header of an upstream's response.
	ParseResponse(status int, header http.Header) ResponseInfo
}

// ParseNotices returns the function that reads what upstreams say about themselves in
// their answers.
func ParseNotices(protocol Protocol) func(status int, header http.Header) detour.Notice {
	return func(status int, header http.Header) detour.Notice {
		responseinfo := protocol.ParseResponse(status, header)
		return detour.Notice{Rest: responseinfo.Rest, Leaving: responseinfo.Leaving}
	}
}

// ConfigSnapshot is the configuration of a host and the time at which it was last
// confirmed as current.
type ConfigSnapshot struct {
	View *items.View
	// Index is the Raft log index of the configuration.
	Index uint64
	// ConfirmedAt is the latest time at which the control leader confirmed that no
	// newer configuration had been acknowledged.
	ConfirmedAt time.Time
}

// Relay is the HTTP handler for callers' requests.
type Relay struct {
	Protocol  Protocol
	Scheduler *admit.Scheduler
	Permits   *permit.Client
	Sender    *detour.Sender
	Limiter   *share.Limiter
	// Versions chooses the versions that requests go to. If it is nil, versions are ignored.
	Versions *expose.Selector
	// Crashes finds the requests that end upstreams.
	Crashes *crash.Detector
	// Config returns the current configuration.
	Config func() ConfigSnapshot
	// MaxConfigAge is the maximum age of the configuration's confirmation for requests
	// that need a caller key.
	MaxConfigAge time.Duration
	// MaxRejectAge is the maximum age for rejecting a request whose route or caller key the
	// configuration does not have: a newer one may have it.
	MaxRejectAge time.Duration
	// OnKeyRequest is called with each key that is requested.
	OnKeyRequest func(service string, key uint16)
	// OnDemand, if set, is called with the service and the objective of each request without a
	// key, and OnBytes with the bytes of its answer.
	OnDemand func(service string, objective time.Duration)
	OnBytes  func(service string, bytes int)
	// StartedAt is when the host started.
	StartedAt time.Time
	// Draining reports whether callers' connections should be closed.
	Draining func() bool
	// StopsAt, if set, returns when the host will have stopped, or the zero time while it
	// does not stop. Requests whose time lasts longer are refused.
	StopsAt func() time.Time
	// Ending, if set, ends shortly before the host does. Requests in progress are answered
	// then.
	Ending context.Context //nolint:containedctx // it ends with the host
	// MaxHeld bounds the bodies of requests together with what HeadsUsed returns, which is what
	// the heads take, in bytes. 0 means no bound beside that of the bodies.
	MaxHeld   int64
	HeadsUsed func() int64
	// MaxUnread bounds the answers that callers have not taken yet, in bytes. Beyond it, the
	// longest are given up. 0 means the default.
	MaxUnread int64
	Clock     clockwork.Clock
	Log       log.Interface
	Stats     *stats.Set
	// Link is the host's link, nil if its rate is not known.
	Link *pacer.Link

	running atomic.Int64
	// bodyBytes is what the bodies of all requests in progress take.
	bodyBytes atomic.Int64
	unread    unread
}

// Running returns the number of requests in progress.
func (relay *Relay) Running() int64 { return relay.running.Load() }

// exchange is a caller's request in progress.
type exchange struct {
	relay     *Relay
	writer    http.ResponseWriter
	request   *http.Request
	caller    RequestInfo
	config    ConfigSnapshot
	route     items.NamedRoute
	service   string
	workspace string
	priority  int
	arrived   time.Time
	deadline  time.Time
	body      pool.Body
	// flow paces the response; it is nil if the link's rate is not known.
	flow *pacer.Flow
	// released is set once the permit of the current attempt was released before the whole
	// response had come.
	released bool
	// bodyBytes is what the body takes of the budget of all bodies.
	bodyBytes int64
	// content is the fingerprint of the request's content, empty until the body is read.
	content string
	// choice is the version of a request without a key, from its first attempt on.
	choice expose.Choice
	sends  int
	// unsent counts the attempts that reached no upstream.
	unsent int
	// mayHaveRun is set once an upstream may have begun the request.
	mayHaveRun bool
	// possibleRuns counts the upstreams that may have begun the request.
	possibleRuns int
}

// ServeHTTP implements http.Handler.
func (relay *Relay) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	relay.running.Add(1)
	defer relay.running.Add(-1)
	exchange := &exchange{relay: relay, writer: writer, request: request, arrived: relay.Clock.Now(), config: relay.Config()}
	exchange.caller = relay.Protocol.ParseRequest(request.Header)
	exchange.awaitConfig()
	if refusal := exchange.admit(); refusal != nil {
		exchange.refuse(*refusal)
		return
	}
	if refusal := exchange.admitFlow(); refusal != nil {
		exchange.refuse(*refusal)
		return
	}
	defer exchange.flow.Close()
	defer exchange.releaseBody()
	if refusal := exchange.readBody(); refusal != nil {
		exchange.refuse(*refusal)
		return
	}
	exchange.serve()
}

// awaitConfig waits for the first configuration of a host that has just started,
// so that callers are not refused meanwhile.
func (exchange *exchange) awaitConfig() {
	relay := exchange.relay
	until := exchange.arrived.Add(callerTimeout(exchange.caller) / startupWaitDivisor)
	if last := relay.StartedAt.Add(startupGrace); until.After(last) {
		until = last
	}
	for !exchange.config.View.Configured || exchange.config.ConfirmedAt.IsZero() {
		if !relay.Clock.Now().Before(until) {
			return
		}
		select {
		case <-relay.Clock.After(startupPollInterval):
		case <-exchange.request.Context().Done():
			return
		}
		exchange.config = relay.Config()
	}
}

// refusal is a response generated by this host. Statuses that promise that the
// request has not run are only used where that is known.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	// inputs are the values that the decision is based on, for the log.
	inputs log.Fields
}

// admit finds the route, authenticates the caller, applies the workspace's rate
// limit, and chooses a service of the route.
func (exchange *exchange) admit() *refusal {
	relay, view := exchange.relay, exchange.config.View
	if !view.Configured {
		return &refusal{status: http.StatusServiceUnavailable, reason: "notConfigured", retryAfter: defaultRetryAfter}
	}
	if exchange.config.ConfirmedAt.IsZero() {
		return &refusal{status: http.StatusServiceUnavailable, reason: "notConfirmed", retryAfter: defaultRetryAfter}
	}
	age := exchange.arrived.Sub(exchange.config.ConfirmedAt)
	route, ok := view.Route(stripPort(exchange.request.Host), exchange.request.URL.Path)
	if !ok {
		if age > relay.MaxRejectAge {
			return configTooOld(age)
		}
		return &refusal{status: http.StatusNotFound, reason: "noRoute"}
	}
	exchange.route = route
	exchange.deadline = exchange.arrived.Add(min(route.Timeout, callerTimeout(exchange.caller)))
	exchange.priority = route.Priority
	if refusal := exchange.checkStop(); refusal != nil {
		return refusal
	}
	if !route.Public && view.NeedsKeys() {
		if refusal := exchange.authenticate(age); refusal != nil {
			return refusal
		}
	}
	exchange.service = pickService(route.Split)
	if _, known := view.Service(exchange.service); !known {
		return &refusal{status: http.StatusServiceUnavailable, reason: "serviceUnknown", retryAfter: defaultRetryAfter}
	}
	relay.Scheduler.AddRetryBudget(exchange.service)
	return nil
}

func callerTimeout(requestinfo RequestInfo) time.Duration {
	if requestinfo.Timeout > 0 {
		return requestinfo.Timeout
	}
	return defaultTimeout
}

// authenticate finds the workspace of the caller key and applies its rate limit.
func (exchange *exchange) authenticate(age time.Duration) *refusal {
	relay := exchange.relay
	if age > relay.MaxConfigAge {
		return configTooOld(age)
	}
	name, workspace, known := exchange.config.View.KeyOwner(exchange.caller.Key)
	if !known && age > relay.MaxRejectAge {
		return configTooOld(age)
	}
	if !known {
		return &refusal{status: http.StatusUnauthorized, reason: "callerKeyUnknown"}
	}
	exchange.workspace = name
	exchange.priority += workspace.Priority * workspacePriorityFactor
	rate := share.Rate{PerSecond: workspace.PerSecond, Burst: workspace.Burst}
	wait, ok := relay.Limiter.Take(exchange.request.Context(), exchange.arrived, name, rate)
	if !ok {
		return &refusal{
			status: http.StatusTooManyRequests, reason: "overRate", retryAfter: wait,
			inputs: log.Fields{"rate": rate.PerSecond, "burst": rate.Burst},
		}
	}
	return nil
}

func configTooOld(age time.Duration) *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "configurationTooOld", retryAfter: defaultRetryAfter,
		inputs: log.Fields{"age": age.String()},
	}
}

func stripPort(host string) string {
	for position := range len(host) {
		if host[position] == ':' {
			return host[:position]
		}
	}
	return host
}

// pickService picks a service at random in proportion to the weights.
func pickService(split []items.WeightedService) string {
	total := 0.0
	for _, weightedservice := range split {
		total += weightedservice.Weight
	}
	point := rand.Float64() * total //nolint:gosec // load balancing needs no secure randomness
	for _, weightedservice := range split {
		point -= weightedservice.Weight
		if point < 0 {
			return weightedservice.Service
		}
	}
	return split[len(split)-1].Service
}

// fingerprint identifies what stays the same when a request is sent again: its
// workspace, its target and its body, but not its ID.
func (exchange *exchange) fingerprint() string {
	request := exchange.request
	return calls.FingerprintPieces(exchange.body, exchange.workspace, request.Method, request.Host, request.RequestURI)
}

// serve forwards the request, with retries, until it has a response or must not be
// retried.
func (exchange *exchange) serve() {
	ctx, cancel := context.WithDeadline(exchange.request.Context(), time.Now().Add(exchange.deadline.Sub(exchange.relay.Clock.Now())))
	defer cancel()
	defer exchange.relay.endWith(cancel)()
	for {
		retry := exchange.attempt(ctx)
		if !retry {
			return
		}
	}
}

// attempt sends the request to one upstream and reports whether to retry it.
func (exchange *exchange) attempt(ctx context.Context) bool {
	relay := exchange.relay
	if exchange.refuseQuarantined() {
		return false
	}
	service, _ := exchange.config.View.Service(exchange.service)
	job := admit.Job{
		Service: exchange.service, Keyed: service.Keyed, Key: exchange.caller.ShardKey, Priority: exchange.priority,
		Goal: exchange.arrived.Add(exchange.route.Goal), Deadline: exchange.deadline,
	}
	if exchange.sends == 0 && exchange.unsent == 0 {
		exchange.reportDemand(service)
	}
	permit, attempt := exchange.begin(ctx, job)
	if permit == nil {
		return false
	}
	exchange.sends++
	outcome := exchange.send(ctx, permit)
	exchange.endAttempt(attempt, outcome)
	if outcome.Failure != nil {
		return exchange.handleFailure(ctx, permit, outcome)
	}
	response := outcome.Response
	responseinfo := relay.Protocol.ParseResponse(response.Status, response.Header)
	exchange.recordLimit(permit, responseinfo)
	if failure := unproven(response.Status, responseinfo); failure != nil {
		outcome.Failure = failure
		return exchange.handleFailure(ctx, permit, outcome)
	}
	switch {
	case responseinfo.Misplaced:
		permit.Release(admit.ResultMisplaced, responseinfo.Load)
		return exchange.retry("misplaced", permit)
	case responseinfo.NotRun:
		permit.Release(admit.ResultShed, responseinfo.Load)
		if refused := relay.Scheduler.CheckRest(job); refused != nil {
			exchange.respondRefusal(refused)
			return false
		}
		return exchange.retry("shed", permit)
	}
	exchange.releaseAnswered(permit, response.Status, responseinfo)
	if response.Status != http.StatusGatewayTimeout { // a 504 may come from the upstream's queue
		relay.Crashes.Answered(exchange.content)
	}
	exchange.deliver(outcome, permit)
	return false
}

// reportDemand reports what the request asks for, for the placement of keys and the choice of
// data centres.
func (exchange *exchange) reportDemand(service items.Service) {
	relay := exchange.relay
	switch {
	case service.Keyed && exchange.caller.HasShardKey:
		relay.OnKeyRequest(exchange.service, exchange.caller.ShardKey)
	case !service.Keyed && relay.OnDemand != nil:
		relay.OnDemand(exchange.service, exchange.route.Goal)
	}
}

// refuseQuarantined refuses the request if it ends the upstreams that run it.
func (exchange *exchange) refuseQuarantined() bool {
	verdict := exchange.relay.Crashes.Verdict(exchange.content)
	if !verdict.Quarantined() {
		return false
	}
	exchange.refuse(refusal{
		status: http.StatusServiceUnavailable, reason: string(admit.ReasonQuarantined), retryAfter: quarantineRetryAfter,
		inputs: log.Fields{"ends": verdict.Ends, "latestEnd": verdict.LatestAt.String()},
	})
	return true
}

// classifyStatus maps a response's status to the result reported for the
// upstream. A 504 does not count as an error: the upstream is only slow.
func classifyStatus(status int) admit.Result {
	if status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout {
		return admit.ResultErred
	}
	return admit.ResultAnswered
}

// send sends the request once. A request that is not idempotent is not canceled
// when its caller disconnects.
func (exchange *exchange) send(ctx context.Context, permit *permit.Permit) detour.Outcome {
	exchange.released = false
	if !exchange.route.Idempotent {
		detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadlineOf(ctx))
		defer cancel()
		defer exchange.relay.endWith(cancel)()
		ctx = detached
	}
	return exchange.relay.Sender.Send(ctx, permit.Target, detour.Request{
		ID: exchange.caller.ID, Content: exchange.content, Idempotent: exchange.route.Idempotent, Deadline: exchange.deadline.Add(-responseMargin), FirstHelper: permit.Source,
		Prepare: func() *pool.Request { return exchange.prepare(permit) },
	})
}

// prepare returns the request to the upstream of a permit, as it is sent now.
func (exchange *exchange) prepare(permit *permit.Permit) *pool.Request {
	relay := exchange.relay
	header := pool.EndToEnd(exchange.request.Header)
	relay.Protocol.PrepareHeader(header, ForwardInfo{
		Timeout:  max(time.Millisecond, exchange.deadline.Sub(relay.Clock.Now())-responseMargin),
		Upstream: permit.Target.Owner.ID, Workspace: exchange.workspace,
	})
	return &pool.Request{
		ID: exchange.caller.ID, Method: exchange.request.Method, Target: exchange.request.RequestURI, Host: exchange.request.Host,
		Header: header, Body: exchange.body, OnLateLoss: func() { exchange.reportLoss(permit) },
		Flow: exchange.flow, OnLargeHead: func(status int, header http.Header) { exchange.releaseEarly(permit, status, header) },
	}
}

// reportLoss reports that the upstream cut the request's connection.
func (exchange *exchange) reportLoss(permit *permit.Permit) {
	exchange.relay.Crashes.Lost(crash.Attempt{
		Content: exchange.content, Service: exchange.service, Owner: permit.Target.Owner, Address: permit.Target.Address,
	})
}

func deadlineOf(ctx context.Context) time.Time {
	deadline, _ := ctx.Deadline()
	return deadline
}
