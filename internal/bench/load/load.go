// Package load sends open-loop load to entry hosts and measures what callers
// see. Latency is measured from the time at which a request was due, not from
// when it was sent, to avoid coordinated omission: a slow system must not hide
// its delay by slowing down the load generator.
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
	// maxInFlight bounds the number of requests in flight.
	maxInFlight        = 20000
	maxIdleConnections = 2000
	dialTimeout        = 2 * time.Second
	maxResponseBytes   = 1 << 20
	// clientTimeoutMargin is how much longer the client waits than the timeout that
	// it sends with the request.
	clientTimeoutMargin = time.Second
	// maxAttempts bounds how often a caller sends a request if its connection
	// breaks.
	maxAttempts = 3
)

// Workspace is one workspace's part of the load.
type Workspace struct {
	Name string
	// Key is the API key that its callers send.
	Key string
	// PerSecond is the mean rate of its requests, in requests per second.
	PerSecond float64
	// Rate and Burst are the parameters of its rate limit, used to detect wrongful
	// refusals. A Rate of 0 means no limit.
	Rate  float64
	Burst float64
}

// Service is a service's part of the load.
type Service struct {
	Name string
	// Share is the fraction of all requests that go to the service.
	Share float64
	// WriteFraction is the fraction of its requests that are not idempotent.
	WriteFraction float64
	KeyHeader     string
	// Keys is the number of distinct resource keys; 0 means that the service is not
	// keyed.
	Keys int
}

// Plan describes the load to send.
type Plan struct {
	Targets []netip.AddrPort
	// HealthAddresses lists the addresses of the hosts' health checks, in the order
	// of Targets. If it is empty, all hosts count as up.
	HealthAddresses []netip.AddrPort
	Workspaces      []Workspace
	Services        []Service
	Duration        time.Duration
	// ZipfExponent is the exponent of the Zipf distribution of the keys, greater
	// than 1.
	ZipfExponent float64
	Timeout      time.Duration
	Seed         uint64
	// RunID distinguishes the idempotency keys of different runs.
	RunID string
}

// plannedRequest is a request that is due at an offset from the start.
type plannedRequest struct {
	due       time.Duration
	workspace int
	service   int
	write     bool
	key       string
	number    int
	// withinLimit is set if an ideal rate limiter would admit the request.
	withinLimit bool
}

// drawRequests generates all requests in advance, so that equal seeds produce
// equal load.
func (plan Plan) drawRequests() []plannedRequest {
	random := rand.New(rand.NewPCG(plan.Seed, 7)) //nolint:gosec // load generation needs no secure randomness
	var requests []plannedRequest
	for position, workspace := range plan.Workspaces {
		requests = append(requests, plan.arrivals(random, position, workspace)...)
	}
	sortByDueTime(requests)
	for number := range requests {
		requests[number].number = number
	}
	return requests
}

// arrivals generates a workspace's requests as a Poisson process and simulates an
// ideal token bucket to determine which of them are within the rate limit.
func (plan Plan) arrivals(random *rand.Rand, position int, workspace Workspace) []plannedRequest {
	zipfs := make([]*rand.Zipf, len(plan.Services))
	for number, service := range plan.Services {
		if service.Keys > 0 {
			zipfs[number] = rand.NewZipf(random, plan.ZipfExponent, 1, uint64(service.Keys-1))
		}
	}
	var requests []plannedRequest
	tokens, at := workspace.Burst, 0.0
	for {
		gap := random.ExpFloat64() / workspace.PerSecond
		at += gap
		if at >= plan.Duration.Seconds() {
			return requests
		}
		tokens = math.Min(workspace.Burst, tokens+gap*workspace.Rate)
		service := pickService(random, plan.Services)
		planned := plannedRequest{
			due: time.Duration(at * float64(time.Second)), workspace: position, service: service,
			write: random.Float64() < plan.Services[service].WriteFraction, withinLimit: workspace.Rate == 0 || tokens >= 1,
		}
		if planned.withinLimit {
			tokens--
		}
		if zipfs[service] != nil {
			planned.key = fmt.Sprintf("key-%d", zipfs[service].Uint64())
		}
		requests = append(requests, planned)
	}
}

// pickService chooses a service at random, weighted by the shares.
func pickService(random *rand.Rand, services []Service) int {
	draw := random.Float64()
	for position, service := range services {
		if draw -= service.Share; draw < 0 {
			return position
		}
	}
	return len(services) - 1
}

// Runner sends the load that a plan describes.
type Runner struct {
	plan     Plan
	client   *http.Client
	balancer *balancer
	recorder *Recorder
}

// NewRunner returns a runner for the plan.
func NewRunner(plan Plan) *Runner {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: maxIdleConnections,
		DisableCompression: true,
	}
	return &Runner{
		plan: plan, client: &http.Client{Transport: transport, Timeout: plan.Timeout + clientTimeoutMargin},
		balancer: newBalancer(plan.Targets, plan.HealthAddresses), recorder: newRecorder(plan),
	}
}

// Run sends the load, waits for all responses and returns the measurements. If
// ctx is cancelled, it sends no further requests.
func (runner *Runner) Run(ctx context.Context) *Recorder {
	defer runner.client.CloseIdleConnections()
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	runner.balancer.watch(watchCtx)
	requests := runner.plan.drawRequests()
	started := time.Now()
	var group sync.WaitGroup
	inFlight := make(chan struct{}, maxInFlight)
	for _, planned := range requests {
		if wait := time.Until(started.Add(planned.due)); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		inFlight <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			defer func() { <-inFlight }()
			runner.recorder.add(planned, runner.send(ctx, planned), time.Since(started)-planned.due)
		}()
	}
	group.Wait()
	return runner.recorder
}

// outcome is the result of a request as the caller saw it.
type outcome struct {
	status int
	reason string
	ran    string
	// crossed is set if the response belongs to another request.
	crossed bool
	err     error
}

// answered reports whether the caller received a success response.
func (outcome outcome) answered() bool {
	return outcome.err == nil && outcome.reason == "" && outcome.status >= 200 && outcome.status < 300
}

// WriteKey returns the idempotency key of the request with this number.
func (plan Plan) WriteKey(number int) string { return fmt.Sprintf("%s-%d", plan.RunID, number) }

// send makes a request. Like a real caller, it retries through another host if
// the connection breaks, but not after a timeout. A host whose connection broke
// counts as down until its next health check.
func (runner *Runner) send(ctx context.Context, planned plannedRequest) outcome {
	var result outcome
	for attempt := range maxAttempts {
		position, target := runner.balancer.pickTarget(planned.number + attempt)
		result = runner.sendOnce(ctx, planned, target)
		if result.err == nil || timedOut(result.err) {
			return result
		}
		if len(runner.plan.HealthAddresses) > 0 {
			runner.balancer.down[position].Store(true)
		}
	}
	return result
}

func (runner *Runner) sendOnce(ctx context.Context, planned plannedRequest, target netip.AddrPort) outcome {
	request, err := runner.request(ctx, planned, target)
	if err != nil {
		return outcome{err: err}
	}
	response, err := runner.client.Do(request)
	if err != nil {
		return outcome{err: Error.New("send request: %w", err)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return outcome{status: response.StatusCode, err: Error.New("read response body: %w", err)}
	}
	result := outcome{status: response.StatusCode}
	if response.Header.Get("Content-Type") == "application/problem+json" {
		var problem front.Problem
		if err := json.Unmarshal(body, &problem); err != nil {
			return outcome{status: response.StatusCode, err: Error.New("decode problem document: %w", err)}
		}
		result.reason, result.ran = string(problem.Reason), string(problem.Ran)
		return result
	}
	result.crossed = !runner.matchesRequest(planned, body)
	return result
}

func (runner *Runner) request(ctx context.Context, planned plannedRequest, target netip.AddrPort) (*http.Request, error) {
	service := runner.plan.Services[planned.service]
	method, body := http.MethodGet, io.Reader(http.NoBody)
	url := fmt.Sprintf("http://%s/%s/item?n=%d", target, service.Name, planned.number)
	if planned.write {
		method, body = http.MethodPost, bytes.NewReader([]byte(runner.plan.WriteKey(planned.number)))
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, Error.New("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+runner.plan.Workspaces[planned.workspace].Key)
	request.Header.Set("Request-Timeout", fmt.Sprintf("%.3f", runner.plan.Timeout.Seconds()))
	if planned.key != "" {
		request.Header.Set(service.KeyHeader, planned.key)
	}
	if planned.write {
		request.Header.Set("Idempotency-Key", runner.plan.WriteKey(planned.number))
	}
	return request, nil
}

// echoResponse is the part of a fake upstream's response that identifies the
// request.
type echoResponse struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Echo      string `json:"echo"`
}

// matchesRequest reports whether the response is complete and belongs to the
// request.
func (runner *Runner) matchesRequest(planned plannedRequest, body []byte) bool {
	var answer echoResponse
	if err := json.Unmarshal(body, &answer); err != nil {
		return false
	}
	if answer.Workspace != runner.plan.Workspaces[planned.workspace].Name || answer.Key != planned.key {
		return false
	}
	return !planned.write || answer.Echo == runner.plan.WriteKey(planned.number)
}

// timedOut reports whether an error is a client-side timeout.
func timedOut(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}
