package loadgen_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/backend"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

const service = "lodgement"

// farEnd is a plain HTTP/3 server in place of the system.
type farEnd struct {
	address string
	http    *http3.Server
	tls     *tls.Config
	// leaving servers refuse new flows.
	leaving atomic.Bool
}

var errLeaving = errors.New("leaving")

// handshakeTime lets handshakes that began before the shutdown finish.
const handshakeTime = 100 * time.Millisecond

// shutdown takes no more flows, sends GOAWAY and waits for the ones it has.
func (f *farEnd) shutdown(ctx context.Context) {
	f.leaving.Store(true)
	time.Sleep(handshakeTime)
	_ = f.http.Shutdown(ctx)
}

// authority signs for all servers of a test.
type authority struct {
	*keys.Authority
	roots *x509.CertPool
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	is := is.New(t)
	a, err := keys.NewAuthority(time.Now(), time.Hour)
	is.NoErr(err)
	roots := x509.NewCertPool()
	is.True(roots.AppendCertsFromPEM(a.CertificatePEM()))
	return authority{a, roots}
}

func (a authority) serve(t *testing.T, name string, h http.Handler) *farEnd {
	t.Helper()
	is := is.New(t)
	pair, err := a.Caller(name, nil, time.Now(), time.Hour)
	is.NoErr(err)
	cert, err := keys.ParseCallerCertificate(pair)
	is.NoErr(err)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	f := &farEnd{
		address: conn.LocalAddr().String(),
		tls:     http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{*cert}}),
	}
	f.http = &http3.Server{Handler: h}
	transport := &quic.Transport{Conn: conn}
	listener, err := transport.ListenEarly(f.tls, &quic.Config{
		GetConfigForClient: func(*quic.ClientInfo) (*quic.Config, error) {
			if f.leaving.Load() {
				return nil, errLeaving
			}
			return &quic.Config{}, nil
		},
	})
	is.NoErr(err)
	var wg conc.WaitGroup
	wg.Go(func() { _ = f.http.ServeListener(listener) })
	t.Cleanup(func() {
		_ = f.http.Close()
		_ = transport.Close()
		_ = conn.Close()
		wg.Wait()
	})
	return f
}

// proxy hands requests on to a backend server and says who answered.
func proxy(t *testing.T, s *backend.Server, target string) http.Handler {
	t.Helper()
	to, err := url.Parse(s.URL())
	is.New(t).NoErr(err)
	p := httputil.NewSingleHostReverseProxy(to)
	p.FlushInterval = -1
	p.ModifyResponse = func(res *http.Response) error {
		res.Header.Set("Target", target+"/1/1")
		if res.Header.Get("Request-Outcome") == "" {
			res.Header.Set("Request-Outcome", "answered")
		}
		return nil
	}
	return p
}

func startBackend(t *testing.T) *backend.Server {
	t.Helper()
	s, err := backend.Start(backend.Options{Listen: "127.0.0.1:0", Slots: 1000})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func run(t *testing.T, o loadgen.Options) *loadgen.Report {
	t.Helper()
	o.Service = service
	if o.Duration == 0 {
		o.Duration = 300 * time.Millisecond
	}
	report, err := loadgen.Run(context.Background(), o)
	is.New(t).NoErr(err)
	t.Logf("%+v", *report)
	return report
}
