package processtest

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/loopback"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

// serving is the status of a target that accepts flows.
var serving = subscriber.Status{State: controlpb.TargetState_TARGET_STATE_SERVING, Slots: 1}

// client returns a link client with the given keys.
func (c *Cluster) client(k *settingspb.Keys, control []string) *link.Client {
	c.t.Helper()
	creds, err := keys.FromSettings(k)
	c.must(err)
	return link.NewClient(control, creds, link.ClientOptions{})
}

// announcer announces a target from the test process and does not wait.
func (s *Service) announcer(client *link.Client, target, address string) *subscriber.Announcer {
	return subscriber.StartAnnouncer(subscriber.AnnouncerOptions{
		Client: client, Service: s.Name, Target: target, Process: []byte("fake process of " + target),
		FailureDomain: target, Address: address, Started: time.Now(), Status: serving,
	})
}

// AnnounceFakeTargets announces targets without an agent or a backend server
// until the end of the test, over one link. It returns when all are announced.
func (s *Service) AnnounceFakeTargets(count int) {
	c := s.cluster
	c.t.Helper()
	s.fakeTargets++
	name := fmt.Sprintf("%s-fake-%d", s.Name, s.fakeTargets)
	client := c.client(c.issue(keys.RoleAgent, name, s.Name).Settings(), c.allLinkAddresses())
	c.t.Cleanup(client.Close)
	address := loopback.Address(c.t, loopback.Host(c.t)).String()
	announcers := make([]*subscriber.Announcer, count)
	for i := range announcers {
		announcers[i] = s.announcer(client, fmt.Sprint(name, "-", i), address)
	}
	c.t.Cleanup(func() {
		var closing conc.WaitGroup
		for _, a := range announcers {
			closing.Go(a.Close)
		}
		closing.Wait()
	})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for _, a := range announcers {
		c.must(a.WaitAnnounced(ctx))
	}
}

// StartSubscribers subscribes this many clients with keys of entry hosts until
// the end of the test.
func (c *Cluster) StartSubscribers(count int) {
	c.t.Helper()
	for i := range count {
		name := fmt.Sprint("subscriber-", i)
		client := c.client(c.issue(keys.RoleEntry, name, "").Settings(), c.allLinkAddresses())
		c.t.Cleanup(client.Close)
		c.t.Cleanup(subscriber.Start(subscriber.Options{Client: client}).Close)
	}
}
