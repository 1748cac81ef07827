package raft

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"
)

// drawMessage draws a message that may be invalid.
func drawMessage(t *rapid.T) *raftpb.Message {
	small := rapid.Uint64Range(0, 6)
	m := &raftpb.Message{
		Kind:      raftpb.MessageKind(rapid.IntRange(0, 11).Draw(t, "kind")),
		Term:      small.Draw(t, "term"),
		LogIndex:  small.Draw(t, "index"),
		LogTerm:   small.Draw(t, "log term"),
		Commit:    small.Draw(t, "commit"),
		Reject:    rapid.Bool().Draw(t, "reject"),
		Hint:      small.Draw(t, "hint"),
		ReadRound: small.Draw(t, "round"),
		TakeOver:  rapid.Bool().Draw(t, "take over"),
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "entries") {
		e := &raftpb.Entry{Term: small.Draw(t, "entry term"), Index: m.LogIndex + uint64(i) + small.Draw(t, "gap")/3}
		if rapid.Bool().Draw(t, "change") {
			e = membershipEntry(e.Term, e.Index, members(voter("b"), voter("a")))
		}
		m.Entries = append(m.Entries, e)
	}
	if rapid.Bool().Draw(t, "snapshot") {
		m.Snapshot = &raftpb.Snapshot{Index: small.Draw(t, "at"), Term: small.Draw(t, "of"), Membership: threeVoters()}
	}
	return from(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "from"), m)
}

// TestArbitraryMessages checks that no message makes a node panic or decrease its
// term, commit or applied index, and that the node does not modify the message.
func TestArbitraryMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, err := New(options(threeVoters()))
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := n.Status()
			m := drawMessage(t)
			kept := proto.Clone(m)
			_ = n.Step(m) // errors of malformed messages are expected
			if !proto.Equal(m, kept) {
				t.Fatalf("changed %v", kept)
			}
			ticks(n, rapid.IntRange(0, 12).Draw(t, "ticks"))
			_, _, _ = n.Propose([]byte("x"))
			_ = n.ReadIndex(1)
			if rapid.Bool().Draw(t, "transfer") {
				_ = n.TransferLeadership()
			}
			if rapid.Bool().Draw(t, "drain") {
				drain(n)
			}
			after := n.Status()
			if after.Term < before.Term || after.Commit < before.Commit || after.Applied < before.Applied ||
				after.Commit > after.LastIndex || after.Applied > after.Commit {
				t.Fatalf("%+v after %+v", after, before)
			}
		}
	})
}
