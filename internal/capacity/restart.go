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
	// noSnapshot exceeds the number of entries of any log, so that no snapshot is
	// taken.
	noSnapshot = 1 << 30
	// entriesPerRecord is the number of entries in a record of a synthetic log.
	entriesPerRecord = 500

	replicaName = "replica"
)

// errNotReplayed reports a replica that did not apply its complete log.
var errNotReplayed = errors.New("log not completely applied")

// syntheticLog generates a data directory: a snapshot and the commands after it.
type syntheticLog struct {
	group    controlpb.Group
	machine  func() replica.StateMachine
	snapshot []byte
	command  func(i int) proto.Message
}

// measureRestart measures the time to open a replica by the number of entries
// after its snapshot: grants, versions of a configuration with one service, and
// versions of one with the design size.
func measureRestart(_ context.Context, tb *testbed, r *Report) error {
	oneService, err := versionsLog(newService(0, 1))
	if err != nil {
		return err
	}
	fullSize, err := versionsLog(newServices(designServices, designAddresses)...)
	if err != nil {
		return err
	}
	for _, spec := range []struct {
		name, per string
		log       syntheticLog
	}{
		{"restart.time", "entry behind the snapshot", grantsLog()},
		{"restart.version.time", "version behind the snapshot, one service", oneService},
		{"restart.version.time.full", "version behind the snapshot, full size", fullSize},
	} {
		duration := &series{name: spec.name, unit: Microseconds, per: spec.per, count: replica.DefaultSnapshotEntries}
		for _, n := range []int{1000, 10_000, 30_000, 100_000} {
			elapsed, err := timeRestart(filepath.Join(tb.dir, fmt.Sprint(spec.name, "-", n)), spec.log, n)
			if err != nil {
				return err
			}
			duration.add(float64(n), micros(elapsed))
		}
		if err := r.addSlopes(duration); err != nil {
			return err
		}
	}
	return nil
}

func grantsLog() syntheticLog {
	return syntheticLog{
		group:   controlpb.Group_GROUP_GRANT,
		machine: func() replica.StateMachine { return grant.New() },
		command: func(i int) proto.Message { return acquireCommand(1, idempotencyKey(i)) },
	}
}

// versionsLog returns a log of versions that each change one of the services.
func versionsLog(services ...*configpb.Service) (syntheticLog, error) {
	m := config.New()
	if err := applyPatch(m, services...); err != nil {
		return syntheticLog{}, err
	}
	snapshot, err := m.Snapshot()
	return syntheticLog{
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

// timeRestart writes a log of n entries and returns the time to open a replica
// on it.
func timeRestart(dir string, log syntheticLog, n int) (time.Duration, error) {
	if err := log.write(dir, n); err != nil {
		return 0, err
	}
	machine := log.machine()
	start := time.Now()
	opened, err := replica.Open(replica.Options{
		DataDir: dir, Name: replicaName, Group: log.group, StateMachine: machine, SnapshotEntries: noSnapshot,
	})
	elapsed := time.Since(start)
	if err != nil {
		return 0, err
	}
	applied := opened.Status().Applied
	if err := opened.Close(); err != nil {
		return 0, err
	}
	// As the only voter the replica leads at once and appends one entry.
	if applied < uint64(n+1) || !log.allApplied(machine, n) {
		return 0, errors.Wrapf(errNotReplayed, "%d of %d", applied, n)
	}
	return elapsed, nil
}

// allApplied reports whether all n commands were applied.
func (w *syntheticLog) allApplied(machine replica.StateMachine, n int) bool {
	switch m := machine.(type) {
	case *config.Machine:
		return m.Current().GetVersion() == uint64(n+1)
	case *grant.Machine:
		held, _ := m.Len()
		return held == n
	}
	return false
}

// write writes the data directory of a group with one member.
func (w *syntheticLog) write(dir string, n int) error {
	log, state, err := wal.Open(dir, wal.Options{Name: replicaName})
	if err != nil {
		return err
	}
	data := w.snapshot
	if data == nil {
		if data, err = w.machine().Snapshot(); err != nil {
			return err
		}
	}
	initial := &raftpb.Membership{Members: []*raftpb.Member{{Id: state.Self}}}
	batch := wal.Batch{
		Snapshot:  &raftpb.Snapshot{Index: 1, Term: 1, Membership: initial, Data: data},
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
