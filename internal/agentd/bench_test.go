package agentd

import (
	"net/http"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/frame"
)

// BenchmarkReceive measures the validation of one frame of an established flow.
func BenchmarkReceive(b *testing.B) {
	secrets := []connid.Secret{{ID: 1, Key: [connid.SecretLength]byte{1}}}
	self := identity{serviceNumber: 1, number: 2, incarnation: 3, address: netip.MustParseAddrPort("127.0.0.1:7")}
	s, err := newFrameSocket(nil, self, secrets)
	if err != nil {
		b.Fatal(err)
	}
	s.flows = newFlowTable(maxFlows)
	s.clock = newClock()
	s.counters = newCounters(tally.NoopScope)
	h := frame.Header{
		Kind: frame.Forward, Service: 1, Target: 2, Incarnation: 3,
		Caller: netip.MustParseAddrPort("127.0.0.1:9"), Public: netip.MustParseAddrPort("127.0.0.1:443"),
	}
	data := make([]byte, frame.HeaderLength, maxFrame)
	s.codecs.Load().frames.Put(data, &h)
	data = append(data, shortPacket(self.connTarget(), s.codecs.Load().ids)...)
	entry := netip.MustParseAddrPort("127.0.0.1:8")
	b.ReportAllocs()
	for b.Loop() {
		if f, _ := s.receive(data, entry); f == nil {
			b.Fatal("refused")
		}
	}
}

// BenchmarkAttempt compares a request on a new connection with one on a reused
// connection.
func BenchmarkAttempt(b *testing.B) {
	server := newBenchBackend(b)
	base, err := url.Parse(server)
	if err != nil {
		b.Fatal(err)
	}
	reused := &http.Transport{}
	defer reused.CloseIdleConnections()
	for _, c := range []struct {
		name      string
		transport http.RoundTripper
	}{{"own", newBackendTransport()}, {"kept", reused}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				request, _ := http.NewRequest("GET", "http://caller/echo", nil)
				call, _ := newCall(request, nil, time.Minute)
				res := attempt(c.transport, base, call, "t1/1/1")
				if res.exchange == nil {
					b.Fatal(res.reason)
				}
				if _, _, err := readPrefix(res.exchange.response, maxRecordBytes); err != nil {
					b.Fatal(err)
				}
				_ = res.exchange.response.Body.Close()
				call.end()
			}
		})
	}
}
