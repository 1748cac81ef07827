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

// BenchmarkRoundTrip measures the same request from the caller's call to the
// end of the answer: through an entry host and the agent on an established
// flow, and straight to the backend server. The agent opens a connection to
// the backend server for each request, so that the fair comparison is
// "direct/own"; "direct/kept" is what a caller beside the backend server would
// see at best.
func BenchmarkRoundTrip(b *testing.B) {
	d, err := dev.Start(b.Context(), dev.Options{
		EntryHosts: 1, Services: []dev.Service{{Name: benchService, Targets: 1}},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	direct := d.Backends(benchService)[0].URL()
	kept, own := &http.Transport{}, &http.Transport{DisableKeepAlives: true}
	defer kept.CloseIdleConnections()
	through := flowTo(d)
	defer through.Close()
	for _, way := range []struct {
		name, url string
		transport http.RoundTripper
	}{
		{"direct/kept", direct, kept},
		{"direct/own", direct, own},
		{"through", "https://" + benchService, through},
	} {
		b.Run(way.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				roundTrip(b, way.transport, way.url)
			}
		})
	}
}

// flowTo returns a caller with one flow to the service.
func flowTo(d *dev.Deployment) *http3.Transport {
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
		b.Fatalf("answer %s %q: %v", res.Status, body, err)
	}
}
