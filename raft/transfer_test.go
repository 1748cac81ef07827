package raft

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

const kindTakeOver = raftpb.MessageKind_MESSAGE_TAKE_OVER

// stepHeartbeatReplies passes heartbeat replies of others to the leader.
func stepHeartbeatReplies(is *is.I, n *Node, others ...string) {
	is.Helper()
	for _, name := range others {
		is.NoErr(n.Step(from(name, &raftpb.Message{Kind: kindHeartbeatReply, Term: n.term})))
	}
}

// The request is sent only once the successor holds the complete log, and nothing
// is appended meanwhile.
func TestTransferWaitsForSuccessor(t *testing.T) {
	is := is.New(t)
	n := newLeader(is)
	ack(is, n, 1, "b", "c")
	index, _, err := n.Propose([]byte("last"))
	is.NoErr(err)
	drain(n)
	ack(is, n, 1, "c")
	is.NoErr(n.TransferLeadership())
	is.Equal(sent(drain(n), kindTakeOver, "b"), nil) // lacks the entry
	_, _, err = n.Propose([]byte("late"))
	is.True(errors.Is(err, ErrBusy))
	b := ack(is, n, index, "b")
	is.True(sent(b, kindTakeOver, "b") != nil)
	is.Equal(sent(b, kindTakeOver, "c"), nil)
}

func TestTransferRetryAndTimeout(t *testing.T) {
	is := is.New(t)
	n := newLeader(is)
	ack(is, n, 1, "b", "c")
	is.NoErr(n.TransferLeadership())
	is.True(sent(drain(n), kindTakeOver, "b") != nil)
	is.NoErr(n.TransferLeadership()) // idempotent
	is.Equal(sent(drain(n), kindTakeOver, "b"), nil)
	ticks(n, n.opts.HeartbeatTicks)
	is.True(sent(drain(n), kindTakeOver, "b") != nil) // the first may be lost
	for range n.opts.ElectionTicks {
		stepHeartbeatReplies(is, n, "b", "c")
		ticks(n, 1)
		drain(n)
	}
	is.Equal(n.role, RoleLeader)
	_, _, err := n.Propose([]byte("after"))
	is.NoErr(err)
}

func TestTransferNeedsSuccessor(t *testing.T) {
	is := is.New(t)
	n := newNode(is, options(threeVoters()))
	is.True(errors.Is(n.TransferLeadership(), ErrNotLeader))
	alone := newNode(is, options(members(voter("a"), learner("b"))))
	is.True(errors.Is(alone.TransferLeadership(), ErrNoSuccessor))
}

// A planned stop may begin right after the quorum check, before anyone has replied
// again. Members that replied in the interval before it can take over, members that
// did not cannot.
func TestTransferRightAfterQuorumCheck(t *testing.T) {
	is := is.New(t)
	n := newLeader(is)
	ack(is, n, 1, "b", "c")
	ticks(n, n.opts.ElectionTicks)
	is.Equal(n.role, RoleLeader)
	is.NoErr(n.TransferLeadership())
	is.True(sent(drain(n), kindTakeOver, "b") != nil)

	n = newLeader(is)
	ack(is, n, 1, "b", "c")
	ticks(n, n.opts.ElectionTicks)
	drain(n)
	stepHeartbeatReplies(is, n, "c")
	ticks(n, n.opts.ElectionTicks)
	is.Equal(n.role, RoleLeader)
	is.True(errors.Is(n.TransferLeadershipTo(replica("b")), ErrNoSuccessor))
	is.NoErr(n.TransferLeadership())
	is.True(sent(drain(n), kindTakeOver, "c") != nil)
}

// A member that has replied since the quorum check is preferred to one that has not.
func TestTransferPrefersActiveSuccessor(t *testing.T) {
	is := is.New(t)
	n := newLeader(is)
	ack(is, n, 1, "b", "c")
	ticks(n, n.opts.ElectionTicks)
	drain(n)
	stepHeartbeatReplies(is, n, "c")
	is.NoErr(n.TransferLeadership())
	is.True(sent(drain(n), kindTakeOver, "c") != nil)
}

// A transfer to a given voter waits for it, even if another is more up to date,
// and requires it to be active.
func TestTransferLeadershipTo(t *testing.T) {
	is := is.New(t)
	n := newNode(is, options(threeVoters()))
	to := replica("c")
	is.True(errors.Is(n.TransferLeadershipTo(to), ErrNotLeader))
	elect(is, n, "b")
	ack(is, n, 1, "b")
	drain(n)
	is.True(errors.Is(n.TransferLeadershipTo(n.opts.Self), ErrNoSuccessor))
	is.True(errors.Is(n.TransferLeadershipTo(replica("stranger")), ErrNoSuccessor))
	stepHeartbeatReplies(is, n, "c")
	is.NoErr(n.TransferLeadershipTo(to))
	b := drain(n)
	is.Equal(sent(b, kindTakeOver, "b"), nil)
	is.Equal(sent(b, kindTakeOver, "c"), nil) // lacks an entry
	is.True(sent(ack(is, n, 1, "c"), kindTakeOver, "c") != nil)
}

func TestTakeOver(t *testing.T) {
	for name, tt := range map[string]struct {
		membership *raftpb.Membership
		from       string
		term       uint64
		campaigns  bool
	}{
		"from the leader":    {threeVoters(), "c", 2, true},
		"from another":       {threeVoters(), "b", 2, false},
		"of an earlier term": {threeVoters(), "c", 1, false},
		"of a later term":    {threeVoters(), "b", 3, true},
		"to a learner":       {members(learner("a"), voter("b"), voter("c")), "c", 2, false},
		"to a non-member":    {members(voter("b"), voter("c")), "c", 2, false},
		"without membership": {nil, "c", 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNodeOn(is, tt.membership, &raftpb.HardState{Term: 2}, nil)
			step(is, n, from("c", &raftpb.Message{Kind: kindHeartbeat, Term: 2}))
			b := step(is, n, from(tt.from, &raftpb.Message{Kind: kindTakeOver, Term: tt.term}))
			vote := sent(b, kindVote, "b")
			is.Equal(vote != nil, tt.campaigns)
			if tt.campaigns {
				is.Equal(vote.GetTerm(), tt.term+1)
				is.True(vote.GetTakeOver())
				is.Equal(b.HardState.GetVote().GetName(), "a") // synced before the request is sent
			}
		})
	}
}

// A vote requested by the leader is granted by the leader and by replicas with an
// active leader; the logs are compared as usual.
func TestTakeOverVote(t *testing.T) {
	for name, tt := range map[string]struct {
		lead  bool
		index uint64
		grant bool
	}{
		"follower":              {false, 1, true},
		"follower, shorter log": {false, 0, false},
		"leader":                {true, 1, true},
		"leader, shorter log":   {true, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newLeader(is)
			ack(is, n, 1, "b", "c")
			if !tt.lead {
				step(is, n, from("c", &raftpb.Message{Kind: kindHeartbeat, Term: 2}))
			}
			vote := &raftpb.Message{Kind: kindVote, Term: n.term + 1, TakeOver: true, LogIndex: tt.index, LogTerm: tt.index}
			is.Equal(!sent(step(is, n, from("b", vote)), kindVoteReply, "b").GetReject(), tt.grant)
			is.Equal(n.role, RoleFollower)
		})
	}
}
