package processtest

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Headers of the caller protocol.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderTimeout = "Request-Timeout"
	HeaderOutcome = "Request-Outcome"
	HeaderReason  = "Request-Reason"
	HeaderTarget  = "Target"
	// HeaderRetryAfter holds the delay before a retry, in seconds.
	HeaderRetryAfter = "Retry-After"
)

// Values of HeaderOutcome.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
)

// keepAlive is shorter than the idle timeout of both ends, so that an idle
// connection only ends when its path fails.
const keepAlive = 5 * time.Second

// Caller calls one service over HTTP/3 through the fabric. It uses one
// connection and opens another one after a GOAWAY.
type Caller struct {
	t         testing.TB
	service   string
	ip        netip.Addr
	transport *http3.Transport
	// conn is the latest connection.
	conn atomic.Pointer[quic.Conn]
}

// Response is a response with its complete body.
type Response struct {
	Status  int
	Outcome string
	Reason  string
	Target  string
	Header  http.Header
	Body    []byte
}

// NewCaller returns a caller with its own source address.
func (s *Service) NewCaller() *Caller {
	s.cluster.t.Helper()
	return s.NewCallerAs(s.Name)
}

// NewCallerAs returns a caller that connects to s but expects the certificate
// of the named service.
func (s *Service) NewCallerAs(name string) *Caller {
	c := s.cluster
	c.t.Helper()
	authority, err := os.ReadFile(s.caller.Authority)
	c.must(err)
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(authority)
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, 0)))
	c.must(err)
	transport := &quic.Transport{Conn: conn}
	caller := &Caller{t: c.t, service: name, ip: c.ip}
	caller.transport = &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: roots, ServerName: name},
		QUICConfig:      &quic.Config{KeepAlivePeriod: keepAlive},
		Dial: func(ctx context.Context, _ string, t *tls.Config, q *quic.Config) (*quic.Conn, error) {
			conn, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(s.Fabric.Addr()), t, q)
			caller.conn.Store(conn)
			return conn, err
		},
	}
	c.t.Cleanup(func() {
		caller.transport.Close()
		transport.Close()
		conn.Close()
	})
	return caller
}

// Do sends a request and reads the complete response.
func (c *Caller) Do(ctx context.Context, method, path string, header http.Header, body []byte) (*Response, error) {
	resp, err := c.open(ctx, method, path, header, body)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	return &Response{
		Status:  resp.StatusCode,
		Outcome: resp.Header.Get(HeaderOutcome),
		Reason:  resp.Header.Get(HeaderReason),
		Target:  resp.Header.Get(HeaderTarget),
		Header:  resp.Header,
		Body:    content,
	}, nil
}

func (c *Caller) open(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "https://"+c.service+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if header != nil {
		req.Header = header
	}
	return c.transport.RoundTrip(req)
}

// MustDo calls Do with a timeout and fails the test on an error.
func (c *Caller) MustDo(method, path string, header http.Header, body []byte) *Response {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	response, err := c.Do(ctx, method, path, header, body)
	if err != nil {
		c.t.Fatalf("%s %s of %s: %v", method, path, c.service, err)
	}
	return response
}

// Echo requests a response with the given text.
func (c *Caller) Echo(text string) *Response {
	c.t.Helper()
	return c.MustDo(http.MethodGet, "/echo?text="+url.QueryEscape(text), nil, nil)
}

// RunPath returns the path of a run that takes the given time.
func RunPath(duration time.Duration) string {
	return "/run?ms=" + strconv.FormatInt(duration.Milliseconds(), 10)
}

// KeyHeader returns the header of a request that must not run twice.
func KeyHeader(key string) http.Header {
	header := make(http.Header)
	header.Set(HeaderKey, key)
	return header
}
