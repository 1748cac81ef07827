// Package fixedseed makes property tests of pgregory.net/rapid draw from a
// fixed seed, so that a run of the tests gives the same verdict every time. A
// test package imports it for its effect; the flag -rapid.seed on the command
// line goes first.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// seedFlag is the flag of rapid that fixes the seed; 0 means a random one.
const seedFlag = "rapid.seed"

func init() {
	if err := flag.Set(seedFlag, "1"); err != nil {
		panic("fixedseed: " + err.Error())
	}
}
