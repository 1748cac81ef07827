package loadgen_test

import (
	"context"
	"crypto/tls"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

// refusal is how a server treats the first request of a connection before it
// closes the connection without an error, as a server that is leaving does.
type refusal func(*quic.Conn, *quic.Stream)

func resetWith(code http3.ErrCode) refusal {
	return func(conn *quic.Conn, stream *quic.Stream) {
		stream.CancelRead(quic.StreamErrorCode(code))
		stream.CancelWrite(quic.StreamErrorCode(code))
		// The caller learns of the reset and ends its flow, which is over
		// after one request.
		<-conn.Context().Done()
	}
}

func ignore(*quic.Conn, *quic.Stream) {}

func serveRefusals(t *testing.T, a authority, how refusal) string {
	t.Helper()
	is := is.New(t)
	pair, err := a.IssueCaller(service, nil, time.Now(), time.Hour)
	is.NoErr(err)
	cert, err := keys.ParseCallerCertificate(pair)
	is.NoErr(err)
	config := http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{*cert}})
	listener, err := quic.ListenAddr("127.0.0.1:0", config, &quic.Config{})
	is.NoErr(err)
	var wg conc.WaitGroup
	wg.Go(func() {
		for {
			conn, err := listener.Accept(context.Background())
			if err != nil {
				return
			}
			wg.Go(func() { refuse(conn, how) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		wg.Wait()
	})
	return listener.Addr().String()
}

// A caller whose connection is refused knows that nothing was run, and that it
// was told so.
func TestRefusedConnection(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	listener, err := quic.ListenAddr("127.0.0.1:0", &tls.Config{}, &quic.Config{
		GetConfigForClient: func(*quic.ClientInfo) (*quic.Config, error) { return nil, errors.New("none") },
	})
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	report := run(t, loadgen.Options{
		Addresses: []string{listener.Addr().String()}, Roots: a.roots, Rate: 20, NonRepeatable: 1, MaxAttempts: 1, RequestsPerFlow: 1,
	})
	is.Equal(report.Outcomes, map[string]int{"not-run/refused": report.Requests})
	is.Equal(report.BrokenFlows, 0)
}

func refuse(conn *quic.Conn, how refusal) {
	stream, err := conn.AcceptStream(context.Background())
	if err != nil {
		return
	}
	how(conn, stream)
	_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
}

// What a caller may claim of its request and its flow depends on how the
// server ended them.
func TestRefusals(t *testing.T) {
	for _, tt := range []struct {
		name    string
		how     refusal
		outcome string
		broken  bool
	}{
		{"rejected", resetWith(http3.ErrCodeRequestRejected), "not-run/rejected", false},
		{"reset", resetWith(http3.ErrCodeInternalError), "unknown/stream-reset", false},
		{"closed under the request", ignore, "unknown/connection-lost", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := newAuthority(t)
			addr := serveRefusals(t, a, tt.how)
			report := run(t, loadgen.Options{
				Addresses: []string{addr}, Roots: a.roots, Rate: 20, NonRepeatable: 1, MaxAttempts: 1, RequestsPerFlow: 1,
			})
			is.Equal(report.Outcomes, map[string]int{tt.outcome: report.Requests})
			if tt.broken {
				is.Equal(report.BrokenFlows, report.Requests)
			} else {
				is.Equal(report.BrokenFlows, 0)
			}
		})
	}
}
