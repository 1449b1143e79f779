package verbs

import (
	"net/url"
	"strconv"
	"time"

	"damaskcrank.example/damaskcrank/internal/oper/admin"
)

type historyCommand struct {
	Remote
	Output

	Record string `arg:"" help:"A record as kind/name. Without it all records' changes are printed." optional:""`
	Limit  int    `default:"50" help:"How many changes to print."`
}

// Run prints the changes.
func (historycommand *historyCommand) Run(streams *Streams) error {
	query := url.Values{"limit": {strconv.Itoa(historycommand.Limit)}, "record": {historycommand.Record}}
	var changes []admin.ChangeReply
	if err := historycommand.get("/api/v1/history?"+query.Encode(), &changes); err != nil {
		return err
	}
	if historycommand.json() {
		return printJSON(streams.Out, changes)
	}
	rows := newTable(streams.Out, "INDEX", "AT", "OPERATOR", "RECORD", "VERSION", "BODY")
	for _, change := range changes {
		body := compactJSON(change.Record.Body)
		if change.Record.Deleted {
			body = "(withdrawn)"
		}
		rows.row(change.Index, change.At.Format(time.RFC3339), change.Operator, change.Record.ID(), change.Record.Version, body)
	}
	return rows.flush()
}
