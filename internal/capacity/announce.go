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
	// announcedServices is how many services the announced targets belong to.
	// An agent speaks for one service, so each has a link of its own.
	announcedServices = 100
	// announceWorkers announce at a time, over each link one.
	announceWorkers = 16
	announceTimeout = 5 * time.Second
)

// herd announces targets as their agents would, with fewer links.
type herd struct {
	links   []*link.Client
	numbers []uint32
	period  time.Duration
	cancel  context.CancelFunc
	wg      conc.WaitGroup

	mu      sync.Mutex
	records []*controlpb.TargetRecord
	// failed counts announcements without an answer.
	failed int
}

// newHerd links up and renews all leases at each period until the lab closes.
func (d *deployment) newHerd(ctx context.Context, period time.Duration) (*herd, error) {
	current, _, err := d.client.Config(ctx, 0)
	if err != nil {
		return nil, err
	}
	h := &herd{period: period}
	ctx, h.cancel = context.WithCancel(ctx)
	for _, s := range current.GetServices()[:announcedServices] {
		creds, err := d.credentials(keys.RoleAgent, "herd-"+s.GetName(), s.GetName())
		if err != nil {
			h.cancel()
			return nil, err
		}
		h.links = append(h.links, link.NewClient(d.links(), creds, link.ClientOptions{}))
		h.numbers = append(h.numbers, s.GetNumber())
	}
	h.wg.Go(func() { h.run(ctx) })
	d.lab.onClose(h.close)
	return h, nil
}

func (h *herd) close() {
	h.cancel()
	h.wg.Wait()
	for _, c := range h.links {
		c.Close()
	}
}

// bytes returns the UDP payload that the links carried, both ways.
func (h *herd) bytes() float64 {
	var sum uint64
	for _, c := range h.links {
		sent, received := c.Transferred()
		sum += sent + received
	}
	return float64(sum)
}

func (h *herd) run(ctx context.Context) {
	ticker := time.NewTicker(h.period)
	defer ticker.Stop()
	for {
		h.announceAll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// grow makes the herd announce n targets.
func (h *herd) grow(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.records); i < n; i++ {
		h.records = append(h.records, recordOf(i+1, int(h.numbers[i%announcedServices])))
	}
}

func (h *herd) announceAll(ctx context.Context) {
	h.mu.Lock()
	records := h.records
	h.mu.Unlock()
	p := pool.New().WithMaxGoroutines(announceWorkers)
	for i, record := range records {
		p.Go(func() { h.announce(ctx, h.links[i%announcedServices], record) })
	}
	p.Wait()
}

func (h *herd) announce(ctx context.Context, c *link.Client, record *controlpb.TargetRecord) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	res, err := c.Call(ctx, &controlpb.Request{Body: &controlpb.Request_Announce{
		Announce: &controlpb.Announce{Record: record},
	}})
	if err != nil || res.GetAnnounce() == nil || res.GetAnnounce().GetRefusal() != "" {
		h.mu.Lock()
		h.failed++
		h.mu.Unlock()
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

// putInForce puts services and waits until the version is in force.
func (d *deployment) putInForce(ctx context.Context, services ...*configpb.Service) error {
	if err := d.put(ctx, services...); err != nil {
		return err
	}
	return d.awaitInForce(ctx)
}

// awaitInForce waits until no subscriber of any control host lags behind.
func (d *deployment) awaitInForce(ctx context.Context) error {
	return await(ctx, "the version in force everywhere", func() bool {
		for _, host := range d.client.Status(ctx) {
			if host.Err != nil || host.Status.Version < d.version || len(host.Status.LaggingSubscribers) > 0 {
				return false
			}
		}
		return true
	})
}
