// Package founding decides which control hosts are the first members of the groups.
//
// At the first start each initial voter may be the one that founds the groups, and some may be
// lost for good before anything is founded. Two hosts must never found different groups, also if
// they cannot reach each other and if a lost one comes back with its disk. So the first members
// are agreed on: a proposal needs the votes of a majority of the initial voters, which store
// them, and a later proposal repeats a plan that an earlier one may have got through (single-decree
// Paxos).
//
// Only voters with a durable log vote. A proposer that knows all initial voters needs a majority
// of the durable ones; one that does not know whether the others are durable needs a majority of
// all. Two such majorities have a voter in common.
//
// The package has no clock, sockets or disk.
package founding
