package controld

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// directoryWith returns the directory of a control host with open subscriptions that has just
// started, or started longer than a lease ago.
func directoryWith(subscriptions int, complete bool) *directory {
	lease := time.Hour
	if complete {
		lease = time.Nanosecond
	}
	d := newDirectory(1, lease)
	for i := range subscriptions {
		peer := link.Peer{Role: keys.RoleEntry, Name: fmt.Sprint("e", i)}
		d.subscribers.add(newSubscriber(peer, &controlpb.Subscribe{}))
	}
	return d
}

// report sends the number of subscribers of a host to another one.
func report(from, to *directory, name string) {
	m := &controlpb.DirectorySync{}
	from.addLoad(m)
	to.recordLoad(name, m)
}

// After the start of a deployment the hosts that settings name pass subscribers on before
// their directories are complete, which takes a lease. One whose directory is complete passes
// none to a host that has just started.
func TestSubscribersMoveBeforeDirectoriesAreComplete(t *testing.T) {
	for _, test := range []struct {
		name          string
		full, empty   bool
		moved         int
		reasonIfKept  membership.RebalanceReason
		earlierServer bool
	}{
		{name: "both have just started", moved: 30},
		{name: "both are complete", full: true, empty: true, moved: 30},
		{name: "the other one has just started", full: true, reasonIfKept: membership.RebalanceNoPeers},
		{name: "the other one has just started, of an earlier release", earlierServer: true, reasonIfKept: membership.RebalanceNoPeers},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			full, empty := directoryWith(60, test.full), directoryWith(0, test.empty)
			if test.earlierServer {
				full.recordLoad("c2", &controlpb.DirectorySync{})
			} else {
				report(empty, full, "c2")
			}
			s := full.rebalancer()
			moves, reason := s.Decide()
			if test.moved == 0 {
				is.Equal(reason, test.reasonIfKept)
				return
			}
			is.Equal(moves, []membership.Moves{{Host: "c2", Subscribers: test.moved}})
		})
	}
}

// Subscribers that were asked to move count neither here nor as missing there until the other
// host has reported them, and are not asked again.
func TestMovingSubscribersAreNotCountedTwice(t *testing.T) {
	is := is.New(t)
	full, empty := directoryWith(60, false), directoryWith(0, false)
	report(empty, full, "c2")
	chosen := full.subscribers.sample(30)
	is.Equal(len(chosen), 30)
	for _, sub := range chosen {
		sub.requestMove("127.0.0.1:1")
	}
	full.recordMoves("c2", len(chosen))
	s := full.rebalancer()
	is.Equal(s.Own, 30)
	_, reason := s.Decide()
	is.Equal(reason, membership.RebalanceBalanced)
	for _, sub := range full.subscribers.sample(60) {
		is.True(!sub.isMoving())
	}
	is.Equal(len(full.subscribers.sample(60)), 30)
	is.Equal(full.subscribers.count(), 60) // until they have left
}
