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

// bankFixture is a bank for workspace w with its dependencies.
type bankFixture struct {
	machine *state.Machine
	lease   *fakeLease
	clock   *clockwork.FakeClock
	bank    *Allocator
}

func newBankFixture(t *testing.T) *bankFixture {
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
	fixture := &bankFixture{machine: state.NewMachine(), clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)), lease: &fakeLease{epoch: 2}}
	id := state.QuotaShard("w")
	for _, command := range []state.Command{
		state.ApplyRecords{Records: records},
		state.OpenSession{Host: state.Host{Name: "h0"}},
		state.MoveShards{Moves: []state.ShardMove{{Shard: id, Host: "h0"}}},
	} {
		fixture.commit(command)
	}
	fixture.bank = NewAllocator(id, 3, "h0", fixture.lease, func() *state.Catalog { return fixture.machine.Catalog }, fixture.clock)
	t.Cleanup(fixture.bank.Close)
	return fixture
}

func (bankfixture *bankFixture) commit(command state.Command) {
	bankfixture.machine.Apply(bankfixture.machine.Catalog.Index+1, command)
}

func (bankfixture *bankFixture) borrow(t *testing.T, want int, held ...LoanReport) BorrowResponse {
	t.Helper()
	return bankfixture.bank.Borrow(t.Context(), BorrowRequest{Host: "a", Workspace: "w", Want: want, Held: held})
}

// TestBankLendsOnlyInCharge checks that a bank refuses requests once its lease, its
// session or its workspace's rate has ended.
func TestBankLendsOnlyInCharge(t *testing.T) {
	for _, test := range []struct {
		name    string
		fault   func(fixture *bankFixture)
		refused bool
	}{
		{"in charge", func(*bankFixture) {}, false},
		{"lease ended", func(fixture *bankFixture) { fixture.lease.ended = true }, true},
		{"session closed", func(fixture *bankFixture) { fixture.commit(state.CloseSession{Host: "h0", Epoch: 2}) }, true},
		{"new session of the host", func(fixture *bankFixture) { fixture.lease.epoch = 9 }, true},
		{"rate withdrawn", func(fixture *bankFixture) {
			fixture.commit(state.ApplyRecords{Records: []spec.Record{{Kind: spec.KindRate, Name: "w", Schema: 1, Version: 2, Deleted: true}}})
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newBankFixture(t)
			is.Equal(fixture.borrow(t, 1).Refusal, calls.Reason("")) // creates the bucket
			fixture.clock.Advance(10 * time.Second)
			test.fault(fixture)
			borrowresponse := fixture.borrow(t, 3)
			is.Equal(borrowresponse.Refusal != "", test.refused)
			is.Equal(borrowresponse.Count == 3, !test.refused)
		})
	}
}

// TestReportsFreeTokens checks that returned tokens can be lent again, and that a
// repeated report returns them only once.
func TestReportsFreeTokens(t *testing.T) {
	is := is.New(t)
	fixture := newBankFixture(t)
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

// purseFixture runs a purse step by step, without its goroutine, against a scripted
// bank.
type purseFixture struct {
	t     *testing.T
	clock *clockwork.FakeClock
	purse *Limiter
	lend  func(borrowrequest BorrowRequest) BorrowResponse
}

func newPurseFixture(t *testing.T, lend func(borrowrequest BorrowRequest) BorrowResponse) *purseFixture {
	t.Helper()
	fixture := &purseFixture{t: t, clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)), lend: lend}
	fixture.purse = newPurse("a", "w", func(_ context.Context, borrowrequest BorrowRequest) BorrowResponse {
		return fixture.lend(borrowrequest)
	}, fixture.clock)
	return fixture
}

// step runs one iteration of the purse's loop, including the bank's response.
func (pursefixture *purseFixture) step() {
	pursefixture.purse.serveWaiters()
	pursefixture.purse.replenish()
	if pursefixture.purse.borrowing {
		pursefixture.purse.receive(<-pursefixture.purse.results)
		pursefixture.purse.serveWaiters()
	}
}

// take enqueues a request for a token.
func (pursefixture *purseFixture) take() waiter {
	waiter := newWaiter(pursefixture.clock.Now(), time.Minute)
	pursefixture.purse.enqueue(waiter)
	pursefixture.step()
	return waiter
}

// verdict advances the clock until the request has a verdict.
func (pursefixture *purseFixture) verdict(waiter waiter) Decision {
	pursefixture.t.Helper()
	for range 10000 {
		select {
		case decision := <-waiter.reply:
			return decision
		default:
			pursefixture.clock.Advance(time.Millisecond)
			pursefixture.step()
		}
	}
	pursefixture.t.Fatal("no verdict")
	return Decision{}
}

// TestPurseWaits checks that a request is granted a token that becomes available
// within the maximum wait, and is refused with a RetryAfter otherwise. During a
// takeover it waits longer, and the refusal is marked as Unavailable.
func TestPurseWaits(t *testing.T) {
	for _, test := range []struct {
		name string
		// none is the bank's response until the given time has passed.
		none             BorrowResponse
		until            time.Duration
		granted          bool
		unavailable      bool
		minWait, maxWait time.Duration
	}{
		{"token at once", BorrowResponse{}, 0, true, false, 0, 0},
		{"token after a short wait", BorrowResponse{RetryAfter: 10 * time.Millisecond}, 50 * time.Millisecond, true, false, 50 * time.Millisecond, 80 * time.Millisecond},
		{"over rate", BorrowResponse{RetryAfter: time.Second}, time.Hour, false, false, MaxWait, MaxWait + tickInterval},
		{"takeover ends in time", BorrowResponse{Refusal: calls.ReasonShardMoved}, 600 * time.Millisecond, true, false, 600 * time.Millisecond, 650 * time.Millisecond},
		{"no bank", BorrowResponse{Refusal: calls.ReasonQuotaUnavailable}, time.Hour, false, true, takeoverMaxWait, takeoverMaxWait + tickInterval},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newPurseFixture(t, nil)
			began := fixture.clock.Now()
			fixture.lend = func(BorrowRequest) BorrowResponse {
				if fixture.clock.Now().Sub(began) < test.until {
					return test.none
				}
				return BorrowResponse{Loan: 1, Count: 1}
			}
			decision := fixture.verdict(fixture.take())
			is.Equal(decision.Granted, test.granted)
			is.Equal(decision.Unavailable, test.unavailable)
			is.True(test.granted || decision.RetryAfter > 0)
			waited := fixture.clock.Now().Sub(began)
			is.True(waited >= test.minWait && waited <= test.maxWait)
		})
	}
}

// TestOverloadDoesNotWait keeps sending over the rate: after overloadDelay requests
// are refused after a short wait, and once a token is left over they may wait for
// MaxWait again.
func TestOverloadDoesNotWait(t *testing.T) {
	is := is.New(t)
	fixture := newPurseFixture(t, func(BorrowRequest) BorrowResponse { return BorrowResponse{RetryAfter: time.Second} })
	began := fixture.clock.Now()
	for fixture.clock.Now().Sub(began) < overloadDelay {
		is.True(!fixture.verdict(fixture.take()).Granted)
	}
	began = fixture.clock.Now()
	refused := fixture.verdict(fixture.take())
	is.True(!refused.Granted)
	is.True(refused.RetryAfter > 0)
	is.True(fixture.clock.Now().Sub(began) <= overloadMaxWait+tickInterval)
	fixture.lend = func(BorrowRequest) BorrowResponse { return BorrowResponse{Loan: 1, Count: 2} }
	is.True(fixture.verdict(fixture.take()).Granted)
	fixture.clock.Advance(LoanTTL)
	fixture.lend = func(BorrowRequest) BorrowResponse { return BorrowResponse{RetryAfter: time.Second} }
	began = fixture.clock.Now()
	is.True(!fixture.verdict(fixture.take()).Granted)
	is.True(fixture.clock.Now().Sub(began) >= MaxWait)
}

// TestSteadyWaitsAreNoOverload lets each request wait briefly for exactly one token,
// for longer than overloadDelay: that is no overload, so the next request may still
// wait for MaxWait.
func TestSteadyWaitsAreNoOverload(t *testing.T) {
	is := is.New(t)
	fixture := newPurseFixture(t, nil)
	began := fixture.clock.Now()
	var asked time.Time
	fixture.lend = func(BorrowRequest) BorrowResponse {
		if fixture.clock.Now().Sub(asked) < 20*time.Millisecond {
			return BorrowResponse{RetryAfter: 5 * time.Millisecond}
		}
		return BorrowResponse{Loan: 1, Count: 1}
	}
	for fixture.clock.Now().Sub(began) < 2*overloadDelay {
		asked = fixture.clock.Now()
		is.True(fixture.verdict(fixture.take()).Granted)
	}
	fixture.lend = func(BorrowRequest) BorrowResponse { return BorrowResponse{RetryAfter: time.Second} }
	began = fixture.clock.Now()
	is.True(!fixture.verdict(fixture.take()).Granted)
	is.True(fixture.clock.Now().Sub(began) >= MaxWait)
}

// TestPurseDropsExpiredTokens checks that tokens are not spent after LoanTTL, such as
// when the host was paused.
func TestPurseDropsExpiredTokens(t *testing.T) {
	is := is.New(t)
	asks := 0
	fixture := newPurseFixture(t, func(BorrowRequest) BorrowResponse {
		asks++
		return BorrowResponse{Loan: uint64(asks), Count: 5}
	})
	is.True(fixture.verdict(fixture.take()).Granted)
	is.Equal(fixture.purse.tokens(), 4)
	fixture.clock.Advance(LoanTTL)
	is.True(fixture.verdict(fixture.take()).Granted)
	is.Equal(asks, 2) // the rest of the first loan was not spent
}

// TestPurseReturnsIdleTokens checks that tokens are returned after idleTimeout
// without demand.
func TestPurseReturnsIdleTokens(t *testing.T) {
	is := is.New(t)
	var last BorrowRequest
	fixture := newPurseFixture(t, func(borrowrequest BorrowRequest) BorrowResponse {
		last = borrowrequest
		return BorrowResponse{Loan: 1, Count: 5}
	})
	is.True(fixture.verdict(fixture.take()).Granted)
	fixture.clock.Advance(idleTimeout)
	fixture.step()
	is.Equal(last.Held, []LoanReport{{Loan: 1, Unspent: 4, Returned: true}})
	is.Equal(last.Want, 0)
}

// TestPurseIsBounded checks that a request is refused immediately if maxWaiting
// requests are waiting already.
func TestPurseIsBounded(t *testing.T) {
	is := is.New(t)
	fixture := newPurseFixture(t, func(BorrowRequest) BorrowResponse { return BorrowResponse{RetryAfter: time.Second} })
	for range maxWaiting {
		fixture.take()
	}
	refused := <-fixture.take().reply
	is.True(!refused.Granted)
	is.True(refused.RetryAfter > 0)
}
