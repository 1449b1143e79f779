// Command damaskcrank routes requests to servers that own keys exclusively.
package main

import (
	"os"

	"damaskcrank.example/damaskcrank/internal/oper/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:]))
}
