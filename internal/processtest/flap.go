package processtest

import "context"

// Flap announces the target in place of its agent, which has ended, and lets
// it turn ill and well as often as that, as fast as a control host takes it.
func (t *Target) Flap(turns int) {
	c := t.service.cluster
	c.t.Helper()
	client := c.client(t.settings.Keys, t.settings.Control.Addresses)
	defer client.Close()
	announcer := t.service.announcer(client, t.Name, t.FrameAddr.String())
	defer announcer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	select {
	case <-announcer.Registered():
	case <-ctx.Done():
		c.t.Fatal("the flapping target is not registered")
	}
	status := serving
	for range turns {
		c.must(announcer.WaitAnnounced(ctx))
		status.Ill = !status.Ill
		announcer.Update(status)
	}
	c.must(announcer.WaitAnnounced(ctx))
}
