package verbs

import (
	"fmt"
	"time"

	"damaskcrank.example/damaskcrank/internal/bench/slope"
)

type benchCommand struct {
	State   benchStateCommand   `cmd:"" help:"Memory and processor time of the replicated state, by its size."`
	Hosts   benchHostsCommand   `cmd:"" help:"Heartbeats and configuration changes, by the number of hosts."`
	Idle    benchIdleCommand    `cmd:"" help:"What idle upstreams cost, by their number."`
	Commits benchCommitsCommand `cmd:"" help:"Durable commits per second, with and without group commit."`
	Hop     benchHopCommand     `cmd:"" help:"The price of the way through the system and of the forwarding hop."`
}

// printSlopes prints fitted lines, with the measurements that they are fitted to.
func printSlopes(streams *Streams, output Output, lines []slope.Line) error {
	if output.json() {
		return printJSON(streams.Out, lines)
	}
	rows := newTable(streams.Out, "WHAT", "BASE", "SLOPE", "UNIT", "FIT", "MEASURED AT")
	for _, line := range lines {
		sizes := ""
		for _, point := range line.Points {
			sizes += fmt.Sprintf("%g:%.4g ", point.Size, point.Cost)
		}
		rows.row(line.What, fmt.Sprintf("%.4g", line.Base), fmt.Sprintf("%.4g", line.Slope), line.Unit+" per "+line.Per,
			fmt.Sprintf("%.3f", line.Fit), sizes)
	}
	return rows.flush()
}

type benchStateCommand struct{ Output }

// Run measures the cost of the replicated state by its size.
func (benchstatecommand *benchStateCommand) Run(streams *Streams) error {
	return printSlopes(streams, benchstatecommand.Output, []slope.Line{
		slope.Partitions(), slope.HotKeys(), slope.CallerKeys(), slope.ApplyRecord(), slope.Ledger(), slope.LedgerWork(),
	})
}

type benchHostsCommand struct{ Output }

// Run measures the cost of heartbeats and configuration changes by the number of
// hosts.
func (benchhostscommand *benchHostsCommand) Run(streams *Streams) error {
	leader, host, bytes := slope.Heartbeats()
	latency, processor, err := slope.Spread()
	if err != nil {
		return Error.New("measure: %w", err)
	}
	_, _ = fmt.Fprintf(streams.Err, "a heartbeat and its answer have %d bytes\n", bytes)
	return printSlopes(streams, benchhostscommand.Output, []slope.Line{leader, host, latency, processor})
}

type benchIdleCommand struct{ Output }

// Run measures the cost of idle upstreams by their number.
func (benchidlecommand *benchIdleCommand) Run(streams *Streams) error {
	line, err := slope.Upstreams()
	if err != nil {
		return Error.New("measure: %w", err)
	}
	return printSlopes(streams, benchidlecommand.Output, []slope.Line{line})
}

type benchCommitsCommand struct{ Output }

// Run measures commits per second, with and without group commit.
func (benchcommitscommand *benchCommitsCommand) Run(streams *Streams) error {
	rates, err := slope.Commits()
	if err != nil {
		return Error.New("measure: %w", err)
	}
	if benchcommitscommand.json() {
		return printJSON(streams.Out, rates)
	}
	rows := newTable(streams.Out, "PROPOSERS", "GROUP COMMIT", "COMMITS/S", "MEAN")
	for _, rate := range rates {
		rows.row(rate.Proposers, !rate.OneByOne, fmt.Sprintf("%.0f", rate.PerSecond), rate.Mean.Round(time.Microsecond))
	}
	return rows.flush()
}

type benchHopCommand struct {
	Output
	Profile

	Clients int           `default:"16" help:"How many clients send requests one after another."`
	Length  time.Duration `default:"4s" help:"How long to measure each way."`
}

// Run measures rate, latency and processor time of requests that are sent to the
// upstream directly, through its primary, and through another host that forwards
// them to the primary.
func (benchhopcommand *benchHopCommand) Run(streams *Streams) error {
	stop, err := benchhopcommand.start()
	if err != nil {
		return err
	}
	defer stop()
	hops, err := slope.Hops(benchhopcommand.Clients, benchhopcommand.Length)
	if err != nil {
		return Error.New("measure: %w", err)
	}
	if benchhopcommand.json() {
		return printJSON(streams.Out, hops)
	}
	rows := newTable(streams.Out, "WAY", "REQUESTS/S", "MEDIAN", "P99", "PROCESSOR TIME A REQUEST")
	for _, hop := range hops {
		rows.row(hop.Way, fmt.Sprintf("%.0f", hop.PerSecond), hop.Median, hop.P99, hop.Processor)
	}
	return rows.flush()
}
