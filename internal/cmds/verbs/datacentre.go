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

// set takes a data centre or an upstream out of service or puts it back.
func (servicetarget *serviceTarget) set(streams *Streams, kind, name, state string) error {
	path := "/api/v1/service/" + kind + "/" + state + "/" + name
	return servicetarget.change(streams, servicetarget.Output, http.MethodPost, path, typeJSON, nil)
}

type datacentreOutCommand struct {
	serviceTarget

	Name string `arg:"" help:"The data centre."`
}

// Run takes the data centre out of service.
func (datacentreoutcommand *datacentreOutCommand) Run(streams *Streams) error {
	return datacentreoutcommand.set(streams, "dataCentre", datacentreoutcommand.Name, "out")
}

type datacentreInCommand struct {
	serviceTarget

	Name string `arg:"" help:"The data centre."`
}

// Run puts the data centre back into service.
func (datacentreincommand *datacentreInCommand) Run(streams *Streams) error {
	return datacentreincommand.set(streams, "dataCentre", datacentreincommand.Name, "in")
}
