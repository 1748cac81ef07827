package replica

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/raft"
)

// handOverElections is how many election timeouts a hand-over may take. After
// that the others elect a leader as if this one had failed.
const handOverElections = 2

// MoveLeadership passes the leadership on and returns once another replica leads. The
// replica goes on as a follower, so that commands that were proposed here are
// still answered. It returns nil at once if this replica does not lead or is
// closed; ErrNoLeader, if nobody took over.
func (r *Replica) MoveLeadership(ctx context.Context) error {
	return r.handOver(ctx, func() error { return r.node.TransferLeadership() })
}

// MoveLeadershipTo is HandOver to one voter. ErrNoLeader also says that this one was
// not heard lately.
func (r *Replica) MoveLeadershipTo(ctx context.Context, to *raftpb.ReplicaID) error {
	return r.handOver(ctx, func() error { return r.node.TransferLeadershipTo(to) })
}

// handOver runs transfer in the loop and waits until another replica leads.
func (r *Replica) handOver(ctx context.Context, transfer func() error) error {
	status, changed := r.Watch()
	if !status.Leading() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.handOverTimeout())
	defer cancel()
	if err := r.startHandingOver(ctx, transfer); err != nil {
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
	r.metrics.handedOver.Inc(1)
	r.log.Info("leadership handed over",
		zap.String("leader", status.Leader.GetName()),
		zap.Uint64("term", status.Term))
	return nil
}

func (r *Replica) handOverTimeout() time.Duration {
	return handOverElections * time.Duration(r.opts.ElectionTicks) * r.opts.TickInterval
}

// startHandingOver asks the core for a transfer.
func (r *Replica) startHandingOver(ctx context.Context, transfer func() error) error {
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
