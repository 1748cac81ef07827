package processtest

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/loopback"
)

const (
	seed = 20260101

	keyValidity = 24 * time.Hour

	// coresPerCluster bounds how many deployments run at a time.
	coresPerCluster = 4
)

// room has a place for each deployment that may run.
var room = make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/coresPerCluster))

// identity is whom a certificate was issued to.
type identity struct {
	role          keys.Role
	name, service string
}

// Cluster is one deployment of real processes.
type Cluster struct {
	t        testing.TB
	dir      string
	keyDir   string
	ip       netip.Addr
	random   *rand.Rand
	controls []*Control
	entries  []*Entry
	services []*Service
	operator keys.Files
	// issued are the certificates that were issued, each once.
	issued []identity
	// grantGroups and maxLinks are settings of the control hosts.
	grantGroups, maxLinks uint32

	// version is the newest one that Patch made, of so many patches.
	version uint64
	patches int
}

// New makes the keys of a deployment without any process. It waits while enough
// other deployments of this test process run; deployments share nothing, so
// that their tests may run in parallel.
func New(t testing.TB) *Cluster {
	t.Helper()
	room <- struct{}{}
	t.Cleanup(func() { <-room })
	c := &Cluster{
		t:      t,
		dir:    t.TempDir(),
		ip:     loopback.Host(t),
		random: rand.New(rand.NewPCG(seed, seed)),
	}
	c.keyDir = filepath.Join(c.dir, "keys")
	c.must(keys.InitAuthority(c.keyDir))
	c.operator = c.issue(keys.RoleOperator, "operator", "")
	return c
}

func (c *Cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *Cluster) issue(role keys.Role, name, service string) keys.Files {
	c.t.Helper()
	files, err := keys.Issue(c.keyDir, role, name, service, nil, keyValidity)
	c.must(err)
	if id := (identity{role, name, service}); !slices.Contains(c.issued, id) {
		c.issued = append(c.issued, id)
	}
	return files
}

// metricsSettings open a metrics listener on a free port.
func metricsSettings(ip netip.Addr) *settingspb.Metrics {
	return &settingspb.Metrics{Listen: netip.AddrPortFrom(ip, 0).String()}
}

func hostSettings(name, domain string) *settingspb.Host {
	return &settingspb.Host{Name: name, FailureDomain: domain}
}

// path returns the name of a file in the folder of the deployment.
func (c *Cluster) path(format string, args ...any) string {
	return filepath.Join(c.dir, fmt.Sprintf(format, args...))
}

// newRand returns a generator of its own, so that relays which run at the
// same time do not change each other's sequence.
func (c *Cluster) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(c.random.Uint64(), c.random.Uint64()))
}
