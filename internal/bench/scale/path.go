package scale

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"damaskcrank.example/damaskcrank/internal/bench/fake"
	"damaskcrank.example/damaskcrank/internal/bench/fleet"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
	"damaskcrank.example/damaskcrank/internal/entry/front"
)

// measurementTimeout bounds a measurement with a fleet, including its start.
const measurementTimeout = 2 * time.Minute

// PathCost is the cost of one path to an upstream.
type PathCost struct {
	Way string
	// PerSecond is the number of successful requests per second.
	PerSecond float64
	Median    time.Duration
	P99       time.Duration
	// Processor is the CPU time of the whole process per request. It includes the
	// load generator and the fake upstream, which cost the same for all paths.
	Processor time.Duration
}

const hopRecords = `
[[workspace]]
name = "w"
schema = 1
version = 1
[[callerKey]]
name = "k"
schema = 1
version = 1
workspace = "w"
hash = %q
[[service]]
name = "desk"
schema = 2
version = 1
`

// MeasurePaths measures, one after another in the same run, requests that go
// directly to the fake upstream, through the entry host that is the primary, and
// through another entry host that forwards them to the primary.
func MeasurePaths(clients int, duration time.Duration) ([]PathCost, error) {
	ctx, cancel := context.WithTimeout(context.Background(), measurementTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "damaskcrank-hop-")
	if err != nil {
		return nil, Error.New("create folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	running, err := fleet.Start(ctx, fleet.Options{
		Hosts: 2, ControlHosts: 1, DataCentres: []string{"one"}, Folder: folder, Log: &log.Logger{Handler: discard.New()},
	})
	if err != nil {
		return nil, Error.New("start fleet: %w", err)
	}
	defer running.Close()
	primary, upstream, err := setUpHopFleet(ctx, running)
	if err != nil {
		return nil, err
	}
	variants := []struct {
		name   string
		target netip.AddrPort
		path   string
	}{
		{"straight to the stand-in", upstream, "/item"},
		{"through the primary's host", running.CallerAddress(primary), "/desk/item"},
		{"through another host", running.CallerAddress(1 - primary), "/desk/item"},
	}
	costs := make([]PathCost, len(variants))
	for number, variant := range variants {
		costs[number] = measureRequests(ctx, variant.name, "http://"+variant.target.String()+variant.path, clients, duration)
	}
	return costs, nil
}

// setUpHopFleet applies the records, starts a fake upstream with many slots that
// warms up within a millisecond, and waits for requests to succeed. It returns the
// number of the primary's host and the address of the upstream.
func setUpHopFleet(ctx context.Context, running *fleet.Fleet) (int, netip.AddrPort, error) {
	if err := running.ApplyRecords(ctx, 0, fmt.Sprintf(hopRecords, front.HashSecret("s"))); err != nil {
		return 0, netip.AddrPort{}, Error.New("apply records: %w", err)
	}
	upstream, err := running.StartUpstream(fake.Options{
		Service: "desk", Name: "desk-0", DataCentre: "one", Slots: 256, ColdRate: 1000, ColdRamp: time.Millisecond,
	})
	if err != nil {
		return 0, netip.AddrPort{}, Error.New("start upstream: %w", err)
	}
	primary := -1
	err = running.WaitFor(ctx, "a primary", func() bool {
		shard := running.Hosts[0].Catalog().Shards[state.DispatchShard("desk", "")]
		for number := range running.Hosts {
			if shard.Host == fmt.Sprintf("host-%d", number) {
				primary = number
			}
		}
		return primary >= 0 && respondsOK(ctx, "http://"+running.CallerAddress(primary).String()+"/desk/item")
	})
	return primary, upstream.Address(), err
}

// respondsOK reports whether a request to the URL succeeds.
func respondsOK(ctx context.Context, url string) bool {
	status, err := sendOnce(ctx, http.DefaultClient, url)
	return err == nil && status == http.StatusOK
}

// sendOnce sends a request and returns the status of the response.
func sendOnce(ctx context.Context, client *http.Client, url string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, Error.New("build request: %w", err)
	}
	request.Header.Set("X-Api-Key", front.FormatKey("k", "s"))
	request.Header.Set(upstr.HeaderDeadline, "5000")
	response, err := client.Do(request)
	if err != nil {
		return 0, Error.New("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, Error.New("read response body: %w", err)
	}
	return response.StatusCode, nil
}

// measureRequests sends requests from several clients, each of which waits for the
// response before it sends the next request (closed loop). Failed requests do not
// count.
func measureRequests(ctx context.Context, name, url string, clients int, duration time.Duration) PathCost {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	defer client.CloseIdleConnections()
	times := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mutex sync.Mutex
	var waitGroup sync.WaitGroup
	started := time.Now()
	cpuTime := measureCPUTime(func() {
		for range clients {
			waitGroup.Add(1)
			go func() {
				defer waitGroup.Done()
				for time.Since(started) < duration {
					sent := time.Now()
					status, err := sendOnce(ctx, client, url)
					if err != nil || status != http.StatusOK {
						continue
					}
					mutex.Lock()
					_ = times.RecordValue(time.Since(sent).Microseconds())
					mutex.Unlock()
				}
			}()
		}
		waitGroup.Wait()
	})
	elapsed := time.Since(started)
	return PathCost{
		Way: name, PerSecond: float64(times.TotalCount()) / elapsed.Seconds(),
		Median:    time.Duration(times.ValueAtQuantile(50)) * time.Microsecond,
		P99:       time.Duration(times.ValueAtQuantile(99)) * time.Microsecond,
		Processor: cpuTime / time.Duration(max(1, times.TotalCount())),
	}
}
