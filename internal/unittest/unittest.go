// Package unittest is what the unit tests of several packages share: a wait for a
// condition, the look-up of a counter, credentials in memory and on disk, and data
// secrets.
//
// It imports little, so that the packages which processtest imports can use it in
// their own tests.
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
	// Timeout bounds every wait for what must come, however busy the machine
	// is. It measures nothing: no test passes by it.
	Timeout = 2 * time.Minute

	pollEvery = 5 * time.Millisecond
)

// Failer is a testing.TB or a *rapid.T.
type Failer interface {
	Helper()
	Fatal(args ...any)
}

// Must fails the test on an error. Without one it costs a benchmark nothing.
func Must(t Failer, err error) {
	if err != nil {
		t.Helper()
		t.Fatal(err)
	}
}

// Eventually polls the condition until it holds and fails the test when it
// never does.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	if !Poll(condition) {
		t.Fatalf("never came: %s", what)
	}
}

// Poll reports whether the condition came to hold. Goroutines besides the test's
// own use it in place of Eventually.
func Poll(condition func() bool) bool {
	for end := time.Now().Add(Timeout); !condition(); time.Sleep(pollEvery) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// Counter returns the sum of a counter over the tags that hold the reason, or
// over all of them if it is empty.
func Counter(scope tally.TestScope, name, reason string) int64 {
	sum := int64(0)
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == name && (reason == "" || c.Tags()["reason"] == reason) {
			sum += c.Value()
		}
	}
	return sum
}

// Authority signs certificates of processes in memory.
type Authority struct {
	*keys.Authority
	t testing.TB
}

// NewAuthority makes an authority.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	authority, err := keys.NewAuthority(time.Now(), time.Hour)
	Must(t, err)
	return &Authority{Authority: authority, t: t}
}

// Pair issues a certificate that is valid for an hour from a time on.
func (a *Authority) Pair(id keys.Identity, from time.Time) *keys.Pair {
	a.t.Helper()
	pair, err := a.IssueProcess(id, nil, from, time.Hour)
	Must(a.t, err)
	return pair
}

// Credentials are those of a process that trusts this authority alone.
func (a *Authority) Credentials(id keys.Identity) *keys.Credentials {
	a.t.Helper()
	credentials, err := keys.InMemory(a.CertificatePEM(), a.Pair(id, time.Now()), nil)
	Must(a.t, err)
	return credentials
}

// KeyDir is a folder of keys on the disk, as an operator has it.
type KeyDir struct {
	dir string
	t   testing.TB
}

// NewKeyFolder makes a folder with an authority and a data secret.
func NewKeyFolder(t testing.TB) *KeyDir {
	t.Helper()
	f := &KeyDir{dir: t.TempDir(), t: t}
	Must(t, keys.InitAuthority(f.dir))
	return f
}

// Issue writes a certificate for a process on loopback.
func (f *KeyDir) Issue(role keys.Role, name, service string) keys.Files {
	f.t.Helper()
	loopback := []netip.Addr{netip.MustParseAddr("127.0.0.1")}
	files, err := keys.Issue(f.dir, role, name, service, loopback, time.Hour)
	Must(f.t, err)
	return files
}

// Credentials issues a certificate and loads it.
func (f *KeyDir) Credentials(role keys.Role, name, service string) *keys.Credentials {
	f.t.Helper()
	credentials, err := keys.Load(f.Issue(role, name, service))
	Must(f.t, err)
	return credentials
}

// Secret is a data secret whose key is told by the fill.
func Secret(id, fill byte) connid.Secret {
	s := connid.Secret{ID: id}
	for i := range s.Key {
		s.Key[i] = fill + byte(i)
	}
	return s
}
