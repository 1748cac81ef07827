package raft

import "eelgrasswharf.example/eelgrasswharf/api/raftpb"

// transfer is a handing over of the leadership in progress.
type transfer struct {
	to    replicaKey
	ticks int
	// sent says that the successor was told in this heartbeat period.
	sent bool
}

// TransferLeadership asks the voter that is furthest along to lead in place of
// this replica, so that a planned stop costs the group no election timeout.
// Until another leads this one appends nothing (ErrBusy); when no other does
// within an election timeout, it goes on. ErrNotLeader: there is nothing to
// hand over. ErrNoSuccessor: no other voter was heard lately.
//
// The successor stands for election at once, with a vote that does not spare
// the leader. This changes only when an election is held: votes go by term and
// log as ever, so a transfer can neither lose an entry nor make two leaders.
func (n *Node) TransferLeadership() error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	return n.transferTo(n.successor())
}

// TransferLeadershipTo is TransferLeadership to one voter. ErrNoSuccessor: it
// is none, or was not heard lately.
func (n *Node) TransferLeadershipTo(id *raftpb.ReplicaID) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	p := n.progressOf(keyOf(id))
	if p == nil || !n.maySucceed(p) {
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

// maySucceed reports whether a member is another voter that was heard lately.
func (n *Node) maySucceed(p *progress) bool {
	return p.key != n.key && p.active && isVoter(n.membership(), p.key)
}

// successor returns the progress of the other voter that holds most of the log,
// the first of the membership among equals; nil if none was heard of since the
// last quorum check.
func (n *Node) successor() *progress {
	var best *progress
	for _, p := range n.progress {
		if n.maySucceed(p) && (best == nil || p.match > best.match) {
			best = p
		}
	}
	return best
}

// continueTransfer tells the successor to stand for election once it holds the
// whole log; before that it could not win.
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

// tickTransfer gives up on a successor that does not take over.
func (n *Node) tickTransfer() {
	if n.transfer == nil {
		return
	}
	n.transfer.ticks++
	if n.transfer.ticks >= n.opts.ElectionTicks {
		n.transfer = nil
	}
}

// repeatTransfer lets the successor be told again, in case that was lost.
func (n *Node) repeatTransfer() {
	if n.transfer != nil {
		n.transfer.sent = false
	}
}

// handleTakeOver stands for election, as the leader of this term has asked. A
// message that comes late, after another leader was elected, has an old term.
func (n *Node) handleTakeOver(m *raftpb.Message) {
	byLeader := n.leader == nil || keyOf(n.leader) == keyOf(m.GetFrom())
	if n.role == RoleLeader || !byLeader || !isVoter(n.membership(), n.key) {
		return
	}
	n.campaign(true)
}
