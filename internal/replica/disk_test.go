package replica

import (
	"sync"
	"syscall"

	"eelgrasswharf.example/eelgrasswharf/internal/wal"
)

// disk is the real file system with faults.
type disk struct {
	wal.OSFS
	mu sync.Mutex
	// failure, if set, is what every write and sync returns.
	failure error
	// full refuses every write, as a disk without room does.
	full bool
	// gate, if set, blocks every sync until it is closed.
	gate chan struct{}
	// blocked gets a token when a sync begins to wait at the gate.
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

// freeze lets the next sync wait, and with it the whole replica.
func (d *disk) freeze() (thaw func()) {
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
