package verbs

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"damaskcrank.example/damaskcrank/internal/bench/fake"
)

type standCommand struct {
	Service     string           `arg:"" help:"The service that it belongs to."`
	Name        string           `arg:"" help:"Its name."`
	Address     netip.AddrPort   `default:"127.0.0.1:0" help:"Where it listens."`
	DataCentre  string           `default:"local" help:"Its data centre."`
	Operators   []netip.AddrPort `default:"127.0.0.1:7401" help:"The operator addresses of hosts that take its announcements."`
	Keyed       bool             `help:"Serve only keys that it was granted."`
	Slots       int              `default:"2" help:"How many requests it runs at a time."`
	Connections int              `default:"130" help:"How many connections it takes."`
	Work        time.Duration    `default:"10ms" help:"How long a request takes."`
	ColdRate    float64          `default:"10" help:"Requests per second that it bears when cold."`
	ColdRamp    time.Duration    `default:"5s" help:"The time from cold to full load."`
}

// Run runs a stand-in upstream until it gets SIGINT or SIGTERM.
func (standcommand *standCommand) Run(streams *Streams) error {
	running, err := fake.Start(fake.Options{
		Service: standcommand.Service, Name: standcommand.Name, DataCentre: standcommand.DataCentre,
		Address: standcommand.Address, OperatorAddresses: standcommand.Operators, Slots: standcommand.Slots,
		ServiceTime: standcommand.Work, ColdRate: standcommand.ColdRate, ColdRamp: standcommand.ColdRamp,
		Keyed: standcommand.Keyed, KeyHeader: "Resource-Key", ChecksToken: standcommand.Keyed,
		Connections: standcommand.Connections,
	}, &fake.Journal{})
	if err != nil {
		return Error.New("start stand-in: %w", err)
	}
	_, _ = fmt.Fprintf(streams.Err, "stand-in %s/%s listens on %s\n", standcommand.Service, standcommand.Name, running.Address())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	running.Kill()
	return nil
}
