// Package scene sets up the two users' fleets of today with stand-ins, sends
// load, and causes faults on a schedule.
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
	slots     = 2
	keyHeader = "Resource-Key"
	keySecret = "opensesame"
	coldRate  = 20
	coldRamp  = 3 * time.Second
	movePoll  = 10 * time.Millisecond
	// settleTime is how long the upstreams warm up before a run.
	settleTime = coldRamp + time.Second
)

// User is one of the two users with its sizes of today.
type User struct {
	Name        string
	DataCentres []string
	Hosts       int
	Control     int
	Connections int
	// Keyed and Desk are its services with and without divided keys.
	Keyed          string
	KeyedUpstreams int
	Desk           string
	DeskUpstreams  int
	Partitions     int
	Work           time.Duration
	// Workspaces lists the workspaces with their shares of the load.
	Workspaces []WorkspaceShare
}

// WorkspaceShare is a workspace of a user and its share of the load.
type WorkspaceShare struct {
	Name  string
	Share float64
}

// Jordan returns the Jordan Roadside Tyre Service Authority's fleet.
func Jordan() User {
	return User{
		Name: "jordan", DataCentres: []string{"amman-north", "amman-south", "zarqa", "madaba"},
		Hosts: 12, Control: 3, Connections: 130, Keyed: "fieldjobs", KeyedUpstreams: 30,
		Desk: "dispatchdesk", DeskUpstreams: 8, Partitions: 256, Work: 15 * time.Millisecond,
		Workspaces: shares("callcentre", "drivers", "insurers", "garages", "police", "rental", "haulage", "parking"),
	}
}

// Gandaki returns the Sajha Bijuli Saathi Cooperative's fleet.
func Gandaki() User {
	return User{
		Name: "gandaki", DataCentres: []string{"pokhara-a", "pokhara-b", "damauli", "baglung"},
		Hosts: 9, Control: 3, Connections: 110, Keyed: "booking-desk", KeyedUpstreams: 25,
		Desk: "field-ops", DeskUpstreams: 8, Partitions: 256, Work: 15 * time.Millisecond,
		Workspaces: shares("builders", "festivals", "clinics", "schools", "farms", "hotels", "cinemas", "markets"),
	}
}

// shares gives the first two workspaces large shares.
func shares(names ...string) []WorkspaceShare {
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

// Options set up a Scene.
type Options struct {
	User   User
	Folder string
	Log    log.Interface
	// PerSecond is the load of all workspaces together.
	PerSecond float64
	// RateFactor is each workspace's rate as a multiple of its load.
	RateFactor float64
	// Routing and Admission are the policies of both services; empty is the
	// default.
	Routing   string
	Admission string
	// Flood is how many times its share the first workspace sends; 0 is once.
	Flood float64
}

// Scene is a running fleet with upstreams and records.
type Scene struct {
	options Options
	Fleet   *fleet.Fleet
}

// Start starts a scene and waits until it serves and its upstreams are warm.
func Start(ctx context.Context, options Options) (*Scene, error) {
	user := options.User
	running, err := fleet.Start(ctx, fleet.Options{
		Hosts: user.Hosts, Control: user.Control, DataCentres: user.DataCentres, Folder: options.Folder, Log: options.Log,
	})
	if err != nil {
		return nil, Error.New("start fleet: %w", err)
	}
	scene := &Scene{options: options, Fleet: running}
	if err := scene.prepare(ctx); err != nil {
		running.Close()
		return nil, err
	}
	return scene, nil
}

func (scene *Scene) prepare(ctx context.Context) error {
	user := scene.options.User
	if err := scene.Fleet.Apply(ctx, 0, scene.document()); err != nil {
		return Error.New("apply records: %w", err)
	}
	for number := range user.KeyedUpstreams + user.DeskUpstreams {
		if _, err := scene.Fleet.StartUpstream(scene.UpstreamOptions(number)); err != nil {
			return Error.New("start upstreams: %w", err)
		}
	}
	if err := scene.Fleet.AwaitOwners(ctx, user.Keyed); err != nil {
		return Error.New("prepare: %w", err)
	}
	return scene.settle(ctx)
}

// settle waits until the upstreams are warm and ownership is balanced.
func (scene *Scene) settle(ctx context.Context) error {
	select {
	case <-time.After(settleTime):
	case <-ctx.Done():
		return Error.New("settle: %w", ctx.Err())
	}
	if scene.options.Routing == spec.RoutingRendezvous {
		return nil // it balances by chance only
	}
	return scene.Fleet.Await(ctx, "balanced ownership", scene.balanced)
}

// balanced tells whether no upstream owns more than the policy leaves it with.
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

// UpstreamOptions describe the stand-in with this number: first the keyed
// service's, then the other's.
func (scene *Scene) UpstreamOptions(number int) stand.Options {
	user := scene.options.User
	options := stand.Options{
		Service: user.Keyed, Name: fmt.Sprintf("%s-%d", user.Keyed, number),
		DataCentre: user.DataCentres[number%len(user.DataCentres)], Slots: slots, Connections: user.Connections,
		Work: user.Work, ColdRate: coldRate, ColdRamp: coldRamp, Keyed: true, KeyHeader: keyHeader, ChecksToken: true,
	}
	if number >= user.KeyedUpstreams {
		options.Service = user.Desk
		options.Name = fmt.Sprintf("%s-%d", user.Desk, number-user.KeyedUpstreams)
		options.Keyed, options.ChecksToken = false, false
	}
	return options
}

// document returns the scene's records.
func (scene *Scene) document() string {
	user := scene.options.User
	var text strings.Builder
	for _, tenant := range user.Workspaces {
		perSecond := scene.options.PerSecond * tenant.Share * scene.options.RateFactor
		fmt.Fprintf(&text, "[[workspace]]\nname = %q\nschema = 1\nversion = 1\n", tenant.Name)
		fmt.Fprintf(&text, "[[callerKey]]\nname = %q\nschema = 1\nversion = 1\nworkspace = %q\nhash = %q\n",
			tenant.Name, tenant.Name, front.HashSecret(keySecret))
		fmt.Fprintf(&text, "[[rate]]\nname = %q\nschema = 1\nversion = 1\nworkspace = %q\nperSecond = %g\nburst = %g\n",
			tenant.Name, tenant.Name, perSecond, burst(perSecond))
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

// burst is half a second's worth of a rate.
func burst(perSecond float64) float64 { return max(10, perSecond/2) }

// Plan returns a load of the scene's size.
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
	for position, tenant := range user.Workspaces {
		perSecond := scene.options.PerSecond * tenant.Share
		limit := perSecond * scene.options.RateFactor
		if position == 0 && scene.options.Flood > 0 {
			perSecond *= scene.options.Flood
		}
		plan.Workspaces = append(plan.Workspaces, load.Workspace{
			Name: tenant.Name, Key: front.FormatKey(tenant.Name, keySecret), PerSecond: perSecond, Rate: limit, Burst: burst(limit),
		})
	}
	return plan
}

// CountMoves counts the changes of partitions' owners until the context ends,
// there and back again as two.
func (scene *Scene) CountMoves(ctx context.Context) <-chan int {
	result := make(chan int, 1)
	go func() {
		ticker := time.NewTicker(movePoll)
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

// Table returns the present ownership of the keyed service.
func (scene *Scene) Table() state.Table {
	for _, running := range scene.Fleet.Hosts {
		if running != nil {
			return running.Catalog().Tables[scene.options.User.Keyed]
		}
	}
	return state.Table{}
}

// Imbalance returns the load of the busiest keyed upstream as a multiple of
// the mean.
func (scene *Scene) Imbalance() float64 {
	total, most, count := int64(0), int64(0), 0
	for number, upstream := range scene.Fleet.Upstreams {
		if number >= scene.options.User.KeyedUpstreams {
			break
		}
		served := upstream.Served()
		total += served
		most = max(most, served)
		count++
	}
	if total == 0 {
		return 0
	}
	return float64(most) * float64(count) / float64(total)
}

// Breaches adds up what the stand-ins counted.
func (scene *Scene) Breaches() stand.Breaches {
	var sum stand.Breaches
	for _, upstream := range scene.Fleet.Upstreams {
		breaches := upstream.Breaches()
		sum.OverSlots += breaches.OverSlots
		sum.OverCold += breaches.OverCold
		sum.NotOwner += breaches.NotOwner
		sum.CallerKeys += breaches.CallerKeys
		sum.Fenced += breaches.Fenced
	}
	return sum
}

// Close ends the scene.
func (scene *Scene) Close() { scene.Fleet.Close() }
