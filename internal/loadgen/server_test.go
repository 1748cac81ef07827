package loadgen_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
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

// testServer is an HTTP/3 server in place of the load balancer.
type testServer struct {
	address string
	http    *http3.Server
	tls     *tls.Config
	// draining means that new flows are refused.
	draining atomic.Bool
	// pending counts accepted flows that are neither served nor closed yet.
	pending atomic.Int64
}

var errDraining = errors.New("draining")

// handshake decrements pending once when its flow is served or closed.
type handshake struct {
	once   sync.Once
	server *testServer
}

func (h *handshake) complete() { h.once.Do(func() { h.server.pending.Add(-1) }) }

// handshakeKey is the context key of a flow's handshake.
type handshakeKey struct{}

// configForClient increments pending before it checks draining, so that shutdown waits
// for every accepted flow.
func (s *testServer) configForClient(*quic.ClientInfo) (*quic.Config, error) {
	s.pending.Add(1)
	if s.draining.Load() {
		s.pending.Add(-1)
		return nil, errDraining
	}
	return &quic.Config{}, nil
}

// connContext adds the handshake of an accepted flow to its context, whose end completes
// it if the flow is never served.
func (s *testServer) connContext(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	h := &handshake{server: s}
	context.AfterFunc(ctx, h.complete)
	return context.WithValue(ctx, handshakeKey{}, h), nil
}

// completeHandshake completes the handshake of a flow that the HTTP/3 server serves.
func completeHandshake(ctx context.Context, conn *quic.Conn) context.Context {
	conn.Context().Value(handshakeKey{}).(*handshake).complete()
	return ctx
}

// shutdown refuses new flows, waits for pending handshakes, sends GOAWAY and waits for
// open flows.
func (s *testServer) shutdown(ctx context.Context) {
	s.draining.Store(true)
	for s.pending.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	_ = s.http.Shutdown(ctx)
}

// authority signs the certificates of all servers of a test.
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

func (a authority) serve(t *testing.T, name string, h http.Handler) *testServer {
	t.Helper()
	is := is.New(t)
	pair, err := a.IssueCaller(name, nil, time.Now(), time.Hour)
	is.NoErr(err)
	cert, err := keys.ParseCallerCertificate(pair)
	is.NoErr(err)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	server := &testServer{
		address: conn.LocalAddr().String(),
		tls:     http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{*cert}}),
	}
	server.http = &http3.Server{Handler: h, ConnContext: completeHandshake}
	transport := &quic.Transport{Conn: conn, ConnContext: server.connContext}
	listener, err := transport.ListenEarly(server.tls, &quic.Config{GetConfigForClient: server.configForClient})
	is.NoErr(err)
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.http.ServeListener(listener) })
	t.Cleanup(func() {
		_ = server.http.Close()
		_ = transport.Close()
		_ = conn.Close()
		wg.Wait()
	})
	return server
}

// proxy forwards requests to a backend server and sets the Target header.
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

const (
	// maxRunTime bounds a run whose condition never holds, which fails the test.
	maxRunTime = time.Minute
	// largeRetryPercent is sufficient on a busy machine.
	largeRetryPercent = 1_000_000
	sessionRamp       = 40 * time.Millisecond
)

// runLoad makes a run that ends by its condition, by default after five requests, and not
// by its duration.
func runLoad(t *testing.T, o loadgen.Options) *loadgen.Report {
	t.Helper()
	is := is.New(t)
	is.Helper()
	stopWhen := o.StopWhen
	if stopWhen == nil {
		stopWhen = fiveRequests
	}
	var ended atomic.Bool
	o.StopWhen = func(soFar *loadgen.Report) bool {
		if stopWhen(soFar) {
			ended.Store(true)
		}
		return ended.Load()
	}
	o.Service = service
	o.Duration = maxRunTime
	o.Deadline = maxRunTime
	o.SessionRamp = sessionRamp
	report, err := loadgen.Run(context.Background(), o)
	is.NoErr(err)
	t.Logf("%+v", *report)
	is.True(ended.Load()) // not by the duration
	return report
}

// retryForever makes callers retry until a request is answered.
func retryForever(o loadgen.Options) loadgen.Options {
	o.MaxAttempts = math.MaxInt32
	o.RetryPercent = largeRetryPercent
	return o
}

func fiveRequests(soFar *loadgen.Report) bool { return soFar.Requests >= 5 }
