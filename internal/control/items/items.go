// Package items holds the routing configuration: named items, each with its own
// version. For each kind and name the highest version is in force, whether it sets
// the item or deletes it.
package items

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("items")

// Kind is a kind of item.
type Kind string

// The kinds of items.
const (
	KindRoute     Kind = "route"
	KindWorkspace Kind = "workspace"
	KindService   Kind = "service"
	KindLimits    Kind = "limits"
)

// WeightedService is the weight of a service in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route directs requests with a matching host and path prefix to services.
type Route struct {
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration
	// Goal is the target latency: the time within which an answer is worth most.
	Goal time.Duration
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int
	Split    []WeightedService
	// Attempts is the maximum number of upstreams that one request may be sent to.
	Attempts int
	// Public routes need no caller key.
	Public bool
}

// Workspace is a group of callers with its caller keys and its rate limit.
type Workspace struct {
	Keys     []string
	Priority int
	// PerSecond and Burst limit the workspace's requests over all hosts. A rate of 0
	// is no limit.
	PerSecond float64
	Burst     float64
}

// Service describes the upstreams of one service.
type Service struct {
	HealthPath string
	// Connections is the number of connections that one upstream accepts from all
	// hosts together.
	Connections int
	// ColdFor is the duration of an upstream's warm-up after its start, during which it
	// counts as cold.
	ColdFor time.Duration
	// ColdPerSecond is the number of requests per second, from all hosts together, that
	// a cold upstream can handle.
	ColdPerSecond float64
	// Keyed services are partitioned by key.
	Keyed bool
}

// Limits bound the sizes and times of callers' requests.
type Limits struct {
	HeadBytes   int
	BodyBytes   int64
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

// Item is one version of a named item. Only the field of its kind is set, and none
// if the version deletes the item.
type Item struct {
	Kind    Kind
	Name    string
	Version uint64
	Deleted bool
	// Source is the item as written by its operator, in canonical form.
	Source    []byte
	Route     *Route
	Workspace *Workspace
	Service   *Service
	Limits    *Limits
}

func (item Item) key() string { return string(item.Kind) + "/" + item.Name }

// DeletesService reports whether the item deletes a service.
func (item Item) DeletesService() bool { return item.Kind == KindService && item.Deleted }

// equal reports whether two items of the same version have the same content.
func (item Item) equal(other Item) bool {
	return item.Deleted == other.Deleted && bytes.Equal(item.Source, other.Source)
}

// validate checks the item without regard to other items.
func (item Item) validate() error {
	switch {
	case item.Name == "" && item.Kind != KindLimits:
		return Error.New("a %s has no name", item.Kind)
	case item.Deleted:
		return nil
	case item.Route != nil:
		return item.Route.validate(item.Name)
	case item.Workspace == nil && item.Service == nil && item.Limits == nil:
		return Error.New("%s %q has no content", item.Kind, item.Name)
	}
	return nil
}

func (route *Route) validate(name string) error {
	total := 0.0
	for _, weightedservice := range route.Split {
		if weightedservice.Weight < 0 {
			return Error.New("route %q: the weight of service %q is negative", name, weightedservice.Service)
		}
		total += weightedservice.Weight
	}
	switch {
	case total <= 0:
		return Error.New("route %q: no service has a positive weight", name)
	case route.Timeout <= 0:
		return Error.New("route %q: the timeout must be positive", name)
	case route.Attempts <= 0:
		return Error.New("route %q: the number of attempts must be positive", name)
	}
	return nil
}

// Set is a configuration. It is immutable: Merge returns a new one.
type Set struct {
	// Items also holds deleted items, so that older versions of them have no effect.
	Items map[string]Item
}

// Outcome is the result of merging changes.
type Outcome string

// The outcomes of Merge.
const (
	OutcomeDone     Outcome = "done"
	OutcomeResent   Outcome = "resent"
	OutcomeConflict Outcome = "conflict"
	OutcomeInvalid  Outcome = "invalid"
	OutcomeTooLarge Outcome = "tooLarge"
)

// MaxBytes bounds the size of a configuration, which control hosts hold in memory several
// times. All members must apply the same bound: another one needs a format of the log.
const MaxBytes = 4 << 20

// Merge returns the set with either all of the changes or none. Changes with a
// version at or below the present one have no effect, but different content under
// the present version is a conflict.
func (set Set) Merge(changes []Item) (Set, Outcome, error) {
	next := Set{Items: maps.Clone(set.Items)}
	if next.Items == nil {
		next.Items = map[string]Item{}
	}
	changed := map[string]bool{}
	for _, change := range changes {
		if err := change.validate(); err != nil {
			return set, OutcomeInvalid, err
		}
		present, exists := next.Items[change.key()]
		switch {
		case !exists || change.Version > present.Version:
			next.Items[change.key()] = change
			changed[change.key()] = true
		case change.Version == present.Version && !change.equal(present):
			return set, OutcomeConflict, Error.New("%s %q version %d already exists with different content",
				change.Kind, change.Name, change.Version)
		}
	}
	if len(changed) == 0 {
		return set, OutcomeResent, nil
	}
	if err := next.validate(changed); err != nil {
		return set, OutcomeInvalid, err
	}
	return next, OutcomeDone, nil
}

// MergeChecked is like Merge, but judges the configuration as a whole, too. It refuses changes
// that delete a service which a route still names, and those that let the set grow beyond
// MaxBytes.
func (set Set) MergeChecked(changes []Item) (Set, Outcome, error) {
	next, outcome, err := set.Merge(changes)
	if outcome != OutcomeDone {
		return next, outcome, err
	}
	if err := next.findOrphan(changes); err != nil {
		return set, OutcomeInvalid, err
	}
	if size := next.size(); size > MaxBytes && size > set.size() {
		return set, OutcomeTooLarge, Error.New("the configuration would take more than %d bytes", MaxBytes)
	}
	return next, OutcomeDone, nil
}

// Trim returns the changes that may have an effect on the set or on any later one: those
// above the present version, and those that conflict with it. It returns an error if any
// change is invalid by itself.
func (set Set) Trim(changes []Item) ([]Item, error) {
	var trimmed []Item
	for _, change := range changes {
		if err := change.validate(); err != nil {
			return nil, err
		}
		present, exists := set.Items[change.key()]
		if !exists || change.Version > present.Version || change.Version == present.Version && !change.equal(present) {
			trimmed = append(trimmed, change)
		}
	}
	return trimmed, nil
}

// itemBytes is the size in bytes of what an item takes beyond its name and its source.
const itemBytes = 64

// size returns about how many bytes an item takes when it is encoded.
func (item Item) size() int { return itemBytes + len(item.Name) + len(item.Source) }

// ExceedsMaxBytes reports whether the items alone are longer than a configuration may be.
func ExceedsMaxBytes(changes []Item) bool {
	size := 0
	for _, item := range changes {
		size += item.size()
	}
	return size > MaxBytes
}

// size returns about how many bytes the set takes when it is encoded.
func (set Set) size() int {
	size := 0
	for _, item := range set.Items {
		size += item.size()
	}
	return size
}

// validate checks the references between items: no caller key may belong to two
// workspaces, and changed routes may name known services only.
func (set Set) validate(changed map[string]bool) error {
	keyOwners := map[string]string{}
	for _, key := range slices.Sorted(maps.Keys(set.Items)) {
		item := set.Items[key]
		if item.Deleted {
			continue
		}
		if item.Workspace != nil {
			for _, callerKey := range item.Workspace.Keys {
				if owner, taken := keyOwners[callerKey]; taken && owner != item.Name {
					return Error.New("workspaces %q and %q have a caller key in common", owner, item.Name)
				}
				keyOwners[callerKey] = item.Name
			}
		}
		if item.Route == nil || !changed[key] {
			continue
		}
		for _, weightedservice := range item.Route.Split {
			if _, ok := set.Service(weightedservice.Service); !ok {
				return Error.New("route %q refers to unknown service %q", item.Name, weightedservice.Service)
			}
		}
	}
	return nil
}

// findOrphan returns an error if a route names a service that the changes, which the set
// includes, delete.
func (set Set) findOrphan(changes []Item) error {
	for _, change := range changes {
		if !change.DeletesService() {
			continue
		}
		if _, ok := set.Service(change.Name); ok {
			continue
		}
		if route, ok := set.routeTo(change.Name); ok {
			return Error.New("route %q refers to service %q, which is to be deleted", route, change.Name)
		}
	}
	return nil
}

// routeTo returns the name of a route to the service, if there is one.
func (set Set) routeTo(service string) (name string, ok bool) {
	for _, key := range slices.Sorted(maps.Keys(set.Items)) {
		item := set.Items[key]
		names := func(weightedservice WeightedService) bool { return weightedservice.Service == service }
		if item.Route != nil && slices.ContainsFunc(item.Route.Split, names) {
			return item.Name, true
		}
	}
	return "", false
}

// Service returns the service with the name, if it is in force.
func (set Set) Service(name string) (Service, bool) {
	item, ok := set.Items[string(KindService)+"/"+name]
	if !ok || item.Service == nil {
		return Service{}, false
	}
	return *item.Service, true
}

// Active returns the items that are not deleted, sorted by kind and name.
func (set Set) Active() []Item {
	var items []Item
	for _, key := range slices.Sorted(maps.Keys(set.Items)) {
		if item := set.Items[key]; !item.Deleted {
			items = append(items, item)
		}
	}
	return items
}
