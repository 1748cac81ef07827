package test

import (
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

const (
	// recordedDatagrams bounds the datagrams recorded in each direction.
	recordedDatagrams = 40
	// forgedFrameByte is in the header of a frame, forgedPacketByte in the connection
	// ID of a short packet.
	forgedFrameByte, forgedPacketByte = 20, 5

	floodDatagrams = 4000
	initialSize    = 1200
	// maxGrowth bounds the memory growth of a flood, in bytes. A table entry of 16 KB
	// for each datagram would exceed it.
	maxGrowth = 48 << 20
)

// sendAll sends datagrams from a new port.
func sendAll(t *testing.T, to netip.AddrPort, datagrams [][]byte) {
	t.Helper()
	is := is.New(t)
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	is.NoErr(err)
	defer conn.Close()
	for _, datagram := range datagrams {
		_, err := conn.Write(datagram)
		is.NoErr(err)
	}
}

// forged returns copies with one byte changed, without the datagrams that are too
// short.
func forged(datagrams [][]byte, at int) [][]byte {
	var all [][]byte
	for _, datagram := range datagrams {
		if len(datagram) > at {
			changed := append([]byte(nil), datagram...)
			changed[at] ^= 0xff
			all = append(all, changed)
		}
	}
	return all
}

// TestForgedAndReplayedDatagrams replays recorded datagrams of an established session
// from another address, unchanged and forged. Forged ones are counted, replayed ones
// run nothing again, and the session goes on.
func TestForgedAndReplayedDatagrams(t *testing.T) {
	is := is.New(t)
	d := deployWith(t, 1, processtest.TargetOptions{Relayed: true})
	caller := d.lodgement.NewCaller()
	watch := caller.Watch()
	target, _ := d.sessionTarget(t, watch)
	relays := []*faultproxy.Relay{d.lodgement.Fabric, target.FrameRelay}
	for _, relay := range relays {
		relay.Record(recordedDatagrams)
	}
	answer := caller.MustDo(http.MethodPost, processtest.RunPath(0), processtest.KeyHeader("replayed"), nil)
	is.Equal(answer.Outcome, processtest.OutcomeAnswered)
	watch.WaitEvents()
	packets := d.lodgement.Fabric.Recorded(faultproxy.ToHost)
	frames := target.FrameRelay.Recorded(faultproxy.ToHost)
	replies := target.FrameRelay.Recorded(faultproxy.ToCaller)
	is.True(len(packets) > 0)
	is.True(len(frames) > 0)
	is.True(len(replies) > 0)

	entry := d.entries[0]
	refused := map[string]float64{"unknown_connection": 0, "frame_tag": 0}
	for reason := range refused {
		refused[reason] = entry.Refused(reason)
	}
	for range 3 {
		sendAll(t, entry.PublicAddress(d.lodgement), forged(packets, forgedPacketByte))
		sendAll(t, entry.FrameAddr(), forged(replies, forgedFrameByte))
		sendAll(t, target.FrameAddr, forged(frames, forgedFrameByte))
		sendAll(t, entry.PublicAddress(d.lodgement), packets)
		sendAll(t, entry.FrameAddr(), replies)
		sendAll(t, target.FrameAddr, frames)
		watch.WaitEvents()
		checkEcho(t, d.lodgement, caller, "after forgeries")
	}
	for reason, before := range refused {
		processtest.Eventually(t, reason+" is counted", func() bool { return entry.Refused(reason) > before })
	}
	processtest.Eventually(t, "forged frames are counted", func() bool { return target.CountByReason("frames_refused", "invalid") > 0 })
	is.Equal(d.runs("replayed"), 1)
	for _, p := range d.processes() {
		is.True(p.Running())
	}
}

// initialPacket returns a datagram with the header of a QUIC Initial and random
// content.
func initialPacket() []byte {
	const idBytes = 8
	b := make([]byte, initialSize)
	_, _ = rand.Read(b) // only the header matters
	b[0] = 0xc0 | b[0]&0x0f
	binary.BigEndian.PutUint32(b[1:], 1)
	b[5] = idBytes
	b[6+idBytes] = idBytes
	at := 7 + 2*idBytes
	b[at] = 0 // no token
	binary.BigEndian.PutUint16(b[at+1:], 0x4000|uint16(initialSize-at-3))
	return b
}

// TestInitialPacketFlood sends Initial packets of flows that never open, beside
// traffic and an open session. Memory stays bounded and no session is left.
func TestInitialPacketFlood(t *testing.T) {
	is := is.New(t)
	const rounds = 3
	d := deploy(t, 1)
	load := d.startLoad(t)
	target, _ := d.sessionTarget(t, load.watch)
	flood := func() {
		var senders conc.WaitGroup
		for _, e := range d.entries {
			senders.Go(func() {
				conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(e.PublicAddress(d.lodgement)))
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				for range floodDatagrams {
					_, _ = conn.Write(initialPacket()) // a full send buffer drops the datagram
				}
			})
		}
		senders.Wait()
		load.progress()
	}
	flood() // warms up buffers and pools
	agentBefore, entryBefore := target.ResidentMemory(), d.entries[0].ResidentMemory()
	for range rounds {
		flood()
	}
	t.Logf("resident: agent %.0f to %.0f, entry host %.0f to %.0f bytes",
		agentBefore, target.ResidentMemory(), entryBefore, d.entries[0].ResidentMemory())
	is.True(target.ResidentMemory()-agentBefore < maxGrowth)
	is.True(d.entries[0].ResidentMemory()-entryBefore < maxGrowth)
	processtest.Eventually(t, "no session of the flood is left", func() bool {
		return target.CountByReason("sessions", "") <= 4 // the watch and the callers of the traffic
	})
	load.stop()
}
