package items

import (
	"cmp"
	"slices"
	"strings"
)

// NamedRoute is a route with its item's name.
type NamedRoute struct {
	Name string
	Route
}

// View is an immutable index of a Set for looking up routes, caller keys, workspaces,
// services and limits.
type View struct {
	routes     map[string][]NamedRoute
	keys       map[string]string
	workspaces map[string]Workspace
	services   map[string]Service
	limits     Limits
	// Configured reports whether any item is in force.
	Configured bool
	// needsKeys is set if there are workspaces, or were.
	needsKeys bool
}

// DefaultBodyBytes is the maximum size of a request's body if no limits are in force.
const DefaultBodyBytes = 64 << 20 //nolint:mnd // 64 MiB

// defaultLimits apply if no limits are in force.
var defaultLimits = Limits{HeadBytes: 16 << 10, BodyBytes: DefaultBodyBytes}

// View returns an index of the items in force.
func (set Set) View() *View {
	view := &View{
		routes: map[string][]NamedRoute{}, keys: map[string]string{},
		workspaces: map[string]Workspace{}, services: map[string]Service{}, limits: defaultLimits,
	}
	for _, item := range set.Items {
		view.needsKeys = view.needsKeys || item.Kind == KindWorkspace
	}
	for _, item := range set.Active() {
		view.Configured = true
		switch {
		case item.Route != nil:
			host := strings.ToLower(item.Route.Host)
			view.routes[host] = append(view.routes[host], NamedRoute{Name: item.Name, Route: *item.Route})
		case item.Workspace != nil:
			view.workspaces[item.Name] = *item.Workspace
			for _, key := range item.Workspace.Keys {
				if key != "" { // that is what requests without a key have
					view.keys[key] = item.Name
				}
			}
		case item.Service != nil:
			view.services[item.Name] = *item.Service
		case item.Limits != nil:
			view.limits = *item.Limits
		}
	}
	for _, routes := range view.routes {
		slices.SortStableFunc(routes, func(left, right NamedRoute) int {
			return cmp.Compare(len(right.Prefix), len(left.Prefix))
		})
	}
	return view
}

// Route returns the route of the host with the longest matching path prefix.
func (view *View) Route(host, path string) (NamedRoute, bool) {
	for _, route := range view.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return NamedRoute{}, false
}

// KeyOwner returns the workspace to which a caller key belongs.
func (view *View) KeyOwner(key string) (name string, workspace Workspace, known bool) {
	name, known = view.keys[key]
	return name, view.workspaces[name], known
}

// Workspaces returns all workspaces by name. Callers must not change the map.
func (view *View) Workspaces() map[string]Workspace { return view.workspaces }

// NeedsKeys reports whether requests must carry a caller key. It is so once there has been a
// workspace: deleting the last one withdraws its keys, and opens no route.
func (view *View) NeedsKeys() bool { return view.needsKeys }

// Service returns the service with the name.
func (view *View) Service(name string) (Service, bool) {
	service, ok := view.services[name]
	return service, ok
}

// Limits returns the limits on callers' requests.
func (view *View) Limits() Limits { return view.limits }

// Services returns all services by name. Callers must not change the map.
func (view *View) Services() map[string]Service { return view.services }
