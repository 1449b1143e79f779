// Package scene runs the two users' deployments at their current size with fake
// upstreams, describes the load to send to them, and injects faults on a
// schedule.
package scene

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/bench/fleet"
	"damaskcrank.example/damaskcrank/internal/bench/load"
	"damaskcrank.example/damaskcrank/internal/bench/stand"
	"damaskcrank.example/damaskcrank/internal/control/plan"
	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/entry/front"
)

// Error is the class of all errors of this package.
var Error = errs.Class("scene")

const (
	slotsPerUpstream      = 2
	keyHeader             = "Resource-Key"
	keySecret             = "opensesame"
	coldRate              = 20
	coldRamp              = 3 * time.Second
	ownershipPollInterval = 10 * time.Millisecond
	// warmUpTime is how long the upstreams get to warm up before a run.
	warmUpTime = coldRamp + time.Second
)

// User describes a user's deployment: its fleet, its services and its
// workspaces.
type User struct {
	Name        string
	DataCentres []string
	// Hosts is the number of hosts; the first Control of them are control hosts.
	Hosts   int
	Control int
	// Connections is the number of connections that each upstream accepts.
	Connections int
	// Keyed and Desk are the names of its two services: the keys of Keyed are
	// partitioned among its upstreams, and requests to Desk may run on any of its
	// upstreams.
	Keyed          string
	KeyedUpstreams int
	Desk           string
	DeskUpstreams  int
	// Partitions is the number of key partitions of the keyed service.
	Partitions int
	// Work is the mean time that an upstream takes to process a request.
	Work time.Duration
	// Workspaces lists the workspaces with their shares of the load.
	Workspaces []WorkspaceShare
}

// WorkspaceShare is a workspace of a user and its share of the load.
type WorkspaceShare struct {
	Name string
	// Share is a fraction of the total load, between 0 and 1.
	Share float64
}

// Jordan returns the deployment of the Jordan Roadside Tyre Service Authority.
func Jordan() User {
	return User{
		Name: "jordan", DataCentres: []string{"amman-north", "amman-south", "zarqa", "madaba"},
		Hosts: 12, Control: 3, Connections: 130, Keyed: "fieldjobs", KeyedUpstreams: 30,
		Desk: "dispatchdesk", DeskUpstreams: 8, Partitions: 256, Work: 15 * time.Millisecond,
		Workspaces: workspaceShares("callcentre", "drivers", "insurers", "garages", "police", "rental", "haulage", "parking"),
	}
}

// Gandaki returns the deployment of the Sajha Bijuli Saathi Cooperative.
func Gandaki() User {
	return User{
		Name: "gandaki", DataCentres: []string{"pokhara-a", "pokhara-b", "damauli", "baglung"},
		Hosts: 9, Control: 3, Connections: 110, Keyed: "booking-desk", KeyedUpstreams: 25,
		Desk: "field-ops", DeskUpstreams: 8, Partitions: 256, Work: 15 * time.Millisecond,
		Workspaces: workspaceShares("builders", "festivals", "clinics", "schools", "farms", "hotels", "cinemas", "markets"),
	}
}

// workspaceShares assigns 35% of the load to each of the first two workspaces
// and 5% to each of the others.
func workspaceShares(names ...string) []WorkspaceShare {
	var list []WorkspaceShare
	for position, name := range names {
		share := 0.05
		if position < 2 {
			share = 0.35
		}
		list = append(list, WorkspaceShare{Name: name, Share: share})
	}
	return list
}

// Options configures a Scene.
type Options struct {
	User User
	// Folder holds the data folders of the hosts.
	Folder string
	Log    log.Interface
	// PerSecond is the total load of all workspaces, in requests per second.
	PerSecond float64
	// RateFactor is each workspace's rate limit as a multiple of its load.
	RateFactor float64
	// Routing and Admission are the policies of both services; an empty string
	// selects the default.
	Routing   string
	Admission string
	// Flood multiplies the load of the first workspace without raising its rate
	// limit; 0 leaves the load unchanged.
	Flood float64
}

// Scene is a running fleet with its upstreams and configuration records.
type Scene struct {
	options Options
	Fleet   *fleet.Fleet
}

// Start starts a scene and waits until all partitions have an owner, the
// upstreams are warm and ownership is balanced.
func Start(ctx context.Context, options Options) (*Scene, error) {
	user := options.User
	running, err := fleet.Start(ctx, fleet.Options{
		Hosts: user.Hosts, Control: user.Control, DataCentres: user.DataCentres, Folder: options.Folder, Log: options.Log,
	})
	if err != nil {
		return nil, Error.New("start fleet: %w", err)
	}
	scene := &Scene{options: options, Fleet: running}
	if err := scene.setUp(ctx); err != nil {
		running.Close()
		return nil, err
	}
	return scene, nil
}

// setUp applies the configuration records and starts the upstreams.
func (scene *Scene) setUp(ctx context.Context) error {
	user := scene.options.User
	if err := scene.Fleet.Apply(ctx, 0, scene.recordsDocument()); err != nil {
		return Error.New("apply records: %w", err)
	}
	for number := range user.KeyedUpstreams + user.DeskUpstreams {
		if _, err := scene.Fleet.StartUpstream(scene.UpstreamOptions(number)); err != nil {
			return Error.New("start upstreams: %w", err)
		}
	}
	if err := scene.Fleet.AwaitOwners(ctx, user.Keyed); err != nil {
		return Error.New("wait for partition owners: %w", err)
	}
	return scene.awaitSteadyState(ctx)
}

// awaitSteadyState waits until the upstreams are warm and ownership is balanced.
func (scene *Scene) awaitSteadyState(ctx context.Context) error {
	select {
	case <-time.After(warmUpTime):
	case <-ctx.Done():
		return Error.New("wait for upstreams to warm up: %w", ctx.Err())
	}
	if scene.options.Routing == spec.RoutingRendezvous {
		return nil // rendezvous hashing balances statistically, without an upper bound
	}
	return scene.Fleet.Await(ctx, "balanced ownership", scene.balanced)
}

// balanced reports whether all upstreams are registered and none owns more
// partitions than plan.MaxOwned allows.
func (scene *Scene) balanced() bool {
	catalog := scene.Fleet.Hosts[0].Catalog()
	partitions := catalog.Tables[scene.options.User.Keyed].Partitions
	upstreams := len(catalog.UpstreamsOf(scene.options.User.Keyed))
	if upstreams < scene.options.User.KeyedUpstreams {
		return false
	}
	owned := map[string]int{}
	for _, owner := range partitions {
		owned[owner.Upstream]++
		if owned[owner.Upstream] > plan.MaxOwned(len(partitions), upstreams) {
			return false
		}
	}
	return true
}

// UpstreamOptions returns the options of the fake upstream with this number. The
// upstreams of the keyed service have the lowest numbers, followed by those of
// the other service.
func (scene *Scene) UpstreamOptions(number int) stand.Options {
	user := scene.options.User
	options := stand.Options{
		Service: user.Keyed, Name: fmt.Sprintf("%s-%d", user.Keyed, number),
		DataCentre: user.DataCentres[number%len(user.DataCentres)], Slots: slotsPerUpstream, Connections: user.Connections,
		Work: user.Work, ColdRate: coldRate, ColdRamp: coldRamp, Keyed: true, KeyHeader: keyHeader, ChecksToken: true,
	}
	if number >= user.KeyedUpstreams {
		options.Service = user.Desk
		options.Name = fmt.Sprintf("%s-%d", user.Desk, number-user.KeyedUpstreams)
		options.Keyed, options.ChecksToken = false, false
	}
	return options
}

// recordsDocument returns the scene's configuration records as TOML.
func (scene *Scene) recordsDocument() string {
	user := scene.options.User
	var text strings.Builder
	for _, workspace := range user.Workspaces {
		perSecond := scene.options.PerSecond * workspace.Share * scene.options.RateFactor
		fmt.Fprintf(&text, "[[workspace]]\nname = %q\nschema = 1\nversion = 1\n", workspace.Name)
		fmt.Fprintf(&text, "[[callerKey]]\nname = %q\nschema = 1\nversion = 1\nworkspace = %q\nhash = %q\n",
			workspace.Name, workspace.Name, front.HashSecret(keySecret))
		fmt.Fprintf(&text, "[[rate]]\nname = %q\nschema = 1\nversion = 1\nworkspace = %q\nperSecond = %g\nburst = %g\n",
			workspace.Name, workspace.Name, perSecond, burst(perSecond))
	}
	for _, name := range user.DataCentres {
		fmt.Fprintf(&text, "[[dataCentre]]\nname = %q\nschema = 1\nversion = 1\ninService = true\n", name)
	}
	fmt.Fprintf(&text, "[[policy]]\nname = \"main\"\nschema = 1\nversion = 1\nrouting = %q\nadmission = %q\n",
		scene.options.Routing, scene.options.Admission)
	fmt.Fprintf(&text, "[[service]]\nname = %q\nschema = 1\nversion = 1\npartitions = %d\ntimeoutSeconds = 5\npolicies = [\"main\"]\n",
		user.Keyed, user.Partitions)
	fmt.Fprintf(&text, "[[service]]\nname = %q\nschema = 1\nversion = 1\ntimeoutSeconds = 5\npolicies = [\"main\"]\n", user.Desk)
	return text.String()
}

// burst returns the burst size of a rate limit: the requests of half a second, at
// least 10.
func burst(perSecond float64) float64 { return max(10, perSecond/2) }

// Plan returns a load plan that matches the scene's deployment.
func (scene *Scene) Plan(duration time.Duration, seed uint64) load.Plan {
	user := scene.options.User
	plan := load.Plan{
		Duration: duration, Zipf: 1.1, Timeout: 3 * time.Second, Seed: seed, RunID: fmt.Sprintf("%s-%d-%d", user.Name, seed, time.Now().UnixNano()),
		Services: []load.Service{
			{Name: user.Keyed, Share: 0.7, Writes: 0.2, KeyHeader: keyHeader, Keys: 20000},
			{Name: user.Desk, Share: 0.3, Writes: 0.1},
		},
	}
	for number := range scene.Fleet.Hosts {
		plan.Targets = append(plan.Targets, scene.Fleet.CallerAddress(number))
		plan.Health = append(plan.Health, scene.Fleet.OperatorAddress(number))
	}
	for position, workspace := range user.Workspaces {
		perSecond := scene.options.PerSecond * workspace.Share
		limit := perSecond * scene.options.RateFactor
		if position == 0 && scene.options.Flood > 0 {
			perSecond *= scene.options.Flood
		}
		plan.Workspaces = append(plan.Workspaces, load.Workspace{
			Name: workspace.Name, Key: front.FormatKey(workspace.Name, keySecret), PerSecond: perSecond, Rate: limit, Burst: burst(limit),
		})
	}
	return plan
}

// CountMoves polls the ownership table and counts the changes of a partition's
// owner until ctx is cancelled; it then sends the count. A move away and back
// counts as two.
func (scene *Scene) CountMoves(ctx context.Context) <-chan int {
	result := make(chan int, 1)
	go func() {
		ticker := time.NewTicker(ownershipPollInterval)
		defer ticker.Stop()
		owners := map[int]string{}
		moves := 0
		for {
			for partition, owner := range scene.Table().Partitions {
				if owner.Upstream == "" {
					continue
				}
				if before, known := owners[partition]; known && before != owner.Upstream {
					moves++
				}
				owners[partition] = owner.Upstream
			}
			select {
			case <-ctx.Done():
				result <- moves
				return
			case <-ticker.C:
			}
		}
	}()
	return result
}

// Table returns the current ownership table of the keyed service, as seen by the
// first running host.
func (scene *Scene) Table() state.Table {
	for _, running := range scene.Fleet.Hosts {
		if running != nil {
			return running.Catalog().Tables[scene.options.User.Keyed]
		}
	}
	return state.Table{}
}

// Imbalance returns the number of requests served by the busiest upstream of the
// keyed service as a multiple of the mean, or 0 if none were served.
func (scene *Scene) Imbalance() float64 {
	total, busiest, count := int64(0), int64(0), 0
	for number, upstream := range scene.Fleet.Upstreams {
		if number >= scene.options.User.KeyedUpstreams {
			break
		}
		served := upstream.Served()
		total += served
		busiest = max(busiest, served)
		count++
	}
	if total == 0 {
		return 0
	}
	return float64(busiest) * float64(count) / float64(total)
}

// Breaches returns the sum of the violations counted by all upstreams.
func (scene *Scene) Breaches() stand.Breaches {
	var total stand.Breaches
	for _, upstream := range scene.Fleet.Upstreams {
		breaches := upstream.Breaches()
		total.OverSlots += breaches.OverSlots
		total.OverCold += breaches.OverCold
		total.NotOwner += breaches.NotOwner
		total.CallerKeys += breaches.CallerKeys
		total.Fenced += breaches.Fenced
	}
	return total
}

// Close stops all upstreams and hosts.
func (scene *Scene) Close() { scene.Fleet.Close() }
