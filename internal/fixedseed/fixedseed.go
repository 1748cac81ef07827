// Package fixedseed sets a fixed seed for property tests of pgregory.net/rapid, so that test
// runs are reproducible. Test packages import it for its side effect. The command line flag
// -rapid.seed takes precedence.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// seedFlag is the flag that sets the seed; 0 means a random one.
const seedFlag = "rapid.seed"

func init() {
	if err := flag.Set(seedFlag, "1"); err != nil {
		panic("fixedseed: " + err.Error())
	}
}
