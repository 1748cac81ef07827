// Package test proves promises of the system with real processes behind
// fault-injecting relays. It has no code of its own besides the tests.
package test
