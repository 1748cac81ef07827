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

// connHandler handles the first request of a connection before the server closes the
// connection without an error, as a draining server does.
type connHandler func(*quic.Conn, *quic.Stream)

func resetWith(code http3.ErrCode) connHandler {
	return func(conn *quic.Conn, stream *quic.Stream) {
		stream.CancelRead(quic.StreamErrorCode(code))
		stream.CancelWrite(quic.StreamErrorCode(code))
		// The caller closes the flow after one request.
		<-conn.Context().Done()
	}
}

func closeOnly(*quic.Conn, *quic.Stream) {}

func serveConns(t *testing.T, a authority, handler connHandler) string {
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
			wg.Go(func() { handleConn(conn, handler) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		wg.Wait()
	})
	return listener.Addr().String()
}

// A refused connection has the outcome "not run" with the reason "refused".
func TestRefusedConnection(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	listener, err := quic.ListenAddr("127.0.0.1:0", &tls.Config{}, &quic.Config{
		GetConfigForClient: func(*quic.ClientInfo) (*quic.Config, error) { return nil, errors.New("none") },
	})
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	report := runLoad(t, loadgen.Options{
		Addresses: []string{listener.Addr().String()}, Roots: a.roots, Rate: 20, NonRepeatable: 1, MaxAttempts: 1, RequestsPerFlow: 1,
	})
	is.Equal(report.Outcomes, map[string]int{"not-run/refused": report.Requests})
	is.Equal(report.BrokenFlows, 0)
}

func handleConn(conn *quic.Conn, handler connHandler) {
	stream, err := conn.AcceptStream(context.Background())
	if err != nil {
		return
	}
	handler(conn, stream)
	_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
}

// The outcome of a request and the state of its flow depend on how the server ended
// them.
func TestConnectionEnds(t *testing.T) {
	for _, tt := range []struct {
		name    string
		handler connHandler
		outcome string
		broken  bool
	}{
		{"rejected", resetWith(http3.ErrCodeRequestRejected), "not-run/rejected", false},
		{"reset", resetWith(http3.ErrCodeInternalError), "unknown/stream-reset", false},
		{"closed without a response", closeOnly, "unknown/connection-lost", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := newAuthority(t)
			addr := serveConns(t, a, tt.handler)
			report := runLoad(t, loadgen.Options{
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
