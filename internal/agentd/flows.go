package agentd

import (
	"net/netip"
	"sync"
	"time"

	"eelgrasswharf.example/eelgrasswharf/returnpath"
)

// flowIdle is the idle time after which a flow may be evicted from a full table.
const flowIdle = 2 * time.Minute

// flowKey identifies a flow by its two public addresses.
type flowKey struct {
	caller, public netip.AddrPort
}

// flow is the remote address that quic-go sees. It implements net.Addr and holds the
// public address that the caller uses, for replies.
type flow struct {
	key  flowKey
	text string

	// Guarded by flowTable.mu.
	path     returnpath.Path
	received time.Duration
}

func newFlow(key flowKey) *flow {
	return &flow{key: key, text: key.caller.String()}
}

// Network implements net.Addr.
func (f *flow) Network() string { return "udp" }

// String implements net.Addr. It returns the caller's address.
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

// received records a frame and returns its flow. Only established flows are added to
// the table, so that a flood of first packets cannot fill it.
func (t *flowTable) received(key flowKey, entry netip.AddrPort, now time.Duration, established bool) *flow {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent.RecordReceived(entry, now)
	f, known := t.flows[key]
	if !known {
		f = newFlow(key)
		if established && t.evictIdle(now) {
			t.flows[key] = f
		}
	}
	f.path.RecordReceived(entry, now)
	f.received = now
	return f
}

// nextEntryHost returns the entry host for the next datagram of the flow. lastResort
// is set if it is not one of the flow's own entry hosts.
func (t *flowTable) nextEntryHost(f *flow, now time.Duration) (entry netip.AddrPort, lastResort, ok bool) {
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

// evictIdle removes idle flows from a full table and reports whether there is room
// for another flow.
func (t *flowTable) evictIdle(now time.Duration) bool {
	if len(t.flows) < t.limit {
		return true
	}
	for key, f := range t.flows {
		if now-f.received > flowIdle {
			delete(t.flows, key)
		}
	}
	return len(t.flows) < t.limit
}
