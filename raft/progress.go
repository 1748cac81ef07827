package raft

import (
	"slices"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// progressState is the replication mode of a member.
type progressState uint8

const (
	// stateProbe: the leader looks for the last matching index, with one
	// append in flight.
	stateProbe progressState = iota
	// stateReplicate: the logs match; appends are pipelined.
	stateReplicate
	// stateSnapshot: a snapshot is in flight and no appends are sent.
	stateSnapshot
)

// progress is the leader's view of a replica, itself included.
type progress struct {
	id  *raftpb.ReplicaID
	key replicaKey
	// match is the last index known to be synced on the replica.
	match uint64
	// next is the index to send next.
	next  uint64
	state progressState
	// paused is set while a probe is in flight.
	paused bool
	// inflight holds the last index of each append in flight.
	inflight []uint64
	// active is set if the replica replied since the last quorum check.
	active bool
	// wasActive is the value of active at the last quorum check.
	wasActive bool
	// snapshotIndex and snapshotTicks describe the snapshot in flight.
	snapshotIndex uint64
	snapshotTicks int
	// commitSent is the latest commit index sent with an append.
	commitSent uint64
	// heartbeatMatch is match at the last heartbeat reply; stalled is set if it
	// has not advanced since the one before.
	heartbeatMatch uint64
	stalled        bool
	// readRound is the latest read round that it confirmed.
	readRound uint64
}

func (p *progress) becomeProbe(next uint64) {
	p.state = stateProbe
	p.next = max(next, p.match+1)
	p.paused = false
	p.inflight = nil
}

func (p *progress) becomeReplicate() {
	p.state = stateReplicate
	p.next = p.match + 1
	p.paused = false
	p.inflight = nil
}

func (p *progress) becomeSnapshot(index uint64) {
	p.state = stateSnapshot
	p.snapshotIndex = index
	p.snapshotTicks = 0
	p.paused = false
	p.inflight = nil
}

// acknowledge records that the replica has synced everything up to index.
func (p *progress) acknowledge(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.inflight = slices.DeleteFunc(p.inflight, func(last uint64) bool {
		return last <= index
	})
}

func (n *Node) progressOf(key replicaKey) *progress {
	for _, p := range n.progress {
		if p.key == key {
			return p
		}
	}
	return nil
}

// syncProgress updates progress to the current membership. It keeps the order
// of the membership, so that runs are deterministic. A leader that is being
// removed stays in the list.
func (n *Node) syncProgress() {
	next := make([]*progress, 0, len(n.membership().GetMembers())+1)
	for _, member := range n.membership().GetMembers() {
		next = append(next, n.progressFor(member.GetId()))
	}
	if findMember(n.membership(), n.key) == nil {
		next = append(next, n.progressFor(n.self))
	}
	n.progress = next
}

func (n *Node) progressFor(id *raftpb.ReplicaID) *progress {
	if p := n.progressOf(keyOf(id)); p != nil {
		return p
	}
	return &progress{
		id:   id,
		key:  keyOf(id),
		next: n.log.lastIndex() + 1,
		// A new replica has an election timeout to reply before it counts as
		// inactive.
		active: true,
	}
}
