// Package throttle decides at an entry host which openings of new flows pass while the targets
// of their service have too little room for all of them.
//
// A Service has the state of one service: the openings of the last moments by priority and
// route, what targets did with them, when one was last returned, and which targets have
// reported room. While openings of a route are returned, it passes in proportion to what
// targets accept of those that passed. The agents decide what is served; the entry host spares
// them most of what they would return. A priority passes nothing of its own while a more urgent
// one is limited.
//
// The contract:
//
//   - An opening is refused only within EvidenceAge after a target has returned one. Without
//     returned openings everything passes: on a host that has just started, is cut off, or
//     whose evidence was lost.
//   - An opening that would be refused passes if a target is known to have room. A report of
//     room holds for EvidenceAge and for as many openings as the target can admit with one
//     slot, since an entry host does not know the slots.
//   - Of two priorities the less urgent one is refused first. Within a priority every opening
//     has the same chance, whoever its caller is.
//   - The agents beside the targets have the last word: what passes in excess is returned.
//
// Time and chance are arguments. A Service is bounded in size, does not allocate after its
// first use and is not safe for concurrent use.
package throttle
