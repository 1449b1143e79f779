// Command damaskcrank routes requests to servers that own keys exclusively.
package main

import (
	"os"

	"damaskcrank.example/damaskcrank/internal/oper/cmds"
	"damaskcrank.example/damaskcrank/platform"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], cmds.Extra{
		Name: "platform", Help: "Run the hosts of a fleet on the users' platform.", Command: &platform.Command{},
	}))
}
