package scale

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"damaskcrank.example/damaskcrank/internal/bench/fake"
	"damaskcrank.example/damaskcrank/internal/bench/fleet"
)

// Upstreams measures the CPU time per second that idle upstreams cost as a function
// of their number. It includes grants, announcements and the fake upstreams
// themselves.
func Upstreams() (Regression, error) {
	var points []Point
	for _, count := range []int{10, 20, 40, 80} {
		cost, err := measureIdleUpstreams(count)
		if err != nil {
			return Regression{}, err
		}
		points = append(points, Point{float64(count), cost})
	}
	return fitLine("idle upstreams, one second", "microseconds", "upstream", points), nil
}

// measureIdleUpstreams returns the CPU time in microseconds that the process uses
// in a second with a number of idle upstreams.
func measureIdleUpstreams(count int) (float64, error) {
	const duration = 3 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), measurementTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "damaskcrank-idle-")
	if err != nil {
		return 0, Error.New("create folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	running, err := fleet.Start(ctx, fleet.Options{
		Hosts: 1, ControlHosts: 1, DataCentres: []string{"one"}, Folder: folder, Log: &log.Logger{Handler: discard.New()},
	})
	if err != nil {
		return 0, Error.New("start fleet: %w", err)
	}
	defer running.Close()
	if err := running.ApplyRecords(ctx, 0, "[[service]]\nname = \"s\"\nschema = 1\nversion = 1\npartitions = 256\n"); err != nil {
		return 0, Error.New("apply records: %w", err)
	}
	for number := range count {
		if _, err := running.StartUpstream(fake.Options{
			Service: "s", Name: fmt.Sprintf("u-%d", number), DataCentre: "one", Slots: 2, ColdRate: 10, ColdRamp: time.Second,
		}); err != nil {
			return 0, Error.New("start upstream: %w", err)
		}
	}
	if err := running.AwaitOwners(ctx, "s"); err != nil {
		return 0, Error.New("wait for owners: %w", err)
	}
	<-time.After(duration)
	cpuTime := measureCPUTime(func() { <-time.After(duration) })
	return cpuTime.Seconds() * 1e6 / duration.Seconds(), nil
}
