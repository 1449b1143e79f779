package verbs

import (
	"net/http"
	"os"
	"strings"
)

type applyCommand struct {
	Remote
	Output

	File string `arg:"" help:"A TOML or JSON document of records." type:"existingfile"`
}

// Run applies the document's records and reports which hosts lack them.
func (applycommand *applyCommand) Run(streams *Streams) error {
	data, err := os.ReadFile(applycommand.File)
	if err != nil {
		return Error.New("read document: %w", err)
	}
	contentType := "application/toml"
	if strings.HasSuffix(applycommand.File, ".json") {
		contentType = typeJSON
	}
	return applycommand.change(streams, applycommand.Output, http.MethodPost, "/api/v1/records", contentType, data)
}
