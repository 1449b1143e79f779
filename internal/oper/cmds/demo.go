package cmds

type demoCommand struct{}

// Run prints what happened.
func (democommand *demoCommand) Run(*Streams) error { return nil }
