package replica

import (
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// A leader that is closed asks a follower to take over, and that one is
// elected in the next term with all that was accepted. Ticks are long, so that a busy
// machine that stands still for half a second brings no election of its own.
func TestCloseHandsOver(t *testing.T) {
	is := is.New(t)
	c, old := newLedCluster(t, 3, Options{TickInterval: 200 * time.Millisecond})
	c.propose(old, "before")
	term := old.replica.Status().Term
	var mu sync.Mutex
	asked := ""
	c.setTap(func(_, to string, m *raftpb.Message) {
		mu.Lock()
		defer mu.Unlock()
		if m.GetKind() == raftpb.MessageKind_MESSAGE_TAKE_OVER {
			asked = to
		}
	})
	closing := old.replica
	is.NoErr(closing.Close())
	c.detach(old)
	is.Equal(old.counter("leaderships_handed_over"), int64(1))
	next := c.leader()
	mu.Lock()
	is.Equal(next.name, asked)
	mu.Unlock()
	is.Equal(next.replica.Status().Term, term+1)
	c.propose(next, "after")
	c.start(old)
	c.converge("after")
	is.Equal(old.journal.count("before"), 1)
}

// Without anybody to take over, a leader says so, goes on, and can be closed.
func TestHandOverNeedsAnother(t *testing.T) {
	is := is.New(t)
	alone, h := newLedCluster(t, 1, Options{})
	is.True(errors.Is(h.replica.MoveLeadership(t.Context()), ErrNoLeader))
	alone.propose(h, "goes on")
	is.NoErr(alone.detach(h).Close())

	c, leader := newLedCluster(t, 3, Options{})
	is.NoErr(others(c, leader)[0].replica.MoveLeadership(t.Context())) // it does not lead
	is.Equal(c.leader(), leader)
}
