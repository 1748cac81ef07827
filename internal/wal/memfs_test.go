package wal

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// A log in a MemFS must survive Close and Open.
func TestMemFS(t *testing.T) {
	is := is.New(t)
	fs := NewMemFS()
	open := func() (*Log, *State) {
		l, state, err := Open("dir", Options{Name: "a", FS: fs, SegmentBytes: 200})
		is.NoErr(err)
		return l, state
	}
	l, first := open()
	is.True(first.New)
	for index := uint64(1); index <= 20; index++ {
		is.NoErr(l.Save(Batch{Entries: []*raftpb.Entry{{Index: index, Term: 1, Data: make([]byte, 50)}}}))
	}
	_, _, err := Open("dir", Options{Name: "a", FS: fs})
	is.True(errors.Is(err, ErrLocked))
	is.NoErr(l.Compact(&raftpb.Snapshot{Index: 10, Term: 1, Data: []byte("state")}))
	is.NoErr(l.Close())
	l, again := open()
	is.Equal(again.Self.GetIncarnation(), first.Self.GetIncarnation())
	is.Equal(string(again.Snapshot.GetData()), "state")
	is.Equal(len(again.Entries), 10)
	is.NoErr(l.Close())
}
