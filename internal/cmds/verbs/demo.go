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
	demoLoad = 3 * time.Second
	// demoLead is how long load runs before a step's action.
	demoLead     = 750 * time.Millisecond
	demoRate     = 150
	demoFactor   = 2
	demoTimeout  = 2 * time.Minute
	progressStep = 200 * time.Millisecond
	// hotKey is the most frequent key of the load.
	hotKey = "key-0"
)

type demoCommand struct {
	Output

	Logs bool `help:"Print the hosts' logs."`
}

// demoPhase is one step of the demo with load beside it.
type demoPhase struct {
	Name   string
	Detail string
	Load   load.Summary
	Writes load.WriteCheck
}

// Run starts a small fleet, sends load through each step, and prints a table.
func (democommand *demoCommand) Run(streams *Streams) error {
	folder, err := os.MkdirTemp("", "damaskcrank-demo-")
	if err != nil {
		return Error.New("create folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	logger, err := quietLog(democommand.Logs)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	progress := startProgress(streams)
	defer progress.stop()
	progress.say("starting 4 hosts, 3 of them control hosts with disks, and 9 upstreams")
	running, err := scene.Start(ctx, scene.Options{
		User: scene.Small(), Folder: folder, Log: logger, PerSecond: demoRate, RateFactor: demoFactor,
	})
	if err != nil {
		return Error.New("start demo: %w", err)
	}
	defer running.Close()
	phases, err := runDemo(ctx, running, progress)
	if err != nil {
		return err
	}
	progress.stop()
	if democommand.json() {
		return printJSON(streams.Out, phases)
	}
	return printDemo(streams, running, phases)
}

// demoStep is what happens while a phase's load runs.
type demoStep struct {
	name   string
	action func(ctx context.Context, running *scene.Scene) (string, error)
}

func demoSteps() []demoStep {
	return []demoStep{
		{"all is well", func(context.Context, *scene.Scene) (string, error) { return "-", nil }},
		{"a hot key moves", moveHotKey},
		{"an entry host is lost", loseEntryHost},
		{"the control leader is lost", loseLeader},
		{"a data centre leaves", leaveDataCentre},
	}
}

func runDemo(ctx context.Context, running *scene.Scene, progress *progress) ([]demoPhase, error) {
	var phases []demoPhase
	for number, step := range demoSteps() {
		progress.say(fmt.Sprintf("step %d of %d: %s", number+1, len(demoSteps()), step.name))
		results := make(chan *load.Measures, 1)
		go func() {
			results <- load.NewRunner(running.Plan(demoLoad, uint64(number+1))).Run(ctx)
		}()
		<-time.After(demoLead)
		detail, err := step.action(ctx, running)
		measures := <-results
		if err != nil {
			return nil, Error.New("step %q: %w", step.name, err)
		}
		phases = append(phases, demoPhase{
			Name: step.name, Detail: detail, Load: measures.Summary(), Writes: measures.CheckWrites(running.Fleet.Journal),
		})
		if err := running.Fleet.AwaitReady(ctx); err != nil {
			return nil, Error.New("step %q: %w", step.name, err)
		}
	}
	return phases, nil
}

func moveHotKey(ctx context.Context, running *scene.Scene) (string, error) {
	user := scene.Small()
	_, owner := running.Table().Find(hotKey)
	target := user.Keyed + "-0"
	if owner.Upstream == target {
		target = user.Keyed + "-1"
	}
	body, err := json.Marshal(admin.MoveArgs{Service: user.Keyed, Key: hotKey, To: target})
	if err != nil {
		return "", Error.New("encode request: %w", err)
	}
	started := time.Now()
	var moved state.Owner
	if err := running.Fleet.Operate(ctx, 0, http.MethodPost, "/api/v1/moves", typeJSON, body, &moved); err != nil {
		return "", Error.New("move key: %w", err)
	}
	return fmt.Sprintf("%s from %s to %s in %s", hotKey, owner.Upstream, moved.Upstream, time.Since(started).Round(time.Millisecond)), nil
}

func loseEntryHost(_ context.Context, running *scene.Scene) (string, error) {
	number := len(running.Fleet.Hosts) - 1
	running.Fleet.KillHost(number)
	return fmt.Sprintf("host-%d was killed", number), nil
}

func loseLeader(_ context.Context, running *scene.Scene) (string, error) {
	number := running.Fleet.Leader()
	if number < 0 {
		return "", Error.New("no control leader was found")
	}
	running.Fleet.KillHost(number)
	return fmt.Sprintf("host-%d was killed", number), nil
}

func leaveDataCentre(ctx context.Context, running *scene.Scene) (string, error) {
	path := "/api/v1/service/dataCentre/out/zarqa"
	var reply admin.ApplyReply
	if err := running.Fleet.Operate(ctx, running.Fleet.AnyHost(), http.MethodPost, path, typeJSON, nil, &reply); err != nil {
		return "", Error.New("take data centre out: %w", err)
	}
	return "zarqa is out at index " + fmt.Sprint(reply.Index), nil
}

func printDemo(streams *Streams, running *scene.Scene, phases []demoPhase) error {
	rows := newTable(streams.Out, "STEP", "WHAT HAPPENED", "SENT", "ANSWERED", "MEDIAN", "P99", "UNAVAILABLE", "WRITES", "LOST", "DOUBLED")
	lost := 0
	for _, phase := range phases {
		lost += phase.Writes.Lost + phase.Writes.Doubled + phase.Writes.FalseNotRun
		rows.row(phase.Name, phase.Detail, phase.Load.Offered, phase.Load.Answered, phase.Load.Median.Round(time.Millisecond),
			phase.Load.P99.Round(time.Millisecond), phase.Load.Unavailable.Round(time.Millisecond),
			phase.Writes.Acknowledged, phase.Writes.Lost, phase.Writes.Doubled)
	}
	if err := rows.flush(); err != nil {
		return err
	}
	breaches := running.Breaches()
	_, _ = fmt.Fprintf(streams.Out, "\nstand-ins saw: %d requests over their slots, %d over their cold start, %d without a grant, %d caller keys\n",
		breaches.OverSlots, breaches.OverCold, breaches.NotOwner, breaches.CallerKeys)
	if lost > 0 {
		return Error.New("%d writes were lost, doubled or falsely called not run", lost)
	}
	return nil
}

// progress keeps one line on stderr up to date while the demo works.
type progress struct {
	streams *Streams
	lines   chan string
	done    chan struct{}
	stopped bool
	// terminal is set where the line can be rewritten.
	terminal bool
}

func startProgress(streams *Streams) *progress {
	progress := &progress{
		streams: streams, lines: make(chan string), done: make(chan struct{}), terminal: logs.Terminal(os.Stderr),
	}
	go progress.run()
	return progress
}

func (progress *progress) run() {
	defer close(progress.done)
	ticker := time.NewTicker(progressStep)
	defer ticker.Stop()
	started, line := time.Now(), ""
	for {
		select {
		case next, ok := <-progress.lines:
			if !ok {
				progress.show("\r\033[K")
				return
			}
			line = next
			if !progress.terminal {
				_, _ = fmt.Fprintln(progress.streams.Err, line)
			}
		case <-ticker.C:
		}
		progress.show(fmt.Sprintf("\r\033[K%5.1f s  %s", time.Since(started).Seconds(), line))
	}
}

// show rewrites the line where it goes to a terminal.
func (progress *progress) show(text string) {
	if progress.terminal {
		_, _ = fmt.Fprint(progress.streams.Err, text)
	}
}

func (progress *progress) say(line string) { progress.lines <- line }

func (progress *progress) stop() {
	if progress.stopped {
		return
	}
	progress.stopped = true
	close(progress.lines)
	<-progress.done
}
