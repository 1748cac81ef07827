package processtest

import (
	"context"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

// Flap announces the target in place of its agent, which has ended, and lets
// it turn ill and well as often as that, as fast as a control host takes it.
func (t *Target) Flap(turns int) {
	c := t.service.cluster
	c.t.Helper()
	creds, err := keys.FromSettings(t.settings.Keys)
	c.must(err)
	client := link.NewClient(t.settings.Control.Addresses, creds, link.ClientOptions{})
	defer client.Close()
	status := subscriber.Status{State: controlpb.TargetState_TARGET_STATE_SERVING, Slots: 1}
	announcer := subscriber.StartAnnouncer(subscriber.AnnouncerOptions{
		Client: client, Service: t.service.Name, Target: t.Name, Process: []byte("flapping process"),
		FailureDomain: t.Name, Address: t.Frames.String(), Started: time.Now(), Status: status,
	})
	defer announcer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	select {
	case <-announcer.Registered():
	case <-ctx.Done():
		c.t.Fatal("the flapping target is not registered")
	}
	for range turns {
		c.must(announcer.AwaitAnnounced(ctx))
		status.Ill = !status.Ill
		announcer.Update(status)
	}
	c.must(announcer.AwaitAnnounced(ctx))
}
