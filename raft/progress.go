package raft

import (
	"slices"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// progressState says how a leader sends to a replica.
type progressState uint8

const (
	// stateProbe: the leader looks for the place where the logs agree, with
	// one message in flight.
	stateProbe progressState = iota
	// stateReplicate: the logs agree; messages are sent ahead of their replies.
	stateReplicate
	// stateSnapshot: a snapshot is on its way and nothing else is sent.
	stateSnapshot
)

// progress is what a leader knows of a replica, itself included.
type progress struct {
	id  *raftpb.ReplicaID
	key replicaKey
	// match is the last index known to be synced there.
	match uint64
	// next is the index to send next.
	next  uint64
	state progressState
	// paused: a probe is in flight.
	paused bool
	// inflight holds the last index of each append in flight.
	inflight []uint64
	// active: heard of since the last quorum check.
	active bool
	// snapshotIndex and snapshotTicks describe the snapshot in flight.
	snapshotIndex uint64
	snapshotTicks int
	// commitSent is the latest commit index sent with an append.
	commitSent uint64
	// heartbeatMatch is match at the last heartbeat reply; stalled says that
	// it has not moved since the one before.
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

// acknowledge notes that everything up to index is synced there.
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

// syncProgress makes the list of progress follow the membership in force. The
// list keeps the order of the membership, so that messages come in the same
// order in each run. The leader keeps a record of itself while it leaves.
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
		// A new replica has a whole election timeout to answer before it
		// counts as silent.
		active: true,
	}
}
