package replica

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// A leader whose disk has no room leaves the group to the others and comes back by
// itself, with all that was acknowledged meanwhile and before.
func TestDiskWithoutRoom(t *testing.T) {
	is := is.New(t)
	c, old := newLedCluster(t, 3, Options{WaitForDiskSpace: true})
	c.propose(old, "before")
	old.disk.fill(true)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err := old.replica.Propose(ctx, []byte("refused"))
	is.True(err != nil)
	is.True(old.replica.Err() == nil) // it did not fail
	others := c.leader(old)
	c.propose(others, "meanwhile")
	old.disk.fill(false)
	c.propose(others, "after")
	c.converge("after")
	is.NoErr(old.replica.ReadBarrier(ctx))
}

// The disk is full from the moment when a follower is to write.
func TestFollowerWithoutRoom(t *testing.T) {
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
