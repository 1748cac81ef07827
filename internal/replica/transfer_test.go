package replica

import (
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// Close transfers the leadership to a follower that has all accepted commands. Ticks are
// long, so that stalls of a busy machine cause no other election.
func TestCloseTransfersLeadership(t *testing.T) {
	is := is.New(t)
	c, old := newLedCluster(t, 3, Options{TickInterval: 200 * time.Millisecond})
	c.propose(old, "before")
	term := old.replica.Status().Term
	var mu sync.Mutex
	successor := ""
	c.setOnDeliver(func(_, to string, m *raftpb.Message) {
		mu.Lock()
		defer mu.Unlock()
		if m.GetKind() == raftpb.MessageKind_MESSAGE_TAKE_OVER {
			successor = to
		}
	})
	closing := old.replica
	is.NoErr(closing.Close())
	c.takeDown(old)
	is.Equal(old.counter("leaderships_handed_over"), int64(1))
	next := c.leader()
	mu.Lock()
	is.Equal(next.name, successor)
	mu.Unlock()
	is.Equal(next.replica.Status().Term, term+1)
	c.propose(next, "after")
	c.start(old)
	c.converge("after")
	is.Equal(old.journal.count("before"), 1)
}

// Without a successor MoveLeadership fails, and the leader continues and can be closed.
func TestMoveLeadershipNeedsSuccessor(t *testing.T) {
	is := is.New(t)
	alone, h := newLedCluster(t, 1, Options{})
	is.True(errors.Is(h.replica.MoveLeadership(t.Context()), ErrNoLeader))
	alone.propose(h, "after")
	is.NoErr(alone.takeDown(h).Close())

	c, leader := newLedCluster(t, 3, Options{})
	is.NoErr(others(c, leader)[0].replica.MoveLeadership(t.Context())) // it does not lead
	is.Equal(c.leader(), leader)
}
