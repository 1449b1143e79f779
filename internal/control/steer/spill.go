package steer

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"damaskcrank.example/damaskcrank/internal/control/spill"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	// spillInterval is the time between two plans of what leaves data centres.
	spillInterval = 400 * time.Millisecond
	// demandTime is the time constant of the average of a service's demand.
	demandTime = 1500 * time.Millisecond
	// pathTime is what the way to another data centre and back takes.
	pathTime = 2 * time.Millisecond
	// unknownWork is the assumed time for a request while none has been measured.
	unknownWork = 150 * time.Millisecond
	// loggedShare is the change of the part that leaves a data centre from which it is logged
	// again.
	loggedShare = 0.1
)

// ServiceDemand is what an entry host's callers asked of a service, without a key, since its
// last poll.
type ServiceDemand struct {
	Requests int
	// Answers and Bytes are the number of answers to them, and the bytes of these.
	Answers int
	Bytes   int64
	// Objective is that of the latest request.
	Objective time.Duration
}

// demand is the average demand for a service in a data centre.
type demand struct {
	// requests, answers and bytes decay exponentially.
	requests, answers, bytes float64
	objective                time.Duration
	decayedAt                time.Time
}

func (demand *demand) decay(now time.Time) {
	factor := math.Exp(-now.Sub(demand.decayedAt).Seconds() / demandTime.Seconds())
	demand.requests *= factor
	demand.answers *= factor
	demand.bytes *= factor
	demand.decayedAt = now
}

// demandID identifies the demand for a service in a data centre.
type demandID struct{ service, dataCentre string }

// spillTable plans which part of the requests without a key leaves its data centre. The zero
// spillTable knows no demand.
type spillTable struct {
	demands  map[demandID]*demand
	planners map[string]*spill.Planner
	// shares are the current plans by service, and costs what leaving a data centre has to
	// save.
	shares    map[string]spill.Shares
	costs     map[string]time.Duration
	plannedAt time.Time
	// logged is the part that left each data centre when it was last logged.
	logged map[demandID]float64
}

// add adds the demand that an entry host reports.
func (spilltable *spillTable) add(now time.Time, dataCentre string, reported map[string]ServiceDemand) {
	if spilltable.demands == nil {
		spilltable.demands = map[demandID]*demand{}
	}
	for service, servicedemand := range reported {
		id := demandID{service: service, dataCentre: dataCentre}
		known, ok := spilltable.demands[id]
		if !ok {
			known = &demand{decayedAt: now}
			spilltable.demands[id] = known
		}
		known.decay(now)
		known.requests += float64(max(0, servicedemand.Requests))
		known.answers += float64(max(0, servicedemand.Answers))
		known.bytes += float64(max(0, servicedemand.Bytes))
		if servicedemand.Objective > 0 {
			known.objective = servicedemand.Objective
		}
	}
}

// ordersFor returns what the entry hosts of a data centre need to know of the plans.
func (spilltable *spillTable) ordersFor(dataCentre string) *spill.Orders {
	orders := &spill.Orders{Shares: map[string]map[string]float64{}, Costs: spilltable.costs}
	for service, shares := range spilltable.shares {
		if len(shares[dataCentre]) > 0 {
			orders.Shares[service] = shares[dataCentre]
		}
	}
	return orders
}

// due reports whether a plan is due, and entry hosts report their demand.
func (spilltable *spillTable) due(now time.Time) bool {
	return len(spilltable.demands) > 0 && now.Sub(spilltable.plannedAt) >= spillInterval
}

// updateSpill plans what leaves the data centres, if a plan is due and entry hosts report their
// demand.
func (coordinator *Coordinator) updateSpill(catalog *state.Catalog) {
	now := coordinator.clock.Now()
	coordinator.mutex.Lock()
	due := coordinator.spill.due(now)
	coordinator.mutex.Unlock()
	if !due {
		return
	}
	silences := map[string]time.Duration{}
	for _, instance := range catalog.Instances {
		silences[instance.ID] = coordinator.holds.silence(instance.Owner(), now)
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	table := &coordinator.spill
	table.plannedAt = now
	if table.planners == nil {
		table.planners, table.logged = map[string]*spill.Planner{}, map[demandID]float64{}
	}
	table.shares, table.costs = map[string]spill.Shares{}, map[string]time.Duration{}
	for name, service := range catalog.View().Services() {
		if service.Keyed {
			continue
		}
		planner, ok := table.planners[name]
		if !ok {
			planner = &spill.Planner{}
			table.planners[name] = planner
		}
		datacentres, costs := coordinator.spillInputs(catalog, name, silences, now)
		table.shares[name] = planner.Update(now, datacentres, costs)
		table.costs[name] = costs.Total().Round(time.Millisecond)
		coordinator.logSpill(name, datacentres, costs)
	}
}

// spillInputs collects what is known of a service in each data centre, and what it costs to
// leave one.
func (coordinator *Coordinator) spillInputs(catalog *state.Catalog, service string, silences map[string]time.Duration, now time.Time) ([]spill.DataCentre, spill.Costs) {
	byName := map[string]*spill.DataCentre{}
	get := func(name string) *spill.DataCentre {
		if byName[name] == nil {
			byName[name] = &spill.DataCentre{Name: name, Age: time.Hour}
		}
		return byName[name]
	}
	works := map[string]time.Duration{}
	for _, instance := range catalog.InstancesOf(service) {
		datacentre := get(instance.DataCentre)
		silence := silences[instance.ID]
		datacentre.Age = min(datacentre.Age, silence)
		if !catalog.Schedulable(instance) || instance.Silent || instance.Cold || coordinator.health.avoided(instance.ID, now) {
			continue
		}
		datacentre.Slots += max(1, instance.Slots)
		works[instance.DataCentre] += time.Duration(max(1, instance.Slots)) * coordinator.health.work(instance.ID)
	}
	costs := spill.Costs{Path: pathTime, PerKilobyte: coordinator.ByteCost}
	answers, bytes := 0.0, 0.0
	for id, known := range coordinator.spill.demands {
		if id.service != service {
			continue
		}
		known.decay(now)
		get(id.dataCentre).Demand = known.requests / demandTime.Seconds()
		answers, bytes = answers+known.answers, bytes+known.bytes
		costs.Objective = max(costs.Objective, known.objective)
	}
	if answers > 0 {
		costs.Bytes = bytes / answers
	}
	var datacentres []spill.DataCentre
	for name, datacentre := range byName {
		if datacentre.Slots > 0 {
			datacentre.Work = works[name] / time.Duration(datacentre.Slots)
		}
		datacentres = append(datacentres, *datacentre)
	}
	slices.SortFunc(datacentres, func(left, right spill.DataCentre) int { return strings.Compare(left.Name, right.Name) })
	return datacentres, costs
}

// logSpill logs each data centre whose requests leave in a part that has changed much.
func (coordinator *Coordinator) logSpill(service string, datacentres []spill.DataCentre, costs spill.Costs) {
	table := &coordinator.spill
	for _, datacentre := range datacentres {
		id := demandID{service: service, dataCentre: datacentre.Name}
		away := table.shares[service].Away(datacentre.Name)
		if math.Abs(away-table.logged[id]) < loggedShare && (away > 0) == (table.logged[id] > 0) {
			continue
		}
		table.logged[id] = away
		coordinator.log.WithFields(log.Fields{
			"service": service, "dataCentre": datacentre.Name, "away": away, "to": table.shares[service][datacentre.Name],
			"perSecond": datacentre.Demand, "slots": datacentre.Slots, "work": datacentre.Work.String(),
			"reportAge": datacentre.Age.String(), "answerBytes": costs.Bytes, "objective": costs.Objective.String(),
		}).Info(logPrefix + "the part of a data centre's requests that goes to others changed")
	}
}
