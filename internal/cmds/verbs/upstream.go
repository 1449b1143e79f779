package verbs

type upstreamCommand struct {
	Out upstreamOutCommand `cmd:"" help:"Take an upstream out: it gets no new work."`
	In  upstreamInCommand  `cmd:"" help:"Take an upstream back in."`
}

type upstreamOutCommand struct {
	serviceTarget

	Name string `arg:"" help:"The upstream as service/name."`
}

// Run takes the upstream out of service.
func (upstreamoutcommand *upstreamOutCommand) Run(streams *Streams) error {
	return upstreamoutcommand.set(streams, "upstream", upstreamoutcommand.Name, "out")
}

type upstreamInCommand struct {
	serviceTarget

	Name string `arg:"" help:"The upstream as service/name."`
}

// Run puts the upstream back into service.
func (upstreamincommand *upstreamInCommand) Run(streams *Streams) error {
	return upstreamincommand.set(streams, "upstream", upstreamincommand.Name, "in")
}
