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

// dial connects from a caller's socket. It always fails.
func (r *harness) dial(caller *socket, public netip.AddrPort) error {
	r.tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	to := net.UDPAddrFromAddrPort(r.local(public))
	_, err := quic.Dial(ctx, caller.conn, to, &tls.Config{NextProtos: []string{"h3"}}, nil)
	return err
}

func isRefused(err error) bool {
	var fault *quic.TransportError
	return errors.As(err, &fault) && fault.Remote && fault.ErrorCode == quic.ConnectionRefused
}

func markComplete(v *View) *View {
	v.Complete = true
	return v
}

// A caller gets a refusal at once if its service has no target yet, lost all, or was
// removed. Once there is a target, its first packet is forwarded.
func TestCallerWithoutTargetIsRefused(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	agent := newSocket(t)
	one := services(serviceAt(lodgement, publicOne))
	targets := []*controlpb.TargetRecord{record(lodgement, 1, agent.addr())}

	r.apply(markComplete(view(1, one)))
	early := newSocket(t)
	is.True(isRefused(r.dial(early, publicOne))) // no target yet

	r.apply(markComplete(view(1, one, targets...)))
	caller := newSocket(t)
	caller.send(initialPacket("made-up-id"), r.local(publicOne))
	h, _, _ := agent.receiveFrame()
	for h.Caller == early.addr() {
		// Its first packet takes two datagrams; the refusal comes after the first.
		h, _, _ = agent.receiveFrame()
	}
	is.Equal(h.Caller, caller.addr())

	r.apply(markComplete(view(1, one)))
	is.True(isRefused(r.dial(newSocket(t), publicOne))) // all targets lost

	retiredView := markComplete(view(2, nil))
	retiredView.Config.Retired = []string{publicOne.String()}
	r.apply(retiredView)
	is.True(isRefused(r.dial(newSocket(t), publicOne))) // service removed

	r.await("refusals to be counted", func() bool { return r.counter("connections_refused", "") >= 3 })
	is.True(r.counter("refused", "no_target") >= 3)
}

// An entry host whose view may be incomplete sends no refusal: the caller retransmits
// and may reach an entry host that knows a target.
func TestIncompleteViewSendsNoRefusal(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	r.apply(view(1, services(serviceAt(lodgement, publicOne))))
	caller := newSocket(t)
	r.f.refuser.limiter.perSecond = 0 // count each refusal at once
	for range 2 {
		caller.send(initialPacket("made-up-id"), r.local(publicOne))
	}
	// The first packet has been handled when the second one is counted.
	r.await("both to be counted", func() bool { return r.counter("refused", "no_target") == 2 })
	is.Equal(r.counter("connections_refused_over_budget", ""), int64(0))

	r.apply(markComplete(view(1, services(serviceAt(lodgement, publicOne)))))
	caller.send(initialPacket("made-up-id"), r.local(publicOne))
	r.await("the refusal", func() bool { return r.counter("connections_refused_over_budget", "") == 1 })
}

// A view is not complete if the list may lack targets or is limited to some failure
// domains.
func TestViewCompleteOnlyIfDirectoryComplete(t *testing.T) {
	is := is.New(t)
	is.True(newView(&subscriber.View{DirectoryComplete: true}, false).Complete)
	is.True(!newView(&subscriber.View{DirectoryComplete: true}, true).Complete)
	is.True(!newView(&subscriber.View{Connected: true}, false).Complete)
}

// Only complete Initial packets get a refusal.
func TestOnlyInitialPacketsAreRefused(t *testing.T) {
	is := is.New(t)
	r := start(t, testOptions())
	r.apply(markComplete(view(1, services(serviceAt(lodgement, publicOne)))))
	caller := newSocket(t)
	for _, packet := range [][]byte{
		longPacket(0xd0, []byte("made-up-id")), // 0-RTT accompanies an Initial
		initialPacket("made-up-id"),            // with a truncated token
	} {
		caller.send(packet, r.local(publicOne))
	}
	is.True(isRefused(r.dial(newSocket(t), publicOne)))
	is.NoErr(caller.conn.SetReadDeadline(time.Now()))
	_, _, err := caller.conn.ReadFromUDPAddrPort(make([]byte, 1))
	is.True(err != nil) // no reply to either
	is.Equal(r.counter("connections_refused_over_budget", ""), int64(0))
}

func TestRefusalLimiter(t *testing.T) {
	is := is.New(t)
	l := refusalLimiter{perSecond: 2}
	for _, tt := range []struct {
		at   time.Duration
		want bool
	}{
		{0, true}, {time.Millisecond, true}, {999 * time.Millisecond, false},
		{time.Second, true}, {time.Second, true}, {1999 * time.Millisecond, false},
		{time.Hour, true},
	} {
		is.Equal(l.allow(tt.at), tt.want)
	}
}

// BenchmarkNoTarget measures a first packet without a target: with a refusal, the
// processor time of this process up to the caller's read and the length of the reply;
// beyond the limit, the work of the worker alone.
func BenchmarkNoTarget(b *testing.B) {
	o := testOptions()
	o.MaxRefusalsPerSecond = 1 << 30
	r := start(b, o)
	r.apply(markComplete(view(1, services(serviceAt(lodgement, publicOne)))))
	first := firstDatagram(b)
	caller := newSocket(b)
	w := publicWorkerOf(r, publicOne)
	length := copy(w.buf[frame.HeaderLength:], first)
	b.Run("refused", func(b *testing.B) {
		b.ReportAllocs()
		into, from := make([]byte, maxDatagram), caller.addr()
		before, replyLength := processorTime(b), 0
		for b.Loop() {
			w.handle(length, from)
			n, _, err := caller.conn.ReadFromUDPAddrPort(into)
			if err != nil {
				b.Fatal(err)
			}
			replyLength = n
		}
		b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
		b.ReportMetric(float64(replyLength), "B/reply")
	})
	r.f.refuser.limiter.perSecond = 0
	b.Run("over limit", func(b *testing.B) {
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

// BenchmarkCallerWithoutTarget measures how long a quic-go caller with default settings
// waits for its error, with and without a refusal.
func BenchmarkCallerWithoutTarget(b *testing.B) {
	r := start(b, testOptions())
	for _, bb := range []struct {
		name     string
		complete bool
	}{{"refused", true}, {"no refusal", false}} {
		b.Run(bb.name, func(b *testing.B) {
			v := view(1, services(serviceAt(lodgement, publicOne)))
			v.Complete = bb.complete
			r.apply(v)
			for b.Loop() {
				if err := r.dial(newSocket(b), publicOne); isRefused(err) != bb.complete {
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
