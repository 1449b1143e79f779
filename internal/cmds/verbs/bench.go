package verbs

import (
	"fmt"
	"time"

	"damaskcrank.example/damaskcrank/internal/bench/scale"
)

type benchCommand struct {
	State   benchStateCommand   `cmd:"" help:"Memory and processor time of the replicated state, by its size."`
	Hosts   benchHostsCommand   `cmd:"" help:"Heartbeats and configuration changes, by the number of hosts."`
	Idle    benchIdleCommand    `cmd:"" help:"What idle upstreams cost, by their number."`
	Commits benchCommitsCommand `cmd:"" help:"Durable commits per second, with and without group commit."`
	Hop     benchHopCommand     `cmd:"" help:"The price of the way through the system and of the forwarding hop."`
}

// printRegressions prints linear regressions with the measurements behind them.
func printRegressions(streams *Streams, output Output, regressions []scale.Regression) error {
	if output.json() {
		return printJSON(streams.Out, regressions)
	}
	rows := newTable(streams.Out, "WHAT", "BASE", "SLOPE", "UNIT", "FIT", "MEASURED AT")
	for _, regression := range regressions {
		sizes := ""
		for _, point := range regression.Points {
			sizes += fmt.Sprintf("%g:%.4g ", point.Size, point.Cost)
		}
		rows.row(regression.What, fmt.Sprintf("%.4g", regression.Base), fmt.Sprintf("%.4g", regression.Slope), regression.Unit+" per "+regression.Per,
			fmt.Sprintf("%.3f", regression.Fit), sizes)
	}
	return rows.flush()
}

type benchStateCommand struct{ Output }

// Run measures the cost of the replicated state by its size.
func (benchstatecommand *benchStateCommand) Run(streams *Streams) error {
	return printRegressions(streams, benchstatecommand.Output, []scale.Regression{
		scale.Partitions(), scale.HotKeys(), scale.CallerKeys(), scale.ApplyRecord(), scale.Ledger(), scale.LedgerWork(),
	})
}

type benchHostsCommand struct{ Output }

// Run measures the cost of heartbeats and configuration changes by the number of
// hosts.
func (benchhostscommand *benchHostsCommand) Run(streams *Streams) error {
	leader, host, bytes := scale.Heartbeats()
	latency, processor, err := scale.Propagation()
	if err != nil {
		return Error.New("measure: %w", err)
	}
	_, _ = fmt.Fprintf(streams.Err, "a heartbeat and its answer have %d bytes\n", bytes)
	return printRegressions(streams, benchhostscommand.Output, []scale.Regression{leader, host, latency, processor})
}

type benchIdleCommand struct{ Output }

// Run measures the cost of idle upstreams by their number.
func (benchidlecommand *benchIdleCommand) Run(streams *Streams) error {
	regression, err := scale.Upstreams()
	if err != nil {
		return Error.New("measure: %w", err)
	}
	return printRegressions(streams, benchidlecommand.Output, []scale.Regression{regression})
}

type benchCommitsCommand struct{ Output }

// Run measures commits per second, with and without group commit.
func (benchcommitscommand *benchCommitsCommand) Run(streams *Streams) error {
	rates, err := scale.Commits()
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
	costs, err := scale.MeasurePaths(benchhopcommand.Clients, benchhopcommand.Length)
	if err != nil {
		return Error.New("measure: %w", err)
	}
	if benchhopcommand.json() {
		return printJSON(streams.Out, costs)
	}
	rows := newTable(streams.Out, "WAY", "REQUESTS/S", "MEDIAN", "P99", "PROCESSOR TIME A REQUEST")
	for _, pathcost := range costs {
		rows.row(pathcost.Way, fmt.Sprintf("%.0f", pathcost.PerSecond), pathcost.Median, pathcost.P99, pathcost.Processor)
	}
	return rows.flush()
}
