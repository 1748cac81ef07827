package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

func TestPacketBuffer(t *testing.T) {
	is := is.New(t)
	var w flow.PacketBuffer
	is.True(w.Put(key(1), []byte("old"), 0))
	is.True(w.Put(key(2), []byte("first"), time.Second))
	is.True(w.Put(key(2), []byte("second"), time.Second))
	got := w.TakeAll(2 * time.Second)
	is.Equal(len(got), 1) // the other one has expired
	is.Equal(string(got[0]), "second")
	is.Equal(w.Len(), 0)
}

func TestPacketBufferIsBounded(t *testing.T) {
	is := is.New(t)
	var w flow.PacketBuffer
	kept := 0
	for port := range 5000 {
		if w.Put(key(uint16(port)), []byte("packet"), 0) {
			kept++
		}
	}
	is.True(kept < 5000)
	is.Equal(w.Len(), kept)
	is.True(w.Put(key(1), []byte("newer"), 0)) // replaces a buffered packet
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
