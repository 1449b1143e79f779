// Package load sends open-loop load to entry hosts and measures what callers
// see. Times count from when a request was due, not from when it was sent, so
// that a slow system can't hide its own delay.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/entry/front"
)

// Error is the class of all errors of this package.
var Error = errs.Class("load")

const (
	maxOpen         = 20000
	idleConnections = 2000
	dialTimeout     = 2 * time.Second
	maxAnswer       = 1 << 20
	clientSlack     = time.Second
	// maxSends bounds how often a caller sends a request whose connection broke.
	maxSends = 3
)

// Workspace is one workspace's part of the load.
type Workspace struct {
	Name string
	// Key is what its callers present.
	Key string
	// PerSecond is the mean number of requests per second that it sends.
	PerSecond float64
	// Rate and Burst are its limits, to tell wrongful refusals; 0 is none.
	Rate  float64
	Burst float64
}

// Service is a service's part of the load.
type Service struct {
	Name string
	// Share of the requests go to it.
	Share float64
	// Writes is the share of its requests that are not idempotent.
	Writes    float64
	KeyHeader string
	// Keys is the number of resource keys; 0 means that keys are not divided.
	Keys int
}

// Plan describes a load.
type Plan struct {
	Targets []netip.AddrPort
	// Health are the hosts' health checks, in the order of Targets; none means
	// that all are taken as up.
	Health     []netip.AddrPort
	Workspaces []Workspace
	Services   []Service
	Duration   time.Duration
	// Zipf is the exponent of the keys' popularity, over 1.
	Zipf    float64
	Timeout time.Duration
	Seed    uint64
	// RunID makes idempotency keys of different runs differ.
	RunID string
}

// shot is one request that is due at an offset from the start.
type shot struct {
	due       time.Duration
	workspace int
	service   int
	write     bool
	key       string
	number    int
	// within is set where a perfect limiter would let the request pass.
	within bool
}

// schedule draws all requests in advance, so that equal seeds send equal load.
func (plan Plan) schedule() []shot {
	random := rand.New(rand.NewPCG(plan.Seed, 7)) //nolint:gosec // a load model
	var shots []shot
	for position, workspace := range plan.Workspaces {
		shots = append(shots, plan.arrivals(random, position, workspace)...)
	}
	sortShots(shots)
	for number := range shots {
		shots[number].number = number
	}
	return shots
}

// arrivals draws a workspace's Poisson arrivals and runs a perfect limiter
// beside them.
func (plan Plan) arrivals(random *rand.Rand, position int, workspace Workspace) []shot {
	zipfs := make([]*rand.Zipf, len(plan.Services))
	for number, service := range plan.Services {
		if service.Keys > 0 {
			zipfs[number] = rand.NewZipf(random, plan.Zipf, 1, uint64(service.Keys-1))
		}
	}
	var shots []shot
	level, at := workspace.Burst, 0.0
	for {
		gap := random.ExpFloat64() / workspace.PerSecond
		at += gap
		if at >= plan.Duration.Seconds() {
			return shots
		}
		level = math.Min(workspace.Burst, level+gap*workspace.Rate)
		service := pickService(random, plan.Services)
		next := shot{
			due: time.Duration(at * float64(time.Second)), workspace: position, service: service,
			write: random.Float64() < plan.Services[service].Writes, within: workspace.Rate == 0 || level >= 1,
		}
		if next.within {
			level--
		}
		if zipfs[service] != nil {
			next.key = fmt.Sprintf("key-%d", zipfs[service].Uint64())
		}
		shots = append(shots, next)
	}
}

func pickService(random *rand.Rand, services []Service) int {
	point := random.Float64()
	for position, service := range services {
		if point -= service.Share; point < 0 {
			return position
		}
	}
	return len(services) - 1
}

// Runner sends a plan's load.
type Runner struct {
	plan     Plan
	client   *http.Client
	balancer *balancer
	measures *Measures
}

// NewRunner returns a runner for the plan.
func NewRunner(plan Plan) *Runner {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConns: idleConnections, MaxIdleConnsPerHost: idleConnections,
		DisableCompression: true,
	}
	return &Runner{
		plan: plan, client: &http.Client{Transport: transport, Timeout: plan.Timeout + clientSlack},
		balancer: newBalancer(plan.Targets, plan.Health), measures: newMeasures(plan),
	}
}

// Run sends the whole load and returns what was measured.
func (runner *Runner) Run(ctx context.Context) *Measures {
	defer runner.client.CloseIdleConnections()
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	runner.balancer.watch(watching)
	shots := runner.plan.schedule()
	started := time.Now()
	var group sync.WaitGroup
	open := make(chan struct{}, maxOpen)
	for _, next := range shots {
		if wait := time.Until(started.Add(next.due)); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		open <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			defer func() { <-open }()
			runner.measures.add(next, runner.send(ctx, next), time.Since(started)-next.due)
		}()
	}
	group.Wait()
	return runner.measures
}

// seen is what a caller saw of a request.
type seen struct {
	status int
	reason string
	ran    string
	// crossed is set where the answer belongs to another request.
	crossed bool
	err     error
}

func (seen seen) answered() bool {
	return seen.err == nil && seen.reason == "" && seen.status >= 200 && seen.status < 300
}

// WriteKey is the idempotency key of a plan's request.
func (plan Plan) WriteKey(number int) string { return fmt.Sprintf("%s-%d", plan.RunID, number) }

// send makes a request, and as callers do, makes it again through another host
// when its connection breaks.
func (runner *Runner) send(ctx context.Context, next shot) seen {
	var result seen
	for try := range maxSends {
		position, target := runner.balancer.pick(next.number + try)
		result = runner.sendTo(ctx, next, target)
		if result.err == nil || timedOut(result.err) {
			return result
		}
		if len(runner.plan.Health) > 0 {
			runner.balancer.down[position].Store(true)
		}
	}
	return result
}

func (runner *Runner) sendTo(ctx context.Context, next shot, target netip.AddrPort) seen {
	request, err := runner.request(ctx, next, target)
	if err != nil {
		return seen{err: err}
	}
	response, err := runner.client.Do(request)
	if err != nil {
		return seen{err: Error.New("send: %w", err)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return seen{status: response.StatusCode, err: Error.New("read: %w", err)}
	}
	result := seen{status: response.StatusCode}
	if response.Header.Get("Content-Type") == "application/problem+json" {
		var problem front.Problem
		if err := json.Unmarshal(body, &problem); err != nil {
			return seen{status: response.StatusCode, err: Error.New("read problem: %w", err)}
		}
		result.reason, result.ran = string(problem.Reason), string(problem.Ran)
		return result
	}
	result.crossed = !runner.matches(next, body)
	return result
}

func (runner *Runner) request(ctx context.Context, next shot, target netip.AddrPort) (*http.Request, error) {
	service := runner.plan.Services[next.service]
	method, body := http.MethodGet, io.Reader(http.NoBody)
	url := fmt.Sprintf("http://%s/%s/item?n=%d", target, service.Name, next.number)
	if next.write {
		method, body = http.MethodPost, bytes.NewReader([]byte(runner.plan.WriteKey(next.number)))
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, Error.New("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+runner.plan.Workspaces[next.workspace].Key)
	request.Header.Set("Request-Timeout", fmt.Sprintf("%.3f", runner.plan.Timeout.Seconds()))
	if next.key != "" {
		request.Header.Set(service.KeyHeader, next.key)
	}
	if next.write {
		request.Header.Set("Idempotency-Key", runner.plan.WriteKey(next.number))
	}
	return request, nil
}

// echoed is the part of a stand-in's answer that shows whose it is.
type echoed struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Echo      string `json:"echo"`
}

// matches tells whether the answer is whole and belongs to the request.
func (runner *Runner) matches(next shot, body []byte) bool {
	var answer echoed
	if err := json.Unmarshal(body, &answer); err != nil {
		return false
	}
	if answer.Workspace != runner.plan.Workspaces[next.workspace].Name || answer.Key != next.key {
		return false
	}
	return !next.write || answer.Echo == runner.plan.WriteKey(next.number)
}

// timedOut tells whether an error is a timeout of the client.
func timedOut(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}
