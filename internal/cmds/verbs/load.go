package verbs

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"damaskcrank.example/damaskcrank/internal/base/logs"
	"damaskcrank.example/damaskcrank/internal/bench/fake"
	"damaskcrank.example/damaskcrank/internal/bench/load"
	"damaskcrank.example/damaskcrank/internal/bench/report"
	"damaskcrank.example/damaskcrank/internal/bench/scene"
)

// setupTimeout is the part of the run's timeout that allows for starting the fleet.
const setupTimeout = 90 * time.Second

type loadCommand struct {
	Output
	Profile

	User       string            `default:"jordan" enum:"jordan,gandaki" help:"Whose fleet to start: jordan or gandaki."`
	Duration   time.Duration     `default:"20s" help:"How long to send load."`
	PerSecond  float64           `default:"400" help:"Requests per second of all workspaces together."`
	RateFactor float64           `default:"1.5" help:"Each workspace's rate as a multiple of its load; below 1 they send over their rates."`
	Flood      float64           `default:"1" help:"The first workspace sends this many times its share."`
	Routing    string            `help:"The routing policy; empty is the default."`
	Admission  string            `help:"The admission policy; empty is the default."`
	Faults     []scene.FaultKind `help:"Faults to cause in turn: straggler, datacentre, host, leader, upstream, freeze, cold, shutdown."`
	Seed       uint64            `default:"1" help:"The seed of the load."`
	Report     string            `help:"Write an HTML report with plots to this file." placeholder:"FILE"`
	Logs       bool              `help:"Print the hosts' logs."`
}

// LoadResult holds the measurements of a load run.
type LoadResult struct {
	Summary   load.Summary
	Writes    load.WriteCheck
	Breaches  fake.Violations
	Crashes   int
	Churn     int
	Imbalance float64
	Marks     []scene.FaultEvent
	Series    []load.Point
}

// Run starts a fleet, sends load while it injects the faults, and prints the
// measurements.
func (loadcommand *loadCommand) Run(streams *Streams) error {
	for _, fault := range loadcommand.Faults {
		if !slices.Contains(scene.FaultKinds(), fault) {
			return &exitError{code: ExitUsage, err: Error.New("fault %q is none of %v", fault, scene.FaultKinds())}
		}
	}
	result, err := loadcommand.measure(streams)
	if err != nil {
		return err
	}
	if loadcommand.Report != "" {
		run := report.Run{
			Title: "Load on " + loadcommand.User, Summary: result.Summary, Writes: result.Writes,
			Series: result.Series, Marks: result.Marks,
		}
		if err := report.Write(loadcommand.Report, run); err != nil {
			return Error.New("write report: %w", err)
		}
	}
	if loadcommand.json() {
		return printJSON(streams.Out, result)
	}
	return printLoad(streams, result)
}

func (loadcommand *loadCommand) measure(streams *Streams) (LoadResult, error) {
	folder, err := os.MkdirTemp("", "damaskcrank-load-")
	if err != nil {
		return LoadResult{}, Error.New("create folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	logger, err := commandLogger(loadcommand.Logs)
	if err != nil {
		return LoadResult{}, err
	}
	deployment := scene.Jordan()
	if loadcommand.User == "gandaki" {
		deployment = scene.Gandaki()
	}
	ctx, cancel := context.WithTimeout(context.Background(), setupTimeout+2*loadcommand.Duration)
	defer cancel()
	_, _ = fmt.Fprintf(streams.Err, "starting %d hosts and %d upstreams\n", deployment.Hosts, deployment.KeyedUpstreams+deployment.UnkeyedUpstreams)
	running, err := scene.Start(ctx, scene.Options{
		Deployment: deployment, Folder: folder, Log: logger, PerSecond: loadcommand.PerSecond, RateFactor: loadcommand.RateFactor,
		Routing: loadcommand.Routing, Admission: loadcommand.Admission, OverloadFactor: loadcommand.Flood,
	})
	if err != nil {
		return LoadResult{}, Error.New("start scenario: %w", err)
	}
	defer running.Close()
	_, _ = fmt.Fprintf(streams.Err, "sending load for %s\n", loadcommand.Duration)
	stopProfile, err := loadcommand.start()
	if err != nil {
		return LoadResult{}, err
	}
	defer stopProfile()
	countCtx, cancelCount := context.WithCancel(ctx)
	defer cancelCount()
	ownerChanges := running.CountOwnerChanges(countCtx)
	faultschedule := running.InjectFaults(ctx, loadcommand.Faults, loadcommand.Duration)
	recorder := load.NewRunner(running.LoadPlan(loadcommand.Duration, loadcommand.Seed)).Run(ctx)
	cancelCount()
	return LoadResult{
		Summary: recorder.Summary(), Writes: recorder.CheckWrites(running.Fleet.Journal), Breaches: running.Violations(),
		Crashes: running.Fleet.Journal.Crashes(), Churn: <-ownerChanges, Imbalance: running.Imbalance(),
		Marks: faultschedule.Events(), Series: recorder.Series(),
	}, nil
}

// commandLogger returns a logger that writes to standard error, or one that
// discards all lines if logging is not enabled.
func commandLogger(enabled bool) (log.Interface, error) {
	if !enabled {
		return &log.Logger{Handler: discard.New()}, nil
	}
	logger, err := logs.New(os.Stderr, "info", logs.FormatText)
	if err != nil {
		return nil, Error.New("set up log: %w", err)
	}
	return logger, nil
}

func printLoad(streams *Streams, result LoadResult) error {
	summary := result.Summary
	rows := newTable(streams.Out, "MEASURE", "VALUE")
	rows.row("offered, answered", fmt.Sprintf("%d, %d", summary.Offered, summary.Answered))
	rows.row("median, p99, p99.9, max", fmt.Sprintf("%s, %s, %s, %s", summary.Median, summary.P99, summary.P999, summary.Max))
	rows.row("unavailable time, longest gap", fmt.Sprintf("%s, %s", summary.Unavailable.Round(time.Millisecond), summary.LongestGap))
	rows.row("load imbalance (busiest / mean)", fmt.Sprintf("%.2f", result.Imbalance))
	rows.row("churn (changes of a partition's owner)", result.Churn)
	rows.row("wrongful refusals", summary.Wrongful)
	rows.row("answers beyond rate and burst", summary.Excess)
	rows.row("worst-served workspace", fmt.Sprintf("%s, %.2f %% of its requests within the rate", summary.Worst.Name, summary.Worst.Served*100))
	rows.row("writes: sent, acknowledged", fmt.Sprintf("%d, %d", result.Writes.Writes, result.Writes.Acknowledged))
	rows.row("writes: lost, doubled, falsely 'not run'", fmt.Sprintf("%d, %d, %d", result.Writes.Lost, result.Writes.Doubled, result.Writes.FalseNotRun))
	rows.row("answers of other requests", summary.Crossed)
	rows.row("breaches: slots, cold start, ownership, caller keys", fmt.Sprintf("%d, %d, %d, %d",
		result.Breaches.OverSlots, result.Breaches.OverCold, result.Breaches.NotOwner, result.Breaches.CallerKeys))
	rows.row("requests that upstreams fenced off", result.Breaches.Fenced)
	for _, workspace := range summary.Workspaces {
		rows.row("workspace "+workspace.Name, fmt.Sprintf("%d of %d answered, %.2f %% of those within the rate, p99 %s",
			workspace.Answered, workspace.Offered, workspace.Served*100, workspace.P99))
	}
	for _, reason := range summary.Reasons {
		rows.row("refused: "+reason.Reason, reason.Count)
	}
	for _, faultevent := range result.Marks {
		rows.row(fmt.Sprintf("at %s", faultevent.At.Round(time.Millisecond)), faultevent.Text)
	}
	return rows.flush()
}
