package agentd

import (
	"net/netip"
	"sync"
	"time"

	"eelgrasswharf.example/eelgrasswharf/returnpath"
)

// flowIdle is the age after which a silent flow may leave a full table.
const flowIdle = 2 * time.Minute

// flowKey names a flow by its two public ends.
type flowKey struct {
	caller, public netip.AddrPort
}

// flow is a caller as quic-go sees it. It implements net.Addr, so that a reply
// knows the public address that the caller talks to.
type flow struct {
	key  flowKey
	text string

	// Guarded by flowTable.mu.
	path  returnpath.Path
	heard time.Duration
}

func newFlow(key flowKey) *flow {
	return &flow{key: key, text: key.caller.String()}
}

// Network implements net.Addr.
func (f *flow) Network() string { return "udp" }

// String implements net.Addr. It is the address of the caller.
func (f *flow) String() string { return f.text }

// flowTable holds the return paths of established flows.
type flowTable struct {
	mu     sync.Mutex
	flows  map[flowKey]*flow
	recent *returnpath.RecentHosts
	limit  int
}

func newFlowTable(limit int) *flowTable {
	return &flowTable{flows: make(map[flowKey]*flow), recent: returnpath.NewRecentHosts(), limit: limit}
}

// heard records a frame and returns the flow it belongs to. A frame that may
// open a flow leaves nothing behind in the table: a flood of them would fill
// it.
func (t *flowTable) heard(key flowKey, entry netip.AddrPort, now time.Duration, established bool) *flow {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent.RecordReceived(entry, now)
	f, known := t.flows[key]
	if !known {
		f = newFlow(key)
		if established && t.makeRoom(now) {
			t.flows[key] = f
		}
	}
	f.path.RecordReceived(entry, now)
	f.heard = now
	return f
}

// next returns the entry host for the next datagram to the flow.
func (t *flowTable) next(f *flow, now time.Duration) (entry netip.AddrPort, lastResort, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current, known := t.flows[f.key]; known {
		f = current
	}
	entry, exhausted, ok := f.path.Next(now)
	if !exhausted {
		return entry, false, ok
	}
	if other, found := t.recent.Next(now); found {
		return other, true, true
	}
	return entry, false, ok
}

// makeRoom reports whether one more flow fits, after removing idle ones if the
// table is full.
func (t *flowTable) makeRoom(now time.Duration) bool {
	if len(t.flows) < t.limit {
		return true
	}
	for key, f := range t.flows {
		if now-f.heard > flowIdle {
			delete(t.flows, key)
		}
	}
	return len(t.flows) < t.limit
}
