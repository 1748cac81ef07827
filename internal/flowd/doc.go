// Package flowd runs the two halves of package flow on sockets: an Entry reads the
// packets of callers and sends them to agents, an Agent stands beside a backend
// server and carries packets between it, entry hosts and callers. Both follow the
// configuration and the directory over a subscription.
//
// What a packet looks like is the business of a Codec. Lock order: the lock of a
// Placer is taken within the lock of an Entry, never the other way round.
package flowd
