package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes the events of a run to a file, each with its time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// line writes one event.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as seconds since the start.
func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) close() { _ = r.file.Close() }
