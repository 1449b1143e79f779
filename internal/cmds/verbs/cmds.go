// Package verbs implements the command-line interface, with one file for each
// command.
package verbs

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("damaskcrank")

// Exit codes of the program.
const (
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that the command line was wrong.
	ExitUsage = 2
	// ExitConflict means that the change conflicts with one committed before.
	ExitConflict = 3
	// ExitPartial means that a change is committed, but some live hosts have not
	// applied it yet.
	ExitPartial = 4
)

// exitError carries the exit code to end the program with.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the wrapped error.
func (exiterror *exitError) Error() string { return exiterror.err.Error() }

// Unwrap returns the wrapped error.
func (exiterror *exitError) Unwrap() error { return exiterror.err }

// Output is the flag that selects a command's output format.
type Output struct {
	Output string `default:"table" enum:"table,json" help:"How to print data: table or json." short:"o"`
}

// CommandLine declares the program's commands for kong.
type CommandLine struct {
	Serve      serveCommand      `cmd:"" help:"Run a host. Without settings it is one host on loopback that is both entry and control host."`
	Demo       demoCommand       `cmd:"" help:"Run a fleet with stand-in upstreams in this process, move a key, stop a host, and print what happened."`
	Apply      applyCommand      `cmd:"" help:"Put a document's records in force and wait until every live host has them."`
	Get        getCommand        `cmd:"" help:"Print records in force."`
	Delete     deleteCommand     `cmd:"" help:"Withdraw a record."`
	History    historyCommand    `cmd:"" help:"Print accepted changes, the latest first."`
	Status     statusCommand     `cmd:"" help:"Print hosts, shards, ownership and the control group."`
	Datacentre datacentreCommand `cmd:"" help:"Take a data centre out of service or back in."`
	Upstream   upstreamCommand   `cmd:"" help:"Take an upstream out of service or back in."`
	Member     memberCommand     `cmd:"" help:"Add, remove or replace a control host."`
	Move       moveCommand       `cmd:"" help:"Give a single key to an upstream."`
	Policy     policyCommand     `cmd:"" help:"Compare policies on live traffic."`
	Key        keyCommand        `cmd:"" help:"Make caller keys."`
	Token      tokenCommand      `cmd:"" help:"Make operators' tokens."`
	Settings   settingsCommand   `cmd:"" help:"Work with settings files."`
	Load       loadCommand       `cmd:"" help:"Send load and print the measures, to a fleet or to one started for the purpose."`
	Explain    explainCommand    `cmd:"" help:"Print what all hosts decided about one request, in order, from their logs."`
	Stand      standCommand      `cmd:"" help:"Run a stand-in upstream, to try an installation out."`
	Bench      benchCommand      `cmd:"" help:"Measure slopes: the log, the forwarding hop, heartbeats and configuration over the number of hosts."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

// Streams are the standard output and standard error of a command.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// ExtraCommand is a command that another package adds to the command line.
type ExtraCommand struct {
	Name    string
	Help    string
	Command any
}

// Run parses the arguments, runs the command and returns the exit code.
func Run(args []string, extras ...ExtraCommand) int {
	var line CommandLine
	streams := &Streams{Out: os.Stdout, Err: os.Stderr}
	exited := -1
	options := []kong.Option{
		kong.Name("damaskcrank"), kong.Description("A router for servers that own keys exclusively."),
		kong.UsageOnError(), kong.Exit(func(code int) { exited = code }), kong.Bind(streams),
	}
	for _, extracommand := range extras {
		options = append(options, kong.DynamicCommand(extracommand.Name, extracommand.Help, "", extracommand.Command))
	}
	parser, err := kong.New(&line, options...)
	if err != nil {
		_, _ = fmt.Fprintln(streams.Err, err)
		return ExitFailed
	}
	ctx, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		_, _ = fmt.Fprintln(streams.Err, "damaskcrank:", err)
		return ExitUsage
	}
	if err := ctx.Run(streams); err != nil {
		_, _ = fmt.Fprintln(streams.Err, "damaskcrank:", err)
		var exitErr *exitError
		if errors.As(err, &exitErr) {
			return exitErr.code
		}
		return ExitFailed
	}
	return ExitOK
}
