package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
)

const (
	// announcedServices is the number of services of the announced targets. An
	// agent belongs to one service, so each service has its own link.
	announcedServices = 100
	// announceWorkers limits the announcements at a time.
	announceWorkers = 16
	announceTimeout = 5 * time.Second
)

// announcerPool announces targets as agents do, with one link for each service.
type announcerPool struct {
	links    []*link.Client
	services []uint32
	period   time.Duration
	cancel   context.CancelFunc
	wg       conc.WaitGroup

	mu      sync.Mutex
	records []*controlpb.TargetRecord
	// failed counts announcements that failed or were refused.
	failed int
}

// newAnnouncerPool connects the links and renews all leases periodically until
// the testbed is closed.
func (d *deployment) newAnnouncerPool(ctx context.Context, period time.Duration) (*announcerPool, error) {
	current, _, err := d.client.Config(ctx, 0)
	if err != nil {
		return nil, err
	}
	ap := &announcerPool{period: period}
	ctx, ap.cancel = context.WithCancel(ctx)
	for _, s := range current.GetServices()[:announcedServices] {
		creds, err := d.credentials(keys.RoleAgent, "announcer-"+s.GetName(), s.GetName())
		if err != nil {
			ap.cancel()
			return nil, err
		}
		ap.links = append(ap.links, link.NewClient(d.links(), creds, link.ClientOptions{}))
		ap.services = append(ap.services, s.GetNumber())
	}
	ap.wg.Go(func() { ap.run(ctx) })
	d.testbed.onClose(ap.close)
	return ap, nil
}

func (ap *announcerPool) close() {
	ap.cancel()
	ap.wg.Wait()
	for _, c := range ap.links {
		c.Close()
	}
}

// bytes returns the UDP payload sent and received on all links.
func (ap *announcerPool) bytes() float64 {
	var sum uint64
	for _, c := range ap.links {
		sent, received := c.Transferred()
		sum += sent + received
	}
	return float64(sum)
}

func (ap *announcerPool) run(ctx context.Context) {
	ticker := time.NewTicker(ap.period)
	defer ticker.Stop()
	for {
		ap.announceAll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// growTo adds targets until there are n.
func (ap *announcerPool) growTo(n int) {
	ap.mu.Lock()
	defer ap.mu.Unlock()
	for i := len(ap.records); i < n; i++ {
		ap.records = append(ap.records, targetRecord(i+1, int(ap.services[i%announcedServices])))
	}
}

func (ap *announcerPool) announceAll(ctx context.Context) {
	ap.mu.Lock()
	records := ap.records
	ap.mu.Unlock()
	p := pool.New().WithMaxGoroutines(announceWorkers)
	for i, record := range records {
		p.Go(func() { ap.announce(ctx, ap.links[i%announcedServices], record) })
	}
	p.Wait()
}

func (ap *announcerPool) announce(ctx context.Context, c *link.Client, record *controlpb.TargetRecord) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	res, err := c.Call(ctx, &controlpb.Request{Body: &controlpb.Request_Announce{
		Announce: &controlpb.Announce{Record: record, Capacity: &controlpb.CapacityState{}},
	}})
	if err != nil || res.GetAnnounce() == nil || res.GetAnnounce().GetRefusal() != "" {
		ap.mu.Lock()
		ap.failed++
		ap.mu.Unlock()
	}
}

// awaitTargets waits until every control host knows n targets.
func (d *deployment) awaitTargets(ctx context.Context, n int) error {
	return await(ctx, fmt.Sprintf("%d targets on every control host", n), func() bool {
		for _, host := range d.client.Status(ctx) {
			if host.Err != nil || host.Status.Targets < n {
				return false
			}
		}
		return true
	})
}

// putAndActivate puts services and waits until the version is active everywhere.
func (d *deployment) putAndActivate(ctx context.Context, services ...*configpb.Service) error {
	if err := d.putServices(ctx, services...); err != nil {
		return err
	}
	return d.awaitActive(ctx)
}

// awaitActive waits until every subscriber uses the latest version.
func (d *deployment) awaitActive(ctx context.Context) error {
	return await(ctx, "active version on all subscribers", func() bool {
		for _, host := range d.client.Status(ctx) {
			if host.Err != nil || host.Status.Version < d.version || len(host.Status.LaggingSubscribers) > 0 {
				return false
			}
		}
		return true
	})
}
