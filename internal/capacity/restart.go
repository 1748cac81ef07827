package capacity

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/config"
	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/internal/replica"
	"eelgrasswharf.example/eelgrasswharf/internal/wal"
)

const (
	// noSnapshot is more entries than are made here.
	noSnapshot = 1 << 30
	// entriesPerRecord is how many entries one record of a made log holds.
	entriesPerRecord = 500

	replicaName = "replica"
)

// errNotReplayed tells that a replica did not come back with its whole log.
var errNotReplayed = errors.New("the log was not applied to its end")

// madeLog is a data folder to open: a snapshot and the commands behind it.
type madeLog struct {
	group    controlpb.Group
	machine  func() replica.StateMachine
	snapshot []byte
	command  func(i int) proto.Message
}

// measureRestart measures how long a replica takes to open a data folder by
// the entries behind its snapshot: grants, versions of a configuration of one
// service, and versions of one of the letter's size.
func measureRestart(_ context.Context, l *lab, r *Report) error {
	few, err := versionsOf(service(0, 1))
	if err != nil {
		return err
	}
	full, err := versionsOf(servicesOf(wireServices, wireAddresses)...)
	if err != nil {
		return err
	}
	for _, what := range []struct {
		name, per string
		log       madeLog
	}{
		{"restart.time", "entry behind the snapshot", grantsLog()},
		{"restart.version.time", "version behind the snapshot, one service", few},
		{"restart.version.time.full", "version behind the snapshot, full size", full},
	} {
		open := &series{name: what.name, unit: Microseconds, per: what.per, count: replica.DefaultSnapshotEntries}
		for _, n := range []int{1000, 10_000, 30_000, 100_000} {
			took, err := timeRestart(filepath.Join(l.folder, fmt.Sprint(what.name, "-", n)), what.log, n)
			if err != nil {
				return err
			}
			open.add(float64(n), micros(took))
		}
		if err := r.addSlopes(open); err != nil {
			return err
		}
	}
	return nil
}

func grantsLog() madeLog {
	return madeLog{
		group:   controlpb.Group_GROUP_GRANT,
		machine: func() replica.StateMachine { return grant.New() },
		command: func(i int) proto.Message { return acquire(1, keyOf(i)) },
	}
}

// versionsOf is a log of versions that each change one of these services.
func versionsOf(services ...*configpb.Service) (madeLog, error) {
	m := config.New()
	if err := apply(m, services...); err != nil {
		return madeLog{}, err
	}
	snapshot, err := m.Snapshot()
	return madeLog{
		group:    controlpb.Group_GROUP_CONFIG,
		machine:  func() replica.StateMachine { return config.New() },
		snapshot: snapshot,
		command: func(i int) proto.Message {
			s := proto.CloneOf(services[i%len(services)])
			s.Slots += uint32(i / len(services) % 2)
			put := &configpb.Operation{Body: &configpb.Operation_PutService{PutService: s}}
			p := &configpb.Patch{Id: fmt.Sprint("version-", i+2), BaseVersion: uint64(i + 1), Operations: []*configpb.Operation{put}}
			return &configpb.Command{Body: &configpb.Command_Patch{Patch: p}}
		},
	}, err
}

// timeRestart makes a log of n entries and opens it as a restarted replica
// does, until the last one is applied.
func timeRestart(folder string, what madeLog, n int) (time.Duration, error) {
	if err := what.write(folder, n); err != nil {
		return 0, err
	}
	machine := what.machine()
	began := time.Now()
	opened, err := replica.Open(replica.Options{
		DataDir: folder, Name: replicaName, Group: what.group, StateMachine: machine, SnapshotEntries: noSnapshot,
	})
	took := time.Since(began)
	if err != nil {
		return 0, err
	}
	applied := opened.Status().Applied
	if err := opened.Close(); err != nil {
		return 0, err
	}
	// The replica leads at once, as the only voter, and adds an entry of its own.
	if applied < uint64(n+1) || !what.replayed(machine, n) {
		return 0, errors.Wrapf(errNotReplayed, "%d of %d", applied, n)
	}
	return took, nil
}

// replayed tells whether each of n commands took.
func (w *madeLog) replayed(machine replica.StateMachine, n int) bool {
	switch m := machine.(type) {
	case *config.Machine:
		return m.Current().GetVersion() == uint64(n+1)
	case *grant.Machine:
		held, _ := m.Len()
		return held == n
	}
	return false
}

// write makes the data folder of a group of one, as a replica leaves it.
func (w *madeLog) write(folder string, n int) error {
	log, state, err := wal.Open(folder, wal.Options{Name: replicaName})
	if err != nil {
		return err
	}
	data := w.snapshot
	if data == nil {
		if data, err = w.machine().Snapshot(); err != nil {
			return err
		}
	}
	founders := &raftpb.Membership{Members: []*raftpb.Member{{Id: state.Self}}}
	batch := wal.Batch{
		Snapshot:  &raftpb.Snapshot{Index: 1, Term: 1, Membership: founders, Data: data},
		HardState: &raftpb.HardState{Term: 1, Commit: 1},
	}
	for i := range n {
		command, err := proto.Marshal(w.command(i))
		if err != nil {
			return err
		}
		index := uint64(i + 2)
		batch.Entries = append(batch.Entries, &raftpb.Entry{Index: index, Term: 1, Data: command})
		if len(batch.Entries) < entriesPerRecord && i < n-1 {
			continue
		}
		if batch.Snapshot == nil {
			batch.HardState = &raftpb.HardState{Term: 1, Commit: index}
		}
		if err := log.Save(batch); err != nil {
			return err
		}
		batch = wal.Batch{}
	}
	return log.Close()
}
