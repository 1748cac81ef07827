package raft

import (
	"fmt"
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// injectFault crashes, wipes, freezes or partitions servers at random.
func (c *cluster) injectFault(s *server) {
	n := c.rng.IntN(c.faultInterval)
	if s.node.role != RoleFollower {
		n /= 8 // more faults of leaders and during elections
	}
	switch {
	case n < 10:
		c.crash(s)
	case n < 13:
		c.wipeDisk(s)
	case n < 20:
		s.frozen = c.rng.IntN(1500)
	case n < 30:
		c.blocked = map[string]bool{}
	case n < 45:
		// Block some directions, or all messages of one server.
		percent := 25 + 75*c.rng.IntN(2)
		for _, o := range c.servers {
			c.blocked[s.name+o.name] = c.chance(percent)
			c.blocked[o.name+s.name] = c.chance(percent)
		}
	}
}

func (c *cluster) crash(s *server) {
	s.node = nil
	s.frozen = c.rng.IntN(1 + c.rng.IntN(600))
	c.counts.Crashes++
}

// wipeDisk crashes a server and drops its disk, if each membership in use keeps a
// quorum. The server restarts with a new incarnation.
func (c *cluster) wipeDisk(s *server) {
	kept := func(k replicaKey) bool { return !c.lost[k] && k != keyOf(s.id()) }
	for _, o := range c.servers {
		if o.node == nil || o.node.membership() != nil && !hasQuorum(o.node.membership(), kept) {
			return
		}
	}
	c.crash(s)
	c.counts.Wipes++
	c.lost[keyOf(s.id())] = true
	*s = server{name: s.name, incarnation: s.incarnation + 1, durable: s.durable, tickPercent: s.tickPercent, frozen: s.frozen}
}

func (c *cluster) propose(s *server) {
	c.token++
	_, _, err := s.node.Propose(fmt.Appendf(nil, "%d", c.token))
	_ = err // most servers do not lead
}

// transfer occasionally starts a leadership transfer.
func (c *cluster) transfer(s *server) {
	if !c.healed && c.chance(25) {
		_ = s.node.TransferLeadership() // most servers do not lead
	}
}

func (c *cluster) read(s *server) {
	c.token++
	if s.node.ReadIndex(c.token) == nil {
		s.reads[c.token] = c.highest
	}
}

func (c *cluster) compact(s *server) error {
	snapshot := &raftpb.Snapshot{Index: s.state.index, Data: strconv.AppendUint(nil, s.state.hash, 10)}
	// Only between two batches, like a caller with one goroutine.
	if s.stage != 0 || s.node.Compact(snapshot) != nil {
		return nil
	}
	s.snapshot = snapshot
	if c.chance(50) {
		s.entries = slices.DeleteFunc(slices.Clone(s.entries), func(e *raftpb.Entry) bool { return e.GetIndex() <= snapshot.GetIndex() })
	}
	return nil
}

// changeMembership proposes to remove a lost incarnation, or a random change.
func (c *cluster) changeMembership(s *server) {
	if c.healed || s.node.role != RoleLeader {
		return
	}
	to := proto.Clone(s.node.membership()).(*raftpb.Membership)
	i := c.rng.IntN(len(to.Members))
	if lost := slices.IndexFunc(to.Members, func(m *raftpb.Member) bool { return c.lost[keyOf(m.GetId())] }); lost >= 0 {
		i = lost
	}
	o := c.servers[c.rng.IntN(len(c.servers))]
	promoted, removed := 0, 0
	switch n := c.rng.IntN(10); {
	case findMember(to, keyOf(o.id())) == nil && n < 5:
		to.Members = append(to.Members, &raftpb.Member{Id: o.id(), Learner: true})
	case to.Members[i].Learner && n < 8:
		to.Members[i].Learner = false
		promoted = 1
	case n == 8:
		to.Members[i].Learner = true
	case countVoters(to) > 2 || to.Members[i].Learner:
		to.Members = slices.Delete(to.Members, i, i+1)
		removed = 1
	}
	if !hasQuorum(to, func(k replicaKey) bool { return !c.lost[k] }) {
		return
	}
	if _, _, err := s.node.ProposeMembership(to); err == nil {
		c.counts.Promotions += promoted
		c.counts.Removals += removed
	}
}
