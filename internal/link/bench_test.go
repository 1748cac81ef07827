package link

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

// processorTime returns the processor time of this process, which holds both ends.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	is.New(b).NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func benchmarkPair(b *testing.B) (*Server, *Client) {
	b.Helper()
	is := is.New(b)
	a, err := keys.NewAuthority(time.Now(), time.Hour)
	is.NoErr(err)
	creds := func(id keys.Identity) *keys.Credentials {
		pair, err := a.IssueProcess(id, nil, time.Now(), time.Hour)
		is.NoErr(err)
		c, err := keys.InMemory(a.CertificatePEM(), pair, nil)
		is.NoErr(err)
		return c
	}
	s, err := Listen(anyPort, creds(keys.Identity{Role: keys.RoleControl, Name: "c1"}), newFakeHandler(),
		ServerOptions{AdmitPerSecond: 1e6, AdmitBurst: 1e6})
	is.NoErr(err)
	b.Cleanup(func() { _ = s.Close() })
	c := NewClient([]string{s.Addr().String()}, creds(keys.Identity{Role: keys.RoleEntry, Name: "e1"}),
		ClientOptions{LocalIP: loopback})
	b.Cleanup(c.Close)
	return s, c
}

// BenchmarkConnect measures a handshake with a first heartbeat and the close.
func BenchmarkConnect(b *testing.B) {
	is := is.New(b)
	s, c := benchmarkPair(b)
	before := processorTime(b)
	for b.Loop() {
		conn, err := c.dial(context.Background(), s.Addr().String(), DefaultDialTimeout)
		is.NoErr(err)
		conn.close(codeNone)
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
}

// BenchmarkCall measures a short request and its response.
func BenchmarkCall(b *testing.B) {
	is := is.New(b)
	_, c := benchmarkPair(b)
	before := processorTime(b)
	for b.Loop() {
		_, err := c.Call(context.Background(), versionQuery())
		is.NoErr(err)
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
}
