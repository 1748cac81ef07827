package flow

import "time"

const (
	// maxBufferedPackets bounds the buffered packets: 1.2 MB at 1,234 bytes each.
	maxBufferedPackets = 1024
	// maxPacketAge is when a packet expires. Its sender has retransmitted it by then.
	maxPacketAge = 1600 * time.Millisecond
)

// PacketBuffer holds the newest packet of each flow that cannot be decided on yet. Since
// senders back off exponentially, the next retransmission may come more than a second
// after the decision is possible.
type PacketBuffer struct {
	packets map[Key]bufferedPacket
}

type bufferedPacket struct {
	data       []byte
	receivedAt time.Duration
}

// Put stores a copy of a packet. It reports false if the buffer is full.
func (b *PacketBuffer) Put(key Key, packet []byte, now time.Duration) bool {
	if b.packets == nil {
		b.packets = make(map[Key]bufferedPacket)
	}
	if _, known := b.packets[key]; !known && len(b.packets) >= maxBufferedPackets {
		return false
	}
	b.packets[key] = bufferedPacket{data: append([]byte(nil), packet...), receivedAt: now}
	return true
}

// Len returns the number of buffered packets.
func (b *PacketBuffer) Len() int { return len(b.packets) }

// TakeAll empties the buffer and returns the packets that have not expired.
func (b *PacketBuffer) TakeAll(now time.Duration) [][]byte {
	var out [][]byte
	for _, p := range b.packets {
		if now-p.receivedAt <= maxPacketAge {
			out = append(out, p.data)
		}
	}
	b.packets = nil
	return out
}

// TakeOne removes and returns the packet of one flow, nil if there is none or it has
// expired.
func (b *PacketBuffer) TakeOne(key Key, now time.Duration) []byte {
	p, known := b.packets[key]
	delete(b.packets, key)
	if !known || now-p.receivedAt > maxPacketAge {
		return nil
	}
	return p.data
}

// Peek returns the packet of one flow, nil if there is none or it has expired.
func (b *PacketBuffer) Peek(key Key, now time.Duration) []byte {
	p, known := b.packets[key]
	if !known || now-p.receivedAt > maxPacketAge {
		return nil
	}
	return p.data
}

// Sweep removes the expired packets.
func (b *PacketBuffer) Sweep(now time.Duration) {
	for key, p := range b.packets {
		if now-p.receivedAt > maxPacketAge {
			delete(b.packets, key)
		}
	}
}
