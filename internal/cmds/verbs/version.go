package verbs

import (
	"fmt"
	"runtime/debug"
)

// version is the program's version.
const version = "0.1.0"

type versionCommand struct{}

// Run prints the version.
func (versioncommand *versionCommand) Run(streams *Streams) error {
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	_, _ = fmt.Fprintf(streams.Out, "damaskcrank %s (%s)\n", version, goVersion)
	return nil
}
