// Package backend is the built-in backend server for development and tests.
//
// It implements the protocol that an agent expects of its backend server: it
// announces itself, responds to health and load polls, refuses work beyond its slots
// with an explicit "not run", honors deadlines and cancellation, and drains. Faults
// make it misbehave like faulty backend servers.
//
// Paths:
//
//	GET  /echo?text=T&ms=N  returns T after N milliseconds
//	POST /run?ms=N          counts a run under Idempotency-Key, works for N
//	                        milliseconds, returns the body of the request
//	GET  /watch?ms=N        streams a line "event I" every N milliseconds
//	GET  /runs?key=K        returns the number of runs of K in decimal
//	GET  /health            200 when healthy, 503 when unhealthy
//	GET  /load              {"running":N,"slots":N}
package backend
