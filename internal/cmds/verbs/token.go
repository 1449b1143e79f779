package verbs

import (
	"fmt"

	"damaskcrank.example/damaskcrank/internal/entry/front"
)

type tokenCommand struct {
	New tokenNewCommand `cmd:"" help:"Make an operator's token. Prints the token once, and the line for the settings."`
}

type tokenNewCommand struct {
	Name string `arg:"" help:"The operator's name."`
}

// Run prints the token to stderr and its entry in the settings to stdout.
func (tokennewcommand *tokenNewCommand) Run(streams *Streams) error {
	token, err := randomText()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(streams.Err, "token: %s\n", token)
	_, _ = fmt.Fprintf(streams.Out, "{ name = %q, hash = %q }\n", tokennewcommand.Name, front.HashSecret(token))
	return nil
}
