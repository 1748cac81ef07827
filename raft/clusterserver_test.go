package raft

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// hashState is a state machine that holds the applied index and a hash of all
// applied entries.
type hashState struct{ index, hash uint64 }

func (s hashState) next(e *raftpb.Entry) hashState {
	h := fnv.New64a()
	fmt.Fprint(h, s.hash, e.GetTerm(), e.GetIndex(), e.GetKind(), e.GetData())
	return hashState{index: e.GetIndex(), hash: h.Sum64()}
}

// server is one replica with its disk.
type server struct {
	name          string
	tickPercent   int // percent of events that are ticks
	incarnation   uint64
	initialMember bool
	durable       bool // the state machine survives a crash
	node          *Node
	state         hashState
	// Durable state.
	hard     *raftpb.HardState
	snapshot *raftpb.Snapshot
	entries  []*raftpb.Entry
	// The current batch and its next step.
	batch         Batch
	stage         int
	newVote       bool              // the batch holds a new vote
	reads         map[uint64]uint64 // token to the minimum index it must see
	checkedCommit uint64            // commit seen by checkCommits
	frozen        int               // events until it resumes or restarts
}

func (s *server) id() *raftpb.ReplicaID {
	return &raftpb.ReplicaID{Name: s.name, Incarnation: s.incarnation}
}

// processBatch runs the next step of a server's batch. A crash between two steps
// keeps the effects of the steps before.
func (c *cluster) processBatch(s *server) error {
	b := &s.batch
	crashOdds := c.faultInterval / 40
	if s.newVote {
		crashOdds = 6
	}
	if s.stage > 1 && !c.healed && c.rng.IntN(crashOdds) == 0 {
		// Restart soon, while its messages are still counted elsewhere.
		c.crash(s)
		s.frozen = c.rng.IntN(20)
		return nil
	}
	switch s.stage {
	case 0:
		batch, ok := s.node.Ready()
		if !ok {
			return nil
		}
		s.batch = batch
		s.newVote = batch.HardState.GetVote() != nil && !proto.Equal(batch.HardState.GetVote(), s.hard.GetVote())
	case 1:
		if b.Snapshot != nil {
			s.snapshot = b.Snapshot
		}
	case 2:
		c.persist(s)
	case 3:
		for _, m := range b.Messages {
			if err := c.send(m); err != nil {
				return err
			}
		}
	case 4:
		if err := c.apply(s); err != nil {
			return err
		}
		s.node.Advance(s.batch)
		s.stage = -1
	}
	s.stage++
	return nil
}

func (c *cluster) persist(s *server) {
	b := &s.batch
	if b.Snapshot != nil {
		s.entries = nil
	}
	if b.HardState != nil && (b.MustSync || c.chance(50)) {
		s.hard = b.HardState
	}
	if len(b.Entries) == 0 {
		return
	}
	first := b.Entries[0].GetIndex()
	s.entries = slices.DeleteFunc(slices.Clone(s.entries), func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
	s.entries = append(s.entries, b.Entries...)
}

func (c *cluster) apply(s *server) error {
	if r := s.batch.Restore; r != nil {
		hash, err := strconv.ParseUint(string(r.GetData()), 10, 64)
		if err != nil {
			return err
		}
		s.state = hashState{index: r.GetIndex(), hash: hash}
		c.counts.Restores++
		if c.log[r.GetIndex()].hash != hash {
			return errors.Errorf("%s restores another state at %d", s.name, r.GetIndex())
		}
	}
	for _, e := range s.batch.Committed {
		if e.GetIndex() != s.state.index+1 {
			return errors.Errorf("%s applies %d after %d", s.name, e.GetIndex(), s.state.index)
		}
		s.state = s.state.next(e)
		known, ok := c.log[e.GetIndex()]
		if ok && known.hash != 0 && known.hash != s.state.hash {
			return errors.Errorf("%s applies another entry at %d", s.name, e.GetIndex())
		}
		known.hash = s.state.hash
		c.log[e.GetIndex()] = known
	}
	for _, r := range s.batch.Reads {
		if r.Failed {
			c.counts.FailedReads++
			continue
		}
		c.counts.Reads++
		if minIndex := s.reads[r.Token]; r.Index < minIndex || s.state.index < minIndex {
			return errors.Errorf("%s: stale read at %d, state %d, floor %d", s.name, r.Index, s.state.index, minIndex)
		}
	}
	return nil
}
