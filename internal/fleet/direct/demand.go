package direct

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/spill"
	"damaskcrank.example/damaskcrank/internal/control/steer"
)

// maxNarrowLink is the bandwidth of a link, in Mbit/s, up to which an entry host paces what
// passes it, reports its demand, and lets the leader decide which requests leave the data
// centre. On wider links large answers delay nobody.
const maxNarrowLink = 100

// narrowLink returns the bandwidth of a narrow link, 0 if it is unknown or wide.
func narrowLink(link float64) float64 {
	if link > maxNarrowLink {
		return 0
	}
	return link
}

// demandTable collects what callers of this host ask of services without a key, and holds
// which part of it goes to other data centres.
type demandTable struct {
	home  string
	clock clockwork.Clock
	stats *stats.Set

	mutex    sync.Mutex
	reported map[string]steer.ServiceDemand
	spill    spill.Table
}

// newDemandTable returns an empty table of a host in the data centre.
func newDemandTable(home string, clock clockwork.Clock, set *stats.Set) *demandTable {
	return &demandTable{home: home, clock: clock, stats: set, reported: map[string]steer.ServiceDemand{}}
}

// addRequest records a request.
func (demandtable *demandTable) addRequest(service string, objective time.Duration) {
	demandtable.mutex.Lock()
	defer demandtable.mutex.Unlock()
	demand := demandtable.reported[service]
	demand.Requests++
	demand.Objective = objective
	demandtable.reported[service] = demand
}

// addBytes records an answer.
func (demandtable *demandTable) addBytes(service string, bytes int) {
	demandtable.mutex.Lock()
	defer demandtable.mutex.Unlock()
	demand := demandtable.reported[service]
	demand.Answers++
	demand.Bytes += int64(bytes)
	demandtable.reported[service] = demand
}

// take returns what was recorded since the last call.
func (demandtable *demandTable) take() map[string]steer.ServiceDemand {
	demandtable.mutex.Lock()
	defer demandtable.mutex.Unlock()
	reported := demandtable.reported
	demandtable.reported = map[string]steer.ServiceDemand{}
	return reported
}

// apply replaces the parts that go to other data centres.
func (demandtable *demandTable) apply(now time.Time, orders *spill.Orders) {
	if orders == nil {
		return
	}
	demandtable.mutex.Lock()
	defer demandtable.mutex.Unlock()
	demandtable.spill = spill.Table{Orders: *orders, ReceivedAt: now}
}

// order sorts the data centres in which a request asks for an upstream, and counts where it
// asks first.
func (demandtable *demandTable) order(service string, dataCentres []string) spill.Choice {
	demandtable.mutex.Lock()
	table := demandtable.spill
	demandtable.mutex.Unlock()
	choice := table.Order(demandtable.clock.Now(), service, demandtable.home, dataCentres, rand.Float64()) //nolint:gosec // spreads load
	if len(dataCentres) > 0 && dataCentres[0] != demandtable.home {
		demandtable.stats.Spilled(service, demandtable.home, dataCentres[0], string(choice.Reason))
	}
	return choice
}
