// Package admin is the operators' HTTP interface of each host, and the place
// where upstreams announce themselves.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/conf"
	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/shard"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// Error is the class of all errors of this package.
var Error = errs.Class("admin")

const (
	maxDocument = 4 << 20
	// applyTimeout bounds the commit of records.
	applyTimeout = 5 * time.Second
	// forceTimeout bounds the wait until all hosts have records in force.
	forceTimeout = 5 * time.Second
	forcePoll    = 20 * time.Millisecond
	bearer       = "Bearer "
	// logPrefix starts each line that this package logs.
	logPrefix = "operator: "
)

// Control is the control group as this interface needs it.
type Control interface {
	Propose(ctx context.Context, command state.Command) (state.Result, error)
	Lagging(ctx context.Context, index uint64) ([]group.HostProgress, error)
	LeaderStatus(ctx context.Context) (group.Status, error)
	Change(ctx context.Context, args group.ChangeArgs) (uint64, error)
	Hello(address netip.AddrPort) (group.HelloReply, error)
}

// Catalogs gives the catalog.
type Catalogs interface{ Catalog() *state.Catalog }

// Lease tells whether the host may act.
type Lease interface{ Valid() bool }

// Duties are this host's shards.
type Duties interface {
	Load(announcement upstr.Announcement)
	Status() []shard.Status
}

// Links carries payloads to other hosts.
type Links interface {
	Call(ctx context.Context, address netip.AddrPort, request links.Payload) (links.Payload, error)
}

// Admin serves operators, upstreams and the balancer.
type Admin struct {
	Host     string
	Follower Catalogs
	Lease    Lease
	Control  Control
	Duties   Duties
	Links    Links
	Tokens   []conf.Token
	Clock    clockwork.Clock
	Log      log.Interface
	Stats    *stats.Set
	// Draining tells whether the host is shutting down.
	Draining func() bool
}

// Handler returns the HTTP handler.
func (admin *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", admin.health)
	mux.HandleFunc("GET /metrics", func(writer http.ResponseWriter, _ *http.Request) { admin.Stats.Write(writer) })
	mux.HandleFunc("POST "+upstr.AnnouncePath, admin.announce)
	for pattern, handler := range map[string]operatorHandler{
		"POST /api/v1/records":                          admin.apply,
		"GET /api/v1/records":                           admin.listRecords,
		"GET /api/v1/records/{kind}/{name...}":          admin.getRecord,
		"DELETE /api/v1/records/{kind}/{name...}":       admin.deleteRecord,
		"GET /api/v1/history":                           admin.history,
		"GET /api/v1/status":                            admin.fleetStatus,
		"GET /api/v1/policies":                          admin.policies,
		"POST /api/v1/service/{kind}/{state}/{name...}": admin.setService,
		"POST /api/v1/members":                          admin.changeMember,
		"POST /api/v1/moves":                            admin.moveKey,
	} {
		mux.Handle(pattern, admin.operator(handler))
	}
	return mux
}

// operatorHandler answers a request of a known operator.
type operatorHandler func(operator string, request *http.Request) (any, error)

// failure is an error with the HTTP status that fits it.
type failure struct {
	status int
	err    error
}

// Error returns the cause.
func (failure *failure) Error() string { return failure.err.Error() }

// Unwrap returns the cause.
func (failure *failure) Unwrap() error { return failure.err }

func fail(status int, format string, args ...any) error {
	return &failure{status: status, err: Error.New(format, args...)}
}

// operator lets only operators in and writes the handler's answer as JSON.
func (admin *Admin) operator(handler operatorHandler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		name, ok := admin.authenticate(request)
		if !ok {
			writeJSON(writer, http.StatusUnauthorized, ErrorReply{Error: "an operator's token is needed"})
			return
		}
		answer, err := handler(name, request)
		if err != nil {
			status := http.StatusServiceUnavailable
			var known *failure
			if errors.As(err, &known) {
				status = known.status
			}
			writeJSON(writer, status, ErrorReply{Error: err.Error()})
			return
		}
		writeJSON(writer, http.StatusOK, answer)
	})
}

// ErrorReply is the body of a failed request.
type ErrorReply struct {
	Error string `json:"error"`
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	writer.WriteHeader(status)
	_, _ = writer.Write(append(data, '\n'))
}

func (admin *Admin) authenticate(request *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(request.Header.Get("Authorization"), bearer)
	if !ok {
		return "", false
	}
	hash := sha256.Sum256([]byte(token))
	presented := []byte(hex.EncodeToString(hash[:]))
	name := ""
	for _, known := range admin.Tokens {
		if subtle.ConstantTimeCompare(presented, []byte(strings.ToLower(known.Hash))) == 1 {
			name = known.Name
		}
	}
	return name, name != ""
}

// health answers the platform's balancer.
func (admin *Admin) health(writer http.ResponseWriter, _ *http.Request) {
	switch {
	case admin.Draining():
		http.Error(writer, "shutting down", http.StatusServiceUnavailable)
	case !admin.Lease.Valid():
		http.Error(writer, "no lease", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(writer, "ok\n")
	}
}

// ApplyReply is the answer to applied records.
type ApplyReply struct {
	Index   uint64        `json:"index"`
	Outcome state.Outcome `json:"outcome"`
	Detail  string        `json:"detail,omitempty"`
	// Lagging names the live hosts that do not have the change in force yet.
	Lagging []string `json:"lagging,omitempty"`
}

// apply puts a document's records in force everywhere.
func (admin *Admin) apply(operator string, request *http.Request) (any, error) {
	data, err := io.ReadAll(io.LimitReader(request.Body, maxDocument+1))
	if err != nil || len(data) > maxDocument {
		return nil, fail(http.StatusRequestEntityTooLarge, "the document could not be read or exceeds %d bytes", maxDocument)
	}
	format := spec.FormatTOML
	if strings.Contains(request.Header.Get("Content-Type"), "json") {
		format = spec.FormatJSON
	}
	records, err := spec.ParseDocument(data, format)
	if err != nil {
		return nil, fail(http.StatusUnprocessableEntity, "%w", err)
	}
	return admin.applyRecords(request.Context(), operator, records)
}

func (admin *Admin) applyRecords(ctx context.Context, operator string, records []spec.Record) (ApplyReply, error) {
	commitCtx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	result, err := admin.Control.Propose(commitCtx, state.ApplyRecords{Records: records, Operator: operator, At: admin.Clock.Now()})
	if err != nil {
		return ApplyReply{}, fail(http.StatusServiceUnavailable, "the change may or may not have been committed, so send it again: %w", err)
	}
	reply := ApplyReply{Index: result.Index, Outcome: result.Outcome, Detail: result.Detail}
	switch result.Outcome {
	case state.OutcomeConflict:
		return reply, fail(http.StatusConflict, "%s", result.Detail)
	case state.OutcomeInvalid:
		return reply, fail(http.StatusUnprocessableEntity, "%s", result.Detail)
	default:
	}
	admin.Log.WithField("operator", operator).Infof(logPrefix+"%d records are %s at index %d", len(records), result.Outcome, result.Index)
	reply.Lagging = admin.awaitForce(ctx, result.Index)
	return reply, nil
}

// awaitForce waits until every live host has applied the index and returns
// those that have not in time.
func (admin *Admin) awaitForce(ctx context.Context, index uint64) []string {
	ctx, cancel := context.WithTimeout(ctx, forceTimeout)
	defer cancel()
	names := []string{"(no control leader answered)"}
	for {
		if hosts, err := admin.Control.Lagging(ctx, index); err == nil {
			names = nil
			for _, host := range hosts {
				names = append(names, host.Host)
			}
		}
		if len(names) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return names
		case <-admin.Clock.After(forcePoll):
		}
	}
}
