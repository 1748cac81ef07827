package raft

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

func TestFollowerAppends(t *testing.T) {
	for name, tt := range map[string]struct {
		index, term uint64 // of the preceding entry
		sent        []*raftpb.Entry
		commit      uint64
		reject      bool
		replied     uint64 // match, or the hint
		hintTerm    uint64
		terms       []uint64 // of the log afterwards
		committed   uint64
	}{
		"next entry":            {4, 2, entries(1, 1, 2, 2, 3)[4:], 4, false, 5, 0, []uint64{1, 1, 2, 2, 3}, 4},
		"tail replaced":         {2, 1, entries(1, 1, 3)[2:], 3, false, 3, 0, []uint64{1, 1, 3}, 3},
		"old append":            {2, 1, entries(1, 1, 2)[2:], 1, false, 3, 0, []uint64{1, 1, 2, 2}, 1},
		"commit beyond entries": {2, 1, nil, 4, false, 2, 0, []uint64{1, 1, 2, 2}, 2},
		"committed already":     {0, 0, entries(1, 1), 1, false, 1, 0, []uint64{1, 1, 2, 2}, 1},
		"gap":                   {9, 3, nil, 4, true, 4, 2, []uint64{1, 1, 2, 2}, 1},
		"other term, skips all": {4, 1, nil, 4, true, 2, 1, []uint64{1, 1, 2, 2}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNodeOn(is, threeVoters(), &raftpb.HardState{Term: 3, Commit: 1}, entries(1, 1, 2, 2))
			is.NoErr(n.Step(from("b", &raftpb.Message{Kind: kindAppend, Term: 3,
				LogIndex: tt.index, LogTerm: tt.term, Entries: tt.sent, Commit: tt.commit})))
			b := drain(n)
			reply := sent(b, kindAppendReply, "b")
			is.Equal(reply.GetReject(), tt.reject)
			if tt.reject {
				is.Equal(reply.GetHint(), tt.replied)
				is.Equal(reply.GetLogTerm(), tt.hintTerm)
			} else {
				is.Equal(reply.GetLogIndex(), tt.replied)
			}
			is.Equal(n.log.commit, tt.committed)
			is.Equal(n.log.lastIndex(), uint64(len(tt.terms)))
			for i, term := range tt.terms {
				is.True(n.log.matches(uint64(i)+1, term))
			}
		})
	}
}

// One rejection skips all entries of terms that the follower cannot hold.
func TestLeaderSkipsTermsByHint(t *testing.T) {
	is := is.New(t)
	n := newNodeOn(is, threeVoters(), &raftpb.HardState{Term: 5}, entries(1, 1, 4, 4, 4, 4))
	b := elect(is, n, "b")
	is.Equal(sent(b, kindAppend, "c").GetLogIndex(), uint64(6))
	is.NoErr(n.Step(from("c", &raftpb.Message{Kind: kindAppendReply, Term: n.term, Reject: true, LogIndex: 6, Hint: 5, LogTerm: 2})))
	is.Equal(sent(drain(n), kindAppend, "c").GetLogIndex(), uint64(2))
	// A repeated rejection is stale and changes nothing.
	is.NoErr(n.Step(from("c", &raftpb.Message{Kind: kindAppendReply, Term: n.term, Reject: true, LogIndex: 6, Hint: 5, LogTerm: 2})))
	is.Equal(len(drain(n).Messages), 0)
}

func TestStaleLeaderLearnsOfNewTerm(t *testing.T) {
	for _, kind := range []raftpb.MessageKind{kindAppend, kindHeartbeat, kindSnapshot, kindVote} {
		is := is.New(t)
		n := newNodeOn(is, threeVoters(), &raftpb.HardState{Term: 5}, nil)
		b := step(is, n, from("b", &raftpb.Message{Kind: kind, Term: 4}))
		is.Equal(len(b.Messages), 1)
		is.Equal(b.Messages[0].GetTerm(), uint64(5))
		is.True(b.Messages[0].GetReject())
	}
}

// Entries of earlier terms are committed only with one of the leader's term.
func TestCommitNeedsOwnTerm(t *testing.T) {
	is := is.New(t)
	n := newNodeOn(is, threeVoters(), &raftpb.HardState{Term: 2}, entries(1, 2))
	elect(is, n, "b")
	ack(is, n, 2, "b", "c")
	is.Equal(n.Status().Commit, uint64(0))
	ack(is, n, 3, "b")
	is.Equal(n.Status().Commit, uint64(3))
}

// The leader's own copy of an entry counts only after it is synced.
func TestLeaderCountsItselfAfterSync(t *testing.T) {
	is := is.New(t)
	n := newLeader(is)
	index, _, err := n.Propose([]byte("x"))
	is.NoErr(err)
	b, ok := n.Ready()
	is.True(ok)
	is.NoErr(n.Step(from("b", &raftpb.Message{Kind: kindAppendReply, Term: n.term, LogIndex: index})))
	is.Equal(n.Status().Commit, index-1)
	_, ok = n.Ready()
	is.True(!ok) // one batch at a time
	n.Advance(b)
	is.Equal(n.Status().Commit, index)
}

// An entry that replaces one whose batch is being synced is not considered
// synced.
func TestReplacedWhileSyncing(t *testing.T) {
	is := is.New(t)
	n := newNode(is, options(threeVoters()))
	is.NoErr(n.Step(from("b", &raftpb.Message{Kind: kindAppend, Term: 1, Entries: entries(1, 1)})))
	first, _ := n.Ready()
	is.NoErr(n.Step(from("c", &raftpb.Message{Kind: kindAppend, Term: 2, LogIndex: 1, LogTerm: 1, Entries: entries(1, 2)[1:]})))
	is.Equal(first.Entries[1].GetTerm(), uint64(1)) // the outstanding batch is unchanged
	n.Advance(first)
	second, _ := n.Ready()
	is.Equal(second.Entries[len(second.Entries)-1].GetTerm(), uint64(2))
}

func TestInflightLimits(t *testing.T) {
	is := is.New(t)
	o := options(threeVoters())
	o.MaxInflight, o.MaxBatchBytes = 2, 100
	n := newNode(is, o)
	elect(is, n, "b")
	ack(is, n, 1, "b")
	var err error
	count := 0
	for ; err == nil; count++ {
		_, _, err = n.Propose(make([]byte, 18))
	}
	is.True(errors.Is(err, ErrBusy))
	is.Equal(count, 5) // 4 entries of 50 bytes fill 2 batches of 100
	appends := 0
	for _, m := range drain(n).Messages {
		if m.GetKind() == kindAppend && m.GetTo().GetName() == "b" {
			appends++
			is.Equal(len(m.GetEntries()), 2)
		}
	}
	is.Equal(appends, 2)
	is.Equal(len(ack(is, n, 5, "b").Committed), 4)
	_, _, err = n.Propose(make([]byte, 1000))
	is.NoErr(err) // a single large entry is accepted
	is.Equal(sent(drain(n), kindAppend, "b").GetEntries()[0].GetIndex(), uint64(6))
}

// A lost append is detected by heartbeat replies.
func TestLostAppendIsRetried(t *testing.T) {
	is := is.New(t)
	n := newLeader(is)
	ack(is, n, 1, "b")
	_, _, err := n.Propose(nil)
	is.NoErr(err)
	drain(n) // lost
	reply := &raftpb.Message{Kind: kindHeartbeatReply, Term: n.term}
	is.NoErr(n.Step(from("b", reply)))
	is.Equal(sent(step(is, n, from("b", reply)), kindAppend, "b").GetLogIndex(), uint64(2))
	is.NoErr(n.Step(from("b", &raftpb.Message{Kind: kindAppendReply, Term: n.term, Reject: true, LogIndex: 2, Hint: 1, LogTerm: 1})))
	is.Equal(sent(drain(n), kindAppend, "b").GetEntries()[0].GetIndex(), uint64(2))
}

func TestReadIndex(t *testing.T) {
	is := is.New(t)
	n := newNodeOn(is, threeVoters(), &raftpb.HardState{Term: 1, Commit: 1}, entries(1))
	elect(is, n, "b")
	is.NoErr(n.ReadIndex(1))
	is.NoErr(n.ReadIndex(2))
	is.Equal(sent(drain(n), kindHeartbeat, "b"), nil) // waits for an entry of this term
	b := ack(is, n, 2, "b")
	round := sent(b, kindHeartbeat, "c").GetReadRound()
	is.Equal(round, uint64(1)) // one round for both
	is.Equal(len(b.Reads), 0)
	reply := func(name string, term, round uint64) []Read {
		_ = n.Step(from(name, &raftpb.Message{Kind: kindHeartbeatReply, Term: term, ReadRound: round}))
		return drain(n).Reads
	}
	is.Equal(len(reply("c", n.term, round-1)), 0) // an earlier round
	is.Equal(len(reply("c", n.term-1, round)), 0) // an earlier term
	is.Equal(len(reply("d", n.term, round)), 0)   // not a member
	is.Equal(reply("c", n.term, round), []Read{{Token: 1, Index: 2}, {Token: 2, Index: 2}})
	is.NoErr(n.ReadIndex(3))
	drain(n)
	is.Equal(reply("b", n.term+1, 0), []Read{{Token: 3, Failed: true}}) // a later term
}

func TestMembershipChanges(t *testing.T) {
	old := members(voter("a"), voter("b"), learner("d"), learner("e"))
	moved := voter("b")
	moved.Address = "127.0.0.1:1"
	for name, tt := range map[string]struct {
		to   *raftpb.Membership
		want error
	}{
		"learner added":     {members(voter("a"), voter("b"), learner("d"), learner("e"), learner("c")), nil},
		"learner promoted":  {members(voter("a"), voter("b"), voter("d"), learner("e")), nil},
		"voter removed":     {members(voter("a"), learner("d"), learner("e")), nil},
		"voter demoted":     {members(voter("a"), learner("b"), learner("d"), learner("e")), nil},
		"leader removed":    {members(voter("b"), learner("d"), learner("e")), nil},
		"address":           {members(voter("a"), moved, learner("d"), learner("e")), nil},
		"learner is behind": {members(voter("a"), voter("b"), learner("d"), voter("e")), ErrNotCaughtUp},
		"new voter":         {members(voter("a"), voter("b"), voter("c"), learner("d"), learner("e")), ErrNotCaughtUp},
		"no change":         {old, ErrInvalidMembership},
		"two changes":       {members(voter("a"), learner("e")), ErrInvalidMembership},
		"no member":         {members(), ErrInvalidMembership},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNode(is, options(old))
			elect(is, n, "b")
			_, _, err := n.ProposeMembership(tt.to)
			is.True(errors.Is(err, ErrBusy)) // nothing of this term is committed
			ack(is, n, 1, "b", "d")
			_, _, err = n.ProposeMembership(tt.to)
			is.True(errors.Is(err, tt.want))
			if tt.want != nil {
				is.True(!n.Status().ChangePending)
				return
			}
			is.True(proto.Equal(n.Status().Membership, tt.to)) // effective at once
			_, _, err = n.ProposeMembership(old)
			is.True(err != nil) // one change at a time
			ack(is, n, 2, "b", "d")
			is.True(!n.Status().ChangePending)
		})
	}
}

// TestMaxVoters checks that a caught-up learner of a group with MaxVoters voters
// is not promoted before a voter is removed.
func TestMaxVoters(t *testing.T) {
	is := is.New(t)
	full := members(learner("z"))
	for i := range MaxVoters {
		full.Members = append(full.Members, voter(string(rune('a'+i))))
	}
	n := newNode(is, options(full))
	elect(is, n, "b", "c", "d")
	ack(is, n, 1, "b", "c", "d", "z")
	promoted := proto.CloneOf(full)
	promoted.Members[0].Learner = false
	_, _, err := n.ProposeMembership(promoted)
	is.True(errors.Is(err, ErrTooManyVoters))
	is.True(!n.Status().ChangePending)

	without := proto.CloneOf(full)
	without.Members = without.Members[:MaxVoters]
	_, _, err = n.ProposeMembership(without)
	is.NoErr(err)
	ack(is, n, 2, "b", "c", "d", "z")
	without.Members[0].Learner = false
	_, _, err = n.ProposeMembership(without)
	is.NoErr(err)
}

func TestSecondChangeIsRefused(t *testing.T) {
	is := is.New(t)
	n := newLeader(is)
	ack(is, n, 1, "b")
	_, _, err := n.ProposeMembership(members(voter("a"), voter("b"), voter("c"), learner("d")))
	is.NoErr(err)
	_, _, err = n.ProposeMembership(threeVoters())
	is.True(errors.Is(err, ErrChangePending))
	ack(is, n, 2, "c")
	_, _, err = n.ProposeMembership(threeVoters())
	is.NoErr(err)
}

// A change is reverted when its entry is overwritten.
func TestOverwrittenChangeIsReverted(t *testing.T) {
	is := is.New(t)
	n := newNodeOn(is, threeVoters(), &raftpb.HardState{Term: 1, Commit: 1}, append(entries(1), membershipEntry(1, 2, members(voter("a"), voter("b")))))
	is.Equal(len(n.Status().Membership.GetMembers()), 2)
	is.NoErr(n.Step(from("c", &raftpb.Message{Kind: kindAppend, Term: 2, LogIndex: 1, LogTerm: 1, Entries: entries(1, 2)[1:]})))
	is.True(proto.Equal(n.Status().Membership, threeVoters()))
}

func TestCompactAndSnapshot(t *testing.T) {
	is := is.New(t)
	o := options(members(voter("a"), learner("b")))
	o.RetainEntries = -1
	n := newNode(is, o)
	for range 3 {
		_, _, err := n.Propose(nil)
		is.NoErr(err)
	}
	is.True(errors.Is(n.Compact(&raftpb.Snapshot{Index: 4}), ErrCompact)) // not applied
	drain(n)
	s := &raftpb.Snapshot{Index: 3, Data: []byte("state")}
	is.NoErr(n.Compact(s))
	is.Equal(s.GetTerm(), uint64(1))
	is.True(proto.Equal(s.GetMembership(), o.Membership))
	is.True(errors.Is(n.Compact(&raftpb.Snapshot{Index: 2}), ErrCompact)) // already compacted

	is.NoErr(n.Step(from("b", &raftpb.Message{Kind: kindAppendReply, Term: 1, Reject: true, LogIndex: n.progress[1].next - 1})))
	message := sent(drain(n), kindSnapshot, "b")
	is.Equal(message.GetSnapshot(), s)
	ticks(n, DefaultElectionTicks) // no reply: sent again after the next heartbeat reply
	drain(n)
	is.True(sent(step(is, n, from("b", &raftpb.Message{Kind: kindHeartbeatReply, Term: 1})), kindSnapshot, "b") != nil)

	ob := options(nil)
	ob.Self = replica("b")
	b := newNode(is, ob)
	is.NoErr(b.Step(proto.Clone(message).(*raftpb.Message)))
	batch := drain(b)
	is.True(proto.Equal(batch.Snapshot, s))
	is.True(proto.Equal(batch.Restore, s))
	is.Equal(b.Status().Applied, uint64(3))
	is.NoErr(n.Step(sent(batch, kindAppendReply, "a")))
	is.Equal(sent(drain(n), kindAppend, "b").GetEntries()[0].GetIndex(), uint64(4))
}

// Dropped data is missing from later messages, but not from the caller's snapshot
// or from earlier messages.
func TestDropSnapshotData(t *testing.T) {
	is := is.New(t)
	o := options(members(voter("a"), learner("b")))
	o.RetainEntries = -1
	n := newNode(is, o)
	drain(n)
	is.Equal(n.DropSnapshotData(), uint64(0)) // none yet
	s := &raftpb.Snapshot{Index: n.Status().Applied, Data: []byte("state")}
	is.NoErr(n.Compact(s))
	is.Equal(n.DropSnapshotData(), s.GetIndex())
	is.Equal(string(s.GetData()), "state")
	is.NoErr(n.Step(from("b", &raftpb.Message{Kind: kindAppendReply, Term: 1, Reject: true, LogIndex: n.progress[1].next - 1})))
	got := sent(drain(n), kindSnapshot, "b").GetSnapshot()
	want := proto.CloneOf(s)
	want.Data = nil
	is.True(proto.Equal(got, want))
}

// A snapshot that matches the log only advances the commit index.
func TestSnapshotOfKnownEntriesKeepsLog(t *testing.T) {
	is := is.New(t)
	n := newNodeOn(is, threeVoters(), &raftpb.HardState{Term: 1}, entries(1, 1, 1))
	b := step(is, n, from("b", &raftpb.Message{Kind: kindSnapshot, Term: 1, Snapshot: &raftpb.Snapshot{Index: 2, Term: 1, Membership: threeVoters()}}))
	is.Equal(b.Restore, nil)
	is.Equal(len(b.Committed), 2)
	is.Equal(n.Status().LastIndex, uint64(3))
}

func TestCompactNeedsMembership(t *testing.T) {
	is := is.New(t)
	n := newNode(is, options(nil))
	step(is, n, from("b", &raftpb.Message{Kind: kindAppend, Term: 1, Entries: entries(1), Commit: 1}))
	is.True(errors.Is(n.Compact(&raftpb.Snapshot{Index: 1}), ErrCompact))
}
