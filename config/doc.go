// Package config is the replicated state machine of the configuration: it turns patches
// into numbered versions, keeps the outcome of each patch and assigns the numbers of
// services and targets.
//
// A patch names its base version and has an identifier. All its operations become the next
// version, or none. A patch that is sent again gets its first outcome. The machine is
// deterministic: the same commands lead to the same state on every replica.
//
// Evacuation orders create versions too, unless they change nothing. An order with an
// identifier is applied once: a late duplicate gets the first outcome and cannot undo a
// later order.
//
// Published configurations are immutable. Versions share the messages of unchanged
// services, which keeps the history small.
package config
