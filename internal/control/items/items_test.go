package items

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func newService(name string, version uint64) Item {
	return Item{Kind: KindService, Name: name, Version: version, Source: []byte(name), Service: &Service{}}
}

func newRoute(name, prefix, service string, version uint64) Item {
	return Item{
		Kind: KindRoute, Name: name, Version: version, Source: []byte(name + prefix + service),
		Route: &Route{Host: "host", Prefix: prefix, Timeout: time.Second, Attempts: 1, Split: []WeightedService{{service, 1}}},
	}
}

func newWorkspace(name string, version uint64, keys ...string) Item {
	source := []byte(name)
	for _, key := range keys {
		source = append(source, key...)
	}
	return Item{Kind: KindWorkspace, Name: name, Version: version, Source: source, Workspace: &Workspace{Keys: keys}}
}

func deleted(item Item, version uint64) Item {
	return Item{Kind: item.Kind, Name: item.Name, Version: version, Deleted: true}
}

func invalidRoute(change func(*Route)) Item {
	item := newRoute("faulty", "/", "jobs", 9)
	change(item.Route)
	return item
}

func TestMerge(t *testing.T) {
	service := newService("jobs", 3)
	route := newRoute("r", "/a/", "jobs", 3)
	cases := []struct {
		name  string
		calls [][]Item
		want  Outcome
	}{
		{"first items", [][]Item{{route, service}}, OutcomeDone},
		{"resent", [][]Item{{route, service}, {route, service}}, OutcomeResent},
		{"a version that skips numbers", [][]Item{{route, service}, {newRoute("r", "/b/", "jobs", 17)}}, OutcomeDone},
		{"an older version arrives late", [][]Item{{route, service}, {newRoute("r", "/b/", "jobs", 17)}, {route}}, OutcomeResent},
		{"same version with different content", [][]Item{{route, service}, {newRoute("r", "/b/", "jobs", 3)}}, OutcomeConflict},
		{"deleted", [][]Item{{route, service}, {deleted(route, 4)}}, OutcomeDone},
		{"set with a version below the deletion", [][]Item{{route, service}, {deleted(route, 7)}, {newRoute("r", "/b/", "jobs", 5)}}, OutcomeResent},
		{"deleted under the version in force", [][]Item{{route, service}, {deleted(route, 3)}}, OutcomeConflict},
		{"unknown service", [][]Item{{service}, {newRoute("x", "/x/", "nobody", 1)}}, OutcomeInvalid},
		{"negative weight", [][]Item{{service}, {invalidRoute(func(route *Route) { route.Split = []WeightedService{{"jobs", 2}, {"jobs", -1}} })}}, OutcomeInvalid},
		{"no timeout", [][]Item{{service}, {invalidRoute(func(route *Route) { route.Timeout = 0 })}}, OutcomeInvalid},
		{"no attempts", [][]Item{{service}, {invalidRoute(func(route *Route) { route.Attempts = 0 })}}, OutcomeInvalid},
		{"a key in two workspaces", [][]Item{{newWorkspace("a", 1, "k")}, {newWorkspace("b", 1, "k")}}, OutcomeInvalid},
		{"a key moves to another workspace", [][]Item{{newWorkspace("a", 1, "k")}, {newWorkspace("a", 2), newWorkspace("b", 1, "k")}}, OutcomeDone},
		{"a resent older version of a key's former workspace", [][]Item{
			{newWorkspace("a", 1, "k")}, {newWorkspace("a", 2), newWorkspace("b", 1, "k")}, {newWorkspace("a", 1, "k")},
		}, OutcomeResent},
		{"an invalid call has no effect", [][]Item{{service}, {newService("more", 1), newRoute("x", "/x/", "nobody", 1)}}, OutcomeInvalid},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			set := Set{}
			var outcome Outcome
			for _, call := range testcase.calls {
				before := len(set.Items)
				var err error
				set, outcome, err = set.Merge(call)
				if outcome == OutcomeInvalid || outcome == OutcomeConflict {
					is.True(err != nil)
					is.Equal(len(set.Items), before) // no change of the call is in force
				}
			}
			is.Equal(outcome, testcase.want)
		})
	}
}

func TestView(t *testing.T) {
	is := is.New(t)
	set, _, err := Set{}.Merge([]Item{
		newService("jobs", 1), newRoute("short", "/a/", "jobs", 1), newRoute("long", "/a/b/", "jobs", 1),
		newWorkspace("w", 1, "k"),
	})
	is.NoErr(err)
	view := set.View()
	for _, testcase := range []struct{ path, want string }{
		{"/a/x", "short"}, {"/a/b/x", "long"}, {"/a/bc", "short"}, {"/c/", ""}, {"/a", ""},
	} {
		route, _ := view.Route("HOST", testcase.path)
		is.Equal(route.Name, testcase.want)
	}
	name, _, known := view.KeyOwner("k")
	is.True(known)
	is.Equal(name, "w")
	_, _, known = view.KeyOwner("other")
	is.True(!known)
	is.Equal(len(set.Active()), 4)
}

// TestTrim guards against unchanged items that stay in a change, and against changes that are
// dropped although they have an effect, conflict or are invalid.
func TestTrim(t *testing.T) {
	service, route := newService("jobs", 3), newRoute("r", "/a/", "jobs", 3)
	set, _, err := Set{}.Merge([]Item{service, route, newRoute("gone", "/g/", "jobs", 1), deleted(newRoute("gone", "/g/", "jobs", 1), 4)})
	is.New(t).NoErr(err)
	cases := []struct {
		name    string
		changes []Item
		left    int
		invalid bool
	}{
		{"resent", []Item{service, route}, 0, false},
		{"older", []Item{newRoute("r", "/b/", "jobs", 2)}, 0, false},
		{"newer", []Item{service, newRoute("r", "/b/", "jobs", 4)}, 1, false},
		{"new", []Item{newRoute("s", "/b/", "jobs", 1)}, 1, false},
		{"other content under the same version", []Item{newRoute("r", "/b/", "jobs", 3)}, 1, false},
		{"deletion", []Item{deleted(route, 4)}, 1, false},
		{"deletion under the version in force", []Item{deleted(route, 3)}, 1, false},
		{"older than a deletion", []Item{newRoute("gone", "/g/", "jobs", 3)}, 0, false},
		{"deletion resent", []Item{deleted(route, 2), deleted(newRoute("gone", "", "", 0), 4)}, 0, false},
		{"older and invalid", []Item{invalidRoute(func(route *Route) { route.Timeout = 0 }), route}, 0, true},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			trimmed, err := set.Trim(testcase.changes)
			is.Equal(err != nil, testcase.invalid)
			is.Equal(len(trimmed), testcase.left)
			_, whole, _ := set.Merge(testcase.changes)
			if _, outcome, _ := set.Merge(trimmed); !testcase.invalid {
				is.Equal(outcome, whole)
			}
		})
	}
}

// TestDeletedWorkspacesKeepRoutesClosed guards against routes that are open to everybody
// since no workspace is left, and against requests without a key that have one.
func TestDeletedWorkspacesKeepRoutesClosed(t *testing.T) {
	first, second := newWorkspace("a", 1, "k"), newWorkspace("b", 1, "l")
	cases := []struct {
		name  string
		calls [][]Item
		needs bool
	}{
		{"never had a workspace", [][]Item{{newService("jobs", 1)}}, false},
		{"has one", [][]Item{{first}}, true},
		{"one of two deleted", [][]Item{{first, second}, {deleted(first, 2)}}, true},
		{"last one deleted", [][]Item{{first}, {deleted(first, 2)}}, true},
		{"both deleted at once", [][]Item{{first, second}, {deleted(first, 2), deleted(second, 2)}}, true},
		{"deleted and made anew", [][]Item{{first}, {deleted(first, 2)}, {newWorkspace("a", 3, "k")}}, true},
		{"without keys", [][]Item{{newWorkspace("a", 1)}}, true},
		{"with an empty key", [][]Item{{newWorkspace("a", 1, "")}}, true},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			set := Set{}
			for _, call := range testcase.calls {
				var err error
				set, _, err = set.Merge(call)
				is.NoErr(err)
			}
			view := set.View()
			is.Equal(view.NeedsKeys(), testcase.needs)
			_, _, known := view.KeyOwner("")
			is.True(!known)
		})
	}
}

// TestMergeChecked guards against routes whose service is gone, as their requests would be sent
// as those of a service without keys, and against a configuration that holds such a route or is
// too large and can't be mended.
func TestMergeChecked(t *testing.T) {
	jobs, desk, route := newService("jobs", 1), newService("desk", 1), newRoute("r", "/a/", "jobs", 1)
	whole := []Item{jobs, desk, route}
	// An earlier version accepted a route to a service that was deleted meanwhile.
	orphaned := append(whole, deleted(jobs, 2))
	padded := func(name string, version uint64, size int) Item {
		item := newService(name, version)
		item.Source = make([]byte, size-itemBytes-len(name))
		return item
	}
	left := MaxBytes - Set{Items: map[string]Item{"": jobs, "d": desk, "r": route}}.size()
	cases := []struct {
		name    string
		before  []Item
		changes []Item
		want    Outcome
	}{
		{"a service that no route names", whole, []Item{deleted(desk, 2)}, OutcomeDone},
		{"a service that a route names", whole, []Item{deleted(jobs, 2)}, OutcomeInvalid},
		{"together with its route", whole, []Item{deleted(jobs, 2), deleted(route, 2)}, OutcomeDone},
		{"while its route moves", whole, []Item{deleted(jobs, 2), newRoute("r", "/a/", "desk", 2)}, OutcomeDone},
		{"an older deletion", whole, []Item{deleted(jobs, 0)}, OutcomeResent},
		{"an older deletion and a new item", whole, []Item{deleted(jobs, 0), newService("more", 1)}, OutcomeDone},
		{"a route", whole, []Item{deleted(route, 2)}, OutcomeDone},
		{"a deletion and a route to the service in one call", whole, []Item{deleted(desk, 2), newRoute("s", "/s/", "desk", 1)}, OutcomeInvalid},
		{"other content under the version in force", whole, []Item{deleted(jobs, 1)}, OutcomeConflict},
		{"an orphan stays while others change", orphaned, []Item{newService("desk", 2)}, OutcomeDone},
		{"an orphan's service is deleted once more", orphaned, []Item{deleted(jobs, 3)}, OutcomeInvalid},
		{"an orphan's deletion is sent again", orphaned, []Item{deleted(jobs, 2)}, OutcomeResent},
		{"an orphan gets its service back", orphaned, []Item{newService("jobs", 3)}, OutcomeDone},
		{"an orphan moves", orphaned, []Item{newRoute("r", "/a/", "desk", 2)}, OutcomeDone},
		{"an orphan is deleted", orphaned, []Item{deleted(route, 2)}, OutcomeDone},
		{"as large as allowed", whole, []Item{padded("big", 1, left)}, OutcomeDone},
		{"a byte more", whole, []Item{padded("big", 1, left+1)}, OutcomeTooLarge},
		{"too large shrinks", append(whole, padded("big", 1, 2*left)), []Item{padded("big", 2, 2*left-1)}, OutcomeDone},
		{"too large grows", append(whole, padded("big", 1, 2*left)), []Item{newService("more", 1)}, OutcomeTooLarge},
		{"too large is deleted", append(whole, padded("big", 1, 2*left)), []Item{deleted(newService("big", 1), 2)}, OutcomeDone},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			set, _, err := Set{}.Merge(testcase.before[:min(3, len(testcase.before))])
			is.NoErr(err)
			set, _, err = set.Merge(testcase.before)
			is.NoErr(err)
			next, outcome, err := set.MergeChecked(testcase.changes)
			is.Equal(outcome, testcase.want)
			is.Equal(err == nil, outcome == OutcomeDone || outcome == OutcomeResent)
			if outcome != OutcomeDone {
				is.Equal(next, set) // nothing of the call is in force
			}
		})
	}
}
