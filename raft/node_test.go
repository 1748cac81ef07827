package raft

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

const (
	kindPreVote        = raftpb.MessageKind_MESSAGE_PRE_VOTE
	kindPreVoteReply   = raftpb.MessageKind_MESSAGE_PRE_VOTE_REPLY
	kindVote           = raftpb.MessageKind_MESSAGE_VOTE
	kindVoteReply      = raftpb.MessageKind_MESSAGE_VOTE_REPLY
	kindAppend         = raftpb.MessageKind_MESSAGE_APPEND
	kindAppendReply    = raftpb.MessageKind_MESSAGE_APPEND_REPLY
	kindHeartbeat      = raftpb.MessageKind_MESSAGE_HEARTBEAT
	kindHeartbeatReply = raftpb.MessageKind_MESSAGE_HEARTBEAT_REPLY
	kindSnapshot       = raftpb.MessageKind_MESSAGE_SNAPSHOT
)

func replica(name string) *raftpb.ReplicaID {
	return &raftpb.ReplicaID{Name: name, Incarnation: 1}
}

func voter(name string) *raftpb.Member {
	return &raftpb.Member{Id: replica(name)}
}

func learner(name string) *raftpb.Member {
	return &raftpb.Member{Id: replica(name), Learner: true}
}

func members(list ...*raftpb.Member) *raftpb.Membership {
	return &raftpb.Membership{Members: list}
}

func threeVoters() *raftpb.Membership {
	return members(voter("a"), voter("b"), voter("c"))
}

// entries returns commands with the given terms, from index 1 on.
func entries(terms ...uint64) []*raftpb.Entry {
	list := make([]*raftpb.Entry, len(terms))
	for i, term := range terms {
		list[i] = &raftpb.Entry{Term: term, Index: uint64(i) + 1}
	}
	return list
}

func membershipEntry(term, index uint64, m *raftpb.Membership) *raftpb.Entry {
	data, _ := proto.Marshal(m)
	return &raftpb.Entry{Term: term, Index: index, Kind: raftpb.EntryKind_ENTRY_MEMBERSHIP, Data: data}
}

// options returns the options of replica a.
func options(m *raftpb.Membership) Options {
	return Options{Self: replica("a"), Rand: rand.New(rand.NewPCG(1, 1)), Membership: m}
}

func newNode(is *is.I, o Options) *Node {
	is.Helper()
	n, err := New(o)
	is.NoErr(err)
	return n
}

// newNodeOn returns replica a, started from the given durable state.
func newNodeOn(is *is.I, m *raftpb.Membership, hard *raftpb.HardState, stored []*raftpb.Entry) *Node {
	is.Helper()
	o := options(m)
	o.HardState, o.Entries = hard, stored
	return newNode(is, o)
}

// newLeader returns replica a of three, elected by b.
func newLeader(is *is.I) *Node {
	is.Helper()
	n := newNode(is, options(threeVoters()))
	elect(is, n, "b")
	return n
}

// step passes a message to a node and processes the resulting batches.
func step(is *is.I, n *Node, m *raftpb.Message) Batch {
	is.Helper()
	is.NoErr(n.Step(m))
	return drain(n)
}

// drain processes all batches and returns their combined content.
func drain(n *Node) Batch {
	var all Batch
	for {
		b, ok := n.Ready()
		if !ok {
			return all
		}
		all.Messages = append(all.Messages, b.Messages...)
		all.Entries = append(all.Entries, b.Entries...)
		all.Committed = append(all.Committed, b.Committed...)
		all.Reads = append(all.Reads, b.Reads...)
		if b.Restore != nil {
			all.Restore = b.Restore
		}
		if b.Snapshot != nil {
			all.Snapshot = b.Snapshot
		}
		if b.HardState != nil {
			all.HardState = b.HardState
		}
		n.Advance(b)
	}
}

// from addresses a message to replica a.
func from(name string, m *raftpb.Message) *raftpb.Message {
	m.From, m.To = replica(name), replica("a")
	return m
}

func sent(b Batch, kind raftpb.MessageKind, to string) *raftpb.Message {
	for _, m := range b.Messages {
		if m.GetKind() == kind && m.GetTo().GetName() == to {
			return m
		}
	}
	return nil
}

func ticks(n *Node, count int) {
	for range count {
		n.Tick()
	}
}

// timeOut ticks until the election timeout has expired.
func timeOut(n *Node) Batch {
	for range 2 * n.opts.ElectionTicks {
		n.Tick()
		if len(n.messages) > 0 || n.role == RoleLeader {
			break
		}
	}
	return drain(n)
}

// elect makes a node leader with the votes of others.
func elect(is *is.I, n *Node, others ...string) Batch {
	is.Helper()
	timeOut(n)
	for _, name := range others {
		step(is, n, from(name, &raftpb.Message{Kind: kindPreVoteReply, Term: n.term + 1}))
	}
	for _, name := range others {
		is.NoErr(n.Step(from(name, &raftpb.Message{Kind: kindVoteReply, Term: n.term})))
	}
	is.Equal(n.role, RoleLeader)
	return drain(n)
}

// ack acknowledges entries up to index on behalf of others.
func ack(is *is.I, n *Node, index uint64, others ...string) Batch {
	is.Helper()
	for _, name := range others {
		is.NoErr(n.Step(from(name, &raftpb.Message{Kind: kindAppendReply, Term: n.term, LogIndex: index})))
	}
	return drain(n)
}

// A voter whose own uncommitted removal is in its log may hold the longest log.
// The other voter then cannot win, so the removed one has to campaign.
func TestRemovedVoterCampaignsUntilCommitted(t *testing.T) {
	for name, after := range map[string]*raftpb.Membership{
		"removed": members(voter("b")),
		"demoted": members(learner("a"), voter("b")),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNodeOn(is, members(voter("a"), voter("b")), &raftpb.HardState{Term: 1, Commit: 1}, append(entries(1), membershipEntry(1, 2, after)))
			elect(is, n, "b")
			is.Equal(ack(is, n, 3, "b").HardState.GetCommit(), uint64(3))
			is.Equal(n.role, RoleFollower) // steps down once it is removed
			is.Equal(len(timeOut(n).Messages), 0)
		})
	}
}

// A crash after a received snapshot was synced leaves the old log on the disk. It
// must be dropped before new entries are appended.
func TestStaleLogBesideSnapshotIsDropped(t *testing.T) {
	for name, tt := range map[string]struct {
		stored []*raftpb.Entry
		drop   bool
		last   uint64
	}{
		"none":                   {nil, false, 4},
		"ends before":            {entries(1, 1, 1), true, 4},
		"ends there, same term":  {entries(1, 1, 1, 2), false, 4},
		"ends there, other term": {entries(1, 1, 1, 1), true, 4},
		"continues, same term":   {entries(1, 1, 1, 2, 2), false, 5},
		"continues, other term":  {entries(1, 1, 1, 1, 1), true, 4},
		"starts after":           {entries(1, 1, 1, 2, 2)[4:], false, 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := options(nil)
			o.HardState = &raftpb.HardState{Term: 2}
			o.Snapshot = &raftpb.Snapshot{Index: 4, Term: 2, Membership: threeVoters()}
			o.Entries = tt.stored
			n := newNode(is, o)
			is.Equal(n.log.lastIndex(), tt.last)
			b := drain(n)
			is.Equal(b.Restore, o.Snapshot)
			is.Equal(b.Snapshot != nil, tt.drop)
		})
	}
}
