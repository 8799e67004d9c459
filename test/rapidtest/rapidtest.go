// Package rapidtest runs the tests of a package with a fixed seed for rapid, whose default seed is random.
package rapidtest

import (
	"flag"
	"testing"

	_ "pgregory.net/rapid" // defines the flags
)

// Run pins the seed and, if checks is not empty, the number of cases, unless they are given on the command line, and
// runs the tests. Fail files are switched off, because they would change later runs.
func Run(m *testing.M, seed, checks string) int {
	flag.Parse()
	pin("rapid.seed", seed)
	pin("rapid.nofailfile", "true")
	if checks != "" {
		pin("rapid.checks", checks)
	}
	return m.Run()
}

func pin(name, value string) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		if err := f.Value.Set(value); err != nil {
			panic(err)
		}
	}
}
