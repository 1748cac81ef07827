package flowd

import (
	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// direction of a datagram.
type direction string

const (
	sent     direction = "sent"
	received direction = "received"
)

// Kinds of datagrams other than frames.
const (
	kindPacket = "packet"
	kindReset  = "reset"
	kindOther  = "other"
)

// traffic counts datagrams and payload bytes of one kind of peer by direction and kind. Its
// methods may be called concurrently.
type traffic struct {
	frames [flow.KindCount]datagramCounters
	// packets are those of callers and backend servers without a frame header.
	packets, resets, others datagramCounters
}

// datagramCounters count the datagrams of one kind in one direction.
type datagramCounters struct {
	datagrams, bytes tally.Counter
}

func newDatagramCounters(scope tally.Scope, peer string, d direction, kind string) datagramCounters {
	tagged := scope.Tagged(map[string]string{"peer": peer, "direction": string(d), "kind": kind})
	return datagramCounters{datagrams: tagged.Counter("datagrams"), bytes: tagged.Counter("bytes")}
}

func (c *datagramCounters) add(size int) {
	c.datagrams.Inc(1)
	c.bytes.Inc(int64(size))
}

func newTraffic(scope tally.Scope, peer string, d direction) *traffic {
	t := &traffic{
		packets: newDatagramCounters(scope, peer, d, kindPacket),
		resets:  newDatagramCounters(scope, peer, d, kindReset),
		others:  newDatagramCounters(scope, peer, d, kindOther),
	}
	for kind := range t.frames {
		t.frames[kind] = newDatagramCounters(scope, peer, d, flow.Kind(kind).String())
	}
	return t
}

// countFrame counts a datagram that begins with a frame.
func (t *traffic) countFrame(b []byte) {
	if len(b) == 0 || int(b[0]) >= len(t.frames) {
		t.others.add(len(b))
		return
	}
	t.frames[b[0]].add(len(b))
}
