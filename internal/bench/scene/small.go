package scene

import "time"

// DemoDeployment returns a deployment for the demo: four hosts, three of which are
// control hosts, with one service of each kind.
func DemoDeployment() Deployment {
	return Deployment{
		Name: "demo", DataCentres: []string{"amman-north", "zarqa", "madaba"},
		Hosts: 4, ControlHosts: 3, Connections: 130, KeyedService: "fieldjobs", KeyedUpstreams: 6,
		UnkeyedService: "dispatchdesk", UnkeyedUpstreams: 3, Partitions: 64, ServiceTime: 10 * time.Millisecond,
		Workspaces: workspaceShares("callcentre", "drivers", "insurers", "garages", "police", "rental", "haulage", "parking"),
	}
}
