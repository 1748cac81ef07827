package replica

import (
	"fmt"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/internal/unittest"
	"eelgrasswharf.example/eelgrasswharf/internal/wal"
)

// counterMachine is a state machine that only counts commands.
type counterMachine struct{ applied int }

func (m *counterMachine) Apply(uint64, []byte) []byte { m.applied++; return nil }
func (m *counterMachine) Snapshot() ([]byte, error)   { return make([]byte, 1<<10), nil }
func (m *counterMachine) Restore([]byte) error        { return nil }

// directTransport delivers messages within the process, by address.
type directTransport map[string]*atomic.Pointer[Replica]

func (d directTransport) Send(to *raftpb.Member, _ controlpb.Group, msgs []*raftpb.Message) {
	if r := d[to.GetAddress()].Load(); r != nil {
		r.Receive(msgs)
	}
}

// benchGroup returns the leader of a new group and its metrics.
func benchGroup(b *testing.B, size int) (*Replica, tally.TestScope) {
	b.Helper()
	network := directTransport{}
	members := &raftpb.Membership{}
	var replicas []*Replica
	var scopes []tally.TestScope
	for _, name := range hostNames[:size] {
		network[name] = &atomic.Pointer[Replica]{}
	}
	for _, name := range hostNames[:size] {
		scope := tally.NewTestScope("", nil)
		r, err := Open(Options{
			DataDir: filepath.Join(b.TempDir(), name), Name: name, Scope: scope,
			StateMachine: &counterMachine{}, Transport: network, Addresses: map[string]string{"a": "a", "b": "b", "c": "c"},
		})
		must(b, err)
		b.Cleanup(func() { _ = r.Close() })
		network[name].Store(r)
		replicas = append(replicas, r)
		scopes = append(scopes, scope)
		members.Members = append(members.Members, &raftpb.Member{Id: r.ID(), Address: name})
	}
	for _, r := range replicas {
		_ = r.Bootstrap(b.Context(), members) // a message may have bootstrapped it already
	}
	for {
		for i, r := range replicas {
			if s, _ := r.Watch(); s.Leading() {
				if _, err := r.Propose(b.Context(), []byte("first")); err == nil {
					return r, scopes[i]
				}
			}
		}
		_, changed := replicas[0].Watch()
		<-changed
	}
}

// BenchmarkPropose measures proposals of 256 bytes, each synced on a quorum, by the
// number of concurrent callers.
func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{1, 3} {
		for _, callers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("replicas=%d/callers=%d", size, callers), func(b *testing.B) {
				benchmarkPropose(b, size, callers)
			})
		}
	}
}

func benchmarkPropose(b *testing.B, size, callers int) {
	leader, scope := benchGroup(b, size)
	before := counterValue(scope, "log_syncs")
	command := make([]byte, 256)
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	done := make(chan error, callers)
	b.ResetTimer()
	for range callers {
		go func() {
			for remaining.Add(-1) >= 0 {
				if _, err := leader.Propose(b.Context(), command); err != nil {
					done <- err
					return
				}
			}
			done <- nil
		}()
	}
	for range callers {
		if err := <-done; err != nil {
			b.Error(err)
		}
	}
	b.StopTimer()
	syncs := counterValue(scope, "log_syncs") - before
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
	b.ReportMetric(float64(b.N)/float64(max(syncs, 1)), "proposals/sync")
}

var must = unittest.Must

func counterValue(scope tally.TestScope, name string) int64 {
	return unittest.Counter(scope, name, "")
}

// BenchmarkRestart measures Open of a data directory with a snapshot and the given
// number of entries of 256 bytes after it.
func BenchmarkRestart(b *testing.B) {
	for _, entries := range []int{0, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			benchmarkRestart(b, entries)
		})
	}
}

func benchmarkRestart(b *testing.B, entries int) {
	dir := b.TempDir()
	fillDataDir(b, dir, entries)
	machine := &counterMachine{}
	var worst time.Duration
	b.ResetTimer()
	for range b.N {
		begin := time.Now()
		*machine = counterMachine{}
		r, err := Open(Options{DataDir: dir, Name: "a", StateMachine: machine, SnapshotEntries: 1 << 40})
		must(b, err)
		worst = max(worst, time.Since(begin))
		b.StopTimer()
		must(b, r.Close())
		if machine.applied != entries {
			b.Fatalf("%d entries applied, want %d", machine.applied, entries)
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
}

// fillDataDir writes the data of one member of a group of two, so that opening it
// elects no leader.
func fillDataDir(b *testing.B, dir string, entries int) {
	b.Helper()
	log, state, err := wal.Open(dir, wal.Options{Name: "a"})
	must(b, err)
	const snapshotIndex = 1_000_000
	other := &raftpb.ReplicaID{Name: "b", Incarnation: 1}
	snapshot := &raftpb.Snapshot{
		Index: snapshotIndex, Term: 1, Data: make([]byte, 1<<20),
		Membership: &raftpb.Membership{Members: []*raftpb.Member{{Id: state.Self}, {Id: other}}},
	}
	last := uint64(snapshotIndex + entries)
	err = log.Save(wal.Batch{Snapshot: snapshot, HardState: &raftpb.HardState{Term: 1, Commit: snapshotIndex}})
	must(b, err)
	const perBatch = 100
	for next := uint64(snapshotIndex + 1); next <= last; {
		var batch wal.Batch
		for ; next <= last && len(batch.Entries) < perBatch; next++ {
			batch.Entries = append(batch.Entries, &raftpb.Entry{Index: next, Term: 1, Data: make([]byte, 256)})
		}
		must(b, log.Save(batch))
	}
	must(b, log.Save(wal.Batch{HardState: &raftpb.HardState{Term: 1, Commit: last}}))
	must(b, log.Close())
}
