package verbs

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"damaskcrank.example/damaskcrank/internal/base/logs"
	"damaskcrank.example/damaskcrank/internal/bench/load"
	"damaskcrank.example/damaskcrank/internal/bench/scene"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/oper/admin"
)

const (
	demoStepDuration = 3 * time.Second
	// demoActionDelay is how long a step's load runs before its action.
	demoActionDelay  = 750 * time.Millisecond
	demoRequestRate  = 150
	demoRateFactor   = 2
	demoTimeout      = 2 * time.Minute
	progressInterval = 200 * time.Millisecond
	// hotKey is the key that the load uses most often.
	hotKey = "key-0"
)

type demoCommand struct {
	Output

	Logs bool `help:"Print the hosts' logs."`
}

// demoResult is the outcome of one step of the demo.
type demoResult struct {
	Name   string
	Detail string
	Load   load.Summary
	Writes load.WriteCheck
}

// Run starts a small fleet, measures load during each step, and prints the
// results.
func (democommand *demoCommand) Run(streams *Streams) error {
	folder, err := os.MkdirTemp("", "damaskcrank-demo-")
	if err != nil {
		return Error.New("create folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	logger, err := commandLogger(democommand.Logs)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	progress := startProgress(streams)
	defer progress.stop()
	progress.update("starting 4 hosts, 3 of them control hosts with disks, and 9 upstreams")
	running, err := scene.Start(ctx, scene.Options{
		Deployment: scene.DemoDeployment(), Folder: folder, Log: logger, PerSecond: demoRequestRate, RateFactor: demoRateFactor,
	})
	if err != nil {
		return Error.New("start demo: %w", err)
	}
	defer running.Close()
	results, err := runDemo(ctx, running, progress)
	if err != nil {
		return err
	}
	progress.stop()
	if democommand.json() {
		return printJSON(streams.Out, results)
	}
	return printDemo(streams, running, results)
}

// demoStep is an action that is taken under load. The action returns a description
// of what it did.
type demoStep struct {
	name   string
	action func(ctx context.Context, running *scene.Scenario) (string, error)
}

func demoSteps() []demoStep {
	return []demoStep{
		{"all is well", func(context.Context, *scene.Scenario) (string, error) { return "-", nil }},
		{"a hot key moves", moveHotKey},
		{"an entry host is lost", killEntryHost},
		{"the control leader is lost", killLeader},
		{"a data centre leaves", takeDataCentreOut},
	}
}

func runDemo(ctx context.Context, running *scene.Scenario, progress *progress) ([]demoResult, error) {
	var results []demoResult
	for number, step := range demoSteps() {
		progress.update(fmt.Sprintf("step %d of %d: %s", number+1, len(demoSteps()), step.name))
		measured := make(chan *load.Recorder, 1)
		go func() {
			measured <- load.NewRunner(running.LoadPlan(demoStepDuration, uint64(number+1))).Run(ctx)
		}()
		<-time.After(demoActionDelay)
		detail, err := step.action(ctx, running)
		recorder := <-measured
		if err != nil {
			return nil, Error.New("step %q: %w", step.name, err)
		}
		results = append(results, demoResult{
			Name: step.name, Detail: detail, Load: recorder.Summary(), Writes: recorder.CheckWrites(running.Fleet.Journal),
		})
		if err := running.Fleet.AwaitReady(ctx); err != nil {
			return nil, Error.New("step %q: %w", step.name, err)
		}
	}
	return results, nil
}

func moveHotKey(ctx context.Context, running *scene.Scenario) (string, error) {
	deployment := scene.DemoDeployment()
	_, owner := running.OwnershipTable().Find(hotKey)
	target := deployment.KeyedService + "-0"
	if owner.Upstream == target {
		target = deployment.KeyedService + "-1"
	}
	body, err := json.Marshal(admin.MoveArgs{Service: deployment.KeyedService, Key: hotKey, To: target})
	if err != nil {
		return "", Error.New("encode request: %w", err)
	}
	started := time.Now()
	var moved state.Owner
	if err := running.Fleet.CallOperatorAPI(ctx, 0, http.MethodPost, "/api/v1/moves", typeJSON, body, &moved); err != nil {
		return "", Error.New("move key: %w", err)
	}
	return fmt.Sprintf("%s from %s to %s in %s", hotKey, owner.Upstream, moved.Upstream, time.Since(started).Round(time.Millisecond)), nil
}

func killEntryHost(_ context.Context, running *scene.Scenario) (string, error) {
	number := len(running.Fleet.Hosts) - 1
	running.Fleet.KillHost(number)
	return fmt.Sprintf("host-%d was killed", number), nil
}

func killLeader(_ context.Context, running *scene.Scenario) (string, error) {
	number := running.Fleet.Leader()
	if number < 0 {
		return "", Error.New("no control leader was found")
	}
	running.Fleet.KillHost(number)
	return fmt.Sprintf("host-%d was killed", number), nil
}

func takeDataCentreOut(ctx context.Context, running *scene.Scenario) (string, error) {
	path := "/api/v1/service/dataCentre/out/zarqa"
	var reply admin.ApplyReply
	if err := running.Fleet.CallOperatorAPI(ctx, running.Fleet.ReadyHost(), http.MethodPost, path, typeJSON, nil, &reply); err != nil {
		return "", Error.New("take data centre out: %w", err)
	}
	return "zarqa is out at index " + fmt.Sprint(reply.Index), nil
}

func printDemo(streams *Streams, running *scene.Scenario, results []demoResult) error {
	rows := newTable(streams.Out, "STEP", "WHAT HAPPENED", "SENT", "ANSWERED", "MEDIAN", "P99", "UNAVAILABLE", "WRITES", "LOST", "DOUBLED")
	lost := 0
	for _, result := range results {
		lost += result.Writes.Lost + result.Writes.Doubled + result.Writes.FalseNotRun
		rows.row(result.Name, result.Detail, result.Load.Offered, result.Load.Answered, result.Load.Median.Round(time.Millisecond),
			result.Load.P99.Round(time.Millisecond), result.Load.Unavailable.Round(time.Millisecond),
			result.Writes.Acknowledged, result.Writes.Lost, result.Writes.Doubled)
	}
	if err := rows.flush(); err != nil {
		return err
	}
	violations := running.Violations()
	_, _ = fmt.Fprintf(streams.Out, "\nstand-ins saw: %d requests over their slots, %d over their cold start, %d without a grant, %d caller keys\n",
		violations.OverSlots, violations.OverCold, violations.NotOwner, violations.CallerKeys)
	if lost > 0 {
		return Error.New("%d writes were lost, run twice or falsely reported as not run", lost)
	}
	return nil
}

// progress shows the current step of the demo on standard error. On a terminal it
// is one line that is rewritten, elsewhere each step is printed once.
type progress struct {
	streams *Streams
	lines   chan string
	done    chan struct{}
	stopped bool
	// terminal is set if standard error is a terminal.
	terminal bool
}

func startProgress(streams *Streams) *progress {
	progress := &progress{
		streams: streams, lines: make(chan string), done: make(chan struct{}), terminal: logs.IsTerminal(os.Stderr),
	}
	go progress.run()
	return progress
}

func (progress *progress) run() {
	defer close(progress.done)
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	started, line := time.Now(), ""
	for {
		select {
		case next, ok := <-progress.lines:
			if !ok {
				progress.redraw("\r\033[K")
				return
			}
			line = next
			if !progress.terminal {
				_, _ = fmt.Fprintln(progress.streams.Err, line)
			}
		case <-ticker.C:
		}
		progress.redraw(fmt.Sprintf("\r\033[K%5.1f s  %s", time.Since(started).Seconds(), line))
	}
}

// redraw writes text if standard error is a terminal.
func (progress *progress) redraw(text string) {
	if progress.terminal {
		_, _ = fmt.Fprint(progress.streams.Err, text)
	}
}

func (progress *progress) update(line string) { progress.lines <- line }

func (progress *progress) stop() {
	if progress.stopped {
		return
	}
	progress.stopped = true
	close(progress.lines)
	<-progress.done
}
