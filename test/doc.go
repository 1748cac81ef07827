// Package test holds end-to-end tests with real processes behind fault-injecting
// relays.
package test
