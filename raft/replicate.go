package raft

import "eelgrasswharf.example/eelgrasswharf/api/raftpb"

// replicate sends each replica the entries that it lacks. It runs once per batch
// instead of at each proposal and acknowledgement, so that entries are sent in
// few messages.
func (n *Node) replicate() {
	for _, p := range n.progress {
		if p.key == n.key {
			continue
		}
		if !n.sendEntries(p) && (p.stalled || p.commitSent < n.log.commit) {
			n.sendAppend(p, true)
		}
		p.stalled = false
	}
	n.continueTransfer()
}

// sendEntries sends as many appends as the replica may have in flight, and
// reports whether it sent any.
func (n *Node) sendEntries(p *progress) bool {
	sent := false
	for n.sendAppend(p, false) {
		sent = true
	}
	return sent
}

// sendAppend sends one append, or a snapshot if the entries are compacted. An
// append without entries is sent only if empty is set.
func (n *Node) sendAppend(p *progress, empty bool) bool {
	if p.paused || p.state == stateSnapshot {
		return false
	}
	if p.state == stateReplicate && len(p.inflight) >= n.opts.MaxInflight {
		return false
	}
	before := p.next - 1
	beforeTerm, ok := n.log.term(before)
	if !ok {
		return n.sendSnapshot(p)
	}
	entries := n.log.slice(p.next, n.log.lastIndex(), n.opts.MaxBatchBytes)
	if len(entries) == 0 && !empty {
		return false
	}
	p.commitSent = n.log.commit
	n.send(p.id, &raftpb.Message{
		Kind:     raftpb.MessageKind_MESSAGE_APPEND,
		LogIndex: before,
		LogTerm:  beforeTerm,
		Entries:  entries,
		Commit:   n.log.commit,
	})
	if p.state == stateProbe {
		p.paused = true
		return true
	}
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
	return true
}

func (n *Node) sendSnapshot(p *progress) bool {
	if n.snapshot == nil || !p.active {
		// A snapshot is sent only to an active replica.
		return false
	}
	n.send(p.id, &raftpb.Message{
		Kind:     raftpb.MessageKind_MESSAGE_SNAPSHOT,
		Snapshot: n.snapshot,
	})
	p.becomeSnapshot(n.snapshot.GetIndex())
	return true
}

func (n *Node) handleAppendReply(m *raftpb.Message) {
	p := n.progressOf(keyOf(m.GetFrom()))
	if n.role != RoleLeader || p == nil || m.GetLogIndex() > n.log.lastIndex() {
		return
	}
	p.active = true
	if m.GetReject() {
		n.handleAppendReject(p, m)
		return
	}
	p.acknowledge(m.GetLogIndex())
	switch {
	case p.state == stateProbe:
		p.becomeReplicate()
	case p.state == stateSnapshot && p.match >= p.snapshotIndex:
		p.becomeReplicate()
	}
	n.maybeCommit()
}

// handleAppendReject moves next back to where the logs may match.
func (n *Node) handleAppendReject(p *progress, m *raftpb.Message) {
	switch p.state {
	case stateSnapshot:
		return
	case stateReplicate:
		if m.GetLogIndex() <= p.match {
			return
		}
	case stateProbe:
		if m.GetLogIndex() != p.next-1 {
			return
		}
	}
	// The hint is the replica's last index whose term is not above that of the
	// rejected append. Local entries with a higher term than the hint's cannot
	// be in its log up to the hint, so they are all skipped at once.
	agree := n.log.findConflictByTerm(m.GetHint(), m.GetLogTerm())
	if m.GetHint() < n.log.offset {
		agree = m.GetHint()
	}
	p.becomeProbe(min(agree+1, m.GetLogIndex()))
}

func (n *Node) handleHeartbeatReply(m *raftpb.Message) {
	p := n.progressOf(keyOf(m.GetFrom()))
	if n.role != RoleLeader || p == nil {
		return
	}
	p.active = true
	p.readRound = max(p.readRound, m.GetReadRound())
	n.confirmReads()
	moved := p.match > p.heartbeatMatch
	p.heartbeatMatch = p.match
	if moved || p.match >= n.log.lastIndex() || p.state == stateSnapshot {
		return
	}
	// Nothing was acknowledged for a heartbeat interval: the last append or its
	// reply may be lost. The reply to another append shows the replica's state.
	p.stalled = true
	p.paused = false
	if p.state == stateReplicate && len(p.inflight) >= n.opts.MaxInflight {
		p.inflight = p.inflight[1:]
	}
}
