package replica

import (
	"sync"
	"syscall"

	"eelgrasswharf.example/eelgrasswharf/internal/wal"
)

// disk is the real file system with fault injection.
type disk struct {
	wal.OSFS
	mu sync.Mutex
	// failure, if set, is returned by every sync.
	failure error
	// full makes every write fail with ENOSPC.
	full bool
	// gate, if set, blocks every sync until it is closed.
	gate chan struct{}
	// blocked receives a token when a sync starts to wait at the gate.
	blocked chan struct{}
}

func newDisk() *disk { return &disk{blocked: make(chan struct{}, 1)} }

func (d *disk) fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failure = err
}

func (d *disk) fill(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

func (d *disk) isFull() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.full
}

// blockSync blocks syncs, and with them the replica, until unblock is called.
func (d *disk) blockSync() (unblock func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	gate := make(chan struct{})
	d.gate = gate
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.gate = nil
		close(gate)
	}
}

func (d *disk) check() error {
	d.mu.Lock()
	gate := d.gate
	d.mu.Unlock()
	if gate != nil {
		select {
		case d.blocked <- struct{}{}:
		default:
		}
		<-gate
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failure
}

func (d *disk) Create(path string) (wal.File, error) {
	f, err := d.OSFS.Create(path)
	return &diskFile{File: f, disk: d}, err
}

func (d *disk) Append(path string) (wal.File, error) {
	f, err := d.OSFS.Append(path)
	return &diskFile{File: f, disk: d}, err
}

type diskFile struct {
	wal.File
	disk *disk
}

func (f *diskFile) Write(b []byte) (int, error) {
	if f.disk.isFull() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(b)
}

func (f *diskFile) Sync() error {
	if err := f.disk.check(); err != nil {
		return err
	}
	return f.File.Sync()
}
