package verbs

import (
	"net/http"
	"strconv"
)

type deleteCommand struct {
	Remote
	Output

	Record  string `arg:"" help:"The record as kind/name."`
	Version uint64 `help:"The version of the withdrawal: one more than the one in force." required:""`
}

// Run deletes the record.
func (deletecommand *deleteCommand) Run(streams *Streams) error {
	path := "/api/v1/records/" + deletecommand.Record + "?version=" + strconv.FormatUint(deletecommand.Version, 10)
	return deletecommand.change(streams, deletecommand.Output, http.MethodDelete, path, typeJSON, nil)
}
