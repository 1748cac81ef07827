package flow

import "time"

const (
	// maxWaiting bounds the packets that wait: at 1,234 bytes each, 1.2 MB.
	maxWaiting = 1024
	// waitFor is how long a packet may wait. Its sender sends it again within 1.6 s.
	waitFor = 1600 * time.Millisecond
)

// PacketBuffer holds the newest packet of each flow that an entry host cannot decide on
// yet, because it has just started. Senders double their pauses, so that the next copy
// of a packet may come more than a second after the host knows what to do.
type PacketBuffer struct {
	packets map[Key]waitingPacket
}

type waitingPacket struct {
	data  []byte
	since time.Duration
}

// Put keeps a copy of a packet. It reports false if too many wait.
func (w *PacketBuffer) Put(key Key, packet []byte, now time.Duration) bool {
	if w.packets == nil {
		w.packets = make(map[Key]waitingPacket)
	}
	if _, known := w.packets[key]; !known && len(w.packets) >= maxWaiting {
		return false
	}
	w.packets[key] = waitingPacket{data: append([]byte(nil), packet...), since: now}
	return true
}

// Len returns the number of packets that wait.
func (w *PacketBuffer) Len() int { return len(w.packets) }

// TakeAll empties the buffer and returns the packets that have not waited too long.
func (w *PacketBuffer) TakeAll(now time.Duration) [][]byte {
	var out [][]byte
	for _, p := range w.packets {
		if now-p.since <= waitFor {
			out = append(out, p.data)
		}
	}
	w.packets = nil
	return out
}

// TakeOne removes and returns the packet of one flow, nil if there is none that is
// fresh.
func (w *PacketBuffer) TakeOne(key Key, now time.Duration) []byte {
	p, known := w.packets[key]
	delete(w.packets, key)
	if !known || now-p.since > waitFor {
		return nil
	}
	return p.data
}

// Peek returns the packet of one flow, nil if there is none that is fresh.
func (w *PacketBuffer) Peek(key Key, now time.Duration) []byte {
	p, known := w.packets[key]
	if !known || now-p.since > waitFor {
		return nil
	}
	return p.data
}

// Sweep drops the packets that have waited too long.
func (w *PacketBuffer) Sweep(now time.Duration) {
	for key, p := range w.packets {
		if now-p.since > waitFor {
			delete(w.packets, key)
		}
	}
}
