// Package front serves callers' requests over HTTP: it authenticates them, applies
// the workspace's rate limit, and forwards them to the current primary.
package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/quota"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// Error is the class of all errors of this package.
var Error = errs.Class("front")

const (
	// headerTimeout holds a request's timeout in seconds, which can only shorten the
	// service's timeout.
	headerTimeout = "Request-Timeout"
	// responseMargin is the time reserved before the deadline for returning the
	// response from the primary.
	responseMargin = 5 * time.Millisecond
	// leaseTimeout bounds how long a request waits for the host's lease.
	leaseTimeout = 500 * time.Millisecond
	// maxRunning bounds the requests in progress on one host. It is three times the
	// number that the required load per host, 10,300 requests/s of 16 ms each, keeps
	// in progress, in addition to requests that wait for rate tokens.
	maxRunning = 512
	// busyRetryAfter is the Retry-After of a host at maxRunning: the longest wait for
	// a token, after which the requests in progress now are complete.
	busyRetryAfter = quota.MaxWait
)

// Primary executes requests for the shards whose primary is this host.
type Primary interface {
	Serve(ctx context.Context, request calls.Request) calls.Outcome
}

// Links sends payloads to other hosts.
type Links interface {
	Call(ctx context.Context, address netip.AddrPort, request links.Payload) (links.Payload, error)
}

// Follower provides the current catalog and notifies of its changes.
type Follower interface {
	Catalog() *state.Catalog
	Watch() chan struct{}
	Unwatch(watcher chan struct{})
}

// Lease reports whether the host's lease is valid.
type Lease interface{ Valid() bool }

// Front is the HTTP handler for callers' requests.
type Front struct {
	Host     string
	Follower Follower
	Lease    Lease
	Primary  Primary
	Links    Links
	Limiters *quota.Limiters
	Clock    clockwork.Clock
	Log      log.Interface
	Stats    *stats.Set

	running atomic.Int64
}

// Running returns the number of requests in progress.
func (front *Front) Running() int64 { return front.running.Load() }

// ServeHTTP implements http.Handler.
func (front *Front) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	running := front.running.Add(1)
	defer front.running.Add(-1)
	started := front.Clock.Now()
	if running > maxRunning {
		// Without this bound, an overload starves the heartbeats of CPU time and
		// file descriptors, and the host loses the lease that every request needs.
		front.write(writer, calls.Request{ID: uuid.NewString()}, calls.Refusal{
			Reason: calls.ReasonHostBusy, Ran: calls.RanNot, RetryAfter: busyRetryAfter,
			Detail: "this host has as many requests as it can carry",
		}, started)
		return
	}
	call, outcome := front.accept(writer, request, started)
	if outcome == nil {
		ctx, cancel := context.WithTimeout(request.Context(), call.Remaining)
		defer cancel()
		outcome = front.dispatch(ctx, call, started.Add(call.Remaining))
	}
	front.write(writer, call, outcome, started)
}

func (front *Front) write(writer http.ResponseWriter, call calls.Request, outcome calls.Outcome, started time.Time) {
	switch outcome := outcome.(type) {
	case calls.Response:
		front.Stats.Answered(call.Service, call.Workspace, front.Clock.Since(started))
		writeResponse(writer, call, outcome)
	case calls.Refusal:
		front.Stats.Refused(string(outcome.Reason), string(outcome.Ran))
		writeProblem(writer, outcome, call.ID)
	}
}

func writeResponse(writer http.ResponseWriter, call calls.Request, response calls.Response) {
	header := writer.Header()
	for _, field := range response.Answer.Header {
		header.Add(field.Name, field.Value)
	}
	header.Set(upstr.HeaderRequestID, call.ID)
	if response.Replayed {
		header.Set("Idempotency-Replayed", "true")
	}
	if call.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(response.Answer.Body)))
	}
	writer.WriteHeader(response.Answer.Status)
	_, _ = writer.Write(response.Answer.Body)
}

// accept authenticates, parses and rate-limits a request. A nil outcome means that
// the request must be sent to the primary.
func (front *Front) accept(writer http.ResponseWriter, request *http.Request, now time.Time) (calls.Request, calls.Outcome) {
	call := calls.Request{ID: uuid.NewString(), Method: request.Method}
	if !front.awaitLease(request.Context()) {
		return call, calls.Refusal{
			Reason: calls.ReasonHostCutOff, Ran: calls.RanNot, RetryAfter: time.Second,
			Detail: "this host is cut off from control",
		}
	}
	catalog := front.Follower.Catalog()
	workspace, refusal := authenticate(catalog, request)
	if refusal != nil {
		return call, *refusal
	}
	call.Workspace = workspace
	service, refusal := front.parseRequest(catalog, request, &call)
	if refusal != nil {
		return call, *refusal
	}
	if refusal := readBody(writer, request, service, &call); refusal != nil {
		return call, *refusal
	}
	call.SetFingerprint()
	if refusal := front.admit(request.Context(), catalog, call, now); refusal != nil {
		return call, *refusal
	}
	return call, nil
}

// awaitLease waits up to leaseTimeout for the host's lease, which may lapse while
// the control leader changes, and reports whether the host holds it.
func (front *Front) awaitLease(ctx context.Context) bool {
	deadline := front.Clock.Now().Add(leaseTimeout)
	for !front.Lease.Valid() {
		if !front.Clock.Now().Before(deadline) {
			return false
		}
		select {
		case <-front.Clock.After(handoverPollInterval):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// parseRequest sets the service, target, keys, header and timeout of the call.
func (front *Front) parseRequest(catalog *state.Catalog, request *http.Request, call *calls.Request) (spec.Service, *calls.Refusal) {
	name, target, _ := strings.Cut(strings.TrimPrefix(request.URL.EscapedPath(), "/"), "/")
	service, ok := catalog.Service(name)
	if !ok {
		return spec.Service{}, &calls.Refusal{Reason: calls.ReasonUnknownService, Ran: calls.RanNot, Detail: "there is no service of this name"}
	}
	call.Service = name
	call.Target = "/" + target
	if request.URL.RawQuery != "" {
		call.Target += "?" + request.URL.RawQuery
	}
	call.Key = request.Header.Get(service.KeyHeader)
	if service.Partitions > 0 && call.Key == "" {
		return service, &calls.Refusal{
			Reason: calls.ReasonNoResourceKey, Ran: calls.RanNot,
			Detail: "the header field " + service.KeyHeader + " is missing",
		}
	}
	call.IdempotencyKey = request.Header.Get(headerIdempotencyKey)
	if len(call.IdempotencyKey) > maxIdempotencyKeyBytes {
		return service, malformed("the idempotency key is too long")
	}
	call.Header = upstr.EndToEnd(request.Header, strippedHeaders)
	call.Remaining = service.Timeout
	if value := request.Header.Get(headerTimeout); value != "" {
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || seconds <= 0 || seconds > time.Hour.Seconds() {
			return service, malformed("the header field " + headerTimeout + " is no number of seconds")
		}
		call.Remaining = min(call.Remaining, time.Duration(seconds*float64(time.Second)))
	}
	return service, nil
}

func malformed(detail string) *calls.Refusal {
	return &calls.Refusal{Reason: calls.ReasonBadRequest, Ran: calls.RanNot, Detail: detail}
}

func readBody(writer http.ResponseWriter, request *http.Request, service spec.Service, call *calls.Request) *calls.Refusal {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, int64(service.MaxBodySize)))
	var maxBytesErr *http.MaxBytesError
	switch {
	case errors.As(err, &maxBytesErr):
		return &calls.Refusal{
			Reason: calls.ReasonBodyTooLarge, Ran: calls.RanNot,
			Detail: "the body exceeds " + strconv.Itoa(service.MaxBodySize) + " bytes",
		}
	case err != nil:
		return malformed("the body could not be read to its end")
	}
	call.Body = body
	return nil
}

// admit refuses quarantined requests and applies the workspace's rate limit.
func (front *Front) admit(ctx context.Context, catalog *state.Catalog, call calls.Request, now time.Time) *calls.Refusal {
	if catalog.Quarantine[call.Fingerprint].Quarantined() {
		return &calls.Refusal{
			Reason: calls.ReasonQuarantined, Ran: calls.RanNot, Detail: "upstreams were lost while they ran this request",
		}
	}
	if _, limited := catalog.Rate(call.Workspace); !limited {
		return nil
	}
	decision := front.Limiters.Get(call.Workspace).Acquire(ctx, call.Remaining-front.Clock.Since(now))
	switch {
	case decision.Granted:
		return nil
	case decision.Unavailable:
		return &calls.Refusal{
			Reason: calls.ReasonQuotaUnavailable, Ran: calls.RanNot, RetryAfter: time.Second,
			Detail: "the workspace's rate could not be checked in time",
		}
	default:
		return &calls.Refusal{
			Reason: calls.ReasonOverRate, Ran: calls.RanNot, RetryAfter: decision.RetryAfter,
			Detail: "the workspace is over its rate",
		}
	}
}
