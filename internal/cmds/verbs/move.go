package verbs

import (
	"encoding/json"
	"fmt"
	"net/http"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/oper/admin"
)

type moveCommand struct {
	Remote
	Output

	Service string `arg:"" help:"The service."`
	Key     string `arg:"" help:"The resource key."`
	To      string `arg:"" help:"The upstream that is to own the key."`
}

// Run moves the key and returns when the move is complete.
func (movecommand *moveCommand) Run(streams *Streams) error {
	body, err := json.Marshal(admin.MoveArgs{Service: movecommand.Service, Key: movecommand.Key, To: movecommand.To})
	if err != nil {
		return Error.New("encode request: %w", err)
	}
	var owner state.Owner
	if err := movecommand.call(http.MethodPost, "/api/v1/moves", typeJSON, body, &owner); err != nil {
		return err
	}
	if movecommand.json() {
		return printJSON(streams.Out, owner)
	}
	_, _ = fmt.Fprintf(streams.Out, "%s is owned by %s under token %d\n", movecommand.Key, owner.Upstream, owner.Token)
	return nil
}
