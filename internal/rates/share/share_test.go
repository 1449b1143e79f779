package share

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var errLost = errors.New("the message was lost")

// fleet is a model of entry hosts and a control leader that lose messages.
type fleet struct {
	now    time.Time
	book   *Book
	rate   Rate
	hosts  []string
	purses []*Purse
	// cut hosts reach no leader.
	cut  []bool
	runs []time.Time
}

func newFleet(size int, rate Rate) *fleet {
	fleet := &fleet{now: time.Unix(1000, 0), book: &Book{}, rate: rate, cut: make([]bool, size)}
	fleet.book.Reset(fleet.now.Add(-Term), 1)
	for number := range size {
		fleet.hosts = append(fleet.hosts, fmt.Sprint("host-", number))
		purse := &Purse{}
		purse.Borrow = func(_ context.Context, workspace string, wanted float64) (Loan, error) {
			if fleet.cut[number] {
				return Loan{}, errLost
			}
			return fleet.book.Lend(fleet.now, fleet.hosts[number], workspace, wanted, rate), nil
		}
		fleet.purses = append(fleet.purses, purse)
	}
	return fleet
}

// poll lets a host report; the answer may be lost.
func (fleet *fleet) poll(number int, lost bool) {
	if fleet.cut[number] {
		return
	}
	purse := fleet.purses[number]
	grant := fleet.book.Grant(fleet.now, purse.Report(fleet.now, fleet.hosts[number]), fleet.hosts, map[string]Rate{"w": fleet.rate})
	if !lost {
		purse.Accept(fleet.now, fleet.now, grant)
	}
}

func (fleet *fleet) request(number int) bool {
	_, ok := fleet.purses[number].Take(context.Background(), fleet.now, "w", fleet.rate)
	if ok {
		fleet.runs = append(fleet.runs, fleet.now)
	}
	return ok
}

// most returns the most requests that ran in any window.
func (fleet *fleet) most(window time.Duration) int {
	most, first := 0, 0
	for last, at := range fleet.runs {
		for at.Sub(fleet.runs[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestNeverBeyondTheRate floods a workspace while messages are lost, hosts are
// cut off and the leader changes. The bound is the users': a tenth and 20 requests
// above rate and burst in any 5 s.
func TestNeverBeyondTheRate(t *testing.T) {
	const window = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(10, 120).Draw(t, "perSecond")
		rate := Rate{PerSecond: perSecond, Burst: perSecond}
		fleet := newFleet(rapid.IntRange(1, 12).Draw(t, "hosts"), rate)
		term, lastChange := uint64(1), fleet.now
		for range rapid.IntRange(20, 120).Draw(t, "rounds") {
			fleet.now = fleet.now.Add(100 * time.Millisecond)
			switch rapid.IntRange(0, 40).Draw(t, "event") {
			case 0:
				host := rapid.IntRange(0, len(fleet.hosts)-1).Draw(t, "cut")
				fleet.cut[host] = !fleet.cut[host]
			case 1:
				if fleet.now.Sub(lastChange) > window {
					term++
					lastChange = fleet.now
					fleet.book.Reset(fleet.now, term)
				}
			}
			for number := range fleet.hosts {
				if rapid.IntRange(0, 3).Draw(t, "polls") == 0 {
					fleet.poll(number, rapid.IntRange(0, 9).Draw(t, "lost") == 0)
				}
				for range rapid.IntRange(0, 15).Draw(t, "requests") {
					fleet.request(number)
				}
			}
		}
		limit := (perSecond*window.Seconds()+rate.Burst)*1.1 + 20
		if most := fleet.most(window); float64(most) > limit {
			t.Fatalf("%d requests ran in %s, the limit is %.0f", most, window, limit)
		}
	})
}

// TestNobodyRefusedWithinTheRate sends a small workspace's requests unevenly over
// many hosts, at less than its rate.
func TestNobodyRefusedWithinTheRate(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(12, Rate{PerSecond: 10, Burst: 10})
	refused := 0
	for round := range 300 {
		fleet.now = fleet.now.Add(100 * time.Millisecond)
		for number := range fleet.hosts {
			if (round+number)%4 == 0 {
				fleet.poll(number, false)
			}
		}
		if round%5 != 0 && !fleet.request((round*7)%len(fleet.hosts)) {
			refused++
		}
	}
	is.Equal(refused, 0)
}

// TestGoesOnWithoutTheLeader cuts all hosts off; each goes on with its part until
// it ends.
func TestGoesOnWithoutTheLeader(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(4, Rate{PerSecond: 40, Burst: 40})
	step := func(rounds int) (served, refused int) {
		for round := range rounds {
			fleet.now = fleet.now.Add(100 * time.Millisecond)
			for number := range fleet.hosts {
				if round%4 == number {
					fleet.poll(number, false)
				}
				if round%2 == 0 {
					if fleet.request(number) {
						served++
					} else {
						refused++
					}
				}
			}
		}
		return served, refused
	}
	for number := range fleet.hosts {
		fleet.poll(number, false)
	}
	_, refused := step(50)
	is.Equal(refused, 0)
	for number := range fleet.cut {
		fleet.cut[number] = true
	}
	_, refused = step(30) // 3 s at half of the rate
	is.Equal(refused, 0)
	served, _ := step(100)
	is.True(served < 200) // parts have ended
}

// TestAllStartAnew restarts all hosts and the leader at once: what was saved up
// while nobody could spend is there at once.
func TestAllStartAnew(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(4, Rate{PerSecond: 40, Burst: 40})
	fleet.book.Reset(fleet.now, 2)
	for number := range fleet.hosts {
		fleet.poll(number, false)
	}
	refused := 0
	fleet.now = fleet.now.Add(50 * time.Millisecond)
	for round := range 20 {
		if !fleet.request(round % len(fleet.hosts)) {
			refused++
		}
	}
	is.Equal(refused, 0)
}
