package metrics

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/listen"
)

const (
	// namePrefix is the prefix of all metric names.
	namePrefix = "eelgrasswharf"
	// reportInterval is the time between reports of the scope, and so the largest age of a
	// value at /metrics.
	reportInterval = time.Second
	// closeTimeout bounds the wait for a scrape in progress.
	closeTimeout = time.Second
	// headerTimeout bounds the wait for the header of a scrape.
	headerTimeout = 5 * time.Second
	// idleTimeout closes a connection without scrapes; it exceeds the usual scrape interval.
	idleTimeout = 2 * time.Minute
)

// ErrListen is returned if the metrics address cannot be opened.
var ErrListen = errors.New("cannot serve metrics")

// New creates the scope of a process. If s has an address, the metrics are served there until
// the closer is closed, and the bound address is returned. Without an address the scope
// discards its values and the returned address is invalid. onError is called for metrics that
// cannot be registered, such as one name with two sets of tags.
func New(s *settingspb.Metrics, onError func(error)) (tally.Scope, io.Closer, netip.AddrPort, error) {
	if s.GetListen() == "" {
		return tally.NoopScope, io.NopCloser(nil), netip.AddrPort{}, nil
	}
	listener, err := listen.TCP(s.GetListen())
	if err != nil {
		return nil, nil, netip.AddrPort{}, errors.Wrapf(ErrListen, "metrics.listen: %v", err)
	}
	registry := prom.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, OnRegisterError: onError})
	scope, scopeCloser := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          namePrefix,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: sanitizer(),
		// Tally's cardinality metrics have tags of their own.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	e := &exporter{scope: scopeCloser, server: newServer(registry)}
	e.serving.Go(func() { _ = e.server.Serve(listener) })
	return scope, e, listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// sanitizer keeps dashes in tag values, so that reasons read the same as in responses to
// callers and in the docs.
func sanitizer() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters.Characters = tally.UnderscoreDashDotCharacters
	return &options
}

func newServer(registry *prom.Registry) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// exporter serves the metrics and closes them in order.
type exporter struct {
	scope   io.Closer
	server  *http.Server
	serving conc.WaitGroup
}

// Close reports a last time and closes the listener.
func (e *exporter) Close() error {
	scopeErr := e.scope.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if e.server.Shutdown(ctx) != nil {
		_ = e.server.Close()
	}
	e.serving.Wait()
	return scopeErr
}
