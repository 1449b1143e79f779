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

	"damaskcrank.example/damaskcrank/internal/bench/fake"
	"damaskcrank.example/damaskcrank/internal/bench/fleet"
	"damaskcrank.example/damaskcrank/internal/bench/load"
	"damaskcrank.example/damaskcrank/internal/control/plan"
	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/entry/front"
)

// Error is the class of all errors of this package.
var Error = errs.Class("scene")

const (
	slotsPerUpstream = 2
	keyHeader        = "Resource-Key"
	keySecret        = "opensesame"
	// coldRate is the rate that a cold upstream can handle, in requests per second.
	coldRate              = 20
	coldRamp              = 3 * time.Second
	ownershipPollInterval = 10 * time.Millisecond
	// warmUpTime is how long the upstreams get to warm up before a run.
	warmUpTime = coldRamp + time.Second
)

// Deployment describes a user's deployment: its fleet, its services and its
// workspaces.
type Deployment struct {
	Name        string
	DataCentres []string
	// Hosts is the number of hosts; the first ControlHosts of them are control
	// hosts.
	Hosts        int
	ControlHosts int
	// Connections is the number of connections that each upstream accepts.
	Connections int
	// KeyedService and UnkeyedService are the names of its two services: the keys of
	// the first are partitioned among its upstreams, and requests to the second may
	// run on any of its upstreams.
	KeyedService     string
	KeyedUpstreams   int
	UnkeyedService   string
	UnkeyedUpstreams int
	// Partitions is the number of key partitions of the keyed service.
	Partitions int
	// ServiceTime is the mean time that an upstream takes to process a request.
	ServiceTime time.Duration
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
func Jordan() Deployment {
	return Deployment{
		Name: "jordan", DataCentres: []string{"amman-north", "amman-south", "zarqa", "madaba"},
		Hosts: 12, ControlHosts: 3, Connections: 130, KeyedService: "fieldjobs", KeyedUpstreams: 30,
		UnkeyedService: "dispatchdesk", UnkeyedUpstreams: 8, Partitions: 256, ServiceTime: 15 * time.Millisecond,
		Workspaces: workspaceShares("callcentre", "drivers", "insurers", "garages", "police", "rental", "haulage", "parking"),
	}
}

// Gandaki returns the deployment of the Sajha Bijuli Saathi Cooperative.
func Gandaki() Deployment {
	return Deployment{
		Name: "gandaki", DataCentres: []string{"pokhara-a", "pokhara-b", "damauli", "baglung"},
		Hosts: 9, ControlHosts: 3, Connections: 110, KeyedService: "booking-desk", KeyedUpstreams: 25,
		UnkeyedService: "field-ops", UnkeyedUpstreams: 8, Partitions: 256, ServiceTime: 15 * time.Millisecond,
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

// Options configures a Scenario.
type Options struct {
	Deployment Deployment
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
	// OverloadFactor multiplies the load of the first workspace without raising its
	// rate limit; 0 leaves the load unchanged.
	OverloadFactor float64
}

// Scenario is a running fleet with its upstreams and configuration records.
type Scenario struct {
	options Options
	Fleet   *fleet.Fleet
}

// Start starts a scenario and waits until all partitions have an owner, the
// upstreams are warm and ownership is balanced.
func Start(ctx context.Context, options Options) (*Scenario, error) {
	deployment := options.Deployment
	running, err := fleet.Start(ctx, fleet.Options{
		Hosts: deployment.Hosts, ControlHosts: deployment.ControlHosts, DataCentres: deployment.DataCentres, Folder: options.Folder, Log: options.Log,
	})
	if err != nil {
		return nil, Error.New("start fleet: %w", err)
	}
	scenario := &Scenario{options: options, Fleet: running}
	if err := scenario.setUp(ctx); err != nil {
		running.Close()
		return nil, err
	}
	return scenario, nil
}

// setUp applies the configuration records and starts the upstreams.
func (scenario *Scenario) setUp(ctx context.Context) error {
	deployment := scenario.options.Deployment
	if err := scenario.Fleet.ApplyRecords(ctx, 0, scenario.recordsDocument()); err != nil {
		return Error.New("apply records: %w", err)
	}
	for number := range deployment.KeyedUpstreams + deployment.UnkeyedUpstreams {
		if _, err := scenario.Fleet.StartUpstream(scenario.UpstreamOptions(number)); err != nil {
			return Error.New("start upstreams: %w", err)
		}
	}
	if err := scenario.Fleet.AwaitOwners(ctx, deployment.KeyedService); err != nil {
		return Error.New("wait for partition owners: %w", err)
	}
	return scenario.awaitSteadyState(ctx)
}

// awaitSteadyState waits until the upstreams are warm and ownership is balanced.
func (scenario *Scenario) awaitSteadyState(ctx context.Context) error {
	select {
	case <-time.After(warmUpTime):
	case <-ctx.Done():
		return Error.New("wait for upstreams to warm up: %w", ctx.Err())
	}
	if scenario.options.Routing == spec.RoutingRendezvous {
		return nil // rendezvous hashing balances statistically, without an upper bound
	}
	return scenario.Fleet.WaitFor(ctx, "balanced ownership", scenario.balanced)
}

// balanced reports whether all upstreams are registered and none owns more
// partitions than plan.MaxSlotsPerUpstream allows.
func (scenario *Scenario) balanced() bool {
	catalog := scenario.Fleet.Hosts[0].Catalog()
	partitions := catalog.Tables[scenario.options.Deployment.KeyedService].Partitions
	upstreams := len(catalog.UpstreamsOf(scenario.options.Deployment.KeyedService))
	if upstreams < scenario.options.Deployment.KeyedUpstreams {
		return false
	}
	owned := map[string]int{}
	for _, owner := range partitions {
		owned[owner.Upstream]++
		if owned[owner.Upstream] > plan.MaxSlotsPerUpstream(len(partitions), upstreams) {
			return false
		}
	}
	return true
}

// UpstreamOptions returns the options of the fake upstream with this number. The
// upstreams of the keyed service have the lowest numbers, followed by those of
// the other service.
func (scenario *Scenario) UpstreamOptions(number int) fake.Options {
	deployment := scenario.options.Deployment
	options := fake.Options{
		Service: deployment.KeyedService, Name: fmt.Sprintf("%s-%d", deployment.KeyedService, number),
		DataCentre: deployment.DataCentres[number%len(deployment.DataCentres)], Slots: slotsPerUpstream, Connections: deployment.Connections,
		ServiceTime: deployment.ServiceTime, ColdRate: coldRate, ColdRamp: coldRamp, Keyed: true, KeyHeader: keyHeader, ChecksToken: true,
	}
	if number >= deployment.KeyedUpstreams {
		options.Service = deployment.UnkeyedService
		options.Name = fmt.Sprintf("%s-%d", deployment.UnkeyedService, number-deployment.KeyedUpstreams)
		options.Keyed, options.ChecksToken = false, false
	}
	return options
}

// recordsDocument returns the scenario's configuration records as TOML.
func (scenario *Scenario) recordsDocument() string {
	deployment := scenario.options.Deployment
	var text strings.Builder
	for _, workspace := range deployment.Workspaces {
		perSecond := scenario.options.PerSecond * workspace.Share * scenario.options.RateFactor
		fmt.Fprintf(&text, "[[workspace]]\nname = %q\nschema = 1\nversion = 1\n", workspace.Name)
		fmt.Fprintf(&text, "[[callerKey]]\nname = %q\nschema = 1\nversion = 1\nworkspace = %q\nhash = %q\n",
			workspace.Name, workspace.Name, front.HashSecret(keySecret))
		fmt.Fprintf(&text, "[[rate]]\nname = %q\nschema = 1\nversion = 1\nworkspace = %q\nperSecond = %g\nburst = %g\n",
			workspace.Name, workspace.Name, perSecond, burst(perSecond))
	}
	for _, name := range deployment.DataCentres {
		fmt.Fprintf(&text, "[[dataCentre]]\nname = %q\nschema = 1\nversion = 1\ninService = true\n", name)
	}
	fmt.Fprintf(&text, "[[policy]]\nname = \"main\"\nschema = 1\nversion = 1\nrouting = %q\nadmission = %q\n",
		scenario.options.Routing, scenario.options.Admission)
	fmt.Fprintf(&text, "[[service]]\nname = %q\nschema = 1\nversion = 1\npartitions = %d\ntimeoutSeconds = 5\npolicies = [\"main\"]\n",
		deployment.KeyedService, deployment.Partitions)
	fmt.Fprintf(&text, "[[service]]\nname = %q\nschema = 1\nversion = 1\ntimeoutSeconds = 5\npolicies = [\"main\"]\n", deployment.UnkeyedService)
	return text.String()
}

// burst returns the burst size of a rate limit: the requests of half a second, at
// least 10.
func burst(perSecond float64) float64 { return max(10, perSecond/2) }

// LoadPlan returns a load plan that matches the scenario's deployment.
func (scenario *Scenario) LoadPlan(duration time.Duration, seed uint64) load.Plan {
	deployment := scenario.options.Deployment
	plan := load.Plan{
		Duration: duration, ZipfExponent: 1.1, Timeout: 3 * time.Second, Seed: seed, RunID: fmt.Sprintf("%s-%d-%d", deployment.Name, seed, time.Now().UnixNano()),
		Services: []load.Service{
			{Name: deployment.KeyedService, Share: 0.7, WriteFraction: 0.2, KeyHeader: keyHeader, Keys: 20000},
			{Name: deployment.UnkeyedService, Share: 0.3, WriteFraction: 0.1},
		},
	}
	for number := range scenario.Fleet.Hosts {
		plan.Targets = append(plan.Targets, scenario.Fleet.CallerAddress(number))
		plan.HealthAddresses = append(plan.HealthAddresses, scenario.Fleet.OperatorAddress(number))
	}
	for position, workspace := range deployment.Workspaces {
		perSecond := scenario.options.PerSecond * workspace.Share
		limit := perSecond * scenario.options.RateFactor
		if position == 0 && scenario.options.OverloadFactor > 0 {
			perSecond *= scenario.options.OverloadFactor
		}
		plan.Workspaces = append(plan.Workspaces, load.Workspace{
			Name: workspace.Name, Key: front.FormatKey(workspace.Name, keySecret), PerSecond: perSecond, Rate: limit, Burst: burst(limit),
		})
	}
	return plan
}

// CountOwnerChanges polls the ownership table and counts the changes of a
// partition's owner until ctx is cancelled; it then sends the count. A move away
// and back counts as two.
func (scenario *Scenario) CountOwnerChanges(ctx context.Context) <-chan int {
	result := make(chan int, 1)
	go func() {
		ticker := time.NewTicker(ownershipPollInterval)
		defer ticker.Stop()
		owners := map[int]string{}
		changes := 0
		for {
			for partition, owner := range scenario.OwnershipTable().Partitions {
				if owner.Upstream == "" {
					continue
				}
				if previous, known := owners[partition]; known && previous != owner.Upstream {
					changes++
				}
				owners[partition] = owner.Upstream
			}
			select {
			case <-ctx.Done():
				result <- changes
				return
			case <-ticker.C:
			}
		}
	}()
	return result
}

// OwnershipTable returns the current ownership table of the keyed service, as seen
// by the first running host.
func (scenario *Scenario) OwnershipTable() state.Table {
	for _, running := range scenario.Fleet.Hosts {
		if running != nil {
			return running.Catalog().Tables[scenario.options.Deployment.KeyedService]
		}
	}
	return state.Table{}
}

// Imbalance returns the number of requests served by the busiest upstream of the
// keyed service as a multiple of the mean, or 0 if none were served.
func (scenario *Scenario) Imbalance() float64 {
	total, busiest, count := int64(0), int64(0), 0
	for number, upstream := range scenario.Fleet.Upstreams {
		if number >= scenario.options.Deployment.KeyedUpstreams {
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

// Violations returns the sum of the violations counted by all upstreams.
func (scenario *Scenario) Violations() fake.Violations {
	var total fake.Violations
	for _, upstream := range scenario.Fleet.Upstreams {
		violations := upstream.Violations()
		total.OverSlots += violations.OverSlots
		total.OverCold += violations.OverCold
		total.NotOwner += violations.NotOwner
		total.CallerKeys += violations.CallerKeys
		total.Fenced += violations.Fenced
	}
	return total
}

// Close stops all upstreams and hosts.
func (scenario *Scenario) Close() { scenario.Fleet.Close() }
