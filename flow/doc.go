// Package flow makes the forwarding decisions of entry hosts and agents for packets
// that callers and backend servers exchange end to end. Nothing in between may
// change these packets.
//
// Agents are authoritative: an agent sees every packet of its target in both
// directions and knows which flows the target holds. An entry host only caches which
// agent holds a flow. It sends a packet of an unknown flow to the agents of the
// services of its route. The agent whose target holds the flow delivers the packet and
// reports itself as the holder. Entry hosts can therefore restart at any time.
//
// A packet is never delivered to a target that is known not to hold its flow. A flow
// is reset only by an agent whose own target no longer holds it, or by an entry host
// once no target can hold it. Otherwise the packet is dropped and its sender
// retransmits it. After a stall an entry host resets no flow until it has processed
// the updates that arrived meanwhile.
//
// That no target can hold a flow rests on all of these. Each is about one agent, list or
// time, and counts for nothing else (docs/design/0024):
//
//   - Each agent of each service that the flow's route may have led to has denied the flow,
//     or another agent has queried all of them (ServiceDenial). An agent denies a flow that it
//     does not know only if it knows all flows of its target (completeness), which it keeps
//     for the longest idle timeout that may be in force (IdleTimeout).
//   - The list of targets is complete, and the one that was queried.
//   - The services and the list are confirmed as of a time after the flow's first packet
//     arrived (Entry.Confirm).
//   - The process has not just stalled.
//
// An agent admits new flows only as fast as the slots of its target allow. Further
// openings are queued, newest first, and refused by the entry host when they expire. Those
// of routes that state an objective or a timeout wait in the order of package waitqueue, and
// so do later requests on their flows. Such a request is never refused: only its own target
// can answer it.
//
// An agent follows the service times of its target. Where a route states an objective or a
// timeout, the load that it reports is the expected work, and while the target is busy an
// opening is handed on to an agent where it waits shorter.
//
// While agents return openings for want of room, an entry host refuses a share of the openings
// of new flows itself (Throttle), if their routes state an objective or a timeout. It offers a
// returned opening once to another target that is known to have room.
//
// Entry and Agent are state machines with tables of bounded size. Time is passed in as
// the duration since an arbitrary origin on a monotonic clock. Neither is safe for
// concurrent use.
package flow
