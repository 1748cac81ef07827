package raft

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
)

// check checks the invariants after an event of a server.
func (c *cluster) check(s *server) error {
	n := s.node
	newLeader := false
	if n.role == RoleLeader {
		known, ok := c.leaders[n.term]
		if ok && known != n.key {
			return errors.Errorf("election safety: %v and %v lead term %d", known, n.key, n.term)
		}
		c.leaders[n.term] = n.key
		newLeader = !ok
	}
	if err := c.checkCommits(s); err != nil {
		return err
	}
	if newLeader {
		c.counts.Leaders++
		if err := c.checkLeader(n, 1); err != nil {
			return err
		}
	}
	if c.events%500 == 0 {
		return c.checkLogs()
	}
	return nil
}

// checkCommits records newly committed entries.
func (c *cluster) checkCommits(s *server) error {
	n := s.node
	first := c.highest + 1
	for i := max(s.checkedCommit, n.log.offset) + 1; i <= n.log.commit; i++ {
		term, _ := n.log.term(i)
		known, ok := c.log[i]
		if ok && known.entryTerm != term {
			return errors.Errorf("%s commits term %d at %d, was %d", s.name, term, i, known.entryTerm)
		}
		if !ok {
			c.log[i] = committed{entryTerm: term, seenTerm: n.term}
			c.counts.Commits++
			c.highest = max(c.highest, i)
		}
	}
	s.checkedCommit = n.log.commit
	if c.highest < first {
		return nil
	}
	for _, o := range c.servers {
		if o.node != nil && o.node.role == RoleLeader {
			if err := c.checkLeader(o.node, first); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkLeader checks that a leader has all entries committed in earlier terms.
func (c *cluster) checkLeader(n *Node, first uint64) error {
	for i := max(first, n.log.offset+1); i <= c.highest; i++ {
		if known := c.log[i]; known.seenTerm < n.term && !n.log.matches(i, known.entryTerm) {
			return errors.Errorf("leader completeness: %v of term %d lacks %d/%d", n.key, n.term, i, known.entryTerm)
		}
	}
	return nil
}

// checkLogs checks that two logs that agree on an entry agree on all before it.
func (c *cluster) checkLogs() error {
	for i, a := range c.servers {
		for _, b := range c.servers[:i] {
			if a.node == nil || b.node == nil {
				continue
			}
			if err := checkPair(&a.node.log, &b.node.log); err != nil {
				return errors.Wrapf(err, "log matching: %s and %s", a.name, b.name)
			}
		}
	}
	return nil
}

func checkPair(a, b *entryLog) error {
	agreed := false
	for i := min(a.lastIndex(), b.lastIndex()); i > max(a.offset, b.offset); i-- {
		x, y := a.entries[i-a.offset-1], b.entries[i-b.offset-1]
		agreed = agreed || x.GetTerm() == y.GetTerm()
		if agreed && !proto.Equal(x, y) {
			return errors.Errorf("entry %d is %v and %v", i, x, y)
		}
	}
	return nil
}
