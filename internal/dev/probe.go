package dev

import (
	"context"
	"crypto/tls"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	probeTimeout = time.Second
	headerTarget = "Target"
)

var errProbe = errors.New("probe not answered")

// waitForTargets calls each service through each entry host, on a new flow each time,
// until every target has answered. It does nothing with a network, whose callers cannot
// choose the entry host.
func (d *Deployment) waitForTargets(ctx context.Context) error {
	if d.opts.Network != nil {
		return nil
	}
	for _, service := range d.Services() {
		for _, addr := range d.Addresses(service) {
			missing := map[string]bool{}
			for _, target := range d.Targets(service) {
				missing[target] = true
			}
			for len(missing) > 0 {
				target, err := d.probe(ctx, service, addr)
				delete(missing, target)
				if err == nil {
					continue
				}
				if err := d.waitPollInterval(ctx); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// probe makes one call on a new flow and returns the name of the target that answered.
func (d *Deployment) probe(ctx context.Context, service, addr string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	transport := &http3.Transport{
		TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, ServerName: service, RootCAs: d.roots},
		Dial: func(ctx context.Context, _ string, t *tls.Config, q *quic.Config) (*quic.Conn, error) {
			return quic.DialAddr(ctx, addr, t, q)
		},
	}
	defer transport.Close()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+service+"/echo", nil)
	if err != nil {
		return "", err
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return "", errors.Wrap(errProbe, res.Status)
	}
	name, _, _ := strings.Cut(res.Header.Get(headerTarget), "/")
	return name, nil
}
