package raft

import "eelgrasswharf.example/eelgrasswharf/api/raftpb"

// transfer is a leadership transfer in progress.
type transfer struct {
	to    replicaKey
	ticks int
	// sent is set if the request was sent in this heartbeat interval.
	sent bool
}

// TransferLeadership asks the most up-to-date voter to become leader, so that a
// planned stop does not cost an election timeout. During the transfer proposals
// get ErrBusy; it is aborted if nobody takes over within an election timeout.
// ErrNoSuccessor: no other voter was active since the last quorum check but one.
//
// The successor starts an election at once, and replicas vote even while their
// leader is active. Votes are otherwise decided as usual, so a transfer can
// neither lose an entry nor elect two leaders.
func (n *Node) TransferLeadership() error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	return n.transferTo(n.successor())
}

// TransferLeadershipTo is TransferLeadership to the given voter.
// ErrNoSuccessor: it is not a voter or was not active since the last quorum check but one.
func (n *Node) TransferLeadershipTo(id *raftpb.ReplicaID) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	p := n.progressOf(keyOf(id))
	if p == nil || !n.canTakeOver(p) {
		return ErrNoSuccessor
	}
	return n.transferTo(p)
}

func (n *Node) transferTo(successor *progress) error {
	if successor == nil {
		return ErrNoSuccessor
	}
	if n.transfer == nil || n.transfer.to != successor.key {
		n.transfer = &transfer{to: successor.key}
	}
	return nil
}

// canTakeOver reports whether a member is another voter that was active lately. Right
// after a quorum check nobody has replied again yet, so the interval before it counts.
func (n *Node) canTakeOver(p *progress) bool {
	return p.key != n.key && (p.active || p.wasActive) && isVoter(n.membership(), p.key)
}

// successor returns the progress of the best voter to take over, the first of the
// membership among equals; nil if there is none.
func (n *Node) successor() *progress {
	var best *progress
	for _, p := range n.progress {
		if n.canTakeOver(p) && (best == nil || p.betterSuccessor(best)) {
			best = p
		}
	}
	return best
}

// betterSuccessor prefers a member that replied since the last quorum check, as the other
// one may have been lost since, then the one with the highest match.
func (p *progress) betterSuccessor(other *progress) bool {
	if p.active != other.active {
		return p.active
	}
	return p.match > other.match
}

// continueTransfer asks the successor to start an election once it holds the
// complete log; before that it could not win.
func (n *Node) continueTransfer() {
	if n.transfer == nil || n.transfer.sent {
		return
	}
	p := n.progressOf(n.transfer.to)
	if p == nil || p.match < n.log.lastIndex() {
		return
	}
	n.transfer.sent = true
	n.send(p.id, &raftpb.Message{Kind: raftpb.MessageKind_MESSAGE_TAKE_OVER})
}

// tickTransfer aborts a transfer whose successor does not take over in time.
func (n *Node) tickTransfer() {
	if n.transfer == nil {
		return
	}
	n.transfer.ticks++
	if n.transfer.ticks >= n.opts.ElectionTicks {
		n.transfer = nil
	}
}

// retryTransfer lets the request be sent again, in case it was lost.
func (n *Node) retryTransfer() {
	if n.transfer != nil {
		n.transfer.sent = false
	}
}

// handleTakeOver starts an election on request of the leader of this term.
// Delayed requests of earlier leaders have an old term and do not get here.
func (n *Node) handleTakeOver(m *raftpb.Message) {
	byLeader := n.leader == nil || keyOf(n.leader) == keyOf(m.GetFrom())
	if n.role == RoleLeader || !byLeader || !isVoter(n.membership(), n.key) {
		return
	}
	n.campaign(true)
}
