package replica

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/internal/wal"
)

func TestReplicaBeforeBootstrap(t *testing.T) {
	is := is.New(t)
	r, err := Open(Options{DataDir: t.TempDir(), Name: "a", StateMachine: &journal{}})
	is.NoErr(err)
	is.True(!r.Status().Formed)
	_, err = r.Propose(t.Context(), []byte("x"))
	is.True(errors.Is(err, ErrNoLeader))
	is.True(errors.Is(r.ReadBarrier(t.Context()), ErrNoLeader))
	other := &raftpb.Membership{Members: []*raftpb.Member{{Id: &raftpb.ReplicaID{Name: "b", Incarnation: 1}}}}
	is.True(errors.Is(r.Bootstrap(t.Context(), other), ErrMembership))
	learner := &raftpb.Membership{Members: []*raftpb.Member{{Id: r.ID(), Learner: true}}}
	is.True(errors.Is(r.Bootstrap(t.Context(), learner), ErrMembership)) // no voter
	is.NoErr(r.Close())
	_, err = r.Propose(t.Context(), []byte("x"))
	is.True(errors.Is(err, ErrClosed))
}

func TestBootstrapOnlyOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, Options{})
	h := c.hosts[0]
	members := &raftpb.Membership{Members: []*raftpb.Member{{Id: h.replica.ID()}}}
	is.True(errors.Is(h.replica.Bootstrap(t.Context(), members), ErrAlreadyBootstrapped))
	c.kill(h)
	c.start(h)
	is.True(errors.Is(h.replica.Bootstrap(t.Context(), members), ErrAlreadyBootstrapped))
}

func TestProposeReturnsApplyResult(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, Options{})
	r := c.leader().replica
	result, err := r.Propose(t.Context(), []byte("x"))
	is.NoErr(err)
	is.Equal(string(result), "1:x")
	result, err = r.Propose(t.Context(), []byte("y"))
	is.NoErr(err)
	is.Equal(string(result), "2:y")
	is.NoErr(r.ReadBarrier(t.Context()))
}

func TestInvalidCommandSize(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, Options{MaxCommandBytes: 4})
	r := c.leader().replica
	_, err := r.Propose(t.Context(), nil)
	is.True(errors.Is(err, ErrInvalidCommand))
	_, err = r.Propose(t.Context(), []byte("12345"))
	is.True(errors.Is(err, ErrInvalidCommand))
	_, err = r.ProposeLocal(t.Context(), []byte("12345"))
	is.True(errors.Is(err, ErrInvalidCommand))
	_, err = r.Propose(t.Context(), []byte("1234"))
	is.NoErr(err)
}

// The state must survive a kill after each step: creation, bootstrap, each command
// and each snapshot.
func TestRestartAfterEachStep(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, Options{SnapshotEntries: 3})
	h := c.hosts[0]
	id := h.replica.ID()
	want := ""
	for i := range 12 {
		c.kill(h)
		c.start(h)
		is.Equal(h.replica.ID().String(), id.String())
		is.Equal(h.journal.text(), want) // loaded before Open returned
		command := fmt.Sprintf("command-%d", i)
		c.propose(h, command)
		want += "\n" + command
		if i == 0 {
			want = command
		}
		is.Equal(h.journal.text(), want)
	}
	is.Equal(h.counter("snapshots_restored"), int64(1))
}

func TestCloseSavesCommitIndex(t *testing.T) {
	is := is.New(t)
	c, h := newLedCluster(t, 3, Options{})
	c.propose(h, "x")
	c.converge("x")
	for _, h := range c.hosts {
		is.NoErr(c.takeDown(h).Close())
		c.start(h)
		is.Equal(h.journal.text(), "x") // applied without contact to the others
	}
	c.propose(c.leader(), "y")
}

func TestFailedSyncStopsReplica(t *testing.T) {
	is := is.New(t)
	c, h := newLedCluster(t, 1, Options{})
	c.propose(h, "acknowledged")
	failure := errors.New("bad disk")
	h.disk.fail(failure)
	_, err := h.replica.Propose(t.Context(), []byte("lost"))
	is.True(errors.Is(err, ErrUnknown))
	<-h.replica.Done()
	is.True(errors.Is(h.replica.Err(), wal.ErrFailed))
	is.True(errors.Is(h.replica.Err(), failure))
	_, err = h.replica.Propose(t.Context(), []byte("x"))
	is.True(errors.Is(err, ErrClosed))
	is.True(errors.Is(h.replica.ReadBarrier(t.Context()), ErrClosed))
	is.True(errors.Is(c.takeDown(h).Close(), failure))
	c.start(h)
	is.Equal(h.journal.count("acknowledged"), 1)
}

func TestFailedSnapshotWriteStopsReplica(t *testing.T) {
	is := is.New(t)
	_, h := newLedCluster(t, 1, Options{SnapshotEntries: 5})
	h.journal.onApply = func(string) { h.disk.fail(os.ErrPermission) }
	var err error
	for err == nil {
		_, err = h.replica.Propose(t.Context(), []byte("x"))
	}
	<-h.replica.Done()
	is.True(errors.Is(h.replica.Err(), wal.ErrNotWritable))
}

func TestOpenCorruptedLog(t *testing.T) {
	is := is.New(t)
	c, h := newLedCluster(t, 1, Options{})
	c.propose(h, "x")
	is.NoErr(c.takeDown(h).Close())
	paths, err := filepath.Glob(filepath.Join(h.dataDir, "*.wal"))
	is.NoErr(err)
	data, err := os.ReadFile(paths[0])
	is.NoErr(err)
	data[len(data)/2] ^= 1
	is.NoErr(os.WriteFile(paths[0], data, 0o600))
	_, err = Open(c.options(h))
	is.True(errors.Is(err, wal.ErrCorrupted))
}

func TestOpenFailedRestore(t *testing.T) {
	is := is.New(t)
	c, h := newLedCluster(t, 1, Options{})
	is.NoErr(c.takeDown(h).Close())
	h.journal = &journal{failRestore: errors.New("bad snapshot")}
	_, err := Open(c.options(h))
	is.True(errors.Is(err, h.journal.failRestore))
	c.start(h) // the data directory is released
}

func TestStateMachinePanicStopsReplica(t *testing.T) {
	is := is.New(t)
	_, h := newLedCluster(t, 1, Options{})
	h.journal.onApply = func(string) { panic("broken state machine") }
	_, err := h.replica.Propose(t.Context(), []byte("x"))
	is.True(errors.Is(err, ErrUnknown))
	<-h.replica.Done()
	is.True(h.replica.Err() != nil)
}

// proposeBlocked blocks the leader in the sync of a proposal. The channel receives the
// outcome of the proposal.
func proposeBlocked(ctx context.Context, h *host, command string) (unblock func(), outcome <-chan error) {
	unblock = h.disk.blockSync()
	outcome = h.proposeInBackground(ctx, command)
	<-h.disk.blocked
	return unblock, outcome
}

func TestInboxIsBounded(t *testing.T) {
	is := is.New(t)
	c, h := newLedCluster(t, 1, Options{MaxProposals: 3})
	unblock, outcome := proposeBlocked(context.WithoutCancel(t.Context()), h, "first")
	// Two more fill the inbox. Their callers cancel before they are started.
	ctx, cancel := context.WithCancel(t.Context())
	refused := make(chan error, 2)
	for i := range 2 {
		go func() {
			_, err := h.replica.Propose(ctx, fmt.Appendf(nil, "canceled-%d", i))
			refused <- err
		}()
	}
	for queued := 0; queued < 2; {
		h.replica.inbox.mu.Lock()
		queued = len(h.replica.inbox.requests)
		h.replica.inbox.mu.Unlock()
		runtime.Gosched()
	}
	_, err := h.replica.Propose(t.Context(), []byte("too-many"))
	is.True(errors.Is(err, ErrBusy))
	cancel()
	for range 2 {
		err := <-refused
		is.True(errors.Is(err, ErrBusy)) // not unknown, because the loop has not started them
		is.True(errors.Is(err, context.Canceled))
		is.True(!errors.Is(err, ErrUnknown))
	}
	unblock()
	is.NoErr(<-outcome)
	c.propose(h, "last")
	is.Equal(h.journal.text(), "first\nlast")
	is.Equal(h.replica.inbox.waiting, 0)
	is.Equal(h.replica.inbox.waitingBytes, 0)
}

func TestCanceledProposalIsUnknown(t *testing.T) {
	is := is.New(t)
	c, h := newLedCluster(t, 1, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	unblock, outcome := proposeBlocked(ctx, h, "x")
	cancel()
	err := <-outcome
	is.True(errors.Is(err, ErrUnknown))
	is.True(errors.Is(err, context.Canceled))
	is.True(!errors.Is(err, ErrBusy))
	unblock()
	c.converge("x") // it was applied
}

func TestCloseFailsPendingProposals(t *testing.T) {
	is := is.New(t)
	c, h := newLedCluster(t, 3, Options{})
	c.propose(h, "before")
	for _, o := range others(c, h) {
		c.isolate(o, true)
	}
	r := h.replica
	before := r.Status()
	outcome := h.proposeInBackground(t.Context(), "x")
	c.wait("entry on the leader's disk", func() bool {
		s := r.Status()
		for _, m := range s.Members {
			if sameReplica(m.Member.GetId(), s.Self) && m.Match > before.Commit {
				return true
			}
		}
		return !s.Leading()
	})
	is.NoErr(c.takeDown(h).Close())
	err := <-outcome
	is.True(errors.Is(err, ErrUnknown))
}
