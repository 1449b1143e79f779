// Package stand is a stand-in for the users' stateful servers: it has slots, a
// cold start, grants, load reports that lag, and faults on request. It counts
// each breach of what the system promises.
package stand

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
var Error = errs.Class("stand")

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second
	// coldSlack is the share above the bearable rate that a cold upstream
	// tolerates, since its own count and the primary's start apart.
	coldSlack = 1.1
	// collapse is how much slower an overloaded cold upstream answers.
	collapse = 20
	// PoisonPath is a path whose request crashes the upstream.
	PoisonPath = "/poison"
)

// Options set up an Upstream.
type Options struct {
	Service     string
	Name        string
	DataCentre  string
	Address     netip.AddrPort
	Slots       int
	Connections int
	// Work is the mean time of a request in a slot.
	Work     time.Duration
	ColdRate float64
	ColdRamp time.Duration
	// Keyed is set where requests need a grant for their key.
	Keyed     bool
	KeyHeader string
	// ChecksToken makes it refuse requests with an old token.
	ChecksToken bool
	// Operators are the addresses that take announcements.
	Operators []netip.AddrPort
	Seed      uint64
}

// Breaches counts what must never happen.
type Breaches struct {
	// OverSlots are requests that came while all slots were in use.
	OverSlots int64
	// OverCold are requests above what the cold upstream bears.
	OverCold int64
	// NotOwner are requests that ran for keys that the upstream had no grant for.
	NotOwner int64
	// CallerKeys are requests that showed a caller's key.
	CallerKeys int64
	// Fenced are requests that were refused for an old token or an ended grant,
	// which is no breach but what fences are for.
	Fenced int64
}

// Upstream is a running stand-in.
type Upstream struct {
	options     Options
	journal     *Journal
	server      *http.Server
	listener    net.Listener
	stop        chan struct{}
	ended       sync.Once
	started     time.Time
	incarnation string
	slow        atomic.Int64
	served      atomic.Int64
	running     atomic.Int64
	overSlots   atomic.Int64
	overCold    atomic.Int64
	notOwner    atomic.Int64
	fenced      atomic.Int64
	callerKeys  atomic.Int64

	mutex      sync.Mutex
	frozen     chan struct{}
	warmFrom   time.Time
	coldTokens float64
	coldFilled time.Time
	grant      upstr.Grant
	held       map[state.Slot]uint64
	excluded   map[string]bool
	grantEnds  time.Duration
	epoch      uint64
	random     *rand.Rand
}

// Start starts the upstream cold and has it announce itself. The journal, which
// several upstreams may share, notes what ran.
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
		started: now, warmFrom: now, coldFilled: now, coldTokens: 1, incarnation: uuid.NewString(),
		held: map[state.Slot]uint64{}, random: rand.New(rand.NewPCG(options.Seed, 1)), //nolint:gosec // a load model
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstr.GrantPath, upstream.takeGrant)
	mux.HandleFunc("/", upstream.serve)
	upstream.server = &http.Server{Handler: mux, ReadHeaderTimeout: announceTimeout}
	go func() { _ = upstream.server.Serve(listener) }()
	go upstream.announce()
	return upstream, nil
}

// Name returns the upstream's name.
func (upstream *Upstream) Name() string { return upstream.options.Name }

// Address returns where the upstream listens.
func (upstream *Upstream) Address() netip.AddrPort { return upstream.options.Address }

// Served returns the number of requests that ran.
func (upstream *Upstream) Served() int64 { return upstream.served.Load() }

// Breaches returns what should not have happened and did.
func (upstream *Upstream) Breaches() Breaches {
	return Breaches{
		OverSlots: upstream.overSlots.Load(), OverCold: upstream.overCold.Load(),
		NotOwner: upstream.notOwner.Load(), CallerKeys: upstream.callerKeys.Load(),
		Fenced: upstream.fenced.Load(),
	}
}

// Slow makes each request take factor times as long; 1 is normal.
func (upstream *Upstream) Slow(factor int) { upstream.slow.Store(int64(factor)) }

// Chill makes the upstream cold again without a word.
func (upstream *Upstream) Chill() {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.warmFrom = time.Now()
}

// Freeze stops all work until the returned function is called; connections
// stay open, as on a host that hangs.
func (upstream *Upstream) Freeze() (thaw func()) {
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

// waitThaw returns once the upstream is not frozen.
func (upstream *Upstream) waitThaw() {
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

// Stop ends the upstream as a crash does.
func (upstream *Upstream) Stop() {
	upstream.ended.Do(func() {
		close(upstream.stop)
		_ = upstream.server.Close()
	})
}

// announce tells one of the hosts about the upstream again and again.
func (upstream *Upstream) announce() {
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		upstream.waitThaw()
		if len(upstream.options.Operators) > 0 {
			upstream.announceTo(client, upstream.options.Operators[turn%len(upstream.options.Operators)])
		}
		select {
		case <-upstream.stop:
			return
		case <-ticker.C:
		}
	}
}

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

// stamp is the upstream's monotonic clock.
func (upstream *Upstream) stamp() time.Duration { return time.Since(upstream.started) + 1 }

// takeGrant takes a grant whose primary is not older than the last one.
func (upstream *Upstream) takeGrant(writer http.ResponseWriter, request *http.Request) {
	upstream.waitThaw()
	var grant upstr.Grant
	if err := json.NewDecoder(request.Body).Decode(&grant); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	ack := upstream.accept(grant)
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(ack)
}

func (upstream *Upstream) accept(grant upstr.Grant) upstr.GrantAck {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	ack := upstr.GrantAck{Stamp: int64(upstream.stamp()), Incarnation: upstream.incarnation}
	if grant.Epoch < upstream.epoch {
		ack.Epoch = upstream.epoch
		ack.Revision = upstream.grant.Revision
		return ack
	}
	if grant.Basis != 0 {
		upstream.install(grant)
	}
	ack.Epoch = upstream.epoch
	ack.Revision = upstream.grant.Revision
	return ack
}

func (upstream *Upstream) install(grant upstr.Grant) {
	upstream.epoch = grant.Epoch
	if grant.Full {
		upstream.grant = grant
		upstream.held = map[state.Slot]uint64{}
		for _, slot := range grant.Slots {
			upstream.held[state.Slot{Partition: slot.Partition, Key: slot.Key}] = slot.Token
		}
		upstream.excluded = map[string]bool{}
		for _, key := range grant.Excluded {
			upstream.excluded[key] = true
		}
	}
	if grant.Revision == upstream.grant.Revision {
		upstream.grantEnds = time.Duration(grant.Basis) + time.Duration(grant.TTLMillis)*time.Millisecond
	}
}

// owns tells whether the upstream holds a grant for the key under the token.
func (upstream *Upstream) owns(key string, token uint64) bool {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if upstream.stamp() > upstream.grantEnds || upstream.excluded[key] {
		return false
	}
	held, ok := upstream.held[state.Slot{Key: key}]
	if !ok && upstream.grant.Partitions > 0 {
		slot := state.Slot{Partition: state.PartitionOf(key, upstream.grant.Partitions)}
		held, ok = upstream.held[slot]
	}
	return ok && held == token
}

// bears counts a request against what a cold upstream bears.
func (upstream *Upstream) bears() bool {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	now := time.Now()
	age := now.Sub(upstream.warmFrom)
	if age >= upstream.options.ColdRamp {
		return true
	}
	full := float64(upstream.options.Slots) / upstream.options.Work.Seconds()
	progress := age.Seconds() / upstream.options.ColdRamp.Seconds()
	rate := (upstream.options.ColdRate + (full-upstream.options.ColdRate)*progress) * coldSlack
	upstream.coldTokens = min(2, upstream.coldTokens+rate*now.Sub(upstream.coldFilled).Seconds())
	upstream.coldFilled = now
	upstream.coldTokens--
	if upstream.coldTokens >= 0 {
		return true
	}
	upstream.coldTokens = -1
	return false
}

// workTime draws how long a request takes.
func (upstream *Upstream) workTime() time.Duration {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	const spread = 0.3
	factor := 1 - spread + 2*spread*upstream.random.Float64()
	return time.Duration(float64(upstream.options.Work)*factor) * time.Duration(max(1, upstream.slow.Load()))
}

func (upstream *Upstream) serve(writer http.ResponseWriter, request *http.Request) {
	upstream.waitThaw()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if request.Header.Get("Authorization") != "" || request.Header.Get("X-Api-Key") != "" {
		upstream.callerKeys.Add(1)
	}
	if request.URL.Path == PoisonPath {
		upstream.journal.crash(upstream.options.Name)
		upstream.Stop()
		return
	}
	if !upstream.admits(writer, request) {
		return
	}
	defer upstream.running.Add(-1)
	work := upstream.workTime()
	if !upstream.bears() {
		upstream.overCold.Add(1)
		work *= collapse
	}
	upstream.work(request, work)
	upstream.waitThaw()
	upstream.complete(writer, request, body)
}

// admits refuses, as not run, a request without a grant or a slot.
func (upstream *Upstream) admits(writer http.ResponseWriter, request *http.Request) bool {
	if !upstream.checkOwner(request) {
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

func (upstream *Upstream) checkOwner(request *http.Request) bool {
	if !upstream.options.Keyed {
		return true
	}
	token, err := strconv.ParseUint(request.Header.Get(upstr.HeaderToken), 10, 64)
	return err == nil && upstream.owns(request.Header.Get(upstream.options.KeyHeader), token)
}

func (upstream *Upstream) work(request *http.Request, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
	case <-upstream.stop:
	}
}

// Reply is what a stand-in answers.
type Reply struct {
	Upstream  string `json:"upstream"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Method    string `json:"method"`
	// Echo is the request's body.
	Echo string `json:"echo"`
}

// complete notes the request as run, unless its grant ended in the meantime on
// an upstream that checks, and answers.
func (upstream *Upstream) complete(writer http.ResponseWriter, request *http.Request, body []byte) {
	select {
	case <-upstream.stop:
		panic(http.ErrAbortHandler)
	default:
	}
	reading := request.Method == http.MethodGet || request.Method == http.MethodHead
	if !reading && upstream.options.ChecksToken && !upstream.checkOwner(request) {
		writer.Header().Set(upstr.HeaderOutcome, upstr.OutcomeFenced)
		http.Error(writer, "the grant ended before the request", http.StatusConflict)
		return
	}
	if !reading {
		upstream.journal.ran(request.Header.Get("Idempotency-Key"), upstream.options.Name)
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
