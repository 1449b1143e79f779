// Package fake implements a fake upstream, a test double for the users' stateful
// servers. It has a limited number of slots, a warm-up phase, grants, load reports
// that lag behind, and injectable faults, and it counts every violation of the
// system's guarantees.
package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
)

// Error is the class of all errors of this package.
var Error = errs.Class("fake")

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second
	// coldRateTolerance multiplies the rate that a cold upstream accepts without
	// slowing down, because the upstream and its primary start to time the warm-up
	// at different moments.
	coldRateTolerance = 1.1
	// overloadSlowdown is the factor by which a cold upstream slows down under
	// overload.
	overloadSlowdown = 20
	// PoisonPath is a path that crashes the upstream when it is requested.
	PoisonPath = "/poison"
)

// Options configures an Upstream.
type Options struct {
	Service    string
	Name       string
	DataCentre string
	Address    netip.AddrPort
	// Slots is the number of requests that it can process at the same time.
	Slots int
	// Connections is the connection limit that it announces.
	Connections int
	// ServiceTime is the mean time to process a request.
	ServiceTime time.Duration
	// ColdRate is the number of requests per second that it can process right after
	// a cold start.
	ColdRate float64
	// ColdRamp is the duration of the warm-up.
	ColdRamp time.Duration
	// Keyed is set if requests require a grant for their key.
	Keyed     bool
	KeyHeader string
	// ChecksToken makes it reject requests with a stale fencing token.
	ChecksToken bool
	// OperatorAddresses lists the operator addresses of the hosts to which it
	// announces itself.
	OperatorAddresses []netip.AddrPort
	// Seed seeds the processing times.
	Seed uint64
}

// Violations counts violations of the system's guarantees, which must never occur.
type Violations struct {
	// OverSlots is the number of requests that arrived while all slots were in use.
	OverSlots int64
	// OverCold is the number of requests that exceeded the rate of a cold upstream.
	OverCold int64
	// NotOwner is the number of requests that ran for keys for which the upstream
	// held no grant.
	NotOwner int64
	// CallerKeys is the number of requests that exposed a caller's API key.
	CallerKeys int64
	// Fenced is the number of requests that were rejected because of a stale fencing
	// token or an expired grant. This is how fencing is meant to work, not a
	// violation.
	Fenced int64
}

// Upstream is a running fake upstream.
type Upstream struct {
	options     Options
	journal     *Journal
	server      *http.Server
	listener    net.Listener
	stop        chan struct{}
	stopOnce    sync.Once
	started     time.Time
	incarnation string
	slowFactor  atomic.Int64
	served      atomic.Int64
	running     atomic.Int64
	overSlots   atomic.Int64
	overCold    atomic.Int64
	notOwner    atomic.Int64
	fenced      atomic.Int64
	callerKeys  atomic.Int64

	mutex sync.Mutex
	// frozen is closed when the upstream is unfrozen; nil if it is not frozen.
	frozen         chan struct{}
	warmUpStart    time.Time
	warmUpTokens   float64
	warmUpRefilled time.Time
	grant          upstr.Grant
	// fencingTokens maps each granted slot to its fencing token.
	fencingTokens map[state.Slot]uint64
	excluded      map[string]bool
	// grantExpiry is when the grant expires, on the clock of monotonicTime.
	grantExpiry time.Duration
	// epoch is the highest primary epoch of the grants applied so far.
	epoch  uint64
	random *rand.Rand
}

// Start starts a cold upstream that announces itself. The journal, which several
// upstreams may share, records the writes that it runs.
func Start(options Options, journal *Journal) (*Upstream, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", options.Address.String())
	if err != nil {
		return nil, Error.New("listen: %w", err)
	}
	options.Address = netip.MustParseAddrPort(listener.Addr().String())
	now := time.Now()
	upstream := &Upstream{
		options: options, journal: journal, listener: listener, stop: make(chan struct{}),
		started: now, warmUpStart: now, warmUpRefilled: now, warmUpTokens: 1, incarnation: uuid.NewString(),
		fencingTokens: map[state.Slot]uint64{}, random: rand.New(rand.NewPCG(options.Seed, 1)), //nolint:gosec // load simulation needs no secure randomness
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstr.GrantPath, upstream.handleGrant)
	mux.HandleFunc("/", upstream.handleRequest)
	upstream.server = &http.Server{Handler: mux, ReadHeaderTimeout: announceTimeout}
	go func() { _ = upstream.server.Serve(listener) }()
	go upstream.announce()
	return upstream, nil
}

// Name returns the upstream's name.
func (upstream *Upstream) Name() string { return upstream.options.Name }

// Address returns the address on which the upstream listens.
func (upstream *Upstream) Address() netip.AddrPort { return upstream.options.Address }

// Served returns the number of requests that the upstream completed.
func (upstream *Upstream) Served() int64 { return upstream.served.Load() }

// Violations returns the violations counted so far.
func (upstream *Upstream) Violations() Violations {
	return Violations{
		OverSlots: upstream.overSlots.Load(), OverCold: upstream.overCold.Load(),
		NotOwner: upstream.notOwner.Load(), CallerKeys: upstream.callerKeys.Load(),
		Fenced: upstream.fenced.Load(),
	}
}

// SetSlowdown multiplies the processing time of each request by factor; 1 restores
// the normal speed.
func (upstream *Upstream) SetSlowdown(factor int) { upstream.slowFactor.Store(int64(factor)) }

// RestartWarmUp restarts the warm-up without announcing it.
func (upstream *Upstream) RestartWarmUp() {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.warmUpStart = time.Now()
}

// Freeze suspends all processing until the returned function is called.
// Connections stay open, as on a host that hangs.
func (upstream *Upstream) Freeze() (unfreeze func()) {
	frozen := make(chan struct{})
	upstream.mutex.Lock()
	upstream.frozen = frozen
	upstream.mutex.Unlock()
	return func() {
		upstream.mutex.Lock()
		upstream.frozen = nil
		upstream.mutex.Unlock()
		close(frozen)
	}
}

// waitUntilUnfrozen blocks while the upstream is frozen, unless it is stopped.
func (upstream *Upstream) waitUntilUnfrozen() {
	upstream.mutex.Lock()
	frozen := upstream.frozen
	upstream.mutex.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-upstream.stop:
		}
	}
}

// Kill terminates the upstream as a crash would.
func (upstream *Upstream) Kill() {
	upstream.stopOnce.Do(func() {
		close(upstream.stop)
		_ = upstream.server.Close()
	})
}

// announce periodically announces the upstream to the hosts, one host at a time
// in turn, until the upstream is stopped.
func (upstream *Upstream) announce() {
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		upstream.waitUntilUnfrozen()
		if len(upstream.options.OperatorAddresses) > 0 {
			upstream.announceTo(client, upstream.options.OperatorAddresses[round%len(upstream.options.OperatorAddresses)])
		}
		select {
		case <-upstream.stop:
			return
		case <-ticker.C:
		}
	}
}

// announceTo sends one announcement to a host. It ignores failures, since
// announcements are repeated.
func (upstream *Upstream) announceTo(client *http.Client, host netip.AddrPort) {
	body, err := json.Marshal(upstr.Announcement{
		Service: upstream.options.Service, Name: upstream.options.Name, DataCentre: upstream.options.DataCentre,
		Address: upstream.options.Address, Incarnation: upstream.incarnation, Slots: upstream.options.Slots,
		Connections: upstream.options.Connections, ColdRate: upstream.options.ColdRate,
		ColdRampMillis: upstream.options.ColdRamp.Milliseconds(), ChecksToken: upstream.options.ChecksToken,
		Load: int(upstream.running.Load()),
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	url := "http://" + host.String() + upstr.AnnouncePath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// monotonicTime returns the time on the upstream's monotonic clock. It is never 0,
// since a grant with the basis 0 only asks for the time.
func (upstream *Upstream) monotonicTime() time.Duration { return time.Since(upstream.started) + 1 }

// handleGrant decodes a grant, applies it and responds with an acknowledgement.
func (upstream *Upstream) handleGrant(writer http.ResponseWriter, request *http.Request) {
	upstream.waitUntilUnfrozen()
	var grant upstr.Grant
	if err := json.NewDecoder(request.Body).Decode(&grant); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	ack := upstream.applyGrant(grant)
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(ack)
}

// applyGrant applies a grant unless it comes from a primary with an older epoch
// than the last grant that was applied. A grant without a basis only asks for the
// upstream's time and is not applied.
func (upstream *Upstream) applyGrant(grant upstr.Grant) upstr.GrantAck {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	ack := upstr.GrantAck{Stamp: int64(upstream.monotonicTime()), Incarnation: upstream.incarnation}
	if grant.Epoch < upstream.epoch {
		ack.Epoch = upstream.epoch
		ack.Revision = upstream.grant.Revision
		return ack
	}
	if grant.Basis != 0 {
		upstream.installGrant(grant)
	}
	ack.Epoch = upstream.epoch
	ack.Revision = upstream.grant.Revision
	return ack
}

// installGrant replaces the granted slots if the grant is full, and sets the expiry
// if the revision of the grant is that of the installed slots.
func (upstream *Upstream) installGrant(grant upstr.Grant) {
	upstream.epoch = grant.Epoch
	if grant.Full {
		upstream.grant = grant
		upstream.fencingTokens = map[state.Slot]uint64{}
		for _, slot := range grant.Slots {
			upstream.fencingTokens[state.Slot{Partition: slot.Partition, Key: slot.Key}] = slot.Token
		}
		upstream.excluded = map[string]bool{}
		for _, key := range grant.Excluded {
			upstream.excluded[key] = true
		}
	}
	if grant.Revision == upstream.grant.Revision {
		upstream.grantExpiry = time.Duration(grant.Basis) + time.Duration(grant.TTLMillis)*time.Millisecond
	}
}

// owns reports whether the upstream holds an unexpired grant for the key with this
// fencing token.
func (upstream *Upstream) owns(key string, token uint64) bool {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if upstream.monotonicTime() > upstream.grantExpiry || upstream.excluded[key] {
		return false
	}
	granted, ok := upstream.fencingTokens[state.Slot{Key: key}]
	if !ok && upstream.grant.Partitions > 0 {
		slot := state.Slot{Partition: state.PartitionOf(key, upstream.grant.Partitions)}
		granted, ok = upstream.fencingTokens[slot]
	}
	return ok && granted == token
}

// withinWarmUpRate reports whether a request is within the rate that the upstream
// can process, and takes a token from a token bucket. The rate rises linearly from
// ColdRate to the full rate during the warm-up; a warm upstream has no limit.
func (upstream *Upstream) withinWarmUpRate() bool {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	now := time.Now()
	age := now.Sub(upstream.warmUpStart)
	if age >= upstream.options.ColdRamp {
		return true
	}
	full := float64(upstream.options.Slots) / upstream.options.ServiceTime.Seconds()
	progress := age.Seconds() / upstream.options.ColdRamp.Seconds()
	rate := (upstream.options.ColdRate + (full-upstream.options.ColdRate)*progress) * coldRateTolerance
	upstream.warmUpTokens = min(2, upstream.warmUpTokens+rate*now.Sub(upstream.warmUpRefilled).Seconds())
	upstream.warmUpRefilled = now
	upstream.warmUpTokens--
	if upstream.warmUpTokens >= 0 {
		return true
	}
	upstream.warmUpTokens = -1
	return false
}

// drawServiceTime returns a random processing time: ServiceTime plus or minus 30%,
// times the factor that SetSlowdown sets.
func (upstream *Upstream) drawServiceTime() time.Duration {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	const jitter = 0.3
	factor := 1 - jitter + 2*jitter*upstream.random.Float64()
	return time.Duration(float64(upstream.options.ServiceTime)*factor) * time.Duration(max(1, upstream.slowFactor.Load()))
}

// handleRequest checks a request, simulates its processing and responds.
func (upstream *Upstream) handleRequest(writer http.ResponseWriter, request *http.Request) {
	upstream.waitUntilUnfrozen()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if request.Header.Get("Authorization") != "" || request.Header.Get("X-Api-Key") != "" {
		upstream.callerKeys.Add(1)
	}
	if request.URL.Path == PoisonPath {
		upstream.journal.recordCrash(upstream.options.Name)
		upstream.Kill()
		return
	}
	writer.Header().Set(upstr.HeaderAttempt, request.Header.Get(upstr.HeaderAttempt))
	if !upstream.admit(writer, request) {
		return
	}
	defer upstream.running.Add(-1)
	serviceTime := upstream.drawServiceTime()
	if !upstream.withinWarmUpRate() {
		upstream.overCold.Add(1)
		serviceTime *= overloadSlowdown
	}
	upstream.simulateWork(request, serviceTime)
	upstream.waitUntilUnfrozen()
	upstream.finish(writer, request, body)
}

// admit takes a slot and returns true if the request may run. Otherwise it responds
// that the request did not run: either there is no free slot, or there is no grant
// and the upstream checks tokens.
func (upstream *Upstream) admit(writer http.ResponseWriter, request *http.Request) bool {
	if !upstream.holdsGrant(request) {
		if upstream.options.ChecksToken {
			upstream.fenced.Add(1)
			writer.Header().Set(upstr.HeaderOutcome, upstr.OutcomeFenced)
			http.Error(writer, "no grant for this key", http.StatusConflict)
			return false
		}
		upstream.notOwner.Add(1)
	}
	if upstream.running.Add(1) > int64(upstream.options.Slots) {
		upstream.running.Add(-1)
		upstream.overSlots.Add(1)
		writer.Header().Set(upstr.HeaderOutcome, upstr.OutcomeNotRun)
		http.Error(writer, "all slots are in use", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// holdsGrant reports whether the upstream holds a grant for the request's key and
// fencing token, or needs none.
func (upstream *Upstream) holdsGrant(request *http.Request) bool {
	if !upstream.options.Keyed {
		return true
	}
	token, err := strconv.ParseUint(request.Header.Get(upstr.HeaderToken), 10, 64)
	return err == nil && upstream.owns(request.Header.Get(upstream.options.KeyHeader), token)
}

// simulateWork waits for the duration, or until the request is cancelled or the
// upstream is stopped.
func (upstream *Upstream) simulateWork(request *http.Request, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
	case <-upstream.stop:
	}
}

// Reply is the body of a fake upstream's response.
type Reply struct {
	Upstream  string `json:"upstream"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Method    string `json:"method"`
	// Echo is the request's body.
	Echo string `json:"echo"`
}

// finish records a write as run and sends the response. An upstream that checks
// tokens refuses the write instead if its grant ended in the meantime; a stopped
// upstream aborts the connection.
func (upstream *Upstream) finish(writer http.ResponseWriter, request *http.Request, body []byte) {
	select {
	case <-upstream.stop:
		panic(http.ErrAbortHandler)
	default:
	}
	readOnly := request.Method == http.MethodGet || request.Method == http.MethodHead
	if !readOnly && upstream.options.ChecksToken && !upstream.holdsGrant(request) {
		writer.Header().Set(upstr.HeaderOutcome, upstr.OutcomeFenced)
		http.Error(writer, "the grant ended before the request", http.StatusConflict)
		return
	}
	if !readOnly {
		upstream.journal.recordRun(request.Header.Get("Idempotency-Key"), upstream.options.Name)
	}
	upstream.served.Add(1)
	data, err := json.Marshal(Reply{
		Upstream: upstream.options.Name, Workspace: request.Header.Get(upstr.HeaderWorkspace),
		Key: request.Header.Get(upstream.options.KeyHeader), Method: request.Method, Echo: string(body),
	})
	if err != nil {
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = writer.Write(data)
}
