package slope

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

	"damaskcrank.example/damaskcrank/internal/bench/fleet"
	"damaskcrank.example/damaskcrank/internal/bench/stand"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
	"damaskcrank.example/damaskcrank/internal/entry/front"
)

const hopTimeout = 2 * time.Minute

// Hop is what one way of reaching an upstream costs.
type Hop struct {
	Way       string
	PerSecond float64
	Median    time.Duration
	P99       time.Duration
	// Processor is the time of the whole process for a request, the load and
	// the stand-in included, which are the same for all ways.
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

// Hops measures, in one run and in turns, requests that go straight to the
// stand-in, through the entry host that is the primary, and through another
// entry host that forwards them.
func Hops(clients int, length time.Duration) ([]Hop, error) {
	ctx, cancel := context.WithTimeout(context.Background(), hopTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "damaskcrank-hop-")
	if err != nil {
		return nil, Error.New("create folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	running, err := fleet.Start(ctx, fleet.Options{
		Hosts: 2, Control: 1, DataCentres: []string{"one"}, Folder: folder, Log: &log.Logger{Handler: discard.New()},
	})
	if err != nil {
		return nil, Error.New("start fleet: %w", err)
	}
	defer running.Close()
	primary, upstream, err := prepareHop(ctx, running)
	if err != nil {
		return nil, err
	}
	ways := []struct {
		name   string
		target netip.AddrPort
		path   string
	}{
		{"straight to the stand-in", upstream, "/item"},
		{"through the primary's host", running.CallerAddress(primary), "/desk/item"},
		{"through another host", running.CallerAddress(1 - primary), "/desk/item"},
	}
	hops := make([]Hop, len(ways))
	for number, way := range ways {
		hops[number] = drive(ctx, way.name, "http://"+way.target.String()+way.path, clients, length)
	}
	return hops, nil
}

// prepareHop puts records in force and starts a warm stand-in with many slots.
func prepareHop(ctx context.Context, running *fleet.Fleet) (int, netip.AddrPort, error) {
	if err := running.Apply(ctx, 0, fmt.Sprintf(hopRecords, front.HashSecret("s"))); err != nil {
		return 0, netip.AddrPort{}, Error.New("prepare: %w", err)
	}
	upstream, err := running.StartUpstream(stand.Options{
		Service: "desk", Name: "desk-0", DataCentre: "one", Slots: 256, ColdRate: 1000, ColdRamp: time.Millisecond,
	})
	if err != nil {
		return 0, netip.AddrPort{}, Error.New("prepare: %w", err)
	}
	primary := -1
	err = running.Await(ctx, "a primary", func() bool {
		held := running.Hosts[0].Catalog().Shards[state.DispatchShard("desk", "")]
		for number := range running.Hosts {
			if held.Host == fmt.Sprintf("host-%d", number) {
				primary = number
			}
		}
		return primary >= 0 && answers(ctx, "http://"+running.CallerAddress(primary).String()+"/desk/item")
	})
	return primary, upstream.Address(), err
}

func answers(ctx context.Context, url string) bool {
	status, err := once(ctx, http.DefaultClient, url)
	return err == nil && status == http.StatusOK
}

func once(ctx context.Context, client *http.Client, url string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, Error.New("build request: %w", err)
	}
	request.Header.Set("X-Api-Key", front.FormatKey("k", "s"))
	request.Header.Set(upstr.HeaderDeadline, "5000")
	response, err := client.Do(request)
	if err != nil {
		return 0, Error.New("send: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, Error.New("read: %w", err)
	}
	return response.StatusCode, nil
}

// drive sends requests one after another from each client.
func drive(ctx context.Context, name, url string, clients int, length time.Duration) Hop {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	defer client.CloseIdleConnections()
	times := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mutex sync.Mutex
	var wait sync.WaitGroup
	started := time.Now()
	used := spent(func() {
		for range clients {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for time.Since(started) < length {
					sent := time.Now()
					status, err := once(ctx, client, url)
					if err != nil || status != http.StatusOK {
						continue
					}
					mutex.Lock()
					_ = times.RecordValue(time.Since(sent).Microseconds())
					mutex.Unlock()
				}
			}()
		}
		wait.Wait()
	})
	elapsed := time.Since(started)
	return Hop{
		Way: name, PerSecond: float64(times.TotalCount()) / elapsed.Seconds(),
		Median:    time.Duration(times.ValueAtQuantile(50)) * time.Microsecond,
		P99:       time.Duration(times.ValueAtQuantile(99)) * time.Microsecond,
		Processor: used / time.Duration(max(1, times.TotalCount())),
	}
}
