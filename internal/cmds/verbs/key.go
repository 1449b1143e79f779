package verbs

import (
	"fmt"

	"damaskcrank.example/damaskcrank/internal/entry/front"
)

type keyCommand struct {
	New keyNewCommand `cmd:"" help:"Make a caller key. Prints the key once, and the record to apply."`
}

type keyNewCommand struct {
	Name      string `arg:"" help:"The key's name."`
	Workspace string `arg:"" help:"The workspace that the key belongs to."`
}

// Run creates a key. It prints the key to standard error and its record, which
// holds only the key's hash, to standard output.
func (keynewcommand *keyNewCommand) Run(streams *Streams) error {
	secret, err := randomHex()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(streams.Err, "key: %s\n", front.FormatKey(keynewcommand.Name, secret))
	_, _ = fmt.Fprintf(streams.Out, "[[callerKey]]\nname = %q\nschema = 2\nversion = 1\nworkspace = %q\nhash = %q\n",
		keynewcommand.Name, keynewcommand.Workspace, front.HashSecret(secret))
	return nil
}
