// Package unittest has helpers shared by the unit tests of several packages: waiting for a
// condition, reading counters, creating credentials and data secrets.
//
// It has few imports, so that packages imported by processtest can use it in their tests.
package unittest

import (
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

const (
	// Timeout bounds every wait for an expected condition. It is long enough for a loaded
	// machine.
	Timeout = 2 * time.Minute

	pollInterval = 5 * time.Millisecond
)

// Failer is a testing.TB or a *rapid.T.
type Failer interface {
	Helper()
	Fatal(args ...any)
}

// Must fails the test on an error. It is cheap enough for benchmarks.
func Must(t Failer, err error) {
	if err != nil {
		t.Helper()
		t.Fatal(err)
	}
}

// Eventually polls the condition and fails the test if it does not become true within
// Timeout.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	if !Poll(condition) {
		t.Fatalf("timeout waiting for: %s", what)
	}
}

// Poll polls the condition and reports whether it became true within Timeout. Unlike
// Eventually it can be called from any goroutine.
func Poll(condition func() bool) bool {
	for end := time.Now().Add(Timeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// Counter returns the sum of a counter over all tags, or over those with the given reason if
// it is not empty.
func Counter(scope tally.TestScope, name, reason string) int64 {
	sum := int64(0)
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == name && (reason == "" || c.Tags()["reason"] == reason) {
			sum += c.Value()
		}
	}
	return sum
}

// Authority issues certificates in memory.
type Authority struct {
	*keys.Authority
	t testing.TB
}

// NewAuthority creates an authority that is valid for an hour.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	authority, err := keys.NewAuthority(time.Now(), time.Hour)
	Must(t, err)
	return &Authority{Authority: authority, t: t}
}

// KeyPair issues a certificate that is valid for an hour after from.
func (a *Authority) KeyPair(id keys.Identity, from time.Time) *keys.KeyPair {
	a.t.Helper()
	pair, err := a.IssueProcess(id, nil, from, time.Hour)
	Must(a.t, err)
	return pair
}

// Credentials returns credentials for id that trust only this authority.
func (a *Authority) Credentials(id keys.Identity) *keys.Credentials {
	a.t.Helper()
	credentials, err := keys.InMemory(a.CertificatePEM(), a.KeyPair(id, time.Now()), nil)
	Must(a.t, err)
	return credentials
}

// KeyDir is a key directory on disk.
type KeyDir struct {
	dir string
	t   testing.TB
}

// NewKeyDir creates a directory with an authority and a data secret.
func NewKeyDir(t testing.TB) *KeyDir {
	t.Helper()
	d := &KeyDir{dir: t.TempDir(), t: t}
	Must(t, keys.InitAuthority(d.dir))
	return d
}

// Issue writes a certificate for a process on loopback.
func (d *KeyDir) Issue(role keys.Role, name, service string) keys.Files {
	d.t.Helper()
	loopback := []netip.Addr{netip.MustParseAddr("127.0.0.1")}
	files, err := keys.Issue(d.dir, role, name, service, loopback, time.Hour)
	Must(d.t, err)
	return files
}

// Credentials issues a certificate and loads it.
func (d *KeyDir) Credentials(role keys.Role, name, service string) *keys.Credentials {
	d.t.Helper()
	credentials, err := keys.Load(d.Issue(role, name, service))
	Must(d.t, err)
	return credentials
}

// Secret returns a data secret whose key bytes count up from fill.
func Secret(id, fill byte) connid.Secret {
	s := connid.Secret{ID: id}
	for i := range s.Key {
		s.Key[i] = fill + byte(i)
	}
	return s
}
