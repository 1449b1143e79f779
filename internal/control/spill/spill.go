// Package spill decides which part of the requests without a key leaves the data centre of
// its callers, for which other data centre. It uses no network and reads no clock.
package spill

import (
	"math"
	"slices"
	"time"
)

const (
	// steps is the number of parts in which demand is moved between data centres.
	steps = 200
	// foreignUse is the utilization up to which a data centre takes requests of others. The
	// rest is left to bursts of its own callers.
	foreignUse = 0.75
	// riseTime and fallTime are the time constants with which shares follow the plan. They
	// fall more slowly than they rise: requests that come back too early wait, those that
	// come back late only cost the path.
	riseTime = 500 * time.Millisecond
	fallTime = 2 * time.Second
	// maxReportAge is the age of reports from which a data centre gets no requests of others.
	maxReportAge = 2 * time.Second
	// minShare is the smallest share that is sent away.
	minShare = 0.01
	// bytesPerUnit is the number of bytes that Costs.PerKilobyte refers to.
	bytesPerUnit = 1000
)

// DataCentre is what is known of a service in one data centre.
type DataCentre struct {
	Name string
	// Demand is the number of requests per second of the callers there.
	Demand float64
	// Slots is the number of requests that the usable upstreams there work on at once, and
	// Work the average time that they take for one.
	Slots int
	Work  time.Duration
	// Age is that of the latest report on the upstreams there.
	Age time.Duration
}

// use returns the part of the data centre's slots that the given load keeps busy.
func (datacentre DataCentre) use(load float64) float64 {
	if datacentre.Slots <= 0 {
		return math.Inf(1)
	}
	return load * datacentre.Work.Seconds() / float64(datacentre.Slots)
}

// wait estimates how long a request waits for a slot under the given load, by the usual
// approximation of a queue with several servers (Sakasegawa). It is at most the objective,
// beyond which no request is worth waiting.
func (datacentre DataCentre) wait(load float64, objective time.Duration) time.Duration {
	use := datacentre.use(load)
	if use >= 1 {
		return objective
	}
	slots := float64(datacentre.Slots)
	wait := datacentre.Work.Seconds() * math.Pow(use, math.Sqrt(2*(slots+1))-1) / (slots * (1 - use))
	return min(objective, time.Duration(wait*float64(time.Second)))
}

// Costs are what it costs to serve a request in another data centre.
type Costs struct {
	// Path is the time of the way there and back.
	Path time.Duration
	// Bytes is the usual size of a request together with its response, and PerKilobyte the
	// delay that the operator accepts to keep 1 KB in its data centre.
	Bytes       float64
	PerKilobyte time.Duration
	// Objective is the time within which a response is worth most.
	Objective time.Duration
}

// Total returns the delay that serving a request elsewhere has to save at least.
func (costs Costs) Total() time.Duration {
	return costs.Path + time.Duration(costs.Bytes/bytesPerUnit*float64(costs.PerKilobyte))
}

// Shares are the parts of the requests from each data centre that go to others, by the names
// of both. What is left stays.
type Shares map[string]map[string]float64

// Away returns the part of the requests from a data centre that goes to any other.
func (shares Shares) Away(from string) float64 {
	total := 0.0
	for _, share := range shares[from] {
		total += share
	}
	return total
}

// plan returns the shares with which no request would wait less in another data centre than
// the costs of going there, as far as that takes no room that the callers there may need.
func plan(datacentres []DataCentre, costs Costs) Shares {
	loads, stays := make([]float64, len(datacentres)), make([]float64, len(datacentres))
	flows := make([][]float64, len(datacentres))
	for position, datacentre := range datacentres {
		loads[position], stays[position] = datacentre.Demand, datacentre.Demand
		flows[position] = make([]float64, len(datacentres))
	}
	for range steps * len(datacentres) {
		from, to, part := bestMove(datacentres, loads, stays, costs)
		if part == 0 {
			break
		}
		loads[from] -= part
		stays[from] -= part
		loads[to] += part
		flows[from][to] += part
	}
	shares := Shares{}
	for from, flow := range flows {
		for to, rate := range flow {
			if rate > 0 {
				shares.set(datacentres[from].Name, datacentres[to].Name, rate/datacentres[from].Demand)
			}
		}
	}
	return shares
}

func (shares Shares) set(from, to string, share float64) {
	if shares[from] == nil {
		shares[from] = map[string]float64{}
	}
	shares[from][to] = share
}

// bestMove returns the part of a data centre's demand that saves most if it goes elsewhere,
// and where. The part is 0 if there is none that saves more than it costs.
func bestMove(datacentres []DataCentre, loads, stays []float64, costs Costs) (from, to int, part float64) {
	best := time.Duration(0)
	for source, home := range datacentres {
		moved := min(home.Demand/steps, stays[source])
		if moved <= 0 {
			continue
		}
		saved := home.wait(loads[source], costs.Objective) - costs.Total()
		for target, other := range datacentres {
			if target == source || other.Age > maxReportAge || other.use(loads[target]+moved) > foreignUse {
				continue
			}
			if gain := saved - other.wait(loads[target]+moved, costs.Objective); gain > best {
				best, from, to, part = gain, source, target, moved
			}
		}
	}
	return from, to, part
}

// Planner keeps the shares of one service. The zero Planner sends nothing away.
type Planner struct {
	shares    Shares
	plannedAt time.Time
}

// Update moves the shares towards those that suit the data centres, and returns them. What it
// returns must not be changed.
func (planner *Planner) Update(now time.Time, datacentres []DataCentre, costs Costs) Shares {
	elapsed := now.Sub(planner.plannedAt)
	planner.plannedAt = now
	wanted, next := plan(datacentres, costs), Shares{}
	for _, from := range datacentres {
		for _, to := range datacentres {
			current, target := planner.shares[from.Name][to.Name], wanted[from.Name][to.Name]
			constant := riseTime
			if target < current {
				constant = fallTime
			}
			share := current + (target-current)*(1-math.Exp(-elapsed.Seconds()/constant.Seconds()))
			if to.Slots == 0 || to.Age > maxReportAge {
				share = 0 // nobody is there to serve it
			}
			if share >= minShare {
				next.set(from.Name, to.Name, share)
			}
		}
	}
	planner.shares = next
	return next
}

// Reason says why a request is asked for in a data centre first.
type Reason string

// The reasons.
const (
	// ReasonHome means that the request stays with its callers.
	ReasonHome Reason = "home"
	// ReasonShare means that the request is part of a share that leaves.
	ReasonShare Reason = "share"
	// ReasonNoUpstream means that the data centre has no upstream of the service.
	ReasonNoUpstream Reason = "noUpstream"
)

// maxShareAge is how long an entry host uses shares without hearing from the leader.
const maxShareAge = 5 * time.Second

// Orders is what entry hosts of one data centre need to know of the plans.
type Orders struct {
	// Shares are the parts of the requests that go to other data centres, by service and by
	// name.
	Shares map[string]map[string]float64
	// Costs is, by service, the delay that leaving the data centre has to save.
	Costs map[string]time.Duration
}

// Table holds the orders that an entry host received. The zero Table sends nothing away.
type Table struct {
	Orders
	// ReceivedAt is when the leader sent them.
	ReceivedAt time.Time
}

// Choice is how a request looks for an upstream.
type Choice struct {
	Reason Reason
	// Wait is the wait in the first data centre above which others are asked, 0 if that is
	// not known.
	Wait time.Duration
}

// Order sorts the data centres in which a request asks for an upstream. The first is drawn:
// point, which is evenly distributed from 0 to 1, falls into the share of one of the others
// or stays at home. The rest keeps its order, home before the others.
func (table Table) Order(now time.Time, service, home string, datacentres []string, point float64) Choice {
	first, choice := home, Choice{Reason: ReasonHome}
	if now.Sub(table.ReceivedAt) <= maxShareAge {
		choice.Wait = table.Costs[service]
		for _, name := range datacentres {
			if point -= table.Shares[service][name]; name != home && point < 0 {
				first, choice.Reason = name, ReasonShare
				break
			}
		}
	}
	if !slices.Contains(datacentres, home) {
		choice.Reason = ReasonNoUpstream
	}
	rank := func(name string) int {
		switch name {
		case first:
			return 0
		case home:
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(datacentres, func(left, right string) int { return rank(left) - rank(right) })
	return choice
}
