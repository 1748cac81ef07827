package replica

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// A leader with a full disk is replaced, and rejoins without losing acknowledged
// commands once there is space.
func TestLeaderWithFullDisk(t *testing.T) {
	is := is.New(t)
	c, old := newLedCluster(t, 3, Options{WaitForDiskSpace: true})
	c.propose(old, "before")
	old.disk.fill(true)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err := old.replica.Propose(ctx, []byte("refused"))
	is.True(err != nil)
	is.True(old.replica.Err() == nil) // it did not fail
	next := c.leader(old)
	c.propose(next, "while full")
	old.disk.fill(false)
	c.propose(next, "after")
	c.converge("after")
	is.NoErr(old.replica.ReadBarrier(ctx))
}

// A follower with a full disk must not block the group, and must catch up once there
// is space.
func TestFollowerWithFullDisk(t *testing.T) {
	is := is.New(t)
	c, leader := newLedCluster(t, 3, Options{WaitForDiskSpace: true, SnapshotEntries: 5})
	var follower *host
	for _, h := range c.hosts {
		if h != leader {
			follower = h
		}
	}
	follower.disk.fill(true)
	for _, command := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9"} {
		c.propose(leader, command)
	}
	follower.disk.fill(false)
	c.propose(leader, "last")
	c.converge("last")
	is.True(follower.replica.Err() == nil)
}
