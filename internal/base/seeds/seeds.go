// Package seeds fixes the random seed of property tests, so that every run
// draws the same cases.
package seeds

import "flag"

const (
	flagName = "rapid.seed"
	// fixed is the seed that is used if the command line sets none.
	fixed = "1"
)

// SetDefault parses the test's flags and sets the seed of property tests to a fixed
// value, unless the command line sets one.
func SetDefault() {
	flag.Parse()
	seed := flag.Lookup(flagName)
	if seed != nil && seed.Value.String() == seed.DefValue {
		_ = flag.Set(flagName, fixed)
	}
}
