package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

func TestPacketBuffer(t *testing.T) {
	is := is.New(t)
	var b flow.PacketBuffer
	is.True(b.Put(key(1), []byte("old"), 0))
	is.True(b.Put(key(2), []byte("first"), time.Second))
	is.True(b.Put(key(2), []byte("second"), time.Second))
	got := b.TakeAll(2 * time.Second)
	is.Equal(len(got), 1) // the other one has expired
	is.Equal(string(got[0]), "second")
	is.Equal(b.Len(), 0)
}

func TestPacketBufferIsBounded(t *testing.T) {
	is := is.New(t)
	var b flow.PacketBuffer
	kept := 0
	for port := range 5000 {
		if b.Put(key(uint16(port)), []byte("packet"), 0) {
			kept++
		}
	}
	is.True(kept < 5000)
	is.Equal(b.Len(), kept)
	is.True(b.Put(key(1), []byte("newer"), 0)) // replaces a buffered packet
}

// Packets wait until routes and targets are known, except those of known flows.
func TestPacketsWaitForRoutes(t *testing.T) {
	is := is.New(t)
	p := &fixedPlacer{agents: []flow.Endpoint{agentA}, notReady: true}
	e := flow.NewEntry(p, entryA)
	is.Equal(e.Packet(syn(1), 0).Action, flow.Wait)
	is.Equal(e.Packet(request(2, firstA), 0).Action, flow.Wait)
	e.Held(heldBy(3, firstA, true), agentA, 0)
	is.Equal(e.Packet(request(3, firstA), 0).Action, flow.Send)
	p.notReady = false
	is.Equal(e.Packet(syn(1), 0).Action, flow.Send)
	is.Equal(e.Packet(request(2, firstA), 0).Action, flow.SendAll)
}
