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

// poolSubscriber is a subscriber with its own link, as in an entry host.
type poolSubscriber struct {
	client *link.Client
	sub    *subscriber.Subscriber
	// version is the active one.
	version atomic.Uint64

	mu sync.Mutex
	// activatedAt is the time of activation of version.
	activatedAt time.Time
}

func (m *poolSubscriber) onView(v *subscriber.View) {
	version := v.Config.GetVersion()
	if version <= m.version.Load() {
		return
	}
	m.mu.Lock()
	m.activatedAt = time.Now()
	m.mu.Unlock()
	m.version.Store(version)
}

func (m *poolSubscriber) activeSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.activatedAt
}

// subscriberPool holds subscribers that run in this process.
type subscriberPool struct {
	addresses   []string
	creds       *keys.Credentials
	services    []uint32
	subscribers []*poolSubscriber
}

// newSubscriberPool returns an empty pool for subscribers to the given services,
// or to all if none is given.
func (d *deployment) newSubscriberPool(services ...uint32) (*subscriberPool, error) {
	creds, err := d.credentials(keys.RoleEntry, "subscriber-pool", "")
	if err != nil {
		return nil, err
	}
	sp := &subscriberPool{addresses: d.links(), creds: creds, services: services}
	d.testbed.onClose(sp.close)
	return sp, nil
}

// growTo adds subscribers until there are n and waits until the version is active
// on all.
func (sp *subscriberPool) growTo(ctx context.Context, n int, version uint64) error {
	for len(sp.subscribers) < n {
		m := &poolSubscriber{client: link.NewClient(sp.addresses, sp.creds, link.ClientOptions{})}
		m.sub = subscriber.Start(subscriber.Options{Client: m.client, OnView: m.onView, Services: sp.services})
		sp.subscribers = append(sp.subscribers, m)
	}
	return await(ctx, "active version on all subscribers", func() bool { return sp.allHave(version) })
}

// allHave reports whether the version or a newer one is active on all subscribers.
func (sp *subscriberPool) allHave(version uint64) bool {
	for _, m := range sp.subscribers {
		if m.version.Load() < version {
			return false
		}
	}
	return true
}

// bytes returns the UDP payload sent and received on all links.
func (sp *subscriberPool) bytes() float64 {
	var sum uint64
	for _, m := range sp.subscribers {
		sent, received := m.client.Transferred()
		sum += sent + received
	}
	return float64(sum)
}

func (sp *subscriberPool) close() {
	p := pool.New()
	for _, m := range sp.subscribers {
		p.Go(func() {
			m.sub.Close()
			m.client.Close()
		})
	}
	p.Wait()
}
