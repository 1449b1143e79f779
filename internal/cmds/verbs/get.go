package verbs

import (
	"strings"

	"damaskcrank.example/damaskcrank/internal/oper/admin"
)

type getCommand struct {
	Remote
	Output

	Record string `arg:"" help:"A kind, or a record as kind/name. Without it all records are printed." optional:""`
}

// Run prints the records.
func (getcommand *getCommand) Run(streams *Streams) error {
	var records []admin.RecordReply
	if strings.Contains(getcommand.Record, "/") {
		var record admin.RecordReply
		if err := getcommand.get("/api/v1/records/"+getcommand.Record, &record); err != nil {
			return err
		}
		records = append(records, record)
	} else if err := getcommand.get("/api/v1/records?kind="+getcommand.Record, &records); err != nil {
		return err
	}
	if getcommand.json() {
		return printJSON(streams.Out, records)
	}
	rows := newTable(streams.Out, "KIND", "NAME", "SCHEMA", "VERSION", "BODY")
	for _, record := range records {
		rows.row(record.Kind, record.Name, record.Schema, record.Version, compactJSON(record.Body))
	}
	return rows.flush()
}
