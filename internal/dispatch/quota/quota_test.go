package quota

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// spentToken is a token that a borrower has spent.
type spentToken struct{ at time.Time }

// borrowerModel models an entry host with loans: it may spend a loan's tokens until
// LoanTTL has passed since its request.
type borrowerModel struct {
	host  string
	loans []batch
}

// TestNeverOverRate runs random sequences of loans, spending, reports, returns,
// expiry, lost responses and takeovers. Between any two spent tokens, the number of
// tokens spent must not exceed the rate times the elapsed time plus the burst.
func TestNeverOverRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		rate := float64(rapid.IntRange(1, 200).Draw(t, "rate"))
		burst := float64(rapid.IntRange(1, 60).Draw(t, "burst"))
		epoch := uint64(1)
		bucket := newBucket(epoch, rate, burst, now)
		borrowers := []*borrowerModel{{host: "a"}, {host: "b"}, {host: "c"}}
		var log []spentToken
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			borrower := rapid.SampledFrom(borrowers).Draw(t, "borrower")
			switch action := rapid.IntRange(0, 19).Draw(t, "action"); {
			case action < 6:
				now = now.Add(time.Duration(rapid.IntRange(1, 80).Draw(t, "milliseconds")) * time.Millisecond)
			case action < 11:
				lost := rapid.IntRange(0, 9).Draw(t, "lost") == 0
				granted, _ := bucket.lend(borrower.host, rapid.IntRange(1, 30).Draw(t, "want"), now)
				if granted.unspent > 0 && !lost {
					borrower.loans = append(borrower.loans, batch{loan: granted.id, count: int(granted.unspent), expiresAt: now.Add(LoanTTL)})
				}
			case action < 17:
				log = append(log, borrower.spendAll(now, rapid.IntRange(1, 20).Draw(t, "spend"))...)
			case action < 19:
				returned := rapid.Bool().Draw(t, "returned")
				for _, loan := range borrower.loans {
					bucket.advance(now)
					bucket.updateLoan(borrower.host, loan.loan, float64(loan.count))
					if returned {
						bucket.returnTokens(borrower.host, loan.loan, float64(loan.count))
					}
				}
				if returned {
					borrower.loans = nil
				}
			default:
				epoch++
				bucket = newBucket(epoch, rate, burst, now) // another host takes over
			}
		}
		checkWindows(t, log, rate, burst)
	})
}

func (borrowermodel *borrowerModel) spendAll(now time.Time, count int) []spentToken {
	var used []spentToken
	for position := range borrowermodel.loans {
		loan := &borrowermodel.loans[position]
		for loan.count > 0 && count > 0 && now.Before(loan.expiresAt) {
			loan.count--
			count--
			used = append(used, spentToken{at: now})
		}
	}
	return used
}

func checkWindows(t *rapid.T, log []spentToken, rate, burst float64) {
	for first := range log {
		for last := first; last < len(log); last++ {
			window := log[last].at.Sub(log[first].at).Seconds()
			allowed := rate*window + burst
			if float64(last-first+1) > math.Floor(allowed+1e-6) {
				t.Fatalf("%d tokens in %.3f s, allowed %.3f", last-first+1, window, allowed)
			}
		}
	}
}

// TestSteadyUseIsNotRefused spends at exactly the rate. Nothing must be refused once
// the bucket holds its first token, since a report ends a loan immediately.
func TestSteadyUseIsNotRefused(t *testing.T) {
	for _, test := range []struct {
		name  string
		rate  float64
		burst float64
	}{
		{"large burst", 100, 50},
		{"small burst", 100, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			bucket := newBucket(1, test.rate, test.burst, now)
			now = now.Add(2 * time.Second)
			refused := 0
			for range 500 {
				now = now.Add(time.Duration(float64(time.Second) / test.rate))
				granted, _ := bucket.lend("a", 1, now)
				if granted.unspent < 1 {
					refused++
					continue
				}
				bucket.updateLoan("a", granted.id, 0)
			}
			is.Equal(refused, 0)
		})
	}
}

// TestTakeoverStartsEmpty checks that a new allocator's bucket lends nothing at first,
// since the previous allocator may have lent tokens that are not spent yet.
func TestTakeoverStartsEmpty(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	bucket := newBucket(1, 10, 20, now)
	granted, wait := bucket.lend("a", 5, now)
	is.Equal(granted.unspent, 0.0)
	is.True(wait > 0)
	granted, _ = bucket.lend("a", 50, now.Add(10*time.Second))
	is.Equal(granted.unspent, 10.0) // half of the burst may be lent
}

// TestLoanedTimeIsNotRefilled lets the whole burst be out on loan until the loan expires,
// spent but not reported. The bucket refilled for that time as soon as the loan had
// expired, so the burst could be spent twice within 20 ms.
func TestLoanedTimeIsNotRefilled(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	bucket := newBucket(1, 10, 1, now)
	now = now.Add(time.Second)
	granted, _ := bucket.lend("a", 1, now)
	is.Equal(granted.unspent, 1.0)
	now = granted.expiresAt
	granted, _ = bucket.lend("b", 1, now)
	is.Equal(granted.unspent, 0.0) // the first token may have been spent just now
	now = now.Add(100 * time.Millisecond)
	granted, _ = bucket.lend("b", 1, now)
	is.Equal(granted.unspent, 1.0)
}

func TestRateChangeAppliesImmediately(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	bucket := newBucket(1, 100, 100, now)
	now = now.Add(10 * time.Second)
	bucket.advance(now)
	bucket.setRate(1, 2, now)
	granted, _ := bucket.lend("a", 50, now)
	is.Equal(granted.unspent, 1.0)
}
