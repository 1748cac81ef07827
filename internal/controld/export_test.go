package controld

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/internal/link"
)

// Advance moves the logical clock of the grants as a tick of the loop does.
func (d *Daemon) Advance(elapsed time.Duration) { d.advance(elapsed) }

// GrantTime returns the logical time of the first group of grants in
// milliseconds.
func (d *Daemon) GrantTime() uint64 {
	first := d.grants.at(0)
	first.mu.Lock()
	defer first.mu.Unlock()
	return first.machine.Now()
}

// Links returns how many links the host has accepted.
func (d *Daemon) Links() int { return d.server.Connections() }

// Traffic returns what the host has exchanged over its links.
func (d *Daemon) Traffic() link.Traffic { return d.server.Traffic() }
