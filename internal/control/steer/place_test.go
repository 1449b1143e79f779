package steer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// service is the placement of a service with many upstreams under simulated load.
type service struct {
	placement placement
	index     uint64
}

func newService(upstreams int) *service {
	service := &service{}
	for number := range upstreams {
		service.placement.candidates = append(service.placement.candidates, spans.Owner{ID: fmt.Sprint("up-", number), Born: 1})
	}
	return service
}

// apply commits the changes, with moving keys already released by their owners.
func (service *service) apply(t *testing.T, changes []spans.Change) {
	t.Helper()
	for position, change := range changes {
		if change.Owner == (spans.Owner{}) {
			changes[position].Owner, changes[position].Next = change.Next, spans.Owner{}
		}
	}
	service.index++
	table, err := service.placement.table.Apply(service.index, changes)
	if err != nil {
		t.Fatal(err)
	}
	service.placement.table = table
}

// setLoad sets each key's load in requests per second.
func (service *service) setLoad(perSecond func(key int) float64) {
	loads := newKeyLoads(time.Unix(0, 0))
	for key := range loads.counts {
		loads.counts[key] = float32(perSecond(key) * loadDecayTime.Seconds())
	}
	service.placement.loads = loads.sums(time.Unix(0, 0))
}

// maxRelativeLoad returns the highest relative load of a candidate, as a ratio to
// the target.
func (service *service) maxRelativeLoad() float64 {
	service.placement.sumOwnedLoad()
	most := slices.MaxFunc(service.placement.candidates, func(left, right spans.Owner) int {
		return compareLoads(service.placement.relativeLoad(left), service.placement.relativeLoad(right))
	})
	return service.placement.relativeLoad(most) / service.placement.targetLoad()
}

// TestHotKeyRangeIsSpread sends a third of all requests to 200 adjacent keys, with
// few and many upstreams. Such a burst lasts 5 s; within half of that, no upstream
// may have twice its target load or more.
func TestHotKeyRangeIsSpread(t *testing.T) {
	for _, upstreams := range []int{29, 283} {
		t.Run(fmt.Sprint(upstreams), func(t *testing.T) {
			is := is.New(t)
			service := newService(upstreams)
			perUpstream := 5.0
			total := perUpstream * float64(upstreams)
			service.setLoad(func(int) float64 { return total / (spans.MaxKey + 1) })
			service.placement.expired = map[spans.Owner]bool{{}: true}
			service.apply(t, service.placement.reassign())
			service.placement.expired = nil
			is.True(service.maxRelativeLoad() < 1.2)
			const first, hot = 24000, 200
			service.setLoad(func(key int) float64 {
				if key >= first && key < first+hot {
					return total / 3 / hot
				}
				return total * 2 / 3 / (spans.MaxKey + 1)
			})
			is.True(service.maxRelativeLoad() > 5)
			for range int(2500 * time.Millisecond / balanceInterval) {
				changes, err := service.placement.balance()
				is.NoErr(err)
				service.apply(t, changes)
			}
			is.True(service.maxRelativeLoad() < 2)
		})
	}
}

// TestFailingUpstreamsAreAvoided reports upstreams that fail all or some requests:
// they are avoided, but never more than a quarter of all upstreams, since the
// others have to carry the load.
func TestFailingUpstreamsAreAvoided(t *testing.T) {
	for _, test := range []struct {
		name    string
		failing int
		stats   RequestStats
		avoided int
	}{
		{"one fails all", 1, RequestStats{Erred: 3}, 1},
		{"one fails two of five", 1, RequestStats{Count: 3, Total: 3 * time.Second, Erred: 2}, 1},
		{"a single error", 1, RequestStats{Count: 60, Total: 9 * time.Second, Erred: 1}, 0},
		{"most fail", 8, RequestStats{Erred: 3}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			healthtable := healthTable{}
			for range 10 {
				now = now.Add(400 * time.Millisecond)
				for number := range 10 {
					requeststats := RequestStats{Count: 4, Total: time.Second}
					if number < test.failing {
						requeststats = test.stats
					}
					healthtable.add(now, fmt.Sprint("up-", number), requeststats)
				}
			}
			avoided := 0
			for number := range 10 {
				if healthtable.avoided(fmt.Sprint("up-", number), now) {
					avoided++
					is.True(number < test.failing)
				}
			}
			is.Equal(avoided, test.avoided)
		})
	}
}
