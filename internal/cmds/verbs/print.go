package verbs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"damaskcrank.example/damaskcrank/internal/oper/admin"
)

const columnPadding = 2

// table prints rows with aligned columns.
type table struct{ writer *tabwriter.Writer }

func newTable(out io.Writer, columns ...string) table {
	rows := table{writer: tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)}
	rows.row(toCells(columns)...)
	return rows
}

func toCells(texts []string) []any {
	values := make([]any, 0, len(texts))
	for _, text := range texts {
		values = append(values, text)
	}
	return values
}

func (table table) row(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		texts = append(texts, fmt.Sprint(cell))
	}
	_, _ = fmt.Fprintln(table.writer, strings.Join(texts, "\t"))
}

func (table table) flush() error {
	if err := table.writer.Flush(); err != nil {
		return Error.New("print: %w", err)
	}
	return nil
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return Error.New("print: %w", err)
	}
	return nil
}

// compactJSON returns a record's body on one line, or unchanged if it is not
// valid JSON.
func compactJSON(body json.RawMessage) string {
	var line bytes.Buffer
	if err := json.Compact(&line, body); err != nil {
		return string(body)
	}
	return line.String()
}

func (output Output) json() bool { return output.Output == "json" }

// printApply prints the outcome of a change and the hosts that lag behind.
func printApply(streams *Streams, output Output, reply admin.ApplyReply) error {
	if output.json() {
		return printJSON(streams.Out, reply)
	}
	where := "in force on every live host"
	if len(reply.Lagging) > 0 {
		where = "not yet in force on " + strings.Join(reply.Lagging, ", ")
	}
	_, _ = fmt.Fprintf(streams.Out, "%s at index %d, %s\n", reply.Outcome, reply.Index, where)
	return nil
}
