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

// Run creates a token. It prints the token to standard error and its settings
// entry, which holds only the token's hash, to standard output.
func (tokennewcommand *tokenNewCommand) Run(streams *Streams) error {
	token, err := randomHex()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(streams.Err, "token: %s\n", token)
	_, _ = fmt.Fprintf(streams.Out, "{ name = %q, hash = %q }\n", tokennewcommand.Name, front.HashSecret(token))
	return nil
}
