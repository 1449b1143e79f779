package verbs

import "net/http"

type datacentreCommand struct {
	Out datacentreOutCommand `cmd:"" help:"Take a data centre out: it gets no new work."`
	In  datacentreInCommand  `cmd:"" help:"Take a data centre back in."`
}

type serviceTarget struct {
	Remote
	Output
}

// set takes a record out of service or back in.
func (servicetarget *serviceTarget) set(streams *Streams, kind, name, state string) error {
	path := "/api/v1/service/" + kind + "/" + state + "/" + name
	return servicetarget.change(streams, servicetarget.Output, http.MethodPost, path, typeJSON, nil)
}

type datacentreOutCommand struct {
	serviceTarget

	Name string `arg:"" help:"The data centre."`
}

// Run takes the data centre out.
func (datacentreoutcommand *datacentreOutCommand) Run(streams *Streams) error {
	return datacentreoutcommand.set(streams, "dataCentre", datacentreoutcommand.Name, "out")
}

type datacentreInCommand struct {
	serviceTarget

	Name string `arg:"" help:"The data centre."`
}

// Run takes the data centre back in.
func (datacentreincommand *datacentreInCommand) Run(streams *Streams) error {
	return datacentreincommand.set(streams, "dataCentre", datacentreincommand.Name, "in")
}
