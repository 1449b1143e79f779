package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/quota"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

const testKey = "dk_k1_secret"

// fakeFleet implements all dependencies of a Front.
type fakeFleet struct {
	t       *testing.T
	mutex   sync.Mutex
	machine *state.Machine
	valid   bool
	// serve executes requests, both local ones and those that arrive over a link.
	serve   func(request calls.Request) (calls.Outcome, error)
	served  []calls.Request
	borrow  func() quota.BorrowResponse
	watcher chan struct{}
}

func (fakefleet *fakeFleet) Catalog() *state.Catalog {
	fakefleet.mutex.Lock()
	defer fakefleet.mutex.Unlock()
	return fakefleet.machine.Catalog
}

func (fakefleet *fakeFleet) commit(command state.Command) {
	fakefleet.mutex.Lock()
	defer fakefleet.mutex.Unlock()
	index := fakefleet.machine.Catalog.Index + 1
	fakefleet.machine.Apply(index, command)
}

func (fakefleet *fakeFleet) Watch() chan struct{}  { return fakefleet.watcher }
func (fakefleet *fakeFleet) Unwatch(chan struct{}) {}
func (fakefleet *fakeFleet) Valid() bool           { return fakefleet.valid }

func (fakefleet *fakeFleet) Serve(_ context.Context, request calls.Request) calls.Outcome {
	outcome, _ := fakefleet.run(request)
	return outcome
}

func (fakefleet *fakeFleet) Call(_ context.Context, _ netip.AddrPort, payload links.Payload) (links.Payload, error) {
	request, err := calls.DecodeRequest(payload)
	if err != nil {
		fakefleet.t.Error(err)
	}
	outcome, err := fakefleet.run(request)
	if err != nil {
		return links.Payload{}, err
	}
	return calls.EncodeOutcome(outcome)
}

func (fakefleet *fakeFleet) run(request calls.Request) (calls.Outcome, error) {
	fakefleet.mutex.Lock()
	fakefleet.served = append(fakefleet.served, request)
	fakefleet.mutex.Unlock()
	return fakefleet.serve(request)
}

func apply(t *testing.T, fleet *fakeFleet, document string) {
	t.Helper()
	records, err := spec.ParseDocument([]byte(document), spec.FormatTOML)
	if err != nil {
		t.Fatal(err)
	}
	fleet.commit(state.ApplyRecords{Records: records})
}

func newFleet(t *testing.T) (*fakeFleet, *Front) {
	t.Helper()
	fleet := &fakeFleet{t: t, machine: state.NewMachine(), valid: true, watcher: make(chan struct{}, 1)}
	fleet.serve = func(request calls.Request) (calls.Outcome, error) {
		return calls.Response{Answer: state.Answer{Status: http.StatusOK, Body: request.Body}}, nil
	}
	apply(t, fleet, fmt.Sprintf(`
[[workspace]]
name = "one"
schema = 1
version = 1
[[workspace]]
name = "two"
schema = 1
version = 1
[[callerKey]]
name = "k1"
schema = 1
version = 1
workspace = "one"
hash = %q
[[service]]
name = "keyed"
schema = 1
version = 1
partitions = 2
maxBodyBytes = 100
[[service]]
name = "desk"
schema = 1
version = 1
`, HashSecret("secret")))
	fleet.commit(state.OpenSession{Host: state.Host{Name: "h0", Peer: netip.MustParseAddrPort("127.0.0.1:1")}})
	fleet.commit(state.MoveShards{Moves: []state.ShardMove{{Shard: state.DispatchShard("desk", ""), Host: "h0"}}})
	clock := clockwork.NewRealClock()
	front := &Front{
		Host: "entry", Follower: fleet, Lease: fleet, Primary: fleet, Links: fleet, Clock: clock,
		Log: &log.Logger{Handler: discard.New()}, Stats: &stats.Set{},
	}
	front.Limiters = &quota.Limiters{Host: "entry", Clock: clock, Borrow: func(context.Context, quota.BorrowRequest) quota.BorrowResponse { return fleet.borrow() }}
	t.Cleanup(front.Limiters.Close)
	return fleet, front
}

func call(front *Front, method, path, body string, header ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+testKey)
	for position := 0; position < len(header); position += 2 {
		request.Header.Set(header[position], header[position+1])
	}
	recorder := httptest.NewRecorder()
	front.ServeHTTP(recorder, request)
	return recorder
}

func problemOf(t *testing.T, recorder *httptest.ResponseRecorder) Problem {
	t.Helper()
	var problem Problem
	if err := json.Unmarshal(recorder.Body.Bytes(), &problem); err != nil {
		t.Fatalf("not a problem document: %s", recorder.Body)
	}
	return problem
}

// TestRefusals checks the requests that are refused before they reach a primary.
func TestRefusals(t *testing.T) {
	for _, test := range []struct {
		name   string
		path   string
		body   string
		header []string
		status int
		reason calls.Reason
	}{
		{"no key", "/desk/x", "", []string{"Authorization", ""}, http.StatusUnauthorized, calls.ReasonNoKey},
		{"unknown key", "/desk/x", "", []string{"Authorization", "Bearer dk_other_secret"}, http.StatusUnauthorized, calls.ReasonBadKey},
		{"wrong secret", "/desk/x", "", []string{"Authorization", "Bearer dk_k1_guess"}, http.StatusUnauthorized, calls.ReasonBadKey},
		{"malformed key", "/desk/x", "", []string{"Authorization", "Bearer k1"}, http.StatusUnauthorized, calls.ReasonBadKey},
		{"overlong key", "/desk/x", "", []string{"Authorization", "Bearer dk_k1_" + strings.Repeat("x", 1000)}, http.StatusUnauthorized, calls.ReasonBadKey},
		{"unknown service", "/other/x", "", nil, http.StatusNotFound, calls.ReasonUnknownService},
		{"no service", "/", "", nil, http.StatusNotFound, calls.ReasonUnknownService},
		{"no resource key", "/keyed/x", "", nil, http.StatusBadRequest, calls.ReasonNoResourceKey},
		{"body too large", "/keyed/x", strings.Repeat("x", 101), []string{"Resource-Key", "a"}, http.StatusRequestEntityTooLarge, calls.ReasonBodyTooLarge},
		{"timeout is not a number", "/desk/x", "", []string{"Request-Timeout", "soon"}, http.StatusBadRequest, calls.ReasonBadRequest},
		{"timeout is negative", "/desk/x", "", []string{"Request-Timeout", "-1"}, http.StatusBadRequest, calls.ReasonBadRequest},
		{"idempotency key too long", "/desk/x", "", []string{"Idempotency-Key", strings.Repeat("x", 300)}, http.StatusBadRequest, calls.ReasonBadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fleet, front := newFleet(t)
			recorder := call(front, http.MethodPost, test.path, test.body, test.header...)
			is.Equal(recorder.Code, test.status)
			problem := problemOf(t, recorder)
			is.Equal(problem.Reason, test.reason)
			is.Equal(problem.Ran, calls.RanNot)
			is.Equal(len(fleet.served), 0)
		})
	}
}

// TestCallerKeyNotForwarded sends the caller key in both header fields and forges
// the fields that the system sets: none of them may be forwarded.
func TestCallerKeyNotForwarded(t *testing.T) {
	is := is.New(t)
	fleet, front := newFleet(t)
	call(front, http.MethodPost, "/desk/x?y=1", "body", "X-Api-Key", testKey, "Workspace", "two", "Fencing-Token", "99",
		"Primary-Epoch", "99", "Connection", "X-Hop", "X-Hop", "hop", "X-Kept", "kept", "Cookie", "session="+testKey)
	is.Equal(len(fleet.served), 1)
	served := fleet.served[0]
	is.Equal(served.Workspace, "one")
	is.Equal(served.Target, "/x?y=1")
	is.Equal(served.Header, []state.HeaderField{{Name: "X-Kept", Value: "kept"}})
	is.True(!strings.Contains(fmt.Sprintf("%+v", served), "secret"))
}

// TestDeletedCallerKey checks that a caller key is refused once it has been
// deleted.
func TestDeletedCallerKey(t *testing.T) {
	is := is.New(t)
	fleet, front := newFleet(t)
	is.Equal(call(front, http.MethodGet, "/desk/x", "").Code, http.StatusOK)
	fleet.commit(state.ApplyRecords{Records: []spec.Record{{Kind: spec.KindCallerKey, Name: "k1", Schema: 1, Version: 2, Deleted: true}}})
	is.Equal(call(front, http.MethodGet, "/desk/x", "").Code, http.StatusUnauthorized)
}

// TestHostCutOff checks that requests are refused as not run if the host does not
// regain its lease within leaseTimeout.
func TestHostCutOff(t *testing.T) {
	is := is.New(t)
	fleet, front := newFleet(t)
	clock := clockwork.NewFakeClock()
	front.Clock = clock
	fleet.valid = false
	done := make(chan *httptest.ResponseRecorder)
	go func() { done <- call(front, http.MethodPost, "/desk/x", "") }()
	for waited := time.Duration(0); waited < leaseTimeout; waited += handoverPollInterval {
		is.NoErr(clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(handoverPollInterval)
	}
	problem := problemOf(t, <-done)
	is.Equal(problem.Reason, calls.ReasonHostCutOff)
	is.Equal(problem.Ran, calls.RanNot)
	is.Equal(len(fleet.served), 0)
}

// TestHostBusy checks that a host at maxRunning refuses one more request at once,
// and accepts requests again after those in progress have completed.
func TestHostBusy(t *testing.T) {
	is := is.New(t)
	fleet, front := newFleet(t)
	release, entered := make(chan struct{}), make(chan struct{}, maxRunning)
	fleet.serve = func(calls.Request) (calls.Outcome, error) {
		entered <- struct{}{}
		<-release
		return calls.Response{Answer: state.Answer{Status: http.StatusOK}}, nil
	}
	done := make(chan int, maxRunning)
	for range maxRunning {
		go func() { done <- call(front, http.MethodPost, "/desk/x", "").Code }()
	}
	for range maxRunning {
		<-entered
	}
	recorder := call(front, http.MethodPost, "/desk/x", "")
	problem := problemOf(t, recorder)
	is.Equal(problem.Reason, calls.ReasonHostBusy)
	is.Equal(problem.Ran, calls.RanNot)
	is.Equal(recorder.Header().Get("Retry-After"), "1")
	close(release)
	for range maxRunning {
		is.Equal(<-done, http.StatusOK)
	}
	is.Equal(call(front, http.MethodPost, "/desk/x", "").Code, http.StatusOK)
}

// TestDispatch lets primaries refuse and links fail, and checks which requests are
// retried and what the refusal states about whether the request ran.
func TestDispatch(t *testing.T) {
	response := calls.Response{Answer: state.Answer{Status: http.StatusOK}}
	moved := calls.Refusal{Reason: calls.ReasonShardMoved, Ran: calls.RanNot}
	type step struct {
		outcome calls.Outcome
		err     error
	}
	for _, test := range []struct {
		name   string
		method string
		key    string
		steps  []step
		sends  int
		reason calls.Reason
		ran    calls.Ran
	}{
		{"primary moved, write without key", http.MethodPost, "", []step{{moved, nil}, {response, nil}}, 2, "", ""},
		{"link not open", http.MethodPost, "", []step{{nil, links.ErrNotSent}, {response, nil}}, 2, "", ""},
		{"link lost, lookup", http.MethodGet, "", []step{{nil, links.ErrLost}, {response, nil}}, 2, "", ""},
		{"link lost, write with key", http.MethodPost, "k", []step{{nil, links.ErrLost}, {response, nil}}, 2, "", ""},
		{"link lost, write without key", http.MethodPost, "", []step{{nil, links.ErrLost}, {response, nil}}, 1, calls.ReasonLinkLost, calls.RanUnknown},
		{"upstream lost, lookup", http.MethodGet, "", []step{{calls.Refusal{Reason: calls.ReasonUpstreamLost, Ran: calls.RanUnknown}, nil}, {response, nil}}, 2, "", ""},
		{"upstream lost, write without key", http.MethodPost, "", []step{{calls.Refusal{Reason: calls.ReasonUpstreamLost, Ran: calls.RanUnknown}, nil}}, 1, calls.ReasonUpstreamLost, calls.RanUnknown},
		{"refused after a lost link", http.MethodPost, "k", []step{{nil, links.ErrLost}, {calls.Refusal{Reason: calls.ReasonQueueFull, Ran: calls.RanNot}, nil}}, 2, calls.ReasonQueueFull, calls.RanUnknown},
		{"queue full", http.MethodPost, "k", []step{{calls.Refusal{Reason: calls.ReasonQueueFull, Ran: calls.RanNot}, nil}}, 1, calls.ReasonQueueFull, calls.RanNot},
		{"unknown outcome", http.MethodPost, "k", []step{{calls.Refusal{Reason: calls.ReasonOutcomeUnknown, Ran: calls.RanUnknown}, nil}}, 1, calls.ReasonOutcomeUnknown, calls.RanUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fleet, front := newFleet(t)
			next := 0
			fleet.serve = func(calls.Request) (calls.Outcome, error) {
				step := test.steps[min(next, len(test.steps)-1)]
				next++
				fleet.watcher <- struct{}{}
				return step.outcome, step.err
			}
			recorder := call(front, test.method, "/desk/x", "", "Idempotency-Key", test.key)
			is.Equal(len(fleet.served), test.sends)
			if test.reason == "" {
				is.Equal(recorder.Code, http.StatusOK)
				return
			}
			problem := problemOf(t, recorder)
			is.Equal(problem.Reason, test.reason)
			is.Equal(problem.Ran, test.ran)
		})
	}
}

// TestDeadlineStopsRetries checks that a request whose deadline passes in an
// attempt is not retried, and is refused as one that may have run.
func TestDeadlineStopsRetries(t *testing.T) {
	is := is.New(t)
	fleet, front := newFleet(t)
	fleet.serve = func(calls.Request) (calls.Outcome, error) { return nil, context.DeadlineExceeded }
	problem := problemOf(t, call(front, http.MethodPost, "/desk/x", ""))
	is.Equal(problem.Reason, calls.ReasonUpstreamTimeout)
	is.Equal(problem.Ran, calls.RanUnknown)
}

// TestRateLimit checks that a workspace over its rate is refused with a
// Retry-After, and that a rate limit that cannot be checked, because no allocator
// is available, has its own reason.
func TestRateLimit(t *testing.T) {
	for _, test := range []struct {
		name     string
		response quota.BorrowResponse
		status   int
		reason   calls.Reason
	}{
		{"token", quota.BorrowResponse{Loan: 1, Count: 5}, http.StatusOK, ""},
		{"over rate", quota.BorrowResponse{RetryAfter: 3 * time.Second}, http.StatusTooManyRequests, calls.ReasonOverRate},
		{"no allocator", quota.BorrowResponse{Refusal: calls.ReasonQuotaUnavailable}, http.StatusServiceUnavailable, calls.ReasonQuotaUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fleet, front := newFleet(t)
			apply(t, fleet, "[[rate]]\nname = \"r\"\nschema = 1\nversion = 1\nworkspace = \"one\"\nperSecond = 1\nburst = 5\n")
			fleet.borrow = func() quota.BorrowResponse { return test.response }
			recorder := call(front, http.MethodGet, "/desk/x", "")
			is.Equal(recorder.Code, test.status)
			if test.reason != "" {
				problem := problemOf(t, recorder)
				is.Equal(problem.Reason, test.reason)
				is.Equal(problem.Ran, calls.RanNot)
				is.True(recorder.Header().Get("Retry-After") != "")
			}
		})
	}
}

// TestResponsePassedOn checks that status, header and body are passed on
// unchanged.
func TestResponsePassedOn(t *testing.T) {
	is := is.New(t)
	fleet, front := newFleet(t)
	fleet.serve = func(calls.Request) (calls.Outcome, error) {
		return calls.Response{Replayed: true, Answer: state.Answer{
			Status: http.StatusCreated, Header: []state.HeaderField{{Name: "Location", Value: "/jobs/7"}}, Body: []byte("made"),
		}}, nil
	}
	recorder := call(front, http.MethodPost, "/desk/x", "")
	is.Equal(recorder.Code, http.StatusCreated)
	is.Equal(recorder.Header().Get("Location"), "/jobs/7")
	is.Equal(recorder.Header().Get("Content-Length"), "4")
	is.Equal(recorder.Header().Get("Idempotency-Replayed"), "true")
	is.Equal(recorder.Body.String(), "made")
}

// TestTruncatedBody checks that a request with a truncated body is refused.
func TestTruncatedBody(t *testing.T) {
	is := is.New(t)
	fleet, front := newFleet(t)
	request := httptest.NewRequest(http.MethodPost, "/desk/x", brokenReader{})
	request.Header.Set("Authorization", "Bearer "+testKey)
	recorder := httptest.NewRecorder()
	front.ServeHTTP(recorder, request)
	is.Equal(problemOf(t, recorder).Reason, calls.ReasonBadRequest)
	is.Equal(len(fleet.served), 0)
}

// brokenReader fails like a connection that was reset.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }
