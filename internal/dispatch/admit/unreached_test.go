package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// TestHostsWithoutPathsDoNotDelayOthers plays a load of which a third comes from hosts
// that reach no upstream. Their failures must not keep the upstreams from the other hosts:
// these were refused, or served late, while upstreams that nobody used were backing off.
func TestHostsWithoutPathsDoNotDelayOthers(t *testing.T) {
	is := is.New(t)
	model := newModel()
	model.scheduler = NewExclusiveScheduler(model.clock, 1)
	model.scheduler.Update(serviceName, targets(4), spans.Table{})
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // the same in each run
	model.result = func(*Ticket) (Result, time.Duration) {
		if random.IntN(3) == 0 {
			return ResultUnreached, time.Millisecond
		}
		return ResultAnswered, serviceTime
	}
	model.run(10*time.Second, every(20, 0)) // 50 a second; the four upstreams serve 80
	got := model.tally(0)
	is.Equal(got.refused, 0)
	is.Equal(got.late, 0)
}
