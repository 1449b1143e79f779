// Command damaskcrank routes requests to upstreams that each own a set of keys
// exclusively.
package main

import (
	"os"

	"damaskcrank.example/damaskcrank/internal/cmds/verbs"
	"damaskcrank.example/damaskcrank/platform"
)

func main() {
	os.Exit(verbs.Run(os.Args[1:], verbs.ExtraCommand{
		Name: "platform", Help: "Run the hosts of a fleet on the users' platform.", Command: &platform.Command{},
	}))
}
