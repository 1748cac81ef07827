package dev_test

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"testing"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"eelgrasswharf.example/eelgrasswharf/internal/dev"
)

const (
	benchService = "lodgement"
	benchText    = "a request of ordinary size"
)

// BenchmarkRoundTrip measures a request up to the end of its response: "through" an entry
// host and the agent on an established flow, and directly at the backend server.
// "direct/own" opens a connection per request as the agent does, "direct/kept" reuses one.
func BenchmarkRoundTrip(b *testing.B) {
	d, err := dev.Start(b.Context(), dev.Options{
		EntryHosts: 1, Services: []dev.Service{{Name: benchService, Targets: 1}},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	direct := d.Backends(benchService)[0].URL()
	keepAlive, perRequest := &http.Transport{}, &http.Transport{DisableKeepAlives: true}
	defer keepAlive.CloseIdleConnections()
	through := newFlow(d)
	defer through.Close()
	for _, path := range []struct {
		name, url string
		transport http.RoundTripper
	}{
		{"direct/kept", direct, keepAlive},
		{"direct/own", direct, perRequest},
		{"through", "https://" + benchService, through},
	} {
		b.Run(path.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				roundTrip(b, path.transport, path.url)
			}
		})
	}
}

// newFlow returns a transport with one flow to the service.
func newFlow(d *dev.Deployment) *http3.Transport {
	return &http3.Transport{
		TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, ServerName: benchService, RootCAs: d.Roots()},
		Dial: func(ctx context.Context, _ string, t *tls.Config, q *quic.Config) (*quic.Conn, error) {
			return quic.DialAddr(ctx, d.Addresses(benchService)[0], t, q)
		},
	}
}

func roundTrip(b *testing.B, t http.RoundTripper, base string) {
	b.Helper()
	req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, base+"/echo", nil)
	if err != nil {
		b.Fatal(err)
	}
	q := req.URL.Query()
	q.Set("text", benchText)
	req.URL.RawQuery = q.Encode()
	res, err := t.RoundTrip(req)
	if err != nil {
		b.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil || string(body) != benchText {
		b.Fatalf("response %s %q: %v", res.Status, body, err)
	}
}
