package state

import (
	"maps"

	"damaskcrank.example/damaskcrank/internal/control/spec"
)

// specs holds the parsed records by kind. Like a catalog it is immutable: updated
// returns a new value that shares the unchanged maps.
type specs struct {
	services    map[string]spec.Service
	workspaces  map[string]spec.Workspace
	callerKeys  map[string]spec.CallerKey
	rates       map[string]spec.Rate
	policies    map[string]spec.Policy
	dataCentres map[string]spec.DataCentre
	upstreams   map[string]spec.Upstream
}

// updated returns the specifications after the changed records were stored; all
// holds the current records.
func (specs specs) updated(changed []spec.Record, all map[spec.ID]spec.Record) specs {
	kinds := map[spec.Kind]bool{}
	for _, record := range changed {
		kinds[record.Kind] = true
	}
	next := specs
	next.services = cloneIf(kinds[spec.KindService], next.services)
	next.workspaces = cloneIf(kinds[spec.KindWorkspace], next.workspaces)
	next.callerKeys = cloneIf(kinds[spec.KindCallerKey], next.callerKeys)
	next.policies = cloneIf(kinds[spec.KindPolicy], next.policies)
	next.dataCentres = cloneIf(kinds[spec.KindDataCentre], next.dataCentres)
	next.upstreams = cloneIf(kinds[spec.KindUpstream], next.upstreams)
	for _, record := range changed {
		next.remove(record.ID())
		if current := all[record.ID()]; !current.Deleted {
			next.add(current)
		}
	}
	if kinds[spec.KindRate] {
		next.rates = strictestRates(all)
	}
	return next
}

// cloneIf returns a copy that may be modified if the kind has changed, and the map
// itself otherwise.
func cloneIf[V any](changed bool, values map[string]V) map[string]V {
	if !changed {
		return values
	}
	if values == nil {
		return map[string]V{}
	}
	return maps.Clone(values)
}

func (specs *specs) remove(id spec.ID) {
	switch id.Kind {
	case spec.KindService:
		delete(specs.services, id.Name)
	case spec.KindWorkspace:
		delete(specs.workspaces, id.Name)
	case spec.KindCallerKey:
		delete(specs.callerKeys, id.Name)
	case spec.KindPolicy:
		delete(specs.policies, id.Name)
	case spec.KindDataCentre:
		delete(specs.dataCentres, id.Name)
	case spec.KindUpstream:
		delete(specs.upstreams, id.Name)
	case spec.KindRate:
	}
}

// add adds a record. Rates are handled by strictestRates.
func (specs *specs) add(record spec.Record) {
	content, err := record.Parse()
	if err != nil {
		return
	}
	switch content := content.(type) {
	case spec.Service:
		specs.services[content.Name] = content
	case spec.Workspace:
		specs.workspaces[content.Name] = content
	case spec.CallerKey:
		specs.callerKeys[content.Name] = content
	case spec.Policy:
		specs.policies[content.Name] = content
	case spec.DataCentre:
		specs.dataCentres[content.Name] = content
	case spec.Upstream:
		specs.upstreams[content.Name] = content
	case spec.Rate:
	}
}

// strictestRates returns the rates by workspace. If a workspace has several, the
// strictest one applies.
func strictestRates(all map[spec.ID]spec.Record) map[string]spec.Rate {
	rates := map[string]spec.Rate{}
	for id, record := range all {
		if id.Kind != spec.KindRate || record.Deleted {
			continue
		}
		content, err := record.Parse()
		rate, ok := content.(spec.Rate)
		if err != nil || !ok {
			continue
		}
		current, exists := rates[rate.Workspace]
		if !exists || stricter(rate, current) {
			rates[rate.Workspace] = rate
		}
	}
	return rates
}

func stricter(left, right spec.Rate) bool {
	if left.PerSecond != right.PerSecond {
		return left.PerSecond < right.PerSecond
	}
	return left.Name < right.Name
}
