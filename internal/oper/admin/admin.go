// Package admin implements the HTTP API that each host offers to operators,
// the health check for the load balancer, and the endpoint that receives
// upstream announcements.
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
	maxDocumentBytes = 4 << 20
	// applyTimeout bounds the commit of records, and the complete move of a key.
	applyTimeout = 5 * time.Second
	// propagationTimeout bounds the wait until all live hosts have applied a
	// committed change.
	propagationTimeout = 5 * time.Second
	pollInterval       = 20 * time.Millisecond
	bearer             = "Bearer "
	// logPrefix starts each line that this package logs.
	logPrefix = "operator: "
)

// Control is the part of the control group's client that Admin uses.
type Control interface {
	Propose(ctx context.Context, command state.Command) (state.Result, error)
	Lagging(ctx context.Context, index uint64) ([]group.HostProgress, error)
	LeaderStatus(ctx context.Context) (group.Status, error)
	Change(ctx context.Context, args group.ChangeArgs) (uint64, error)
	Hello(address netip.AddrPort) (group.HelloReply, error)
}

// CatalogSource returns the host's current copy of the catalog.
type CatalogSource interface{ Catalog() *state.Catalog }

// Lease reports whether the host holds a valid lease.
type Lease interface{ Valid() bool }

// LocalShards gives access to the dispatch shards that run on this host.
type LocalShards interface {
	ReportLoad(announcement upstr.Announcement)
	Status() []shard.Status
}

// Links sends requests to other hosts.
type Links interface {
	Call(ctx context.Context, address netip.AddrPort, request links.Payload) (links.Payload, error)
}

// Admin serves operators, upstreams and the load balancer.
type Admin struct {
	Host     string
	Catalogs CatalogSource
	Lease    Lease
	Control  Control
	Shards   LocalShards
	Links    Links
	Tokens   []conf.Token
	Clock    clockwork.Clock
	Log      log.Interface
	Stats    *stats.Set
	// Draining reports whether the host is shutting down.
	Draining func() bool
}

// Handler returns the handler for all paths of the operator address. The paths
// under /api/ need an operator's token.
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
		"POST /api/v1/service/{kind}/{state}/{name...}": admin.setInService,
		"POST /api/v1/members":                          admin.changeMember,
		"POST /api/v1/moves":                            admin.moveKey,
	} {
		mux.Handle(pattern, admin.requireOperator(handler))
	}
	return mux
}

// operatorHandler handles the request of an authenticated operator. The result
// is written as JSON.
type operatorHandler func(operator string, request *http.Request) (any, error)

// statusError carries the HTTP status to respond with.
type statusError struct {
	status int
	err    error
}

// Error returns the message of the wrapped error.
func (statuserror *statusError) Error() string { return statuserror.err.Error() }

// Unwrap returns the wrapped error.
func (statuserror *statusError) Unwrap() error { return statuserror.err }

func statusErrorf(status int, format string, args ...any) error {
	return &statusError{status: status, err: Error.New(format, args...)}
}

// requireOperator authenticates the operator, calls the handler and writes its
// result as JSON. Errors without a status are reported as 503.
func (admin *Admin) requireOperator(handler operatorHandler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		name, ok := admin.authenticate(request)
		if !ok {
			writeJSON(writer, http.StatusUnauthorized, ErrorReply{Error: "an operator's token is needed"})
			return
		}
		answer, err := handler(name, request)
		if err != nil {
			status := http.StatusServiceUnavailable
			var statusErr *statusError
			if errors.As(err, &statusErr) {
				status = statusErr.status
			}
			writeJSON(writer, status, ErrorReply{Error: err.Error()})
			return
		}
		writeJSON(writer, http.StatusOK, answer)
	})
}

// ErrorReply is the response body of a failed request.
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

// health serves the load balancer's health check. A host that is shutting down
// or has no valid lease is reported as unavailable.
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

// ApplyReply is the response to a change of records.
type ApplyReply struct {
	Index   uint64        `json:"index"`
	Outcome state.Outcome `json:"outcome"`
	Detail  string        `json:"detail,omitempty"`
	// Lagging names the live hosts that have not applied the change yet.
	Lagging []string `json:"lagging,omitempty"`
}

// apply commits the records of a TOML or JSON document and waits until all
// live hosts have applied them.
func (admin *Admin) apply(operator string, request *http.Request) (any, error) {
	data, err := io.ReadAll(io.LimitReader(request.Body, maxDocumentBytes+1))
	if err != nil || len(data) > maxDocumentBytes {
		return nil, statusErrorf(http.StatusRequestEntityTooLarge, "the document could not be read or exceeds %d bytes", maxDocumentBytes)
	}
	format := spec.FormatTOML
	if strings.Contains(request.Header.Get("Content-Type"), "json") {
		format = spec.FormatJSON
	}
	records, err := spec.ParseDocument(data, format)
	if err != nil {
		return nil, statusErrorf(http.StatusUnprocessableEntity, "%w", err)
	}
	return admin.applyRecords(request.Context(), operator, records)
}

func (admin *Admin) applyRecords(ctx context.Context, operator string, records []spec.Record) (ApplyReply, error) {
	commitCtx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	result, err := admin.Control.Propose(commitCtx, state.ApplyRecords{Records: records, Operator: operator, At: admin.Clock.Now()})
	if err != nil {
		return ApplyReply{}, statusErrorf(http.StatusServiceUnavailable, "the change may or may not have been committed, so send it again: %w", err)
	}
	reply := ApplyReply{Index: result.Index, Outcome: result.Outcome, Detail: result.Detail}
	switch result.Outcome {
	case state.OutcomeConflict:
		return reply, statusErrorf(http.StatusConflict, "%s", result.Detail)
	case state.OutcomeInvalid:
		return reply, statusErrorf(http.StatusUnprocessableEntity, "%s", result.Detail)
	default:
	}
	admin.Log.WithField("operator", operator).Infof(logPrefix+"change of %d records: outcome %s at index %d", len(records), result.Outcome, result.Index)
	reply.Lagging = admin.awaitApplied(ctx, result.Index)
	return reply, nil
}

// awaitApplied waits until every live host has applied the index. It returns
// the names of the hosts that have not applied it when the timeout expires.
func (admin *Admin) awaitApplied(ctx context.Context, index uint64) []string {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
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
		case <-admin.Clock.After(pollInterval):
		}
	}
}
