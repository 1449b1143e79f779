package cmds

type benchCommand struct{}

// Run prints the slope table.
func (benchcommand *benchCommand) Run(*Streams) error { return nil }
