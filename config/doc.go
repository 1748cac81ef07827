// Package config is the replicated state machine of the configuration: it
// turns patches into numbered versions, remembers what became of each patch
// and assigns the numbers of services and targets.
//
// A patch names the version it was written against and carries an identifier.
// It becomes the next version as a whole or changes nothing. A patch that is
// sent again gets its first outcome. Everything here is deterministic: the
// same commands lead to the same state on every replica.
//
// Orders to evacuate a failure domain make versions too. An order that would change
// nothing makes none. One that has an identifier is carried out once: a late copy gets the
// first outcome, so that it cannot undo the order after it.
//
// Published configurations are immutable. Versions share the messages of
// services that did not change, so a history of versions costs little.
package config
