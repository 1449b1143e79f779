package state

import (
	"fmt"
	"maps"
	"slices"

	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/spec"
)

// maxHistory is the number of record changes that a catalog keeps.
const maxHistory = 1000

// Catalog is the state that is replicated to every host. A catalog is immutable:
// Apply returns a new one that shares the unchanged parts, so that readers need
// no lock. The zero Catalog is empty.
type Catalog struct {
	// Index is the log index of the last command applied or skipped.
	Index      uint64
	Records    map[spec.ID]spec.Record
	History    []Change
	Sessions   map[string]Session
	Shards     map[ShardID]Shard
	Upstreams  map[UpstreamID]Upstream
	Losses     map[UpstreamID]Loss
	Tables     map[string]Table
	Quarantine map[string]Suspect

	// The fields below are used by fleets whose entry hosts send requests directly
	// to upstreams.

	Items items.Set
	// Evacuated maps each data centre whose upstreams receive no new work to the
	// log index at which its evacuation began.
	Evacuated map[string]uint64
	Instances map[string]Instance
	Spans     map[string]spans.Table
	Entries   map[string]Entry
	// ControlHosts holds the control hosts by their peer addresses.
	ControlHosts map[string]ControlHost
	// Rollouts holds the latest rollout of each service. Snapshots without any are encoded as
	// those of versions that have no rollouts.
	Rollouts map[string]Rollout `cbor:"Rollouts,omitempty"`

	specs specs
	view  *items.View
}

// Service returns a service's specification.
func (catalog *Catalog) Service(name string) (spec.Service, bool) {
	service, ok := catalog.specs.services[name]
	return service, ok
}

// Services returns the names of all services, sorted.
func (catalog *Catalog) Services() []string {
	return slices.Sorted(maps.Keys(catalog.specs.services))
}

// Workspace returns a workspace's specification.
func (catalog *Catalog) Workspace(name string) (spec.Workspace, bool) {
	workspace, ok := catalog.specs.workspaces[name]
	return workspace, ok
}

// Workspaces returns the names of all workspaces, sorted.
func (catalog *Catalog) Workspaces() []string {
	return slices.Sorted(maps.Keys(catalog.specs.workspaces))
}

// CallerKey returns the specification of a caller key by its name.
func (catalog *Catalog) CallerKey(name string) (spec.CallerKey, bool) {
	key, ok := catalog.specs.callerKeys[name]
	return key, ok
}

// Rate returns the rate of a workspace.
func (catalog *Catalog) Rate(workspace string) (spec.Rate, bool) {
	rate, ok := catalog.specs.rates[workspace]
	return rate, ok
}

// Policy returns a policy's specification.
func (catalog *Catalog) Policy(name string) (spec.Policy, bool) {
	policy, ok := catalog.specs.policies[name]
	return policy, ok
}

// DataCentreInService reports whether a data centre accepts new work. One
// without a record does.
func (catalog *Catalog) DataCentreInService(name string) bool {
	dataCentre, ok := catalog.specs.dataCentres[name]
	return !ok || dataCentre.InService
}

// UpstreamInService reports whether an upstream accepts new work: neither the
// upstream nor its data centre may have been taken out of service.
func (catalog *Catalog) UpstreamInService(id UpstreamID) bool {
	upstream, ok := catalog.Upstreams[id]
	if !ok || !catalog.DataCentreInService(upstream.DataCentre) {
		return false
	}
	record, ok := catalog.specs.upstreams[id.String()]
	return !ok || record.InService
}

// UpstreamsOf returns the announced upstreams of a service, sorted by name.
func (catalog *Catalog) UpstreamsOf(service string) []Upstream {
	var upstreams []Upstream
	for id, upstream := range catalog.Upstreams {
		if id.Service == service {
			upstreams = append(upstreams, upstream)
		}
	}
	slices.SortFunc(upstreams, func(left, right Upstream) int {
		return compareStrings(left.ID.Name, right.ID.Name)
	})
	return upstreams
}

func compareStrings(left, right string) int {
	switch {
	case left < right:
		return -1
	case left > right:
		return 1
	default:
		return 0
	}
}

// AdvanceTo returns the catalog with its index advanced and nothing else changed.
func (catalog *Catalog) AdvanceTo(index uint64) *Catalog {
	next := *catalog
	next.Index = max(next.Index, index)
	return &next
}

// Apply returns the catalog after the command at index, and the command's result.
func (catalog *Catalog) Apply(index uint64, command Command) (*Catalog, Result) {
	next := *catalog
	next.Index = index
	result := Result{Index: index, Outcome: OutcomeDone}
	if direct, ok := next.applyDirect(index, command); ok {
		return &next, direct
	}
	if rollout, ok := next.applyRollout(index, command); ok {
		return &next, rollout
	}
	switch command := command.(type) {
	case ApplyRecords:
		result = next.applyRecords(index, command)
	case OpenSession:
		next.openSession(index, command)
	case CloseSession:
		next.closeSession(command)
	case DrainSession:
		next.drainSession(command)
	case MoveShards:
		next.moveShards(index, command)
	case ReleaseShards:
		next.releaseShards(index, command)
	case RemoveShards:
		next.removeShards(command)
	case RegisterUpstream:
		next.registerUpstream(index, command)
	case SetUpstreamFull:
		next.setUpstreamFull(command)
	case RemoveUpstream:
		result = next.removeUpstream(index, command)
	case MoveSlots:
		next.moveSlots(index, command)
	case ReleaseSlots:
		result = next.releaseSlots(index, command)
	case RecordSuspect:
		result.Outcome = next.recordSuspect(command)
	case ClearSuspect:
		next.Quarantine = without(next.Quarantine, command.Fingerprint)
	}
	return &next, result
}

// applyRecords stores the records if each version directly follows the current
// one. A version that was accepted before with the same content is a resend.
func (catalog *Catalog) applyRecords(index uint64, command ApplyRecords) Result {
	accepted := 0
	for _, record := range command.Records {
		current, exists := catalog.Records[record.ID()]
		switch {
		case exists && catalog.wasAccepted(record, current):
			continue
		case record.Version != current.Version+1:
			return Result{Index: index, Outcome: OutcomeConflict, Detail: conflictDetail(record, current)}
		}
		if _, err := record.Parse(); err != nil && !record.Deleted {
			return Result{Index: index, Outcome: OutcomeInvalid, Detail: err.Error()}
		}
		accepted++
	}
	if accepted == 0 {
		return Result{Index: index, Outcome: OutcomeResent}
	}
	catalog.storeRecords(index, command)
	return Result{Index: index, Outcome: OutcomeDone}
}

// wasAccepted reports whether this exact version is or was in effect, so that
// resending it after a lost response succeeds.
func (catalog *Catalog) wasAccepted(record, current spec.Record) bool {
	if current.Equal(record) {
		return true
	}
	return record.Version < current.Version && slices.ContainsFunc(catalog.History, func(change Change) bool {
		return change.Record.Equal(record)
	})
}

func conflictDetail(record, current spec.Record) string {
	if record.Version == current.Version {
		return fmt.Sprintf("%s version %d is in force with other content", record.ID(), record.Version)
	}
	return fmt.Sprintf("%s version %d is in force, so the next is %d and not %d",
		record.ID(), current.Version, current.Version+1, record.Version)
}

func (catalog *Catalog) storeRecords(index uint64, command ApplyRecords) {
	records := maps.Clone(catalog.Records)
	if records == nil {
		records = map[spec.ID]spec.Record{}
	}
	history := slices.Clone(catalog.History)
	for _, record := range command.Records {
		if current, exists := records[record.ID()]; exists && catalog.wasAccepted(record, current) {
			continue
		}
		records[record.ID()] = record
		history = append(history, Change{Index: index, At: command.At, Operator: command.Operator, Record: record})
	}
	if len(history) > maxHistory {
		history = slices.Clone(history[len(history)-maxHistory:])
	}
	catalog.Records = records
	catalog.History = history
	catalog.specs = catalog.specs.updated(command.Records, records)
	catalog.createTables()
}

// parseRecords builds the typed view of all records and creates an ownership
// table for each service whose keys are partitioned.
func (catalog *Catalog) parseRecords() {
	catalog.specs = specs{}.updated(slices.Collect(maps.Values(catalog.Records)), catalog.Records)
	catalog.createTables()
}

// createTables creates the ownership tables of new services. The number of
// partitions is fixed once a table exists, since changing it would move every
// key at once.
func (catalog *Catalog) createTables() {
	for name, service := range catalog.specs.services {
		if _, ok := catalog.Tables[name]; !ok && service.Partitions > 0 {
			catalog.Tables = with(catalog.Tables, name, Table{Partitions: make([]Owner, service.Partitions)})
		}
	}
}

// with returns a copy of the map with the key set to the value.
func with[K comparable, V any](values map[K]V, key K, value V) map[K]V {
	next := make(map[K]V, len(values)+1)
	maps.Copy(next, values)
	next[key] = value
	return next
}

// without returns the map without the key, as a copy if the key is present.
func without[K comparable, V any](values map[K]V, key K) map[K]V {
	if _, ok := values[key]; !ok {
		return values
	}
	next := maps.Clone(values)
	delete(next, key)
	return next
}
