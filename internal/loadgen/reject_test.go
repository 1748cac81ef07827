package loadgen_test

import (
	"context"
	"crypto/tls"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

// refuseAll answers every request with the stream error and then closes the
// connection without an error, as a server that is leaving does.
func refuseAll(t *testing.T, a authority, code http3.ErrCode) string {
	t.Helper()
	is := is.New(t)
	pair, err := a.Caller(service, nil, time.Now(), time.Hour)
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
			wg.Go(func() { refuse(conn, code) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		wg.Wait()
	})
	return listener.Addr().String()
}

func refuse(conn *quic.Conn, code http3.ErrCode) {
	stream, err := conn.AcceptStream(context.Background())
	if err != nil {
		return
	}
	stream.CancelRead(quic.StreamErrorCode(code))
	stream.CancelWrite(quic.StreamErrorCode(code))
	_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
}

// The two refusals differ in what the caller knows: a rejected request was
// not run and its flow ended in order.
func TestRejectedRequestBreaksNoFlow(t *testing.T) {
	for _, tt := range []struct {
		name   string
		code   http3.ErrCode
		broken bool
	}{{"rejected", http3.ErrCodeRequestRejected, false}, {"internal error", http3.ErrCodeInternalError, true}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := newAuthority(t)
			addr := refuseAll(t, a, tt.code)
			report := run(t, loadgen.Options{
				Addresses: []string{addr}, Roots: a.roots, Rate: 20, NonRepeatable: 1, Attempts: 1, RequestsPerFlow: 1,
			})
			is.True(report.Requests > 0)
			if tt.broken {
				is.Equal(report.Outcomes["unknown/connection-lost"], report.Requests)
				is.True(report.BrokenFlows > 0)
				return
			}
			is.Equal(report.Outcomes["answered"], 0)
			is.Equal(report.BrokenFlows, report.Outcomes["unknown/connection-lost"])
		})
	}
}
