// Package backend is the built-in backend server for development and tests.
//
// It speaks the protocol that an agent expects of a backend server on its own
// host: it announces itself, answers health and load polls, refuses work
// beyond its slots with an explicit "not run", honours deadlines and
// cancellation, and drains. Faults make it misbehave in the ways that backend
// servers of several vendors do.
//
// Paths:
//
//	GET  /echo?text=T&ms=N  answers T, after N milliseconds
//	POST /run?ms=N          counts a run under Idempotency-Key, works for N
//	                        milliseconds, answers the body of the request
//	GET  /watch?ms=N        streams a line "event I" every N milliseconds
//	GET  /runs?key=K        answers how often K ran, as a decimal number
//	GET  /health            200 when well, 503 when ill
//	GET  /load              {"running":N,"slots":N}
package backend
