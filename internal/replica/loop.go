package replica

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/internal/wal"
	"eelgrasswharf.example/eelgrasswharf/raft"
)

// run is the goroutine that owns the node, the log and the state machine.
func (r *Replica) run() {
	defer close(r.stopped)
	// A panic of the state machine stops this replica, but must not leave callers
	// waiting.
	for {
		if recovered := panics.Try(r.loop); recovered != nil {
			r.fail(recovered.AsError())
		}
		if !r.canRetryDiskFull() || !r.waitForDiskSpace() {
			break
		}
	}
	r.failAll()
	r.flush()
	if err := r.closeLog(); err != nil {
		r.fail(err)
	}
	if r.failure != nil {
		r.log.Error("replica failed", zap.Error(r.failure))
		return
	}
	r.log.Info("replica closed", zap.Uint64("applied", r.applied))
}

// fail records the first failure. The loop then ends.
func (r *Replica) fail(err error) {
	if r.failure == nil {
		r.failure = err
	}
}

func (r *Replica) loop() {
	// The ticker drops missed ticks: after a stall there is only one.
	ticker := time.NewTicker(r.opts.TickInterval)
	defer ticker.Stop()
	for r.failure == nil {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			r.tick()
		case <-r.inbox.wake:
		}
		if err := r.processInbox(); err != nil {
			r.fail(err)
			return
		}
		if err := r.processBatches(); err != nil {
			r.fail(err)
			return
		}
		r.flush()
	}
}

func (r *Replica) tick() {
	r.ticks++
	r.node.Tick()
	r.expireCommits()
	r.dropAbandoned()
}

// processInbox passes all queued messages and requests to the node. Messages go
// first: another replica may have become leader.
func (r *Replica) processInbox() error {
	requests, messages := r.inbox.take()
	for _, m := range messages {
		err := r.node.Step(m)
		if errors.Is(err, raft.ErrInconsistent) {
			return errors.Wrap(err, "process message")
		}
		if err != nil {
			r.metrics.messagesRefused.Inc(1)
		}
	}
	for _, q := range requests {
		if !q.transition(requestQueued, requestStarted) {
			r.inbox.release(q)
			continue
		}
		q.start(q)
	}
	return r.failure
}

// processBatches processes all batches of the node.
func (r *Replica) processBatches() error {
	for {
		r.updateRole()
		batch, ok := r.node.Ready()
		if !ok {
			return nil
		}
		if err := r.processBatch(batch); err != nil {
			return err
		}
		r.node.Advance(batch)
		if batch.Restore != nil {
			r.dropSnapshotData()
		}
		r.flush()
		if err := r.maybeSnapshot(); err != nil {
			return err
		}
	}
}

func (r *Replica) updateRole() {
	isLeader := r.node.Status().Role == raft.RoleLeader
	if r.wasLeader && !isLeader {
		r.expireOnLeadershipLoss()
	}
	r.wasLeader = isLeader
}

// processBatch processes a batch in the order described in the package comment of
// raft: nothing is sent or answered before it is synced.
func (r *Replica) processBatch(b raft.Batch) error {
	if err := r.persist(b); err != nil {
		return errors.Wrap(err, "persist")
	}
	messages, err := r.attachSnapshotData(b.Messages)
	if err != nil {
		return errors.Wrap(err, "read snapshot to send")
	}
	r.send(messages)
	if err := r.restore(b.Restore); err != nil {
		return err
	}
	for _, e := range b.Committed {
		r.apply(e)
	}
	r.completeReads(b.Reads)
	r.completeApplied()
	return nil
}

// persist saves a batch. A commit index alone may be lost and is saved with the
// next batch, which avoids an extra sync.
func (r *Replica) persist(b raft.Batch) error {
	if b.HardState != nil {
		r.hardState = b.HardState
		r.commitUnsaved = true
	}
	if !b.MustSync {
		return nil
	}
	batch := wal.Batch{Snapshot: b.Snapshot, Entries: b.Entries}
	if r.commitUnsaved {
		batch.HardState = r.hardState
	}
	return r.save(batch)
}

func (r *Replica) save(b wal.Batch) error {
	r.metrics.syncs.Inc(1)
	began := time.Now()
	err := r.wal.Save(b)
	r.metrics.syncSeconds.RecordDuration(time.Since(began))
	if err != nil {
		return err
	}
	if b.HardState != nil {
		r.hardState = b.HardState
		r.commitUnsaved = false
	}
	if b.Snapshot != nil {
		r.snapshotIndex = b.Snapshot.GetIndex()
		r.appliedBytes = 0
	}
	return nil
}

// send passes messages to the transport, in order and grouped by receiver.
func (r *Replica) send(msgs []*raftpb.Message) {
	if r.opts.Transport == nil || len(msgs) == 0 {
		return
	}
	r.metrics.messagesSent.Inc(int64(len(msgs)))
	type key struct {
		name        string
		incarnation uint64
	}
	groups := map[key][]*raftpb.Message{}
	var order []*raftpb.ReplicaID
	for _, m := range msgs {
		k := key{name: m.GetTo().GetName(), incarnation: m.GetTo().GetIncarnation()}
		if groups[k] == nil {
			order = append(order, m.GetTo())
		}
		groups[k] = append(groups[k], m)
	}
	members := r.node.Status().Membership
	for _, id := range order {
		to := findMember(members, id)
		if to == nil {
			to = &raftpb.Member{Id: id, Address: r.opts.Addresses[id.GetName()]}
		}
		r.opts.Transport.Send(to, r.opts.Group, groups[key{name: id.GetName(), incarnation: id.GetIncarnation()}])
	}
}

func (r *Replica) apply(e *raftpb.Entry) {
	var result []byte
	if e.GetKind() == raftpb.EntryKind_ENTRY_COMMAND {
		result = r.applyCommand(e)
	}
	r.applied = e.GetIndex()
	r.appliedBytes += len(e.GetData())
	r.metrics.applied.Inc(1)
	r.completeCommit(e, result)
}

func (r *Replica) applyCommand(e *raftpb.Entry) []byte {
	if m, ok := r.opts.StateMachine.(TermApplier); ok {
		return m.ApplyInTerm(e.GetTerm(), e.GetIndex(), e.GetData())
	}
	return r.opts.StateMachine.Apply(e.GetIndex(), e.GetData())
}

// restore replaces the state of the state machine with that of a snapshot.
func (r *Replica) restore(s *raftpb.Snapshot) error {
	if s == nil {
		return nil
	}
	if err := r.opts.StateMachine.Restore(s.GetData()); err != nil {
		return errors.Wrapf(err, "restore snapshot at %d", s.GetIndex())
	}
	r.applied = s.GetIndex()
	r.metrics.snapshotsRestored.Inc(1)
	r.completeSkipped(s.GetIndex())
	return nil
}

// maybeSnapshot takes a snapshot once enough entries were applied since the last
// attempt.
func (r *Replica) maybeSnapshot() error {
	if r.applied < r.snapshotIndex+r.opts.SnapshotEntries && r.appliedBytes < r.opts.SnapshotBytes {
		return nil
	}
	r.snapshotIndex = r.applied
	r.appliedBytes = 0
	s := &raftpb.Snapshot{Index: r.applied}
	var err error
	if s.Data, err = r.opts.StateMachine.Snapshot(); err != nil {
		r.recordSnapshotFailure(err)
		return nil
	}
	// Sets term and membership.
	if err := r.node.Compact(s); err != nil {
		r.recordSnapshotFailure(err)
		return nil
	}
	err = r.wal.Compact(s)
	if errors.Is(err, wal.ErrTooLarge) {
		r.recordSnapshotFailure(err)
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "save snapshot")
	}
	r.dropSnapshotData()
	r.metrics.snapshots.Inc(1)
	return nil
}

// dropSnapshotData drops the data of the node's snapshot from memory, which can be as
// large as the state. It is read from the log when the snapshot is sent to a replica that
// lags, which is rare.
func (r *Replica) dropSnapshotData() { r.storedSnapshotIndex = r.node.DropSnapshotData() }

// attachSnapshotData adds the data to the snapshots among messages. A message with a
// snapshot that was replaced since is left out; the node sends another one.
func (r *Replica) attachSnapshotData(msgs []*raftpb.Message) ([]*raftpb.Message, error) {
	out := msgs[:0:0]
	for _, m := range msgs {
		s := m.GetSnapshot()
		if s == nil || r.storedSnapshotIndex == 0 || s.GetIndex() > r.storedSnapshotIndex {
			out = append(out, m)
			continue
		}
		if s.GetIndex() < r.storedSnapshotIndex {
			continue
		}
		stored, err := r.wal.Snapshot(s.GetIndex())
		if err != nil {
			return nil, err
		}
		m = proto.CloneOf(m)
		m.Snapshot = stored
		out = append(out, m)
	}
	return out, nil
}

func (r *Replica) recordSnapshotFailure(err error) {
	r.metrics.snapshotsFailed.Inc(1)
	r.log.Warn("snapshot failed", zap.Uint64("applied", r.applied), zap.Error(err))
}

// closeLog saves an unsaved commit index, so that it is known after a restart, and
// closes the log.
func (r *Replica) closeLog() error {
	if r.failure == nil && r.commitUnsaved {
		if err := r.save(wal.Batch{HardState: r.hardState}); err != nil {
			r.fail(err)
		}
	}
	return r.wal.Close()
}
