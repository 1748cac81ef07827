package replica

import (
	"bytes"
	"context"
	"encoding/binary"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/raft"
)

// Propose replicates the command, forwards it if another replica leads, and returns
// the result of the state machine. After ErrNoLeader, ErrBusy, ErrClosed and
// ErrInvalidCommand the command was not replicated; after ErrUnknown it may have
// been. If ctx ends first, the error wraps that of ctx as well.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if err := r.checkCommand(command); err != nil {
		return nil, err
	}
	current := r.publishedStatus.Load()
	status := &current.status
	if r.opts.Forwarder == nil || status.Leader == nil || sameReplica(status.Leader, r.id) {
		return r.ProposeLocal(ctx, command)
	}
	r.metrics.forwarded.Inc(1)
	return r.forward(ctx, current, command)
}

// ProposeLocal is Propose without forwarding: if this replica does not lead, the
// error is ErrNoLeader. An empty command requests the read index for the
// ReadBarrier of the replica that forwarded it.
func (r *Replica) ProposeLocal(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) == 0 {
		return r.do(ctx, newRequest(0, r.startRead))
	}
	if err := r.checkCommand(command); err != nil {
		return nil, err
	}
	r.metrics.proposals.Inc(1)
	// The log keeps the command; the caller may reuse its slice when ctx ends.
	command = bytes.Clone(command)
	start := func(q *request) { r.startProposal(q, command) }
	result, err := r.do(ctx, newRequest(len(command), start))
	r.metrics.countRefusal(err)
	return result, err
}

func (r *Replica) checkCommand(command []byte) error {
	if len(command) > 0 && len(command) <= r.opts.MaxCommandBytes {
		return nil
	}
	r.metrics.command.Inc(1)
	return errors.Wrapf(ErrInvalidCommand, "%d bytes, want 1 to %d", len(command), r.opts.MaxCommandBytes)
}

// ReadBarrier returns once the local state machine has applied everything that was
// committed in the group when ReadBarrier was called. After an error a read may be
// stale.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	current := r.publishedStatus.Load()
	status := &current.status
	if status.Leader == nil {
		return ErrNoLeader
	}
	if sameReplica(status.Leader, r.id) {
		// The result is returned only after the index was applied here.
		_, err := r.do(ctx, newRequest(0, r.startRead))
		return err
	}
	if r.opts.Forwarder == nil {
		return ErrNoLeader
	}
	result, err := r.forward(ctx, current, nil)
	if err != nil {
		return err
	}
	index, err := decodeIndex(result)
	if err != nil {
		return err
	}
	start := func(q *request) { r.startApplyWait(q, index) }
	_, err = r.do(ctx, newRequest(0, start))
	return err
}

// forward forwards a command to the leader of the given status. It is canceled when
// the leader or the term changes, since a failed leader may never reply.
func (r *Replica) forward(ctx context.Context, current *publishedStatus, command []byte) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(current.leaderCtx, cancel)()
	leader := r.memberOf(current.status, current.status.Leader)
	reply, err := r.opts.Forwarder.Forward(ctx, leader, r.opts.Group, command)
	if err == nil {
		err = replyError(reply)
	}
	if err == nil {
		return reply.GetResult(), nil
	}
	if errors.Is(err, ErrNoLeader) || errors.Is(err, ErrBusy) {
		r.metrics.countRefusal(err)
		return nil, err
	}
	r.metrics.unknown.Inc(1)
	return nil, errors.Join(ErrUnknown, err)
}

// replyError returns the error of a reply. A reply with an unknown status leaves the
// outcome unknown.
func replyError(reply *controlpb.ProposeReply) error {
	if reply == nil {
		return ErrUnknown
	}
	switch reply.GetStatus() {
	case controlpb.ProposeStatus_PROPOSE_OK:
		return nil
	case controlpb.ProposeStatus_PROPOSE_NO_LEADER:
		return ErrNoLeader
	case controlpb.ProposeStatus_PROPOSE_BUSY:
		return ErrBusy
	}
	return ErrUnknown
}

// NewProposeReply returns the reply to a forwarded command, given the result of
// ProposeLocal.
func NewProposeReply(result []byte, err error) *controlpb.ProposeReply {
	status := controlpb.ProposeStatus_PROPOSE_UNKNOWN
	switch {
	case err == nil:
		status = controlpb.ProposeStatus_PROPOSE_OK
	case errors.Is(err, ErrUnknown):
	case errors.Is(err, ErrNoLeader), errors.Is(err, ErrClosed):
		status = controlpb.ProposeStatus_PROPOSE_NO_LEADER
	case errors.Is(err, ErrBusy), errors.Is(err, ErrInvalidCommand):
		status = controlpb.ProposeStatus_PROPOSE_BUSY
	}
	return &controlpb.ProposeReply{Result: result, Status: status}
}

func (r *Replica) startProposal(q *request, command []byte) {
	index, term, err := r.node.Propose(command)
	if err != nil {
		r.finish(q, nil, mapRaftError(err))
		return
	}
	r.awaitCommit(index, term, q)
}

func (r *Replica) startRead(q *request) {
	r.waiters.lastToken++
	token := r.waiters.lastToken
	if err := r.node.ReadIndex(token); err != nil {
		r.finish(q, nil, mapRaftError(err))
		return
	}
	r.waiters.reads[token] = q
}

func (r *Replica) startApplyWait(q *request, index uint64) {
	if index <= r.applied {
		r.finish(q, nil, nil)
		return
	}
	r.waiters.applies = append(r.waiters.applies, applyWaiter{index: index, request: q})
}

// mapRaftError maps an error of the node that did not change its log.
func mapRaftError(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return ErrNoLeader
	case errors.Is(err, raft.ErrBusy):
		return ErrBusy
	case errors.Is(err, raft.ErrChangePending),
		errors.Is(err, raft.ErrNotCaughtUp),
		errors.Is(err, raft.ErrTooManyVoters),
		errors.Is(err, raft.ErrInvalidMembership):
		return errors.Join(ErrMembership, err)
	}
	return err
}

func encodeIndex(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

func decodeIndex(data []byte) (uint64, error) {
	const indexLength = 8
	if len(data) != indexLength {
		return 0, errors.Errorf("read index has %d bytes, want %d", len(data), indexLength)
	}
	return binary.BigEndian.Uint64(data), nil
}

func sameReplica(a, b *raftpb.ReplicaID) bool {
	return a.GetName() == b.GetName() && a.GetIncarnation() == b.GetIncarnation()
}
