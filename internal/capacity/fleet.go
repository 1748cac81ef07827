package capacity

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

// member is one subscriber with a link of its own, as an entry host has.
type member struct {
	client *link.Client
	sub    *subscriber.Subscriber
	// version is the newest one in force.
	version atomic.Uint64

	mu sync.Mutex
	// since is when version came into force.
	since time.Time
}

func (m *member) onView(v *subscriber.View) {
	version := v.Config.GetVersion()
	if version <= m.version.Load() {
		return
	}
	m.mu.Lock()
	m.since = time.Now()
	m.mu.Unlock()
	m.version.Store(version)
}

func (m *member) inForceAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.since
}

// fleet is a growing number of subscribers that this process plays.
type fleet struct {
	addresses []string
	creds     *keys.Credentials
	services  []uint32
	members   []*member
}

// newFleet prepares subscribers to all services, or to those numbered.
func (d *deployment) newFleet(services ...uint32) (*fleet, error) {
	creds, err := d.credentials(keys.RoleEntry, "fleet", "")
	if err != nil {
		return nil, err
	}
	f := &fleet{addresses: d.links(), creds: creds, services: services}
	d.lab.onClose(f.close)
	return f, nil
}

// grow adds subscribers until there are n, and waits until each acts on the
// version.
func (f *fleet) grow(ctx context.Context, n int, version uint64) error {
	for len(f.members) < n {
		m := &member{client: link.NewClient(f.addresses, f.creds, link.ClientOptions{})}
		m.sub = subscriber.Start(subscriber.Options{Client: m.client, OnView: m.onView, Services: f.services})
		f.members = append(f.members, m)
	}
	return await(ctx, "subscribers with the version", func() bool { return f.have(version) })
}

// have reports whether the version, or a newer one, is in force on all.
func (f *fleet) have(version uint64) bool {
	for _, m := range f.members {
		if m.version.Load() < version {
			return false
		}
	}
	return true
}

// bytes returns the UDP payload that the links carried, both ways.
func (f *fleet) bytes() float64 {
	var sum uint64
	for _, m := range f.members {
		sent, received := m.client.Transferred()
		sum += sent + received
	}
	return float64(sum)
}

func (f *fleet) close() {
	p := pool.New()
	for _, m := range f.members {
		p.Go(func() {
			m.sub.Close()
			m.client.Close()
		})
	}
	p.Wait()
}
