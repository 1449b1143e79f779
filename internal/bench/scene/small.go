package scene

import "time"

// Small returns a deployment for the demo: four hosts, three of which are control
// hosts, with one service of each kind.
func Small() User {
	return User{
		Name: "demo", DataCentres: []string{"amman-north", "zarqa", "madaba"},
		Hosts: 4, Control: 3, Connections: 130, Keyed: "fieldjobs", KeyedUpstreams: 6,
		Desk: "dispatchdesk", DeskUpstreams: 3, Partitions: 64, Work: 10 * time.Millisecond,
		Workspaces: workspaceShares("callcentre", "drivers", "insurers", "garages", "police", "rental", "haulage", "parking"),
	}
}
