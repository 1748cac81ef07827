package processtest

import "context"

// Flap announces the target in place of its stopped agent and switches between
// healthy and unhealthy. It waits for each announcement.
func (t *Target) Flap(transitions int) {
	c := t.service.cluster
	c.t.Helper()
	client := c.client(t.settings.Keys, t.settings.Control.Addresses)
	defer client.Close()
	announcer := t.service.announcer(client, t.Name, t.FrameAddr.String())
	defer announcer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	select {
	case <-announcer.Registered():
	case <-ctx.Done():
		c.t.Fatal("target is not registered")
	}
	status := serving
	for range transitions {
		c.must(announcer.WaitAnnounced(ctx))
		status.Ill = !status.Ill
		announcer.Update(status)
	}
	c.must(announcer.WaitAnnounced(ctx))
}
