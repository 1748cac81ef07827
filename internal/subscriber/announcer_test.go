package subscriber

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
)

func registered(refusal string) *controlpb.Response {
	reg := &configpb.Registration{ServiceNumber: 1, TargetNumber: 42, Incarnation: 3, Refusal: refusal}
	return &controlpb.Response{Body: &controlpb.Response_Registration{Registration: reg}}
}

func announced(lease time.Duration, refusal string) *controlpb.Response {
	reply := &controlpb.AnnounceReply{LeaseMs: uint32(lease.Milliseconds()), Refusal: refusal}
	return &controlpb.Response{Body: &controlpb.Response_Announce{Announce: reply}}
}

var serving = Status{State: controlpb.TargetState_TARGET_STATE_SERVING, Slots: 4}

func startAnnouncer(t *testing.T, c *link.Client) (*Announcer, tally.TestScope) {
	t.Helper()
	scope := tally.NewTestScope("", nil)
	a := StartAnnouncer(AnnouncerOptions{
		Client:        c,
		Scope:         scope,
		Service:       "lodgement",
		Target:        "t1",
		Process:       []byte("process-identity"),
		FailureDomain: "dugbe",
		Address:       "127.0.0.1:4000",
		Started:       time.Now().Add(-time.Minute),
		Status:        serving,
		CallTimeout:   testTimeout, // must not expire
		RetryMin:      5 * time.Millisecond,
		RetryMax:      20 * time.Millisecond,
		Rand:          rand.New(rand.NewPCG(9, 10)),
	})
	t.Cleanup(a.Close)
	return a, scope
}

func awaitRegistered(t *testing.T, a *Announcer) {
	t.Helper()
	select {
	case <-a.Registered():
	case <-time.After(testTimeout):
		t.Fatal("not registered")
	}
}

func TestRegistrationRetriesAfterLostReply(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newControlHost(configuration(1), true)
	h.register = func(n int) *controlpb.Response {
		switch n {
		case 1:
			return nil // the reply is lost
		case 2:
			return registered("no such service")
		}
		return registered("")
	}
	h.announce = func(int) *controlpb.Response { return announced(time.Hour, "") }
	a, scope := startAnnouncer(t, d.client(d.listen(anyPort, h)))
	awaitRegistered(t, a)
	is.Equal(a.Registration().GetTargetNumber(), uint32(42))
	is.Equal(count(scope, metricAnnounceFailures, "register_failed"), int64(1))
	is.Equal(count(scope, metricAnnounceFailures, "register_refused"), int64(1))
	h.read(func() {
		is.Equal(len(h.registers), 3)
		for _, r := range h.registers {
			is.Equal(string(r.GetProcess()), "process-identity")
		}
	})
}

func TestLeaseIsRenewedAndChangesAreAnnouncedAtOnce(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newControlHost(configuration(1), true)
	lease := 30 * time.Millisecond
	h.register = func(int) *controlpb.Response { return registered("") }
	h.announce = func(int) *controlpb.Response { return announced(lease, "") }
	a, _ := startAnnouncer(t, d.client(d.listen(anyPort, h)))
	renewed := func() (n int) {
		h.read(func() { n = len(h.announces) })
		return n
	}
	eventually(t, "renewals", func() bool { return renewed() >= 5 })
	// From now on only a change is announced, as no renewal is due.
	h.read(func() { lease = time.Hour })
	before := renewed()
	eventually(t, "the long lease", func() bool { return renewed() > before })
	a.Update(serving) // no change
	draining := Status{State: controlpb.TargetState_TARGET_STATE_DRAINING, Slots: 4}
	a.Update(draining)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	is.NoErr(a.WaitAnnounced(ctx))
	h.read(func() {
		first, last := h.announces[0], h.announces[len(h.announces)-1]
		is.Equal(first.GetSequence(), uint64(1))
		is.Equal(first.GetState(), serving.State)
		is.Equal(last.GetSequence(), uint64(2))
		is.Equal(last.GetState(), draining.State)
		is.Equal(last.GetNumber(), uint32(42))
		is.Equal(last.GetIncarnation(), uint32(3))
		is.Equal(last.GetAddress(), "127.0.0.1:4000")
		is.True(last.GetAgeMs() >= 60_000)
	})
}

func TestRefusedAnnouncementIsCountedAndRetried(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newControlHost(configuration(1), true)
	h.register = func(int) *controlpb.Response { return registered("") }
	h.announce = func(n int) *controlpb.Response {
		if n < 3 {
			return announced(0, "directory full")
		}
		return announced(time.Hour, "")
	}
	a, scope := startAnnouncer(t, d.client(d.listen(anyPort, h)))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	is.NoErr(a.WaitAnnounced(ctx))
	is.Equal(count(scope, metricAnnounceFailures, "announce_refused"), int64(2))
}

// A control host may stop before it has replicated a target, so the next one must get
// the announcement at once, not when the lease is due for renewal.
func TestAnnouncesAtOnceAfterReconnect(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	newHost := func() *controlHost {
		h := newControlHost(configuration(1), true)
		h.register = func(int) *controlpb.Response { return registered("") }
		h.announce = func(int) *controlpb.Response { return announced(time.Hour, "") }
		return h
	}
	announcedTo := func(h *controlHost) func() bool {
		return func() (yes bool) {
			h.read(func() { yes = len(h.announces) > 0 })
			return yes
		}
	}
	previous, next := newHost(), newHost()
	server := d.listen(anyPort, previous)
	startAnnouncer(t, d.client(server))
	eventually(t, "announced", announcedTo(previous))
	is.NoErr(server.Close())
	d.listen(server.Addr().String(), next)
	eventually(t, "announced to the next host", announcedTo(next))
}

func TestAnnouncesToRestartedControlHost(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	newHost := func() *controlHost {
		h := newControlHost(configuration(1), true)
		h.register = func(int) *controlpb.Response { return registered("") }
		h.announce = func(int) *controlpb.Response { return announced(30*time.Millisecond, "") }
		return h
	}
	server := d.listen(anyPort, newHost())
	a, _ := startAnnouncer(t, d.client(server))
	awaitRegistered(t, a)
	is.NoErr(server.Close())
	next := newHost()
	d.listen(server.Addr().String(), next)
	eventually(t, "announced again", func() bool {
		var n int
		next.read(func() { n = len(next.announces) })
		return n > 0
	})
}

func TestUnregisterRetriesUntilAccepted(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newControlHost(configuration(1), true)
	h.register = func(int) *controlpb.Response { return registered("") }
	h.announce = func(int) *controlpb.Response { return announced(time.Hour, "") }
	h.unregister = func(n int) *controlpb.Response {
		switch n {
		case 1:
			return nil // the reply is lost
		case 2:
			return &controlpb.Response{Body: &controlpb.Response_Fault{Fault: &controlpb.Fault{
				Kind: controlpb.FaultKind_FAULT_NOT_DONE, Text: "no leader",
			}}}
		}
		return &controlpb.Response{}
	}
	a, _ := startAnnouncer(t, d.client(d.listen(anyPort, h)))
	awaitRegistered(t, a)
	is.NoErr(a.Unregister(t.Context()))
	h.read(func() {
		is.Equal(len(h.unregisters), 3)
		is.Equal(h.unregisters[2].GetNumber(), uint32(42))
		is.Equal(h.unregisters[2].GetIncarnation(), uint32(3))
	})

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	h.set(func() { h.unregister = func(int) *controlpb.Response { return nil } })
	is.True(a.Unregister(ended) != nil) // returns with its context
}

// An agent that restarts beside a running backend server must announce records that count as
// newer than those of its earlier process, or the target leaves the lists although it serves.
func TestRestartedAgentContinuesAfterEarlierRecords(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newControlHost(configuration(1), true)
	newest := uint64(7) // announced by the earlier process
	h.register = func(int) *controlpb.Response { return registered("") }
	h.announce = func(n int) *controlpb.Response {
		reply := &controlpb.AnnounceReply{LeaseMs: uint32(time.Hour.Milliseconds())}
		if sequence := h.announces[n-1].GetSequence(); sequence < newest {
			reply.NewerSequence = newest
		} else {
			newest = sequence
		}
		return &controlpb.Response{Body: &controlpb.Response_Announce{Announce: reply}}
	}
	a, scope := startAnnouncer(t, d.client(d.listen(anyPort, h)))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	is.NoErr(a.WaitAnnounced(ctx))
	is.Equal(count(scope, metricAnnounceFailures, "announce_outdated"), int64(1))
	a.Update(Status{State: controlpb.TargetState_TARGET_STATE_DRAINING, Slots: 4})
	is.NoErr(a.WaitAnnounced(ctx))
	h.read(func() {
		var sequences []uint64
		for _, r := range h.announces {
			sequences = append(sequences, r.GetSequence())
		}
		is.Equal(sequences, []uint64{1, 8, 9})
	})
}
