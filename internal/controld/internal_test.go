package controld

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/replica"
	"eelgrasswharf.example/eelgrasswharf/membership"
	"eelgrasswharf.example/eelgrasswharf/raft"
)

func TestBarrierSharesReads(t *testing.T) {
	is := is.New(t)
	var reads atomic.Int32
	entered, finish := make(chan struct{}, 100), make(chan struct{})
	var wg conc.WaitGroup
	b := &barrier{ctx: context.Background(), wg: &wg, read: func(context.Context) error {
		reads.Add(1)
		entered <- struct{}{}
		<-finish
		return nil
	}}
	var waiters conc.WaitGroup
	waiters.Go(func() { is.NoErr(b.wait(context.Background())) })
	<-entered
	joined := make(chan *round, 50)
	for range 50 {
		r, first := b.joinRound()
		is.Equal(first, false) // the running read started before this call
		joined <- r
	}
	close(finish)
	for range 50 {
		<-(<-joined).done
	}
	waiters.Wait()
	wg.Wait()
	is.Equal(reads.Load(), int32(2))
}

func TestBarrierReturnsReadError(t *testing.T) {
	is := is.New(t)
	lost := errors.New("no quorum")
	var wg conc.WaitGroup
	b := &barrier{ctx: context.Background(), wg: &wg, read: func(context.Context) error { return lost }}
	is.Equal(b.wait(context.Background()), lost)
	wg.Wait()
	is.Equal(b.wait(context.Background()), lost) // and a new round starts
	wg.Wait()
}

func TestNotifierCoalescesWakeUps(t *testing.T) {
	is := is.New(t)
	n := newNotifier()
	c := n.subscribe()
	for range 10 {
		n.notify()
	}
	is.Equal(len(c), 1)
	n.unsubscribe(c)
	<-c
	n.notify()
	is.Equal(len(c), 0)
}

// voterSettings returns the initial voters c1, c2 and so on.
func voterSettings(count int) []string {
	var all []string
	for i := range count {
		all = append(all, fmt.Sprintf("c%d=127.0.0.1:%d", i+1, i+1))
	}
	return all
}

func TestParseInitialVoters(t *testing.T) {
	tests := []struct {
		name   string
		voters []string
		join   bool
		want   []seedHost
		fails  bool
	}{
		{"single host", nil, false, []seedHost{{"c2", "127.0.0.1:0"}}, false},
		{"joins", []string{"c1=127.0.0.1:1"}, true, []seedHost{{"c1", "127.0.0.1:1"}}, false},
		{"joins without seeds", nil, true, nil, false},
		{"sorted", []string{"c2=127.0.0.1:2", "c1=127.0.0.1:1"}, false, []seedHost{{"c1", "127.0.0.1:1"}, {"c2", "127.0.0.1:2"}}, false},
		{"self not listed", []string{"c1=127.0.0.1:1"}, false, nil, true},
		{"twice", []string{"c2=127.0.0.1:2", "c2=127.0.0.1:3"}, false, nil, true},
		{"no address", []string{"c2"}, false, nil, true},
		{"too many", voterSettings(raft.MaxVoters + 1), false, nil, true},
		{"no name", []string{"=127.0.0.1:1", "c2=127.0.0.1:2"}, false, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got, err := parseInitialVoters(&settingspb.Replica{InitialVoters: test.voters, Join: test.join, Listen: "127.0.0.1:0"}, "c2")
			is.Equal(errors.Is(err, ErrInvalidVoters), test.fails)
			if !test.fails {
				is.Equal(got, test.want)
			}
		})
	}
}

func TestProposeStatusOfUnknownOutcome(t *testing.T) {
	is := is.New(t)
	is.Equal(proposeStatus(nil), controlpb.ProposeStatus_PROPOSE_OK)
	is.Equal(proposeStatus(replica.ErrNoLeader), controlpb.ProposeStatus_PROPOSE_NO_LEADER)
	is.Equal(proposeStatus(replica.ErrBusy), controlpb.ProposeStatus_PROPOSE_BUSY)
	is.Equal(proposeStatus(replica.ErrInvalidCommand), controlpb.ProposeStatus_PROPOSE_BUSY)
	is.Equal(proposeStatus(replica.ErrClosed), controlpb.ProposeStatus_PROPOSE_NO_LEADER)
	is.Equal(proposeStatus(errors.Join(replica.ErrUnknown, replica.ErrNoLeader)), controlpb.ProposeStatus_PROPOSE_UNKNOWN)
	is.Equal(proposeStatus(context.DeadlineExceeded), controlpb.ProposeStatus_PROPOSE_UNKNOWN)
}

func record(number uint32) *controlpb.TargetRecord {
	return &controlpb.TargetRecord{
		Service: 1, Number: number, Incarnation: 1, Sequence: 1, Address: "127.0.0.1:7000", Slots: 4,
		State: controlpb.TargetState_TARGET_STATE_SERVING,
	}
}

func TestNewDirectoryRemovesNothing(t *testing.T) {
	is := is.New(t)
	d := newDirectory(7, 0)
	d.announce(record(1))
	f := membership.NewSubscriber(membership.Position{Epoch: 6, Sequence: 9}, nil) // position in the directory of another epoch
	u, _ := d.nextUpdate(f)
	is.Equal(u.GetFull(), false)
	is.Equal(len(u.GetPut()), 1)
	u, _ = d.nextUpdate(f)
	is.Equal(u, nil)

	d.start = d.start.Add(-d.lease()) // a lease later
	u, _ = d.nextUpdate(f)
	is.True(u.GetFull())
	u, _ = d.nextUpdate(f)
	is.Equal(u, nil)
	d.announce(record(2))
	u, _ = d.nextUpdate(f)
	is.Equal(u.GetFull(), false)
	is.Equal(len(u.GetPut()), 1)
}

// syncMessage returns the sync message of a host with these targets.
func syncMessage(epoch uint64, numbers ...uint32) *controlpb.DirectorySync {
	d := newDirectory(epoch, 0)
	for _, n := range numbers {
		d.announce(record(n))
	}
	m, _ := d.sync(0)
	return m
}

func TestRecordsOfInactiveHostAreKept(t *testing.T) {
	is := is.New(t)
	d := newDirectory(7, 0)
	is.Equal(len(d.applySync("c2", syncMessage(8, 1)).GetDigests()), 0)
	is.Equal(len(d.applySync("c3", syncMessage(9, 2)).GetDigests()), 0)
	d.start = d.start.Add(-d.lease() - time.Second)
	later := syncMessage(9)
	later.Ended = []uint32{2}
	later.Summary.Serial++
	d.applySync("c3", later) // c3 is active and has ended its target
	d.expire()
	is.Equal(d.count(), 1)
	m, _ := d.sync(0)
	is.Equal(len(m.GetRecords()), 0) // records of other hosts are not forwarded
}

// Guards against a list that leaves out a target whose lease has ended before its flows, which may
// be idle for longer, may be discarded.
func TestLostTargetStaysForIdleTimeout(t *testing.T) {
	is := is.New(t)
	const lease = 9 * time.Second
	d := directoryFor(&settingspb.Replica{LeaseMs: 9_000, RetainLostMs: 20_000, MaxRetainLostMs: 80_000})
	d.announce(record(1))
	elapse := func(by time.Duration) int {
		d.start = d.start.Add(-by)
		d.expire()
		return d.count()
	}
	d.setIdleTimeout(45 * time.Second)
	is.Equal(elapse(lease+time.Second), 1)
	is.Equal(len(d.lost()), 1)
	is.Equal(elapse(45*time.Second), 1)
	is.Equal(elapse(5*time.Second), 0)

	d.announce(record(2))
	d.setIdleTimeout(time.Hour) // flows are not that old
	elapse(lease + time.Second)
	is.Equal(elapse(79*time.Second), 1)
	is.Equal(elapse(2*time.Second), 0)

	unused := directoryFor(&settingspb.Replica{LeaseMs: 9_000})
	unused.announce(record(3))
	unused.setIdleTimeout(45 * time.Second)
	unused.start = unused.start.Add(-lease - time.Second)
	unused.expire()
	is.Equal(unused.count(), 0) // not kept at all
}

func TestChangesAreSyncedOnce(t *testing.T) {
	is := is.New(t)
	d := newDirectory(7, 0)
	d.announce(record(1))
	d.announce(record(1))
	d.applySync("c2", syncMessage(8, 2))
	m, cursor := d.sync(0)
	is.Equal(len(m.GetRecords()), 1)
	m, again := d.sync(cursor)
	is.Equal(len(m.GetRecords()), 0)
	is.Equal(m.GetSummary().GetCount(), uint32(1))
	is.Equal(again, cursor)
	is.Equal(d.localSequence(), cursor)
}

func TestChangesOutOfScopeAreNotSent(t *testing.T) {
	is := is.New(t)
	d := newDirectory(7, 0)
	d.announce(record(1))
	d.start = d.start.Add(-d.lease())
	f := membership.NewSubscriber(membership.Position{}, membership.NewScope([]uint32{1}))
	d.nextUpdate(f)
	other := record(2)
	other.Service = 2
	d.announce(other)
	u, _ := d.nextUpdate(f)
	is.Equal(u, nil)
	d.announce(record(3))
	u, _ = d.nextUpdate(f)
	is.Equal(len(u.GetPut()), 1) // without the target of the other service
	is.Equal(u.GetFull(), false)
}

// A host that has just learned of a leader has no link to it yet. A command must wait for
// the link.
func TestProposeWaitsForLinkToLeader(t *testing.T) {
	is := is.New(t)
	tries := 0
	reply, err := proposeWithRetry(t.Context(), func(context.Context) bool { return true }, func() ([]byte, error) {
		tries++
		if tries < 4 {
			return nil, errors.Wrap(replica.ErrNoLeader, "no link to the leader")
		}
		return []byte("done"), nil
	})
	is.NoErr(err)
	is.Equal(string(reply), "done")

	_, err = proposeWithRetry(t.Context(), func(context.Context) bool { return false }, func() ([]byte, error) {
		return nil, replica.ErrNoLeader
	})
	is.True(errors.Is(err, replica.ErrNoLeader)) // no leader before the timeout

	tries = 0
	_, err = proposeWithRetry(t.Context(), func(context.Context) bool { return true }, func() ([]byte, error) {
		tries++
		return nil, replica.ErrUnknown
	})
	is.True(errors.Is(err, replica.ErrUnknown))
	is.Equal(tries, 1) // not retried, since the outcome is unknown
}

// A subscriber that arrives before there is a leader gets its version confirmed as soon as a
// quorum has confirmed the state of the host, not after the next retry.
func TestConfirmationIsDueOnceHostIsConfirmed(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := &Daemon{}
	s := &subscription{daemon: d, lastBarrier: now}
	is.True(!s.confirmationDue(now))
	is.True(s.confirmationDue(now.Add(confirmRetry)))
	d.confirmation.record(now.Add(-time.Millisecond), nil)
	is.True(!s.confirmationDue(now)) // that was before the last attempt
	d.confirmation.record(now.Add(time.Millisecond), nil)
	is.True(s.confirmationDue(now.Add(2 * time.Millisecond)))
	s.confirmed = true
	is.True(!s.confirmationDue(now.Add(confirmRetry)))
}
