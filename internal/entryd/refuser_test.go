package entryd

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/frame"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

// dial opens a connection from a caller's socket; it can only fail.
func (r *rig) dial(caller *socket, public netip.AddrPort) error {
	r.tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	to := net.UDPAddrFromAddrPort(r.local(public))
	_, err := quic.Dial(ctx, caller.conn, to, &tls.Config{NextProtos: []string{"h3"}}, nil)
	return err
}

func isRefused(err error) bool {
	var fault *quic.TransportError
	return errors.As(err, &fault) && fault.Remote && fault.ErrorCode == quic.ConnectionRefused
}

func current(v *View) *View {
	v.Complete = true
	return v
}

// A caller for whom there is no target learns it at once, whether the service
// never had one, lost all or is gone; as soon as there is one, its first packet
// goes there.
func TestCallerWithoutTargetIsRefused(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	agent := newSocket(t)
	one := services(serviceAt(lodgement, publicOne))
	targets := []*controlpb.TargetRecord{record(lodgement, 1, agent.addr())}

	r.apply(current(view(1, one)))
	is.True(isRefused(r.dial(newSocket(t), publicOne))) // no target yet

	r.apply(current(view(1, one, targets...)))
	caller := newSocket(t)
	caller.send(initialPacket("made-up-id"), r.local(publicOne))
	h, _, _ := agent.receiveFrame()
	is.Equal(h.Caller, caller.addr())

	r.apply(current(view(1, one)))
	is.True(isRefused(r.dial(newSocket(t), publicOne))) // all lost

	retiredView := current(view(2, nil))
	retiredView.Config.Retired = []string{publicOne.String()}
	r.apply(retiredView)
	is.True(isRefused(r.dial(newSocket(t), publicOne))) // no service any more

	r.await("refusals to be counted", func() bool { return r.counter("connections_refused", "") >= 3 })
	is.True(r.counter("refused", "no_target") >= 3)
}

// An entry host that is not sure keeps silent: the caller asks again and may
// reach one that knows of a target.
func TestUncertainEntryHostRefusesNobody(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	r.apply(view(1, services(serviceAt(lodgement, publicOne))))
	caller := newSocket(t)
	r.f.refuser.budget.perSecond = 0 // an offer would be counted at once
	for range 2 {
		caller.send(initialPacket("made-up-id"), r.local(publicOne))
	}
	// The worker has done with the first one when it counts the second.
	r.await("both to be counted", func() bool { return r.counter("refused", "no_target") == 2 })
	is.Equal(r.counter("connections_refused_over_budget", ""), int64(0))

	r.apply(current(view(1, services(serviceAt(lodgement, publicOne)))))
	caller.send(initialPacket("made-up-id"), r.local(publicOne))
	r.await("the offer", func() bool { return r.counter("connections_refused_over_budget", "") == 1 })
}

// Neither a list that may lack a target nor one of some failure domains says
// that there is none.
func TestViewIsCurrentOnlyIfTheDirectoryIsWhole(t *testing.T) {
	is := is.New(t)
	is.True(viewFrom(&subscriber.View{DirectoryComplete: true}, false).Complete)
	is.True(!viewFrom(&subscriber.View{DirectoryComplete: true}, true).Complete)
	is.True(!viewFrom(&subscriber.View{Connected: true}, false).Complete)
}

// Only a whole Initial packet is answered.
func TestOnlyInitialPacketsAreRefused(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	r.apply(current(view(1, services(serviceAt(lodgement, publicOne)))))
	caller := newSocket(t)
	for _, packet := range [][]byte{
		longPacket(0xd0, []byte("made-up-id")), // 0-RTT comes along with an Initial
		initialPacket("made-up-id"),            // whose token has no end
	} {
		caller.send(packet, r.local(publicOne))
	}
	is.True(isRefused(r.dial(newSocket(t), publicOne)))
	is.NoErr(caller.conn.SetReadDeadline(time.Now()))
	_, _, err := caller.conn.ReadFromUDPAddrPort(make([]byte, 1))
	is.True(err != nil) // neither of them
	is.Equal(r.counter("connections_refused_over_budget", ""), int64(0))
}

func TestRefusalBudget(t *testing.T) {
	is := is.New(t)
	b := refusalBudget{perSecond: 2}
	for _, tt := range []struct {
		at   time.Duration
		want bool
	}{
		{0, true}, {time.Millisecond, true}, {999 * time.Millisecond, false},
		{time.Second, true}, {time.Second, true}, {1999 * time.Millisecond, false},
		{time.Hour, true},
	} {
		is.Equal(b.take(tt.at), tt.want)
	}
}

// BenchmarkNoTarget measures what a first packet costs when there is no target:
// its refusal as quic-go makes and sends it, with the caller's read, in processor
// time of this process, and its length; and a packet of a flood beyond the budget,
// as the worker sees it.
func BenchmarkNoTarget(b *testing.B) {
	o := testOptions()
	o.MaxRefusalsPerSecond = 1 << 30
	r := start(b, o)
	r.apply(current(view(1, services(serviceAt(lodgement, publicOne)))))
	first := firstDatagram(b)
	caller := newSocket(b)
	w := publicWorkerOf(r, publicOne)
	length := copy(w.buf[frame.HeaderLength:], first)
	b.Run("refused", func(b *testing.B) {
		b.ReportAllocs()
		into, from := make([]byte, maxDatagram), caller.addr()
		before, answer := processorTime(b), 0
		for b.Loop() {
			w.handle(length, from)
			n, _, err := caller.conn.ReadFromUDPAddrPort(into)
			if err != nil {
				b.Fatal(err)
			}
			answer = n
		}
		b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
		b.ReportMetric(float64(answer), "B/answer")
	})
	r.f.refuser.budget.perSecond = 0
	b.Run("over budget", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			w.handle(length, caller.addr())
		}
	})
}

// processorTime returns the processor time of this process.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCallerWithoutTarget measures how long a caller of quic-go with its
// defaults waits until it knows: told by the entry host, and left to itself.
func BenchmarkCallerWithoutTarget(b *testing.B) {
	r := start(b, testOptions())
	for _, bb := range []struct {
		name    string
		current bool
	}{{"refused", true}, {"silent", false}} {
		b.Run(bb.name, func(b *testing.B) {
			v := view(1, services(serviceAt(lodgement, publicOne)))
			v.Complete = bb.current
			r.apply(v)
			for b.Loop() {
				if err := r.dial(newSocket(b), publicOne); isRefused(err) != bb.current {
					b.Fatal(err)
				}
			}
		})
	}
}

// firstDatagram returns the first datagram that quic-go sends as a caller.
func firstDatagram(tb testing.TB) []byte {
	tb.Helper()
	server, caller := newSocket(tb), newSocket(tb)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = quic.Dial(ctx, caller.conn, net.UDPAddrFromAddrPort(server.addr()), &tls.Config{NextProtos: []string{"h3"}}, nil)
	}()
	datagram, _ := server.receive()
	cancel()
	<-done
	return datagram
}
