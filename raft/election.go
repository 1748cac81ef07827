package raft

import "eelgrasswharf.example/eelgrasswharf/api/raftpb"

// timeoutTicksPerVoter scales the range of random election timeouts while no leader
// has been seen.
const timeoutTicksPerVoter = 2

// becomeFollower switches to term, which must not be below the current one.
func (n *Node) becomeFollower(term uint64, leader *raftpb.ReplicaID) {
	if term > n.term {
		n.term = term
		n.vote = nil
	}
	n.starting = false
	n.failReads()
	n.role = RoleFollower
	n.leader = leader
	n.leaderSeen = n.leaderSeen || leader != nil
	n.progress = nil
	n.transfer = nil
	n.resetElectionTimer()
}

func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.randomElectionTimeout()
}

// randomElectionTimeout returns an election timeout in ticks. Replicas of a group
// often start at the same moment, and candidates of the same tick split the vote. So
// while no leader has been seen, the first timeout follows from the position in the
// membership, and later ones are drawn from more ticks than there are voters. Drawn from
// three ticks of 50 ms, a tenth of the starts of three voters of four took over 0.56 s,
// and one in a hundred over 1.4 s.
func (n *Node) randomElectionTimeout() int {
	if n.leaderSeen {
		return n.opts.ElectionTicks + n.rand.IntN(n.opts.ElectionTicks)
	}
	minTicks := n.opts.FirstElectionTicks
	voters := countVoters(n.membership())
	if !n.firstTimeoutSet {
		n.firstTimeoutSet = true
		return minTicks + voterIndex(n.membership(), n.key)
	}
	return minTicks + n.rand.IntN(max(minTicks, timeoutTicksPerVoter*voters))
}

// hasActiveLeader reports whether this replica leads or received a message of
// its leader within the minimum election timeout.
func (n *Node) hasActiveLeader() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.leader != nil && n.electionElapsed < n.opts.ElectionTicks
}

func (n *Node) isOnlyVoter() bool {
	return isVoter(n.membership(), n.key) && countVoters(n.membership()) == 1
}

// handleElectionTimeout starts a pre-vote if this replica may campaign.
func (n *Node) handleElectionTimeout() {
	n.leader = nil
	n.starting = false
	n.resetElectionTimer()
	if !n.canCampaign() {
		n.role = RoleFollower
		return
	}
	n.startPreVote()
}

// canCampaign reports whether this replica is a voter, or is removed by a change
// that is not known to be committed. Others may need entries that only the
// removed replica holds: it may lead, without a vote of its own, until the
// change is committed.
func (n *Node) canCampaign() bool {
	return isVoter(n.membership(), n.key) || isVoter(n.membershipAt(n.log.commit), n.key)
}

// startPreVote asks whether an election could be won, without raising the term:
// a replica returning from a partition must not depose the leader.
func (n *Node) startPreVote() {
	n.role = RolePreCandidate
	n.needsAll = n.starting
	n.votesGranted = map[replicaKey]bool{n.key: true}
	if n.hasVoteQuorum() {
		n.campaign(false)
		return
	}
	n.requestVotes(&raftpb.Message{Kind: raftpb.MessageKind_MESSAGE_PRE_VOTE, Term: n.term + 1})
}

// repeatPreVote asks the voters again that have not granted a pre-vote, at each tick until a
// leader has been seen. After a start of all replicas the first request is lost to those that
// start later or have no link yet, and the next election timeout is many ticks later. A
// pre-vote changes nothing, so repeating it disturbs no leader.
func (n *Node) repeatPreVote() {
	if n.starting && n.role == RoleFollower && n.electionElapsed > voterIndex(n.membership(), n.key) && n.canCampaign() {
		n.startPreVote()
		return
	}
	if n.role != RolePreCandidate || n.leaderSeen {
		return
	}
	n.requestVotes(&raftpb.Message{Kind: raftpb.MessageKind_MESSAGE_PRE_VOTE, Term: n.term + 1})
}

// campaign starts an election in the next term. The own vote counts at once,
// since term and vote are synced before any message of the batch is sent.
// takeOver is set if the leader requested the election.
func (n *Node) campaign(takeOver bool) {
	n.term++
	n.vote = n.self
	n.role = RoleCandidate
	n.leader = nil
	n.resetElectionTimer()
	n.votesGranted = map[replicaKey]bool{n.key: true}
	if n.hasVoteQuorum() {
		n.becomeLeader()
		return
	}
	n.requestVotes(&raftpb.Message{Kind: raftpb.MessageKind_MESSAGE_VOTE, Term: n.term, TakeOver: takeOver})
}

// requestVotes sends the request, with the last index and term of the log, to
// all other voters.
func (n *Node) requestVotes(request *raftpb.Message) {
	for _, member := range n.membership().GetMembers() {
		if member.GetLearner() || n.votesGranted[keyOf(member.GetId())] {
			continue
		}
		n.send(member.GetId(), &raftpb.Message{
			Kind:     request.GetKind(),
			Term:     request.GetTerm(),
			TakeOver: request.GetTakeOver(),
			LogIndex: n.log.lastIndex(),
			LogTerm:  n.log.lastTerm(),
		})
	}
}

// hasVoteQuorum reports whether a quorum of the current voters granted its vote.
// Votes of learners and non-members are not counted.
func (n *Node) hasVoteQuorum() bool {
	return hasQuorum(n.membership(), func(key replicaKey) bool { return n.votesGranted[key] })
}

// hasEveryVote reports whether all current voters granted their vote.
func (n *Node) hasEveryVote() bool {
	for _, member := range n.membership().GetMembers() {
		if !member.GetLearner() && !n.votesGranted[keyOf(member.GetId())] {
			return false
		}
	}
	return true
}

func isPreVoteGrant(m *raftpb.Message) bool {
	return m.GetKind() == raftpb.MessageKind_MESSAGE_PRE_VOTE_REPLY && !m.GetReject()
}

// handlePreVote replies to a pre-vote. It does not change the state.
func (n *Node) handlePreVote(m *raftpb.Message) {
	grant := m.GetTerm() > n.term &&
		!n.hasActiveLeader() &&
		n.log.upToDate(m.GetLogIndex(), m.GetLogTerm())
	reply := &raftpb.Message{Kind: raftpb.MessageKind_MESSAGE_PRE_VOTE_REPLY, Reject: !grant}
	if grant {
		reply.Term = m.GetTerm()
	}
	n.send(m.GetFrom(), reply)
}

func (n *Node) handlePreVoteReply(m *raftpb.Message) {
	if n.role != RolePreCandidate || m.GetReject() || m.GetTerm() != n.term+1 {
		return
	}
	n.votesGranted[keyOf(m.GetFrom())] = true
	if n.hasVoteQuorum() && (!n.needsAll || n.hasEveryVote()) {
		n.campaign(false)
	}
}

// handleVote replies to a vote request. It may grant a vote even if this replica
// is not a voter by its own log: the candidate may have a later membership, and
// counts voters only.
func (n *Node) handleVote(m *raftpb.Message) {
	free := n.vote == nil && n.leader == nil || keyOf(n.vote) == keyOf(m.GetFrom())
	grant := free && n.log.upToDate(m.GetLogIndex(), m.GetLogTerm())
	if grant {
		n.starting = false
		n.vote = m.GetFrom()
		n.electionElapsed = 0
	}
	n.send(m.GetFrom(), &raftpb.Message{Kind: raftpb.MessageKind_MESSAGE_VOTE_REPLY, Reject: !grant})
}

func (n *Node) handleVoteReply(m *raftpb.Message) {
	if n.role != RoleCandidate || m.GetReject() {
		return
	}
	n.votesGranted[keyOf(m.GetFrom())] = true
	if n.hasVoteQuorum() {
		n.becomeLeader()
	}
}
