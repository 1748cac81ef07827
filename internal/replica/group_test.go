package replica

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/internal/wal"
)

func TestThreeReplicasAgree(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, Options{SnapshotEntries: 20})
	c.leader()
	c.setLoss(0.05)
	for i := range 60 {
		c.proposeUnderLoss(c.hosts[i%3], fmt.Sprint(i))
	}
	c.setLoss(0)
	c.propose(c.hosts[0], "last")
	c.converge("last")
	for i, h := range c.hosts {
		is.NoErr(h.replica.ReadBarrier(t.Context()))
		is.True(h.counter("snapshots_taken")+h.counter("snapshots_restored") > 0)
		is.Equal(h.replica.Status().Self.GetName(), hostNames[i])
	}
}

// proposeUnderLoss proposes until an attempt succeeds. Each attempt uses another
// command, since attempts with unknown outcome may take effect.
func (c *cluster) proposeUnderLoss(h *host, command string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), testTimeout)
	defer cancel()
	for n := 0; ; n++ {
		_, changed := h.replica.Watch()
		_, err := h.replica.Propose(ctx, fmt.Appendf(nil, "%s-%d", command, n))
		if err == nil {
			return
		}
		if !backoff(ctx, changed) {
			c.t.Fatalf("timeout: propose %s", command)
		}
	}
}

func TestLeaderKilledAndRestarted(t *testing.T) {
	is := is.New(t)
	c, old := newLedCluster(t, 3, Options{})
	c.propose(old, "before")
	c.kill(old)
	next := c.leader()
	is.True(next != old)
	is.Equal(next.journal.count("before"), 1)
	for _, h := range others(c, old) {
		c.propose(h, "while down, at "+h.name)
	}
	c.start(old)
	c.propose(old, "after")
	c.converge("after")
	is.Equal(old.journal.count("before"), 1)
}

func TestFollowerReadBarrierSeesAcceptedWrites(t *testing.T) {
	is := is.New(t)
	c, leader := newLedCluster(t, 3, Options{})
	for i := range 20 {
		command := fmt.Sprint(i)
		c.propose(leader, command)
		for _, h := range others(c, leader) {
			if err := h.replica.ReadBarrier(t.Context()); err != nil {
				is.True(errors.Is(err, ErrNoLeader)) // does not know the leader yet
				continue
			}
			is.Equal(h.journal.count(command), 1)
		}
	}
}

func TestReadBarrierOnLaggingFollowerWaits(t *testing.T) {
	is := is.New(t)
	c, leader := newLedCluster(t, 3, Options{})
	follower := others(c, leader)[0]
	c.propose(leader, "before")
	c.converge("before")
	c.dropAppends(follower.name)
	c.propose(leader, "x")
	read := follower.readInBackground(t.Context())
	// The entry is delivered only after the read index was requested.
	select {
	case err := <-read:
		is.True(err != nil) // it lacks x
	case <-time.After(200 * time.Millisecond):
	}
	is.Equal(follower.journal.count("x"), 0)
	c.dropAppends("")
	c.converge("x")
	is.NoErr(<-read)
}

// A proposal on an isolated leader must get ErrUnknown before the caller's deadline.
func TestProposalOfIsolatedLeaderIsUnknown(t *testing.T) {
	is := is.New(t)
	c, leader := newLedCluster(t, 3, Options{})
	c.propose(leader, "before")
	c.isolate(leader, true)
	_, err := leader.replica.ProposeLocal(context.WithoutCancel(t.Context()), []byte("x"))
	is.True(errors.Is(err, ErrUnknown))
	is.True(!errors.Is(err, ErrNoLeader))
}

func TestReadBarrierNeedsQuorum(t *testing.T) {
	is := is.New(t)
	c, leader := newLedCluster(t, 3, Options{})
	c.propose(leader, "x")
	c.isolate(leader, true)
	next := c.leader(leader)
	c.propose(next, "y")
	// The old leader may not have noticed yet; it must not serve a read without y.
	err := leader.replica.ReadBarrier(t.Context())
	is.True(errors.Is(err, ErrNoLeader))
	c.isolate(leader, false)
	c.converge("y")
}

func TestLostDataDirRejoinsAsLearner(t *testing.T) {
	is := is.New(t)
	c, leader := newLedCluster(t, 3, Options{SnapshotEntries: 5})
	for i := range 12 {
		c.propose(leader, fmt.Sprint("before-", i))
	}
	lost := others(c, leader)[0]
	oldID := lost.replica.ID()
	c.kill(lost)
	is.NoErr(os.RemoveAll(lost.dataDir))
	c.start(lost)
	newID := lost.replica.ID()
	is.True(newID.GetIncarnation() != oldID.GetIncarnation())

	leader = c.leader()
	c.propose(leader, "while lost") // the leader is busy until an entry of its term is committed
	r := leader.replica
	is.True(errors.Is(r.Promote(t.Context(), newID), ErrMembership)) // not a member
	is.NoErr(r.AddLearner(t.Context(), &raftpb.Member{Id: newID, Address: lost.name}))
	is.NoErr(r.AddLearner(t.Context(), &raftpb.Member{Id: newID, Address: lost.name})) // idempotent
	c.wait("learner catches up", func() bool {
		s := r.Status()
		for _, m := range s.Members {
			if sameReplica(m.Member.GetId(), newID) {
				return m.CaughtUp
			}
		}
		return false
	})
	is.NoErr(r.Promote(t.Context(), newID))
	is.NoErr(r.Remove(t.Context(), oldID))
	is.NoErr(r.Remove(t.Context(), oldID)) // idempotent
	is.Equal(len(r.Status().Members), 3)

	// The group must survive the loss of a second host.
	for _, h := range others(c, leader) {
		if h != lost {
			c.kill(h)
		}
	}
	c.propose(leader, "after")
	c.converge("after")
	is.Equal(lost.journal.count("before-0"), 1)
}

func TestLostDataDirDoesNotVoteAgain(t *testing.T) {
	is := is.New(t)
	c, leader := newLedCluster(t, 3, Options{})
	c.propose(leader, "accepted")
	lost, other := others(c, leader)[0], others(c, leader)[1]
	c.kill(lost)
	is.NoErr(os.RemoveAll(lost.dataDir))
	c.start(lost)
	c.kill(leader)
	// One of three members and the replica without data are no quorum. By the fifth
	// round of pre-votes the replies to the first have arrived.
	rounds := make(chan struct{})
	stop := make(chan struct{})
	c.setOnDeliver(func(from, to string, m *raftpb.Message) {
		if from != other.name || to != lost.name || m.GetKind() != raftpb.MessageKind_MESSAGE_PRE_VOTE {
			return
		}
		select {
		case rounds <- struct{}{}:
		case <-stop:
		}
	})
	term := other.replica.Status().Term
	for range 5 {
		<-rounds
		s := other.replica.Status()
		is.Equal(s.Term, term) // no election was started
		is.True(!s.Leading())
	}
	c.setOnDeliver(nil)
	close(stop)
	c.start(leader)
	c.propose(other, "later")
	is.Equal(other.journal.count("accepted"), 1)
}

func TestLaggingFollowerCatchesUpBySnapshot(t *testing.T) {
	is := is.New(t)
	c, leader := newLedCluster(t, 3, Options{SnapshotEntries: 10})
	slow := others(c, leader)[0]
	c.isolate(slow, true)
	for i := range 50 {
		c.propose(leader, fmt.Sprint(i))
	}
	restored := slow.counter("snapshots_restored")
	c.isolate(slow, false)
	c.propose(leader, "last")
	c.converge("last")
	is.True(slow.counter("snapshots_restored") > restored)
	want := slow.journal.text()
	c.kill(slow)
	c.start(slow)
	c.propose(leader, "after")
	c.converge("after")
	is.Equal(slow.journal.text(), want+"\nafter")
}

// A leader that loaded its snapshot at the start sends it with the data from disk.
func TestRestartedLeaderSendsSnapshot(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, Options{SnapshotEntries: 10})
	leader := c.leader()
	fast, slow := others(c, leader)[0], others(c, leader)[1]
	c.isolate(slow, true)
	for i := range 50 {
		c.propose(leader, fmt.Sprint(i))
	}
	for _, h := range []*host{leader, fast} {
		c.kill(h)
		c.start(h)
	}
	is.True(slow.counter("snapshots_restored") == 1) // that of Bootstrap
	c.isolate(slow, false)
	c.propose(c.leader(slow), "last")
	c.converge("last")
	is.Equal(slow.counter("snapshots_restored"), int64(2))
}

// A leader that was blocked in a sync while others took over must neither contradict
// them nor serve a stale read when it resumes.
func TestFrozenLeaderResumes(t *testing.T) {
	is := is.New(t)
	c, old := newLedCluster(t, 3, Options{})
	c.propose(old, "before")
	unblock, outcome := proposeBlocked(context.WithoutCancel(t.Context()), old, "frozen")
	next := c.leader(old)
	c.propose(next, "meanwhile")
	status := old.replica.Status()
	is.True(status.Leading()) // it has not noticed
	read := old.readInBackground(t.Context())
	unblock()
	err := <-read
	if err == nil {
		is.Equal(old.journal.count("meanwhile"), 1)
	}
	err = <-outcome
	is.True(err != nil) // another entry was committed at its index
	is.True(errors.Is(err, ErrNoLeader) || errors.Is(err, ErrUnknown))
	c.propose(next, "after")
	c.converge("after")
	if errors.Is(err, ErrNoLeader) {
		is.Equal(next.journal.count("frozen"), 0)
	}
}

func TestLeaderWithFailedDiskIsReplaced(t *testing.T) {
	is := is.New(t)
	c, old := newLedCluster(t, 3, Options{})
	c.propose(old, "before")
	old.disk.fail(errors.New("bad disk"))
	_, err := old.replica.Propose(t.Context(), []byte("unsure"))
	is.True(errors.Is(err, ErrUnknown))
	<-old.replica.Done()
	is.True(errors.Is(old.replica.Err(), wal.ErrFailed))
	c.kill(old)
	c.propose(c.leader(), "after")
	c.start(old)
	c.propose(c.leader(), "last")
	c.converge("last")
}

func TestMembershipChangesNeedLeader(t *testing.T) {
	is := is.New(t)
	c, leader := newLedCluster(t, 3, Options{})
	follower := others(c, leader)[0]
	id := &raftpb.ReplicaID{Name: "d", Incarnation: 4}
	is.True(errors.Is(follower.replica.AddLearner(t.Context(), &raftpb.Member{Id: id}), ErrNoLeader))
	voter := &raftpb.Member{Id: follower.replica.ID()}
	is.True(errors.Is(leader.replica.AddLearner(t.Context(), voter), ErrMembership))
	c.propose(leader, "x") // the leader is busy until an entry of its term is committed
	is.NoErr(leader.replica.AddLearner(t.Context(), &raftpb.Member{Id: id, Address: "d"}))
	is.True(errors.Is(leader.replica.Promote(t.Context(), id), ErrMembership)) // not caught up
}

// A command forwarded to a killed leader must be canceled when the leader changes,
// before the caller's deadline.
func TestForwardToKilledLeaderIsCanceled(t *testing.T) {
	is := is.New(t)
	c, leader := newLedCluster(t, 3, Options{})
	follower := others(c, leader)[0]
	c.wait("the leader known", func() bool { return follower.replica.Status().Leader != nil })
	sent := make(chan struct{})
	follower.replica.opts.Forwarder = hangingForwarder{sent: sent}
	var killer conc.WaitGroup
	defer killer.Wait()
	killer.Go(func() {
		<-sent
		c.kill(leader)
	})
	_, err := follower.replica.Propose(t.Context(), []byte("x"))
	is.True(errors.Is(err, ErrUnknown))
}

// hangingForwarder never receives a reply.
type hangingForwarder struct {
	sent chan struct{}
}

func (f hangingForwarder) Forward(ctx context.Context, _ *raftpb.Member, _ controlpb.Group, _ []byte) (*controlpb.ProposeReply, error) {
	close(f.sent)
	<-ctx.Done()
	return nil, ctx.Err()
}

type fixedForwarder struct {
	reply *controlpb.ProposeReply
	err   error
}

func (f fixedForwarder) Forward(context.Context, *raftpb.Member, controlpb.Group, []byte) (*controlpb.ProposeReply, error) {
	return f.reply, f.err
}

func TestForwardedOutcomes(t *testing.T) {
	reply := func(s controlpb.ProposeStatus) *controlpb.ProposeReply {
		return &controlpb.ProposeReply{Status: s, Result: []byte("result")}
	}
	cases := []struct {
		name string
		fixedForwarder
		want error
	}{
		{"ok", fixedForwarder{reply: reply(controlpb.ProposeStatus_PROPOSE_OK)}, nil},
		{"no leader", fixedForwarder{reply: reply(controlpb.ProposeStatus_PROPOSE_NO_LEADER)}, ErrNoLeader},
		{"busy", fixedForwarder{reply: reply(controlpb.ProposeStatus_PROPOSE_BUSY)}, ErrBusy},
		{"unknown", fixedForwarder{reply: reply(controlpb.ProposeStatus_PROPOSE_UNKNOWN)}, ErrUnknown},
		{"status of a newer version", fixedForwarder{reply: reply(99)}, ErrUnknown},
		{"no reply", fixedForwarder{}, ErrUnknown},
		{"lost", fixedForwarder{err: errReplyLost}, ErrUnknown},
		{"cancelled", fixedForwarder{err: context.Canceled}, ErrUnknown},
		{"not sent", fixedForwarder{err: ErrNoLeader}, ErrNoLeader},
	}
	c, leader := newLedCluster(t, 3, Options{})
	follower := others(c, leader)[0]
	c.wait("follower knows the leader", func() bool { return follower.replica.Status().Leader != nil })
	r := &Replica{id: follower.replica.id, metrics: follower.replica.metrics, opts: follower.replica.opts}
	r.publishedStatus.Store(follower.replica.publishedStatus.Load())
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r.opts.Forwarder = tc.fixedForwarder
			result, err := r.Propose(t.Context(), []byte("x"))
			if tc.want == nil {
				is.NoErr(err)
				is.Equal(string(result), "result")
				return
			}
			is.True(errors.Is(err, tc.want))
			for _, other := range []error{ErrNoLeader, ErrBusy, ErrUnknown} {
				is.Equal(errors.Is(err, other), other == tc.want) // exactly one
			}
		})
	}
}

func TestNewProposeReply(t *testing.T) {
	is := is.New(t)
	is.Equal(NewProposeReply(nil, nil).Status, controlpb.ProposeStatus_PROPOSE_OK)
	is.Equal(NewProposeReply(nil, ErrNoLeader).Status, controlpb.ProposeStatus_PROPOSE_NO_LEADER)
	is.Equal(NewProposeReply(nil, ErrClosed).Status, controlpb.ProposeStatus_PROPOSE_NO_LEADER)
	is.Equal(NewProposeReply(nil, ErrBusy).Status, controlpb.ProposeStatus_PROPOSE_BUSY)
	is.Equal(NewProposeReply(nil, ErrUnknown).Status, controlpb.ProposeStatus_PROPOSE_UNKNOWN)
	is.Equal(NewProposeReply(nil, errReplyLost).Status, controlpb.ProposeStatus_PROPOSE_UNKNOWN)
	is.Equal(NewProposeReply(nil, errors.Join(ErrUnknown, ErrBusy)).Status, controlpb.ProposeStatus_PROPOSE_UNKNOWN)
}
