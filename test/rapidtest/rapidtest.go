// Package rapidtest runs a package's tests with a fixed seed for rapid, whose default seed is random.
package rapidtest

import (
	"flag"
	"testing"

	_ "pgregory.net/rapid" // defines the flags
)

// Run sets rapid's seed and, if checks is not empty, its number of cases, unless the command line gives them, then runs
// the tests and returns the exit code. It turns fail files off, because they would change later runs.
func Run(m *testing.M, seed, checks string) int {
	flag.Parse()
	setUnlessGiven("rapid.seed", seed)
	setUnlessGiven("rapid.nofailfile", "true")
	if checks != "" {
		setUnlessGiven("rapid.checks", checks)
	}
	return m.Run()
}

// setUnlessGiven sets a flag that still has its default value.
func setUnlessGiven(name, value string) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		if err := f.Value.Set(value); err != nil {
			panic(err)
		}
	}
}
