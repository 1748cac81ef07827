package flow

const (
	// maxWaitingPackets and maxWaitingBytes bound the packets that wait beside a target:
	// 1.2 MB of packets of 1,234 bytes.
	maxWaitingPackets = 1024
	maxWaitingBytes   = maxWaitingPackets * 1234
	// maxKeptBuffer is the size of the buffers that are kept for reuse.
	maxKeptBuffer = 1300
)

// WaitingPackets has the packets of openings and requests that wait beside a target, those of
// a flow in the order in which they arrived. Its memory is reused.
type WaitingPackets struct {
	packets []waitingPacket
	// flows has the indexes of the first and the last packet of each flow, free those of
	// unused packets.
	flows map[Key]packetRange
	free  []int32
	bytes int
}

type waitingPacket struct {
	data []byte
	// next is the index of the flow's next packet, -1 for the last one.
	next int32
}

type packetRange struct{ first, last int32 }

// Put adds a copy of a packet. It reports false if there is no room.
func (w *WaitingPackets) Put(key Key, packet []byte) bool {
	if w.Len() >= maxWaitingPackets || w.bytes+len(packet) > maxWaitingBytes {
		return false
	}
	if w.flows == nil {
		w.flows = make(map[Key]packetRange)
	}
	if len(w.free) == 0 {
		w.free = append(w.free, int32(len(w.packets)))
		w.packets = append(w.packets, waitingPacket{})
	}
	i := w.free[len(w.free)-1]
	w.free = w.free[:len(w.free)-1]
	p := &w.packets[i]
	p.data, p.next = append(p.data[:0], packet...), -1
	w.bytes += len(packet)
	r, known := w.flows[key]
	if known {
		w.packets[r.last].next = i
	} else {
		r.first = i
	}
	r.last = i
	w.flows[key] = r
	return true
}

// Len returns the number of packets.
func (w *WaitingPackets) Len() int { return len(w.packets) - len(w.free) }

// Bytes returns the number of bytes of all packets.
func (w *WaitingPackets) Bytes() int { return w.bytes }

// Take removes and returns the first packet of a flow, nil if there is none. The packet is
// valid until the next call of Put.
func (w *WaitingPackets) Take(key Key) []byte {
	r, known := w.flows[key]
	if !known {
		return nil
	}
	i := r.first
	p := &w.packets[i]
	data := p.data
	w.bytes -= len(data)
	if p.next < 0 {
		delete(w.flows, key)
	} else {
		w.flows[key] = packetRange{p.next, r.last}
	}
	if cap(p.data) > maxKeptBuffer {
		p.data = nil
	}
	w.free = append(w.free, i)
	return data
}

// KeepOnly removes the packets of flows for which waits returns false.
func (w *WaitingPackets) KeepOnly(waits func(Key) bool) {
	for key := range w.flows {
		for !waits(key) && w.Take(key) != nil {
		}
	}
}
