package entryd

import (
	"context"
	"crypto/tls"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/frame"
	"eelgrasswharf.example/eelgrasswharf/quicheader"
)

func TestFirstPacketOfAQUICLibraryIsForwarded(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	agent, caller := newSocket(t), newSocket(t)
	r.apply(view(1, services(serviceAt(lodgement, publicOne)), record(lodgement, 1, agent.addr())))

	ctx, cancel := context.WithCancel(context.Background())
	dialled := make(chan struct{})
	go func() {
		defer close(dialled)
		// It always fails, as no agent replies.
		to := net.UDPAddrFromAddrPort(r.local(publicOne))
		_, _ = quic.Dial(ctx, caller.conn, to, &tls.Config{NextProtos: []string{"h3"}}, nil)
	}()
	defer func() {
		cancel()
		<-dialled
	}()

	h, datagram, _ := agent.receiveFrame()
	is.Equal(h.Kind, frame.First)
	is.Equal(h.Caller, caller.addr())
	packet, ok := quicheader.Parse(datagram, connid.Length)
	is.True(ok)
	is.Equal(packet.Type, quicheader.Initial)
	is.True(len(datagram) >= quicheader.MinInitialSize)
}
