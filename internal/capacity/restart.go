package capacity

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/sourcegraph/conc/pool"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/internal/replica"
)

// noSnapshot is more entries than are made here.
const noSnapshot = 1 << 30

// measureRestart measures how long a replica takes to open a data folder by
// the entries behind its snapshot.
func measureRestart(ctx context.Context, l *lab, r *Report) error {
	open := &series{name: "restart.time", unit: Microseconds, per: "entry behind the snapshot", count: replica.DefaultSnapshotEntries}
	for _, n := range []int{1000, 10_000, 30_000, 100_000} {
		folder := filepath.Join(l.folder, fmt.Sprint("entries-", n))
		if err := fillLog(ctx, folder, n); err != nil {
			return err
		}
		began := time.Now()
		again, err := openReplica(folder)
		if err != nil {
			return err
		}
		open.add(float64(n), micros(time.Since(began)))
		if err := again.Close(); err != nil {
			return err
		}
	}
	return r.addSlopes(open)
}

func openReplica(folder string) (*replica.Replica, error) {
	return replica.Open(replica.Options{
		Folder: folder, Name: "replica", Group: controlpb.Group_GROUP_GRANT,
		StateMachine: grant.New(), SnapshotEntries: noSnapshot,
	})
}

// fillLog makes a group of one with n entries.
func fillLog(ctx context.Context, folder string, n int) error {
	const proposers = 256
	r, err := openReplica(folder)
	if err != nil {
		return err
	}
	if err := r.Form(ctx, &raftpb.Membership{Members: []*raftpb.Member{{Id: r.ID()}}}); err != nil {
		return err
	}
	if err := await(ctx, "a leader", func() bool { s := r.Status(); return s.Leading() }); err != nil {
		return err
	}
	p := pool.New().WithErrors().WithMaxGoroutines(proposers)
	for i := range n {
		p.Go(func() error {
			data, err := proto.Marshal(acquire(1, keyOf(i)))
			if err != nil {
				return err
			}
			_, err = r.Propose(ctx, data)
			return err
		})
	}
	if err := p.Wait(); err != nil {
		return err
	}
	return r.Close()
}
