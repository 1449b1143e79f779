// Package front takes callers' requests over HTTP: it authenticates them, takes
// a token of their workspace, and carries them to the primary in charge.
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
	// headerTimeout lets a caller shorten its request's deadline, in seconds.
	headerTimeout = "Request-Timeout"
	// linkSlack is what is left of the deadline for the way back from the
	// primary.
	linkSlack = 5 * time.Millisecond
	// leaseWait is how long a request waits for the host's lease.
	leaseWait = 500 * time.Millisecond
	// maxRunning bounds the requests of one host that have no answer yet: three
	// times what 10,300 requests/s, letter 1's share of a host, keep running at
	// its 16 ms, beside what waits for tokens.
	maxRunning = 512
	// busyWait is when a caller that found the host busy may come back: a
	// token's longest wait, after which the present requests have their answers.
	busyWait = quota.MaxWait
)

// Primary carries out requests for shards of this host.
type Primary interface {
	Serve(ctx context.Context, request calls.Request) calls.Outcome
}

// Links carries payloads to other hosts.
type Links interface {
	Call(ctx context.Context, address netip.AddrPort, request links.Payload) (links.Payload, error)
}

// Follower gives the catalog and signals its changes.
type Follower interface {
	Catalog() *state.Catalog
	Watch() chan struct{}
	Unwatch(watcher chan struct{})
}

// Lease tells whether the host may act.
type Lease interface{ Valid() bool }

// Front is the callers' HTTP handler.
type Front struct {
	Host     string
	Follower Follower
	Lease    Lease
	Primary  Primary
	Links    Links
	Purses   *quota.Purses
	Clock    clockwork.Clock
	Log      log.Interface
	Stats    *stats.Set

	running atomic.Int64
}

// Running returns the number of requests that have no answer yet.
func (front *Front) Running() int64 { return front.running.Load() }

// ServeHTTP answers a caller's request.
func (front *Front) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	running := front.running.Add(1)
	defer front.running.Add(-1)
	started := front.Clock.Now()
	if running > maxRunning {
		// Unbounded, an overload takes the processor and the descriptors from
		// the heartbeats, and the host loses the lease that every request needs.
		front.write(writer, calls.Request{ID: uuid.NewString()}, calls.Refused{
			Reason: calls.ReasonHostBusy, Ran: calls.RanNot, RetryAfter: busyWait,
			Detail: "this host has as many requests as it can carry",
		}, started)
		return
	}
	work, outcome := front.accept(writer, request, started)
	if outcome == nil {
		ctx, cancel := context.WithTimeout(request.Context(), work.Remaining)
		defer cancel()
		outcome = front.carry(ctx, work, started.Add(work.Remaining))
	}
	front.write(writer, work, outcome, started)
}

func (front *Front) write(writer http.ResponseWriter, work calls.Request, outcome calls.Outcome, started time.Time) {
	switch outcome := outcome.(type) {
	case calls.Answered:
		front.Stats.Answered(work.Service, work.Workspace, front.Clock.Since(started))
		writeAnswer(writer, work, outcome)
	case calls.Refused:
		front.Stats.Refused(string(outcome.Reason), string(outcome.Ran))
		writeProblem(writer, outcome, work.ID)
	}
}

func writeAnswer(writer http.ResponseWriter, work calls.Request, answered calls.Answered) {
	header := writer.Header()
	for _, field := range answered.Answer.Header {
		header.Add(field.Name, field.Value)
	}
	header.Set(upstr.HeaderRequestID, work.ID)
	if answered.Replayed {
		header.Set("Idempotency-Replayed", "true")
	}
	if work.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(answered.Answer.Body)))
	}
	writer.WriteHeader(answered.Answer.Status)
	_, _ = writer.Write(answered.Answer.Body)
}

// accept checks a request and takes a token for it. A nil outcome means that
// it goes on to the primary.
func (front *Front) accept(writer http.ResponseWriter, request *http.Request, now time.Time) (calls.Request, calls.Outcome) {
	work := calls.Request{ID: uuid.NewString(), Method: request.Method}
	if !front.awaitLease(request.Context()) {
		return work, calls.Refused{
			Reason: calls.ReasonHostCutOff, Ran: calls.RanNot, RetryAfter: time.Second,
			Detail: "this host is cut off from control",
		}
	}
	catalog := front.Follower.Catalog()
	workspace, refused := authenticate(catalog, request)
	if refused != nil {
		return work, *refused
	}
	work.Workspace = workspace
	service, refused := front.describe(catalog, request, &work)
	if refused != nil {
		return work, *refused
	}
	if refused := readBody(writer, request, service, &work); refused != nil {
		return work, *refused
	}
	work.SetFingerprint()
	if refused := front.admit(request.Context(), catalog, work, now); refused != nil {
		return work, *refused
	}
	return work, nil
}

// awaitLease waits a moment for a lease that a change of control leader keeps
// away, and tells whether the host holds one.
func (front *Front) awaitLease(ctx context.Context) bool {
	deadline := front.Clock.Now().Add(leaseWait)
	for !front.Lease.Valid() {
		if !front.Clock.Now().Before(deadline) {
			return false
		}
		select {
		case <-front.Clock.After(movePoll):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// describe fills in the service, the key and the deadline.
func (front *Front) describe(catalog *state.Catalog, request *http.Request, work *calls.Request) (spec.Service, *calls.Refused) {
	name, target, _ := strings.Cut(strings.TrimPrefix(request.URL.EscapedPath(), "/"), "/")
	service, ok := catalog.Service(name)
	if !ok {
		return spec.Service{}, &calls.Refused{Reason: calls.ReasonUnknownService, Ran: calls.RanNot, Detail: "there is no service of this name"}
	}
	work.Service = name
	work.Target = "/" + target
	if request.URL.RawQuery != "" {
		work.Target += "?" + request.URL.RawQuery
	}
	work.Key = request.Header.Get(service.KeyHeader)
	if service.Partitions > 0 && work.Key == "" {
		return service, &calls.Refused{
			Reason: calls.ReasonNoResourceKey, Ran: calls.RanNot,
			Detail: "the header field " + service.KeyHeader + " is missing",
		}
	}
	work.IdempotencyKey = request.Header.Get(headerIdempotencyKey)
	if len(work.IdempotencyKey) > maxIdempotencyKey {
		return service, malformed("the idempotency key is too long")
	}
	work.Header = upstr.EndToEnd(request.Header, strippedHeaders)
	work.Remaining = service.Timeout
	if text := request.Header.Get(headerTimeout); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || seconds <= 0 || seconds > time.Hour.Seconds() {
			return service, malformed("the header field " + headerTimeout + " is no number of seconds")
		}
		work.Remaining = min(work.Remaining, time.Duration(seconds*float64(time.Second)))
	}
	return service, nil
}

func malformed(detail string) *calls.Refused {
	return &calls.Refused{Reason: calls.ReasonBadRequest, Ran: calls.RanNot, Detail: detail}
}

func readBody(writer http.ResponseWriter, request *http.Request, service spec.Service, work *calls.Request) *calls.Refused {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, int64(service.MaxBodySize)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &calls.Refused{
			Reason: calls.ReasonBodyTooLarge, Ran: calls.RanNot,
			Detail: "the body exceeds " + strconv.Itoa(service.MaxBodySize) + " bytes",
		}
	case err != nil:
		return malformed("the body could not be read to its end")
	}
	work.Body = body
	return nil
}

// admit refuses quarantined requests and takes a token of the workspace.
func (front *Front) admit(ctx context.Context, catalog *state.Catalog, work calls.Request, now time.Time) *calls.Refused {
	if catalog.Quarantine[work.Fingerprint].Quarantined() {
		return &calls.Refused{
			Reason: calls.ReasonQuarantined, Ran: calls.RanNot, Detail: "upstreams were lost while they ran this request",
		}
	}
	if _, limited := catalog.Rate(work.Workspace); !limited {
		return nil
	}
	verdict := front.Purses.Get(work.Workspace).Take(ctx, work.Remaining-front.Clock.Since(now))
	switch {
	case verdict.Granted:
		return nil
	case verdict.Unavailable:
		return &calls.Refused{
			Reason: calls.ReasonQuotaUnavailable, Ran: calls.RanNot, RetryAfter: time.Second,
			Detail: "the workspace's rate could not be checked in time",
		}
	default:
		return &calls.Refused{
			Reason: calls.ReasonOverRate, Ran: calls.RanNot, RetryAfter: verdict.RetryAfter,
			Detail: "the workspace is over its rate",
		}
	}
}
