// Package seeds makes property tests draw the same cases in every run.
package seeds

import "flag"

const (
	flagName = "rapid.seed"
	// fixed is the seed that counts where the command line names none.
	fixed = "1"
)

// Fix parses the test's flags and sets the seed of property tests, unless the
// command line sets one.
func Fix() {
	flag.Parse()
	seed := flag.Lookup(flagName)
	if seed != nil && seed.Value.String() == seed.DefValue {
		_ = flag.Set(flagName, fixed)
	}
}
