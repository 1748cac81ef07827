package replica

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// A one-way partition of a host must not block the group, also if the followers still
// receive heartbeats. The host must not report false success or serve stale reads.
func TestOneWayPartitions(t *testing.T) {
	for name, tt := range map[string]struct{ leads, blockSend, blockReceive bool }{
		"leader cannot send":      {leads: true, blockSend: true},
		"leader cannot receive":   {leads: true, blockReceive: true},
		"follower cannot send":    {blockSend: true},
		"follower cannot receive": {blockReceive: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, leader := newLedCluster(t, 3, Options{})
			c.propose(leader, "before")
			victim := leader
			if !tt.leads {
				victim = others(c, leader)[0]
			}
			c.blockOneWay(victim, tt.blockSend, tt.blockReceive)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			outcome := victim.proposeInBackground(ctx, "unsure")
			next := c.leader(victim)
			c.propose(next, "meanwhile")
			read := victim.readInBackground(ctx)
			c.blockOneWay(victim, false, false)
			if <-read == nil {
				is.Equal(victim.journal.count("meanwhile"), 1) // no stale read
			}
			err := <-outcome
			c.propose(c.leader(), "after")
			c.converge("after")
			is.Equal(victim.journal.count("before"), 1)
			switch {
			case err == nil:
				is.Equal(victim.journal.count("unsure"), 1)
			case errors.Is(err, ErrNoLeader):
				is.Equal(victim.journal.count("unsure"), 0) // not replicated
			}
		})
	}
}

// A follower whose disk blocks must not block the group, and must catch up afterwards.
func TestFollowerWithBlockedDisk(t *testing.T) {
	c, leader := newLedCluster(t, 3, Options{SnapshotEntries: 5})
	follower := others(c, leader)[0]
	unblock := follower.disk.blockSync()
	for _, command := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9"} {
		c.propose(leader, command)
	}
	unblock()
	c.propose(c.leader(), "last")
	c.converge("last")
}
