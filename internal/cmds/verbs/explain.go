package verbs

import (
	"io"
	"os"

	"damaskcrank.example/damaskcrank/internal/oper/trace"
)

type explainCommand struct {
	Request string   `arg:"" help:"The request's ID."`
	Logs    []string `arg:"" help:"Log files of all hosts. Without them the log is read from standard input." optional:"" type:"existingfile"`
}

// Run prints the log lines of all hosts that concern a request, in time order.
func (explaincommand *explainCommand) Run(streams *Streams) error {
	lines, err := explaincommand.read()
	if err != nil {
		return err
	}
	timeline := trace.Timeline(lines, explaincommand.Request)
	if len(timeline) == 0 {
		return Error.New("no log line has the request ID %s", explaincommand.Request)
	}
	if err := trace.Write(streams.Out, timeline); err != nil {
		return Error.New("explain: %w", err)
	}
	return nil
}

func (explaincommand *explainCommand) read() ([]trace.Line, error) {
	if len(explaincommand.Logs) == 0 {
		return readLog(os.Stdin)
	}
	var lines []trace.Line
	for _, path := range explaincommand.Logs {
		file, err := os.Open(path)
		if err != nil {
			return nil, Error.New("open log: %w", err)
		}
		found, err := readLog(file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, found...)
	}
	return lines, nil
}

func readLog(reader io.Reader) ([]trace.Line, error) {
	lines, err := trace.Read(reader)
	if err != nil {
		return nil, Error.New("read log: %w", err)
	}
	return lines, nil
}
