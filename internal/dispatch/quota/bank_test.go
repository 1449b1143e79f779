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

// fakeLease is a lease that tests end at will.
type fakeLease struct {
	ended bool
	epoch uint64
}

func (fakelease *fakeLease) Valid() bool   { return !fakelease.ended }
func (fakelease *fakeLease) Epoch() uint64 { return fakelease.epoch }

// bankRig is a bank that holds workspace w's bucket, and what it depends on.
type bankRig struct {
	machine *state.Machine
	lease   *fakeLease
	clock   *clockwork.FakeClock
	bank    *Bank
}

func newBankRig(t *testing.T) *bankRig {
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
	rig := &bankRig{machine: state.NewMachine(), clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)), lease: &fakeLease{epoch: 2}}
	id := state.QuotaShard("w")
	for _, command := range []state.Command{
		state.ApplyRecords{Records: records},
		state.OpenSession{Host: state.Host{Name: "h0"}},
		state.MoveShards{Moves: []state.ShardMove{{Shard: id, Host: "h0"}}},
	} {
		rig.commit(command)
	}
	rig.bank = NewBank(id, 3, "h0", rig.lease, func() *state.Catalog { return rig.machine.Catalog }, rig.clock)
	t.Cleanup(rig.bank.Close)
	return rig
}

func (bankrig *bankRig) commit(command state.Command) {
	bankrig.machine.Apply(bankrig.machine.Catalog.Index+1, command)
}

func (bankrig *bankRig) borrow(t *testing.T, want int, held ...Held) Lent {
	t.Helper()
	return bankrig.bank.Borrow(t.Context(), Ask{Host: "a", Workspace: "w", Want: want, Held: held})
}

// TestBankLendsOnlyInCharge ends the bank's duty in each way.
func TestBankLendsOnlyInCharge(t *testing.T) {
	for _, test := range []struct {
		name    string
		fault   func(rig *bankRig)
		refused bool
	}{
		{"in charge", func(*bankRig) {}, false},
		{"lease ended", func(rig *bankRig) { rig.lease.ended = true }, true},
		{"session closed", func(rig *bankRig) { rig.commit(state.CloseSession{Host: "h0", Epoch: 2}) }, true},
		{"new session of the host", func(rig *bankRig) { rig.lease.epoch = 9 }, true},
		{"rate withdrawn", func(rig *bankRig) {
			rig.commit(state.ApplyRecords{Records: []spec.Record{{Kind: spec.KindRate, Name: "w", Schema: 1, Version: 2, Deleted: true}}})
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rig := newBankRig(t)
			is.Equal(rig.borrow(t, 1).Refusal, calls.Reason("")) // starts the bucket
			rig.clock.Advance(10 * time.Second)
			test.fault(rig)
			lent := rig.borrow(t, 3)
			is.Equal(lent.Refusal != "", test.refused)
			is.Equal(lent.Count == 3, !test.refused)
		})
	}
}

// TestReportsFreeTokens returns and reports tokens: repeated and crossed
// reports free them once.
func TestReportsFreeTokens(t *testing.T) {
	is := is.New(t)
	rig := newBankRig(t)
	rig.borrow(t, 1)
	rig.clock.Advance(10 * time.Second)
	lent := rig.borrow(t, 50)
	is.Equal(lent.Count, 4) // half of the burst
	is.Equal(rig.borrow(t, 1).Count, 0)
	is.True(rig.borrow(t, 1).RetryAfter > 0)
	rig.borrow(t, 0, Held{Loan: lent.Loan, Unspent: 2, Returned: true})
	rig.borrow(t, 0, Held{Loan: lent.Loan, Unspent: 2, Returned: true})
	is.Equal(rig.borrow(t, 50).Count, 4)
}

// purseRig drives a purse by hand against a scripted bank.
type purseRig struct {
	t     *testing.T
	clock *clockwork.FakeClock
	purse *Purse
	lend  func(ask Ask) Lent
}

func newPurseRig(t *testing.T, lend func(ask Ask) Lent) *purseRig {
	t.Helper()
	rig := &purseRig{t: t, clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)), lend: lend}
	rig.purse = newPurse("a", "w", func(_ context.Context, ask Ask) Lent { return rig.lend(ask) }, rig.clock)
	return rig
}

// turn does what the task does between two sleeps, and answers its ask.
func (purserig *purseRig) turn() {
	purserig.purse.serve()
	purserig.purse.ask()
	if purserig.purse.asking {
		purserig.purse.receive(<-purserig.purse.answers)
		purserig.purse.serve()
	}
}

// take starts to take a token.
func (purserig *purseRig) take() taker {
	wish := newTaker(purserig.clock.Now(), time.Minute)
	purserig.purse.take(wish)
	purserig.turn()
	return wish
}

// verdict lets time pass until there is one.
func (purserig *purseRig) verdict(wish taker) Verdict {
	purserig.t.Helper()
	for range 10000 {
		select {
		case verdict := <-wish.reply:
			return verdict
		default:
			purserig.clock.Advance(time.Millisecond)
			purserig.turn()
		}
	}
	purserig.t.Fatal("no verdict")
	return Verdict{}
}

// TestPurseWaits grants a token that comes within the wait, and refuses once
// none came in time, saying when one can be had. Around a takeover it waits
// longer, and says that no bank answered.
func TestPurseWaits(t *testing.T) {
	for _, test := range []struct {
		name string
		// none is what the bank answers until the time given.
		none        Lent
		until       time.Duration
		granted     bool
		unavailable bool
		least, most time.Duration
	}{
		{"token at once", Lent{}, 0, true, false, 0, 0},
		{"token soon", Lent{RetryAfter: 10 * time.Millisecond}, 50 * time.Millisecond, true, false, 50 * time.Millisecond, 80 * time.Millisecond},
		{"over rate", Lent{RetryAfter: time.Second}, time.Hour, false, false, MaxWait, MaxWait + purseTick},
		{"takeover ends in time", Lent{Refusal: calls.ReasonShardMoved}, 600 * time.Millisecond, true, false, 600 * time.Millisecond, 650 * time.Millisecond},
		{"no bank", Lent{Refusal: calls.ReasonQuotaUnavailable}, time.Hour, false, true, takeoverWait, takeoverWait + purseTick},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rig := newPurseRig(t, nil)
			began := rig.clock.Now()
			rig.lend = func(Ask) Lent {
				if rig.clock.Now().Sub(began) < test.until {
					return test.none
				}
				return Lent{Loan: 1, Count: 1}
			}
			verdict := rig.verdict(rig.take())
			is.Equal(verdict.Granted, test.granted)
			is.Equal(verdict.Unavailable, test.unavailable)
			is.True(test.granted || verdict.RetryAfter > 0)
			waited := rig.clock.Now().Sub(began)
			is.True(waited >= test.least && waited <= test.most)
		})
	}
}

// TestOverloadDoesNotWait keeps sending over the rate: after a second requests
// are refused soon, and once tokens are left over they may wait again.
func TestOverloadDoesNotWait(t *testing.T) {
	is := is.New(t)
	rig := newPurseRig(t, func(Ask) Lent { return Lent{RetryAfter: time.Second} })
	began := rig.clock.Now()
	for rig.clock.Now().Sub(began) < overloadTime {
		is.True(!rig.verdict(rig.take()).Granted)
	}
	began = rig.clock.Now()
	refused := rig.verdict(rig.take())
	is.True(!refused.Granted)
	is.True(refused.RetryAfter > 0)
	is.True(rig.clock.Now().Sub(began) <= overloadWait+purseTick)
	rig.lend = func(Ask) Lent { return Lent{Loan: 1, Count: 2} }
	is.True(rig.verdict(rig.take()).Granted)
	rig.clock.Advance(LoanTTL)
	rig.lend = func(Ask) Lent { return Lent{RetryAfter: time.Second} }
	began = rig.clock.Now()
	is.True(!rig.verdict(rig.take()).Granted)
	is.True(rig.clock.Now().Sub(began) >= MaxWait)
}

// TestSteadyWaitsAreNoOverload lets each request wait a little for exactly one
// token, for longer than an overload takes to show: the next one may wait for
// as long as ever.
func TestSteadyWaitsAreNoOverload(t *testing.T) {
	is := is.New(t)
	rig := newPurseRig(t, nil)
	began := rig.clock.Now()
	var asked time.Time
	rig.lend = func(Ask) Lent {
		if rig.clock.Now().Sub(asked) < 20*time.Millisecond {
			return Lent{RetryAfter: 5 * time.Millisecond}
		}
		return Lent{Loan: 1, Count: 1}
	}
	for rig.clock.Now().Sub(began) < 2*overloadTime {
		asked = rig.clock.Now()
		is.True(rig.verdict(rig.take()).Granted)
	}
	rig.lend = func(Ask) Lent { return Lent{RetryAfter: time.Second} }
	began = rig.clock.Now()
	is.True(!rig.verdict(rig.take()).Granted)
	is.True(rig.clock.Now().Sub(began) >= MaxWait)
}

// TestPurseDropsExpiredTokens pauses the host for longer than a loan: its
// tokens are not used any more.
func TestPurseDropsExpiredTokens(t *testing.T) {
	is := is.New(t)
	asks := 0
	rig := newPurseRig(t, func(Ask) Lent {
		asks++
		return Lent{Loan: uint64(asks), Count: 5}
	})
	is.True(rig.verdict(rig.take()).Granted)
	is.Equal(rig.purse.tokens(), 4)
	rig.clock.Advance(LoanTTL)
	is.True(rig.verdict(rig.take()).Granted)
	is.Equal(asks, 2) // the first loan's rest was not used
}

// TestPurseReturnsIdleTokens gives tokens back that nobody wants.
func TestPurseReturnsIdleTokens(t *testing.T) {
	is := is.New(t)
	var last Ask
	rig := newPurseRig(t, func(ask Ask) Lent {
		last = ask
		return Lent{Loan: 1, Count: 5}
	})
	is.True(rig.verdict(rig.take()).Granted)
	rig.clock.Advance(idleReturn)
	rig.turn()
	is.Equal(last.Held, []Held{{Loan: 1, Unspent: 4, Returned: true}})
	is.Equal(last.Want, 0)
}

// TestPurseIsBounded refuses at once when too many wait already.
func TestPurseIsBounded(t *testing.T) {
	is := is.New(t)
	rig := newPurseRig(t, func(Ask) Lent { return Lent{RetryAfter: time.Second} })
	for range maxWaiting {
		rig.take()
	}
	refused := <-rig.take().reply
	is.True(!refused.Granted)
	is.True(refused.RetryAfter > 0)
}
