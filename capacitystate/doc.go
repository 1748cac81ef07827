// Package capacitystate decides when a target is overloaded and when it no longer is.
//
// A target is overloaded if it refuses an opening for lack of capacity, or if openings have
// waited for it without interruption for as long as a caller's attempt lasts. It is no longer
// overloaded once neither has happened for ClearAfter, so that the pauses between the
// attempts of refused callers do not end the state.
//
// Times and refusals are arguments. The package has no clock, locks or goroutines.
package capacitystate
