// Package items holds the routing configuration: named items that each have a
// version of their own. For each name the highest version counts, whether it
// sets the item or drops it.
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

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route says where requests go whose host and path match.
type Route struct {
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Goal is the time within which an answer is worth most.
	Goal time.Duration
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int
	Split    []Share
	// Attempts is the number of upstreams that one request may be sent to.
	Attempts int
	// Public routes need no caller key.
	Public bool
}

// Workspace is a group of callers with its caller keys and its rate.
type Workspace struct {
	Keys     []string
	Priority int
	// PerSecond and Burst bound the workspace's requests over all hosts. A rate
	// of 0 is no bound.
	PerSecond float64
	Burst     float64
}

// Service describes the upstreams of one service.
type Service struct {
	HealthPath string
	// Connections is what one upstream accepts from all hosts together.
	Connections int
	// ColdFor is how long an upstream stays cold after its start.
	ColdFor time.Duration
	// ColdPerSecond is the number of requests per second that a cold upstream
	// bears from all hosts together.
	ColdPerSecond float64
	// Keyed services are divided by key.
	Keyed bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeadBytes   int
	BodyBytes   int64
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

// Item is one version of a named item. Exactly the field of its kind is set,
// none where the version drops the item.
type Item struct {
	Kind    Kind
	Name    string
	Version uint64
	Deleted bool
	// Source is the item as its operator wrote it, in a canonical form.
	Source    []byte
	Route     *Route
	Workspace *Workspace
	Service   *Service
	Limits    *Limits
}

func (item Item) key() string { return string(item.Kind) + "/" + item.Name }

// same tells whether two items of one version say the same.
func (item Item) same(other Item) bool {
	return item.Deleted == other.Deleted && bytes.Equal(item.Source, other.Source)
}

// check returns what is wrong with the item by itself.
func (item Item) check() error {
	switch {
	case item.Name == "" && item.Kind != KindLimits:
		return Error.New("a %s has no name", item.Kind)
	case item.Deleted:
		return nil
	case item.Route != nil:
		return item.Route.check(item.Name)
	case item.Workspace == nil && item.Service == nil && item.Limits == nil:
		return Error.New("%s %q has no content", item.Kind, item.Name)
	}
	return nil
}

func (route *Route) check(name string) error {
	total := 0.0
	for _, share := range route.Split {
		if share.Weight < 0 {
			return Error.New("route %q: the weight of service %q is below 0", name, share.Service)
		}
		total += share.Weight
	}
	switch {
	case total <= 0:
		return Error.New("route %q: no service has a weight", name)
	case route.Timeout <= 0:
		return Error.New("route %q: the timeout must be above 0", name)
	case route.Attempts <= 0:
		return Error.New("route %q: the attempts must be above 0", name)
	}
	return nil
}

// Set is a configuration. It never changes: Merge returns a new one.
type Set struct {
	// Items holds dropped items too, so that older versions stay without effect.
	Items map[string]Item
}

// Verdict says what became of a change.
type Verdict string

// The verdicts on changes.
const (
	VerdictDone     Verdict = "done"
	VerdictResent   Verdict = "resent"
	VerdictConflict Verdict = "conflict"
	VerdictInvalid  Verdict = "invalid"
)

// Merge returns the set with the changes, all or none. Versions at or below the
// present one change nothing; one that differs from the present content under
// the same version is a conflict.
func (set Set) Merge(changes []Item) (Set, Verdict, error) {
	next := Set{Items: maps.Clone(set.Items)}
	if next.Items == nil {
		next.Items = map[string]Item{}
	}
	fresh := map[string]bool{}
	for _, change := range changes {
		if err := change.check(); err != nil {
			return set, VerdictInvalid, err
		}
		present, exists := next.Items[change.key()]
		switch {
		case !exists || change.Version > present.Version:
			next.Items[change.key()] = change
			fresh[change.key()] = true
		case change.Version == present.Version && !change.same(present):
			return set, VerdictConflict, Error.New("%s %q version %d is in force with other content",
				change.Kind, change.Name, change.Version)
		}
	}
	if len(fresh) == 0 {
		return set, VerdictResent, nil
	}
	if err := next.check(fresh); err != nil {
		return set, VerdictInvalid, err
	}
	return next, VerdictDone, nil
}

// check returns what is wrong between the items.
func (set Set) check(fresh map[string]bool) error {
	owners := map[string]string{}
	for _, key := range slices.Sorted(maps.Keys(set.Items)) {
		item := set.Items[key]
		if item.Deleted {
			continue
		}
		if item.Workspace != nil {
			for _, callerKey := range item.Workspace.Keys {
				if owner, taken := owners[callerKey]; taken && owner != item.Name {
					return Error.New("workspaces %q and %q share a key", owner, item.Name)
				}
				owners[callerKey] = item.Name
			}
		}
		if item.Route == nil || !fresh[key] {
			continue
		}
		for _, share := range item.Route.Split {
			if _, ok := set.Service(share.Service); !ok {
				return Error.New("route %q names the unknown service %q", item.Name, share.Service)
			}
		}
	}
	return nil
}

// Service returns a service that is in force.
func (set Set) Service(name string) (Service, bool) {
	item, ok := set.Items[string(KindService)+"/"+name]
	if !ok || item.Service == nil {
		return Service{}, false
	}
	return *item.Service, true
}

// InForce returns the items that are not dropped, sorted by kind and name.
func (set Set) InForce() []Item {
	var items []Item
	for _, key := range slices.Sorted(maps.Keys(set.Items)) {
		if item := set.Items[key]; !item.Deleted {
			items = append(items, item)
		}
	}
	return items
}
