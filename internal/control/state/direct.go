package state

import (
	"maps"
	"net/netip"
	"strings"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// Instance is one incarnation of an upstream that announces itself by heartbeats.
type Instance struct {
	ID string
	// Born is the start time of this incarnation in Unix milliseconds.
	Born       int64
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Version    string
	Slots      int
	Draining   bool
	// Cold is set while the upstream is not warmed up and can handle few requests only.
	Cold bool
	// Silent is set when the upstream has sent no heartbeat for a while.
	Silent bool
}

// Owner returns the identity under which the instance owns keys.
func (instance Instance) Owner() spans.Owner {
	return spans.Owner{ID: instance.ID, Born: instance.Born}
}

// Entry is an entry host that polls the control leader.
type Entry struct {
	Name       string
	DataCentre string
	// Peer is the address where the host accepts links from other entry hosts.
	Peer netip.AddrPort
	// Draining is set while the host shuts down.
	Draining bool
	// Link is the bandwidth of the host's connection to the network in Mbit/s, 0 if it is
	// unknown. It is left out then, so that entries are encoded as by the previous version.
	Link float64 `cbor:"Link,omitempty"`
}

// ControlHost is a control host and its data centre.
type ControlHost struct {
	Address    netip.AddrPort
	DataCentre string
}

// RegisterControlHost registers a control host.
type RegisterControlHost struct{ ControlHost ControlHost }

// PutItems stores versions of configuration items atomically. It judges changed routes and
// the keys of workspaces only.
type PutItems struct{ Items []items.Item }

// ChangeItems is like PutItems, but judges the configuration as a whole where it is applied,
// see items.Set.MergeChecked.
type ChangeItems struct{ Items []items.Item }

// encodeForFollowers returns the command that followers of the catalog need, which may be of a
// version that does not know ChangeItems: what was accepted needs no second judgement. It is
// nil if nothing changed.
func (changeitems ChangeItems) encodeForFollowers(result Result) ([]byte, error) {
	if result.Outcome != OutcomeDone {
		return nil, nil
	}
	return EncodeCommand(PutItems(changeitems))
}

// EvacuateDataCentre starts or ends the evacuation of a data centre. Its upstreams
// receive no new work meanwhile.
type EvacuateDataCentre struct {
	Name      string
	Evacuated bool
}

// RegisterInstance registers an upstream that announced itself or updates it.
type RegisterInstance struct{ Instance Instance }

// MarkSilent marks upstreams that have sent no heartbeat for a while. It changes
// nothing else, so that it can't overwrite a concurrently committed update.
type MarkSilent struct{ Owners []spans.Owner }

// MarkDraining marks upstreams that told an entry host that they leave. Like MarkSilent it
// changes nothing else.
type MarkDraining struct{ Owners []spans.Owner }

// RemoveInstances removes upstreams that are gone.
type RemoveInstances struct{ Owners []spans.Owner }

// ChangeSpans changes the ownership of keys. It is stale unless the table is
// still at version Base.
type ChangeSpans struct {
	Service string
	Base    uint64
	Changes []spans.Change
}

// RegisterEntry registers an entry host or updates it.
type RegisterEntry struct{ Entry Entry }

// RemoveEntries removes entry hosts that are gone.
type RemoveEntries struct{ Names []string }

const (
	kindPutItems            commandKind = "putItems"
	kindChangeItems         commandKind = "changeItems"
	kindEvacuateDataCentre  commandKind = "evacuateDataCentre"
	kindRegisterInstance    commandKind = "seeInstance"
	kindMarkSilent          commandKind = "markSilent"
	kindMarkDraining        commandKind = "markDraining"
	kindRemoveInstances     commandKind = "forgetInstances"
	kindChangeSpans         commandKind = "changeSpans"
	kindRegisterEntry       commandKind = "seeEntry"
	kindRemoveEntries       commandKind = "forgetEntries"
	kindRegisterControlHost commandKind = "seeControlHost"
)

func (PutItems) kind() commandKind            { return kindPutItems }
func (ChangeItems) kind() commandKind         { return kindChangeItems }
func (EvacuateDataCentre) kind() commandKind  { return kindEvacuateDataCentre }
func (RegisterInstance) kind() commandKind    { return kindRegisterInstance }
func (MarkSilent) kind() commandKind          { return kindMarkSilent }
func (MarkDraining) kind() commandKind        { return kindMarkDraining }
func (RemoveInstances) kind() commandKind     { return kindRemoveInstances }
func (ChangeSpans) kind() commandKind         { return kindChangeSpans }
func (RegisterEntry) kind() commandKind       { return kindRegisterEntry }
func (RemoveEntries) kind() commandKind       { return kindRemoveEntries }
func (RegisterControlHost) kind() commandKind { return kindRegisterControlHost }

// IsEvacuation reports whether an encoded command starts or ends an evacuation.
func IsEvacuation(command []byte) bool {
	var tagged taggedCommand
	return codec.Unmarshal(command, &tagged) == nil && tagged.Kind == kindEvacuateDataCentre
}

// ItemsOf returns the changes of the configuration that an encoded command holds, and reports
// whether it is PutItems.
func ItemsOf(command []byte) ([]items.Item, bool) {
	var tagged taggedCommand
	var putitems PutItems
	isItems := codec.Unmarshal(command, &tagged) == nil && tagged.Kind == kindPutItems &&
		codec.Unmarshal(tagged.Body, &putitems) == nil
	return putitems.Items, isItems
}

// Checked returns an encoded PutItems as ChangeItems, and other commands as they are.
func Checked(command []byte) ([]byte, error) {
	var tagged taggedCommand
	if codec.Unmarshal(command, &tagged) != nil || tagged.Kind != kindPutItems {
		return command, nil
	}
	tagged.Kind = kindChangeItems
	data, err := codec.Marshal(tagged)
	if err != nil {
		return nil, Error.New("encode %s: %w", tagged.Kind, err)
	}
	return data, nil
}

// applyDirect applies the commands of fleets whose entry hosts send requests
// directly to upstreams, and reports whether the command was one of them.
func (catalog *Catalog) applyDirect(index uint64, command Command) (Result, bool) {
	done := Result{Index: index, Outcome: OutcomeDone}
	switch command := command.(type) {
	case PutItems, ChangeItems:
		return catalog.applyItems(index, command), true
	case EvacuateDataCentre:
		if command.Evacuated {
			if _, already := catalog.Evacuated[command.Name]; !already {
				catalog.Evacuated = with(catalog.Evacuated, command.Name, index)
			}
		} else {
			catalog.endEvacuation(command.Name)
		}
	case RegisterInstance:
		catalog.registerInstance(command.Instance)
	case MarkSilent:
		catalog.mark(command.Owners, func(instance *Instance) { instance.Silent = true })
	case MarkDraining:
		catalog.mark(command.Owners, func(instance *Instance) { instance.Draining = true })
	case RemoveInstances:
		for _, owner := range command.Owners {
			if catalog.Instances[owner.ID].Born == owner.Born {
				catalog.Instances = without(catalog.Instances, owner.ID)
			}
		}
	case ChangeSpans:
		return catalog.changeSpans(index, command), true
	case RegisterEntry:
		catalog.Entries = with(catalog.Entries, command.Entry.Name, command.Entry)
	case RemoveEntries:
		for _, name := range command.Names {
			catalog.Entries = without(catalog.Entries, name)
		}
	case UpdateSuspects:
		catalog.updateSuspects(command)
	case RegisterControlHost:
		catalog.ControlHosts = with(catalog.ControlHosts, command.ControlHost.Address.String(), command.ControlHost)
	default:
		return Result{}, false
	}
	return done, true
}

// endEvacuation lets a data centre's upstreams receive work again. They may have
// gone cold while idle, so they count as cold until they report otherwise.
func (catalog *Catalog) endEvacuation(name string) {
	if _, evacuated := catalog.Evacuated[name]; !evacuated {
		return
	}
	catalog.Evacuated = without(catalog.Evacuated, name)
	catalog.Instances = maps.Clone(catalog.Instances)
	for id, instance := range catalog.Instances {
		if instance.DataCentre == name {
			instance.Cold = true
			catalog.Instances[id] = instance
		}
	}
}

// applyItems applies a PutItems or ChangeItems.
func (catalog *Catalog) applyItems(index uint64, command Command) Result {
	var set items.Set
	var outcome items.Outcome
	var err error
	switch command := command.(type) {
	case PutItems:
		set, outcome, err = catalog.Items.Merge(command.Items)
	case ChangeItems:
		set, outcome, err = catalog.Items.MergeChecked(command.Items)
	}
	result := Result{Index: index}
	switch outcome {
	case items.OutcomeDone:
		result.Outcome = OutcomeDone
		catalog.Items = set
		catalog.view = set.View()
	case items.OutcomeResent:
		result.Outcome = OutcomeResent
	case items.OutcomeConflict:
		result.Outcome = OutcomeConflict
	case items.OutcomeInvalid:
		result.Outcome = OutcomeInvalid
	case items.OutcomeTooLarge:
		result.Outcome = OutcomeTooLarge
	}
	if err != nil {
		result.Detail = shortenDetail(err.Error())
	}
	return result
}

// maxDetailBytes bounds the text of a result, which is kept for repeats of its proposal.
const maxDetailBytes = 256

// shortenDetail bounds the text of a result, which may quote names of any length.
func shortenDetail(text string) string {
	if len(text) <= maxDetailBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxDetailBytes-len("...")], "") + "..."
}

// mark changes instances that are still the given processes.
func (catalog *Catalog) mark(owners []spans.Owner, change func(instance *Instance)) {
	catalog.Instances = maps.Clone(catalog.Instances)
	for _, owner := range owners {
		if instance, ok := catalog.Instances[owner.ID]; ok && instance.Born == owner.Born {
			change(&instance)
			catalog.Instances[owner.ID] = instance
		}
	}
}

// registerInstance adds or updates an instance. It replaces an older incarnation
// of the same upstream and any older upstream at the same address. An incarnation
// never stops draining: a heartbeat received before draining began may be
// committed afterwards, and must not undo it.
func (catalog *Catalog) registerInstance(instance Instance) {
	current, ok := catalog.Instances[instance.ID]
	if ok && current.Born > instance.Born {
		return
	}
	if ok && current.Born == instance.Born && current.Draining {
		instance.Draining = true
	}
	next := with(catalog.Instances, instance.ID, instance)
	for id, other := range next {
		if id != instance.ID && other.Address == instance.Address && other.Born < instance.Born {
			delete(next, id)
		}
	}
	catalog.Instances = next
}

func (catalog *Catalog) changeSpans(index uint64, command ChangeSpans) Result {
	table := catalog.Spans[command.Service]
	if table.Version != command.Base {
		return Result{Index: index, Outcome: OutcomeStale}
	}
	next, err := table.Apply(index, command.Changes)
	if err != nil {
		return Result{Index: index, Outcome: OutcomeInvalid, Detail: err.Error()}
	}
	catalog.Spans = with(catalog.Spans, command.Service, next)
	return Result{Index: index, Outcome: OutcomeDone}
}

// View returns the lookup view of the current configuration items.
func (catalog *Catalog) View() *items.View {
	if catalog.view == nil {
		return items.Set{}.View()
	}
	return catalog.view
}

// InstancesOf returns the instances of a service.
func (catalog *Catalog) InstancesOf(service string) []Instance {
	var instances []Instance
	for _, instance := range catalog.Instances {
		if instance.Service == service {
			instances = append(instances, instance)
		}
	}
	return instances
}

// Schedulable reports whether an instance may receive new work: it is not draining
// and its data centre is not evacuated.
func (catalog *Catalog) Schedulable(instance Instance) bool {
	_, evacuated := catalog.Evacuated[instance.DataCentre]
	return !instance.Draining && !evacuated
}

// IsActive reports whether a process of an upstream is registered and does not drain.
func (catalog *Catalog) IsActive(owner spans.Owner) bool {
	instance, present := catalog.Instances[owner.ID]
	return present && instance.Born == owner.Born && !instance.Draining
}
