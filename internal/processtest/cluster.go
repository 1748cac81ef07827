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

	// cpusPerCluster limits how many clusters run at a time.
	cpusPerCluster = 4
)

// clusterSlots is a semaphore for running clusters.
var clusterSlots = make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/cpusPerCluster))

// certificate describes the holder of an issued certificate.
type certificate struct {
	role          keys.Role
	name, service string
}

// Cluster is a deployment of real processes.
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
	// issued holds each issued certificate once.
	issued []certificate
	// grantGroups and maxLinks are settings of the control hosts.
	grantGroups, maxLinks uint32

	// version is the latest one created by Patch, patches the number of calls.
	version uint64
	patches int
}

// New creates a cluster with keys and no processes. It waits for a free slot.
// Clusters share no state, so their tests may run in parallel.
func New(t testing.TB) *Cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
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
	if id := (certificate{role, name, service}); !slices.Contains(c.issued, id) {
		c.issued = append(c.issued, id)
	}
	return files
}

// metricsSettings returns settings of a metrics listener on a free port.
func metricsSettings(ip netip.Addr) *settingspb.Metrics {
	return &settingspb.Metrics{Listen: netip.AddrPortFrom(ip, 0).String()}
}

func hostSettings(name, domain string) *settingspb.Host {
	return &settingspb.Host{Name: name, FailureDomain: domain}
}

// path returns the path of a file in the directory of the cluster.
func (c *Cluster) path(format string, args ...any) string {
	return filepath.Join(c.dir, fmt.Sprintf(format, args...))
}

// newRand returns a separate generator, so that concurrent relays have
// independent sequences.
func (c *Cluster) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(c.random.Uint64(), c.random.Uint64()))
}
