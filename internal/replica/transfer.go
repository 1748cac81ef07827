package replica

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/raft"
)

// transferElectionTimeouts bounds a leadership transfer, in election timeouts.
const transferElectionTimeouts = 2

// MoveLeadership transfers the leadership and returns once another replica leads.
// This replica continues as a follower, so that pending proposals complete. It
// returns nil at once if this replica does not lead or is closed, and ErrNoLeader
// if no replica took over.
func (r *Replica) MoveLeadership(ctx context.Context) error {
	return r.moveLeadership(ctx, func() error { return r.node.TransferLeadership() })
}

// MoveLeadershipTo is MoveLeadership to the given voter. It also returns ErrNoLeader
// if that voter is not active.
func (r *Replica) MoveLeadershipTo(ctx context.Context, to *raftpb.ReplicaID) error {
	return r.moveLeadership(ctx, func() error { return r.node.TransferLeadershipTo(to) })
}

// moveLeadership calls transfer in the loop and waits until another replica leads.
func (r *Replica) moveLeadership(ctx context.Context, transfer func() error) error {
	status, changed := r.Watch()
	if !status.Leading() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.transferTimeout())
	defer cancel()
	if err := r.startTransfer(ctx, transfer); err != nil {
		return err
	}
	for status.Leading() || status.Leader == nil {
		select {
		case <-changed:
		case <-r.stopped:
			return nil
		case <-ctx.Done():
			return errors.Join(ErrNoLeader, ctx.Err())
		}
		status, changed = r.Watch()
	}
	r.metrics.leadershipTransfers.Inc(1)
	r.log.Info("leadership transferred",
		zap.String("leader", status.Leader.GetName()),
		zap.Uint64("term", status.Term))
	return nil
}

func (r *Replica) transferTimeout() time.Duration {
	return transferElectionTimeouts * time.Duration(r.opts.ElectionTicks) * r.opts.TickInterval
}

// startTransfer calls transfer in the loop.
func (r *Replica) startTransfer(ctx context.Context, transfer func() error) error {
	start := func(q *request) {
		err := transfer()
		if errors.Is(err, raft.ErrNotLeader) {
			err = nil
		}
		if err != nil {
			err = errors.Join(ErrNoLeader, err)
		}
		r.finish(q, nil, err)
	}
	_, err := r.do(ctx, newRequest(0, start))
	if errors.Is(err, ErrClosed) {
		return nil
	}
	return err
}
