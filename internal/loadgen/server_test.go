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

// farEnd is a plain HTTP/3 server in place of the system.
type farEnd struct {
	address string
	http    *http3.Server
	tls     *tls.Config
	// leaving servers refuse new flows.
	leaving atomic.Bool
	// pending counts flows whose handshake was not refused and that are
	// neither served nor at their end yet.
	pending atomic.Int64
}

var errLeaving = errors.New("leaving")

// arrival settles once what became of a flow.
type arrival struct {
	once sync.Once
	far  *farEnd
}

func (a *arrival) settle() { a.once.Do(func() { a.far.pending.Add(-1) }) }

// arrivalKey finds the arrival in the context of a flow.
type arrivalKey struct{}

// admit counts a flow before it looks whether the server is leaving, so that
// shutdown waits for every flow that it lets through.
func (f *farEnd) admit(*quic.ClientInfo) (*quic.Config, error) {
	f.pending.Add(1)
	if f.leaving.Load() {
		f.pending.Add(-1)
		return nil, errLeaving
	}
	return &quic.Config{}, nil
}

// arrive begins an admitted flow; one that never gets served ends its context.
func (f *farEnd) arrive(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	a := &arrival{far: f}
	context.AfterFunc(ctx, a.settle)
	return context.WithValue(ctx, arrivalKey{}, a), nil
}

// served marks a flow that the HTTP/3 server has taken.
func served(ctx context.Context, conn *quic.Conn) context.Context {
	conn.Context().Value(arrivalKey{}).(*arrival).settle()
	return ctx
}

// shutdown takes no more flows, sends GOAWAY and waits for the ones it has.
// Handshakes that began before it finish first.
func (f *farEnd) shutdown(ctx context.Context) {
	f.leaving.Store(true)
	for f.pending.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
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
	pair, err := a.IssueCaller(name, nil, time.Now(), time.Hour)
	is.NoErr(err)
	cert, err := keys.ParseCallerCertificate(pair)
	is.NoErr(err)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	f := &farEnd{
		address: conn.LocalAddr().String(),
		tls:     http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{*cert}}),
	}
	f.http = &http3.Server{Handler: h, ConnContext: served}
	transport := &quic.Transport{Conn: conn, ConnContext: f.arrive}
	listener, err := transport.ListenEarly(f.tls, &quic.Config{GetConfigForClient: f.admit})
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

const (
	// patience bounds a run that never does enough; no verdict depends on it.
	patience = time.Minute
	// amplePercent is a retry budget that a busy machine does not use up.
	amplePercent = 1_000_000
	// ramp spreads the opening of sessions.
	ramp = 40 * time.Millisecond
)

// run makes a run that ends by its condition, so that a busy machine makes it
// longer and changes nothing else. Unless a test says otherwise, callers do not
// give up.
func run(t *testing.T, o loadgen.Options) *loadgen.Report {
	t.Helper()
	is := is.New(t)
	is.Helper()
	enough := o.StopWhen
	if enough == nil {
		enough = someRequests
	}
	var ended atomic.Bool
	o.StopWhen = func(sofar *loadgen.Report) bool {
		if enough(sofar) {
			ended.Store(true)
		}
		return ended.Load()
	}
	o.Service = service
	o.Duration = patience
	o.Deadline = patience
	o.SessionRamp = ramp
	report, err := loadgen.Run(context.Background(), o)
	is.NoErr(err)
	t.Logf("%+v", *report)
	is.True(ended.Load()) // the run did enough
	return report
}

// persistent makes callers try until they are answered.
func persistent(o loadgen.Options) loadgen.Options {
	o.MaxAttempts = math.MaxInt32
	o.RetryPercent = amplePercent
	return o
}

func someRequests(sofar *loadgen.Report) bool { return sofar.Requests >= 5 }
