package flowd

import (
	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// direction of a datagram as its process sees it.
type direction string

const (
	sent     direction = "sent"
	received direction = "received"
)

// Kinds of datagrams that are no frames.
const (
	kindPacket = "packet"
	kindReset  = "reset"
	kindOther  = "other"
)

// traffic counts the datagrams of one kind of peer, and their bytes of payload, by direction
// and kind: what fills a narrow link. Its methods may be called concurrently.
type traffic struct {
	frames [flow.KindCount]volume
	// packets are those of callers and backend servers, as they are.
	packets, resets, others volume
}

// volume counts datagrams of one kind in one direction.
type volume struct {
	datagrams, bytes tally.Counter
}

func newVolume(scope tally.Scope, peer string, d direction, kind string) volume {
	tagged := scope.Tagged(map[string]string{"peer": peer, "direction": string(d), "kind": kind})
	return volume{datagrams: tagged.Counter("datagrams"), bytes: tagged.Counter("bytes")}
}

func (v *volume) add(size int) {
	v.datagrams.Inc(1)
	v.bytes.Inc(int64(size))
}

func newTraffic(scope tally.Scope, peer string, d direction) *traffic {
	t := &traffic{
		packets: newVolume(scope, peer, d, kindPacket),
		resets:  newVolume(scope, peer, d, kindReset),
		others:  newVolume(scope, peer, d, kindOther),
	}
	for kind := range t.frames {
		t.frames[kind] = newVolume(scope, peer, d, flow.Kind(kind).String())
	}
	return t
}

// frame counts a datagram that begins with a frame.
func (t *traffic) frame(b []byte) {
	if len(b) == 0 || int(b[0]) >= len(t.frames) {
		t.others.add(len(b))
		return
	}
	t.frames[b[0]].add(len(b))
}
