package scene

import "time"

// Small returns a fleet for the demo: four hosts, three of them control hosts,
// with a service of each kind.
func Small() User {
	return User{
		Name: "demo", DataCentres: []string{"amman-north", "zarqa", "madaba"},
		Hosts: 4, Control: 3, Connections: 130, Keyed: "fieldjobs", KeyedUpstreams: 6,
		Desk: "dispatchdesk", DeskUpstreams: 3, Partitions: 64, Work: 10 * time.Millisecond,
		Workspaces: shares("callcentre", "drivers", "insurers", "garages", "police", "rental", "haulage", "parking"),
	}
}
