package raft

import (
	"slices"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// MaxVoters is the maximum number of voters. Each commit waits for more than
// half of them; further members lose nothing as learners, which apply the log, confirm
// reads through the leader and forward commands to it. Five voters, one in each of five
// regions, survive the loss of two, and two replacements can be promoted before the
// voters that they replace are removed.
const MaxVoters = 7

// replicaKey is a comparable ReplicaID.
type replicaKey struct {
	name        string
	incarnation uint64
}

func keyOf(id *raftpb.ReplicaID) replicaKey {
	return replicaKey{name: id.GetName(), incarnation: id.GetIncarnation()}
}

func (k replicaKey) valid() bool {
	return k.name != "" && k.incarnation != 0
}

// membershipRecord is a membership and the index of the entry that set it.
type membershipRecord struct {
	index      uint64
	membership *raftpb.Membership
}

// membership returns the current membership: the latest in the log, committed or
// not. Nil if this replica knows none.
func (n *Node) membership() *raftpb.Membership {
	return n.memberships[len(n.memberships)-1].membership
}

// membershipIndex returns the index of the entry that set the current
// membership.
func (n *Node) membershipIndex() uint64 {
	return n.memberships[len(n.memberships)-1].index
}

// membershipAt returns the membership as of index.
func (n *Node) membershipAt(index uint64) *raftpb.Membership {
	for _, r := range slices.Backward(n.memberships) {
		if r.index <= index {
			return r.membership
		}
	}
	return nil
}

// recordMemberships records the memberships of appended entries, and drops the
// records that they overwrite.
func (n *Node) recordMemberships(entries []*raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	var added []membershipRecord
	for _, e := range entries {
		if e.GetKind() != raftpb.EntryKind_ENTRY_MEMBERSHIP {
			continue
		}
		m := &raftpb.Membership{}
		if err := proto.Unmarshal(e.GetData(), m); err != nil {
			return errors.Wrapf(ErrInconsistent, "membership entry %d: %v", e.GetIndex(), err)
		}
		added = append(added, membershipRecord{index: e.GetIndex(), membership: m})
	}
	first := entries[0].GetIndex()
	kept := slices.DeleteFunc(n.memberships, func(r membershipRecord) bool {
		return r.index >= first
	})
	n.memberships = append(kept, added...)
	return nil
}

// compactMemberships drops the records before the membership as of index.
func (n *Node) compactMemberships(index uint64) {
	first := 0
	for i, r := range n.memberships {
		if r.index <= index {
			first = i
		}
	}
	n.memberships = slices.Clone(n.memberships[first:])
}

func findMember(m *raftpb.Membership, key replicaKey) *raftpb.Member {
	for _, member := range m.GetMembers() {
		if keyOf(member.GetId()) == key {
			return member
		}
	}
	return nil
}

func isVoter(m *raftpb.Membership, key replicaKey) bool {
	member := findMember(m, key)
	return member != nil && !member.GetLearner()
}

func countVoters(m *raftpb.Membership) int {
	voters := 0
	for _, member := range m.GetMembers() {
		if !member.GetLearner() {
			voters++
		}
	}
	return voters
}

// voterIndex returns the position of a replica among the voters, or the number of
// voters if it is none.
func voterIndex(m *raftpb.Membership, key replicaKey) int {
	index := 0
	for _, member := range m.GetMembers() {
		if member.GetLearner() {
			continue
		}
		if keyOf(member.GetId()) == key {
			return index
		}
		index++
	}
	return index
}

// hasQuorum reports whether more than half of the voters are accepted.
func hasQuorum(m *raftpb.Membership, accepted func(replicaKey) bool) bool {
	count := 0
	for _, member := range m.GetMembers() {
		if !member.GetLearner() && accepted(keyOf(member.GetId())) {
			count++
		}
	}
	return count > countVoters(m)/2
}

// quorumValue returns the highest value that more than half of the voters have
// reached.
func quorumValue(m *raftpb.Membership, value func(replicaKey) uint64) uint64 {
	values := make([]uint64, 0, len(m.GetMembers()))
	for _, member := range m.GetMembers() {
		if !member.GetLearner() {
			values = append(values, value(keyOf(member.GetId())))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// validateMembership checks a membership on its own.
func validateMembership(m *raftpb.Membership) error {
	seen := make(map[replicaKey]bool, len(m.GetMembers()))
	for _, member := range m.GetMembers() {
		key := keyOf(member.GetId())
		if !key.valid() {
			return errors.Wrap(ErrInvalidMembership, "replica without name or incarnation")
		}
		if seen[key] {
			return errors.Wrapf(ErrInvalidMembership, "duplicate replica %s/%d", key.name, key.incarnation)
		}
		seen[key] = true
	}
	if countVoters(m) == 0 {
		return errors.Wrap(ErrInvalidMembership, "no voter")
	}
	return nil
}

// changedMembers returns the keys of members that differ between from and to.
func changedMembers(from, to *raftpb.Membership) []replicaKey {
	var changed []replicaKey
	for _, member := range from.GetMembers() {
		key := keyOf(member.GetId())
		if !proto.Equal(member, findMember(to, key)) {
			changed = append(changed, key)
		}
	}
	for _, member := range to.GetMembers() {
		key := keyOf(member.GetId())
		if findMember(from, key) == nil {
			changed = append(changed, key)
		}
	}
	return changed
}

// validateChange checks that to differs from the current membership by one
// member, that a new voter has caught up and that MaxVoters is not exceeded.
func (n *Node) validateChange(to *raftpb.Membership) error {
	if err := validateMembership(to); err != nil {
		return err
	}
	from := n.membership()
	changed := changedMembers(from, to)
	if len(changed) != 1 {
		// If two voters change at once, quorums of the old and the new
		// membership need not overlap.
		return errors.Wrapf(ErrInvalidMembership, "%d members changed, want 1", len(changed))
	}
	key := changed[0]
	if voters := countVoters(to); voters > MaxVoters && voters > countVoters(from) {
		return errors.Wrapf(ErrTooManyVoters, "%d voters, at most %d: replica %s/%d can serve as a learner",
			voters, MaxVoters, key.name, key.incarnation)
	}
	if isVoter(to, key) && !isVoter(from, key) && !n.caughtUp(key) {
		return errors.Wrapf(ErrNotCaughtUp, "replica %s/%d", key.name, key.incarnation)
	}
	return nil
}

// caughtUp reports whether a learner holds all entries committed one heartbeat
// ago. Otherwise commits could stall until a new voter has received the log.
func (n *Node) caughtUp(key replicaKey) bool {
	p := n.progressOf(key)
	if p == nil {
		return false
	}
	return p.match >= max(n.heartbeatCommit, n.membershipIndex())
}
