package quota

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
)

// fakeLease is a lease that tests can end.
type fakeLease struct {
	ended bool
	epoch uint64
}

func (fakelease *fakeLease) Valid() bool   { return !fakelease.ended }
func (fakelease *fakeLease) Epoch() uint64 { return fakelease.epoch }

// allocatorFixture is an allocator for workspace w with its dependencies.
type allocatorFixture struct {
	machine   *state.Machine
	lease     *fakeLease
	clock     *clockwork.FakeClock
	allocator *Allocator
}

func newAllocatorFixture(t *testing.T) *allocatorFixture {
	t.Helper()
	records, err := spec.ParseDocument([]byte(`
[[workspace]]
name = "w"
schema = 1
version = 1
[[rate]]
name = "w"
schema = 1
version = 1
workspace = "w"
perSecond = 10
burst = 8
`), spec.FormatTOML)
	if err != nil {
		t.Fatal(err)
	}
	fixture := &allocatorFixture{machine: state.NewMachine(), clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)), lease: &fakeLease{epoch: 2}}
	id := state.QuotaShard("w")
	for _, command := range []state.Command{
		state.ApplyRecords{Records: records},
		state.OpenSession{Host: state.Host{Name: "h0"}},
		state.MoveShards{Moves: []state.ShardMove{{Shard: id, Host: "h0"}}},
	} {
		fixture.commit(command)
	}
	fixture.allocator = NewAllocator(id, 3, "h0", fixture.lease, func() *state.Catalog { return fixture.machine.Catalog }, fixture.clock)
	t.Cleanup(fixture.allocator.Close)
	return fixture
}

func (allocatorfixture *allocatorFixture) commit(command state.Command) {
	allocatorfixture.machine.Apply(allocatorfixture.machine.Catalog.Index+1, command)
}

func (allocatorfixture *allocatorFixture) borrow(t *testing.T, want int, reports ...LoanReport) BorrowResponse {
	t.Helper()
	return allocatorfixture.allocator.Borrow(t.Context(), BorrowRequest{Host: "a", Workspace: "w", Want: want, Held: reports})
}

// TestAllocatorLendsOnlyAsOwner checks that an allocator refuses requests once its
// lease, its session or its workspace's rate has ended.
func TestAllocatorLendsOnlyAsOwner(t *testing.T) {
	for _, test := range []struct {
		name    string
		fault   func(fixture *allocatorFixture)
		refused bool
	}{
		{"owner", func(*allocatorFixture) {}, false},
		{"lease ended", func(fixture *allocatorFixture) { fixture.lease.ended = true }, true},
		{"session closed", func(fixture *allocatorFixture) { fixture.commit(state.CloseSession{Host: "h0", Epoch: 2}) }, true},
		{"new session of the host", func(fixture *allocatorFixture) { fixture.lease.epoch = 9 }, true},
		{"rate withdrawn", func(fixture *allocatorFixture) {
			fixture.commit(state.ApplyRecords{Records: []spec.Record{{Kind: spec.KindRate, Name: "w", Schema: 1, Version: 2, Deleted: true}}})
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newAllocatorFixture(t)
			is.Equal(fixture.borrow(t, 1).Refusal, calls.Reason("")) // creates the bucket
			fixture.clock.Advance(10 * time.Second)
			test.fault(fixture)
			borrowresponse := fixture.borrow(t, 3)
			is.Equal(borrowresponse.Refusal != "", test.refused)
			is.Equal(borrowresponse.Count == 3, !test.refused)
		})
	}
}

// TestReturnedTokensAreLentAgain checks that returned tokens can be lent again, and
// that a repeated report returns them only once.
func TestReturnedTokensAreLentAgain(t *testing.T) {
	is := is.New(t)
	fixture := newAllocatorFixture(t)
	fixture.borrow(t, 1)
	fixture.clock.Advance(10 * time.Second)
	borrowresponse := fixture.borrow(t, 50)
	is.Equal(borrowresponse.Count, 4) // half of the burst
	is.Equal(fixture.borrow(t, 1).Count, 0)
	is.True(fixture.borrow(t, 1).RetryAfter > 0)
	fixture.borrow(t, 0, LoanReport{Loan: borrowresponse.Loan, Unspent: 2, Returned: true})
	fixture.borrow(t, 0, LoanReport{Loan: borrowresponse.Loan, Unspent: 2, Returned: true})
	is.Equal(fixture.borrow(t, 50).Count, 4)
}

// TestReportOnEarlierAllocatorsLoan sends a report on a loan of an earlier allocator,
// late, to the next one. Loans were numbered from 1 by each allocator, so the report
// counted for a loan whose tokens could still be spent, and they were lent twice.
func TestReportOnEarlierAllocatorsLoan(t *testing.T) {
	is := is.New(t)
	fixture := newAllocatorFixture(t)
	fixture.borrow(t, 1)
	fixture.clock.Advance(10 * time.Second)
	earlier := fixture.borrow(t, 50)
	is.Equal(earlier.Count, 4) // half of the burst
	id := state.QuotaShard("w")
	fixture.commit(state.ReleaseShards{Session: 2, Epoch: 3, Shards: []state.ShardID{id}})
	fixture.commit(state.MoveShards{Moves: []state.ShardMove{{Shard: id, Epoch: 4, Host: "h0"}}})
	fixture.allocator = NewAllocator(id, 5, "h0", fixture.lease, func() *state.Catalog { return fixture.machine.Catalog }, fixture.clock)
	t.Cleanup(fixture.allocator.Close)
	fixture.borrow(t, 1)
	fixture.clock.Advance(10 * time.Second)
	is.Equal(fixture.borrow(t, 50).Count, 4)
	is.Equal(fixture.borrow(t, 50, LoanReport{Loan: earlier.Loan}).Count, 0)
}

// limiterFixture runs a limiter step by step, without its goroutine, against a
// scripted allocator.
type limiterFixture struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	limiter *Limiter
	lend    func(borrowrequest BorrowRequest) BorrowResponse
}

func newLimiterFixture(t *testing.T, lend func(borrowrequest BorrowRequest) BorrowResponse) *limiterFixture {
	t.Helper()
	fixture := &limiterFixture{t: t, clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)), lend: lend}
	fixture.limiter = newLimiter("a", "w", func(_ context.Context, borrowrequest BorrowRequest) BorrowResponse {
		return fixture.lend(borrowrequest)
	}, fixture.clock)
	return fixture
}

// step runs one iteration of the limiter's loop, including the allocator's response.
func (limiterfixture *limiterFixture) step() {
	limiterfixture.limiter.serveWaiters()
	limiterfixture.limiter.replenish()
	if limiterfixture.limiter.borrowing {
		limiterfixture.limiter.receive(<-limiterfixture.limiter.results)
		limiterfixture.limiter.serveWaiters()
	}
}

// take submits a request for a token and runs one step.
func (limiterfixture *limiterFixture) take() waiter {
	waiter := newWaiter(limiterfixture.clock.Now(), time.Minute)
	limiterfixture.limiter.enqueue(waiter)
	limiterfixture.step()
	return waiter
}

// decide advances the clock until the request is decided.
func (limiterfixture *limiterFixture) decide(waiter waiter) Decision {
	limiterfixture.t.Helper()
	for range 10000 {
		select {
		case decision := <-waiter.reply:
			return decision
		default:
			limiterfixture.clock.Advance(time.Millisecond)
			limiterfixture.step()
		}
	}
	limiterfixture.t.Fatal("the request is still undecided after 10 s")
	return Decision{}
}

// TestLimiterWaits checks that a request is granted a token that becomes available
// within the maximum wait, and is refused with a RetryAfter otherwise. During a
// takeover it waits longer, and the refusal is marked as Unavailable.
func TestLimiterWaits(t *testing.T) {
	for _, test := range []struct {
		name string
		// initial is the allocator's response until the given time has passed. From
		// then on it lends a token.
		initial          BorrowResponse
		until            time.Duration
		granted          bool
		unavailable      bool
		minWait, maxWait time.Duration
	}{
		{"token available immediately", BorrowResponse{}, 0, true, false, 0, 0},
		{"token available after a short wait", BorrowResponse{RetryAfter: 10 * time.Millisecond}, 50 * time.Millisecond, true, false, 50 * time.Millisecond, 80 * time.Millisecond},
		{"over rate", BorrowResponse{RetryAfter: time.Second}, time.Hour, false, false, MaxWait, MaxWait + tickInterval},
		{"takeover ends in time", BorrowResponse{Refusal: calls.ReasonShardMoved}, 600 * time.Millisecond, true, false, 600 * time.Millisecond, 650 * time.Millisecond},
		{"no allocator", BorrowResponse{Refusal: calls.ReasonQuotaUnavailable}, time.Hour, false, true, takeoverMaxWait, takeoverMaxWait + tickInterval},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newLimiterFixture(t, nil)
			start := fixture.clock.Now()
			fixture.lend = func(BorrowRequest) BorrowResponse {
				if fixture.clock.Now().Sub(start) < test.until {
					return test.initial
				}
				return BorrowResponse{Loan: 1, Count: 1}
			}
			decision := fixture.decide(fixture.take())
			is.Equal(decision.Granted, test.granted)
			is.Equal(decision.Unavailable, test.unavailable)
			is.True(test.granted || decision.RetryAfter > 0)
			waited := fixture.clock.Now().Sub(start)
			is.True(waited >= test.minWait && waited <= test.maxWait)
		})
	}
}

// TestOverloadShortensWaits keeps sending over the rate. After overloadDelay, requests
// must be refused after a short wait. Once no request is left without a token, they
// may wait for MaxWait again.
func TestOverloadShortensWaits(t *testing.T) {
	is := is.New(t)
	fixture := newLimiterFixture(t, func(BorrowRequest) BorrowResponse { return BorrowResponse{RetryAfter: time.Second} })
	start := fixture.clock.Now()
	for fixture.clock.Now().Sub(start) < overloadDelay {
		is.True(!fixture.decide(fixture.take()).Granted)
	}
	start = fixture.clock.Now()
	decision := fixture.decide(fixture.take())
	is.True(!decision.Granted)
	is.True(decision.RetryAfter > 0)
	is.True(fixture.clock.Now().Sub(start) <= overloadMaxWait+tickInterval)
	fixture.lend = func(BorrowRequest) BorrowResponse { return BorrowResponse{Loan: 1, Count: 2} }
	is.True(fixture.decide(fixture.take()).Granted)
	fixture.clock.Advance(LoanTTL)
	fixture.lend = func(BorrowRequest) BorrowResponse { return BorrowResponse{RetryAfter: time.Second} }
	start = fixture.clock.Now()
	is.True(!fixture.decide(fixture.take()).Granted)
	is.True(fixture.clock.Now().Sub(start) >= MaxWait)
}

// TestSteadyWaitsAreNotOverload lets each request wait briefly for exactly one token,
// for longer than overloadDelay. This is not an overload, so the next request may
// still wait for MaxWait.
func TestSteadyWaitsAreNotOverload(t *testing.T) {
	is := is.New(t)
	fixture := newLimiterFixture(t, nil)
	start := fixture.clock.Now()
	var requestedAt time.Time
	fixture.lend = func(BorrowRequest) BorrowResponse {
		if fixture.clock.Now().Sub(requestedAt) < 20*time.Millisecond {
			return BorrowResponse{RetryAfter: 5 * time.Millisecond}
		}
		return BorrowResponse{Loan: 1, Count: 1}
	}
	for fixture.clock.Now().Sub(start) < 2*overloadDelay {
		requestedAt = fixture.clock.Now()
		is.True(fixture.decide(fixture.take()).Granted)
	}
	fixture.lend = func(BorrowRequest) BorrowResponse { return BorrowResponse{RetryAfter: time.Second} }
	start = fixture.clock.Now()
	is.True(!fixture.decide(fixture.take()).Granted)
	is.True(fixture.clock.Now().Sub(start) >= MaxWait)
}

// TestLimiterDropsExpiredTokens checks that tokens are not spent after LoanTTL, for
// example after a pause of the host.
func TestLimiterDropsExpiredTokens(t *testing.T) {
	is := is.New(t)
	requests := 0
	fixture := newLimiterFixture(t, func(BorrowRequest) BorrowResponse {
		requests++
		return BorrowResponse{Loan: uint64(requests), Count: 5}
	})
	is.True(fixture.decide(fixture.take()).Granted)
	is.Equal(fixture.limiter.tokens(), 4)
	fixture.clock.Advance(LoanTTL)
	is.True(fixture.decide(fixture.take()).Granted)
	is.Equal(requests, 2) // the rest of the first loan was not spent
}

// TestLimiterReturnsIdleTokens checks that tokens are returned after idleTimeout
// without demand.
func TestLimiterReturnsIdleTokens(t *testing.T) {
	is := is.New(t)
	var last BorrowRequest
	fixture := newLimiterFixture(t, func(borrowrequest BorrowRequest) BorrowResponse {
		last = borrowrequest
		return BorrowResponse{Loan: 1, Count: 5}
	})
	is.True(fixture.decide(fixture.take()).Granted)
	fixture.clock.Advance(idleTimeout)
	fixture.step()
	is.Equal(last.Held, []LoanReport{{Loan: 1, Unspent: 4, Returned: true}})
	is.Equal(last.Want, 0)
}

// TestLimiterBoundsWaiting checks that a request is refused immediately if maxWaiting
// requests are waiting already.
func TestLimiterBoundsWaiting(t *testing.T) {
	is := is.New(t)
	fixture := newLimiterFixture(t, func(BorrowRequest) BorrowResponse { return BorrowResponse{RetryAfter: time.Second} })
	for range maxWaiting {
		fixture.take()
	}
	decision := <-fixture.take().reply
	is.True(!decision.Granted)
	is.True(decision.RetryAfter > 0)
}
