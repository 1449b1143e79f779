package steer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// crowd is a service with many upstreams, whose keys get load.
type crowd struct {
	placement placement
	index     uint64
}

func newCrowd(upstreams int) *crowd {
	crowd := &crowd{}
	for number := range upstreams {
		crowd.placement.candidates = append(crowd.placement.candidates, spans.Owner{ID: fmt.Sprint("up-", number), Born: 1})
	}
	return crowd
}

// apply makes the changes; owners have let go of what is moving before the next
// look.
func (crowd *crowd) apply(t *testing.T, changes []spans.Change) {
	t.Helper()
	for position, change := range changes {
		if change.Owner == (spans.Owner{}) {
			changes[position].Owner, changes[position].Next = change.Next, spans.Owner{}
		}
	}
	crowd.index++
	table, err := crowd.placement.table.Apply(crowd.index, changes)
	if err != nil {
		t.Fatal(err)
	}
	crowd.placement.table = table
}

// load sets each key's load in requests per second.
func (crowd *crowd) load(perSecond func(key int) float64) {
	loads := newLoadMap(time.Unix(0, 0))
	for key := range loads.counts {
		loads.counts[key] = float32(perSecond(key) * loadTime.Seconds())
	}
	crowd.placement.loads = loads.sums(time.Unix(0, 0))
}

// busiest returns the highest use of a candidate in relation to the target.
func (crowd *crowd) busiest() float64 {
	crowd.placement.weigh()
	most := slices.MaxFunc(crowd.placement.candidates, func(left, right spans.Owner) int {
		return compareLoads(crowd.placement.use(left), crowd.placement.use(right))
	})
	return crowd.placement.use(most) / crowd.placement.target()
}

// TestHotNeighboursSpread lets 200 neighbouring keys get a third of all requests,
// at several sizes: within half of the 5 s that such a spell lasts, no upstream
// has twice what it should have.
func TestHotNeighboursSpread(t *testing.T) {
	for _, upstreams := range []int{29, 283} {
		t.Run(fmt.Sprint(upstreams), func(t *testing.T) {
			is := is.New(t)
			crowd := newCrowd(upstreams)
			perUpstream := 5.0
			total := perUpstream * float64(upstreams)
			crowd.load(func(int) float64 { return total / (spans.MaxKey + 1) })
			crowd.placement.free = map[spans.Owner]bool{{}: true}
			crowd.apply(t, crowd.placement.settle())
			crowd.placement.free = nil
			is.True(crowd.busiest() < 1.2)
			const first, hot = 24000, 200
			crowd.load(func(key int) float64 {
				if key >= first && key < first+hot {
					return total / 3 / hot
				}
				return total * 2 / 3 / (spans.MaxKey + 1)
			})
			is.True(crowd.busiest() > 5)
			for range int(2500 * time.Millisecond / balanceInterval) {
				changes, err := crowd.placement.balance()
				is.NoErr(err)
				crowd.apply(t, changes)
			}
			is.True(crowd.busiest() < 2)
		})
	}
}

// TestFailingUpstreamsAreAvoided reports upstreams that fail requests, quickly or
// now and then: they get no keys, but where most fail, all go on.
func TestFailingUpstreamsAreAvoided(t *testing.T) {
	for _, test := range []struct {
		name    string
		failing int
		work    Work
		avoided int
	}{
		{"one fails all", 1, Work{Erred: 3}, 1},
		{"one fails two of five", 1, Work{Count: 3, Total: 3 * time.Second, Erred: 2}, 1},
		{"a stray error", 1, Work{Count: 60, Total: 9 * time.Second, Erred: 1}, 0},
		{"most fail", 8, Work{Erred: 3}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			speeds := speeds{}
			for range 10 {
				now = now.Add(400 * time.Millisecond)
				for number := range 10 {
					work := Work{Count: 4, Total: time.Second}
					if number < test.failing {
						work = test.work
					}
					speeds.add(now, fmt.Sprint("up-", number), work)
				}
			}
			avoided := 0
			for number := range 10 {
				if speeds.avoided(fmt.Sprint("up-", number), now) {
					avoided++
					is.True(number < test.failing)
				}
			}
			is.Equal(avoided, test.avoided)
		})
	}
}
