package test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// attempt is one patch submitted to a leader that is then killed.
type attempt struct {
	d      *deployment
	leader *processtest.Control
	others []*processtest.Control
	// address is the relay through which the operator reaches the leader.
	address *faultproxy.TCPRelay
	// logSizes has the size of each host's log before the patch.
	logSizes map[*processtest.Control]int64
}

// hasWritten reports whether the host's log has grown since before the patch.
func (a *attempt) hasWritten(host *processtest.Control) bool {
	return host.ConfigLogBytes() > a.logSizes[host]
}

// crashPoint is the progress of a patch when its leader is killed.
type crashPoint struct {
	// hold keeps the patch from further progress.
	hold func(*attempt)
	// reached reports whether the patch has come this far.
	reached func(*attempt) bool
}

// crashPoints lists the steps of a patch. Written data survives kill -9, so that write
// and sync can't be told apart here: the crash tests of the packages wal and replica
// do that.
var crashPoints = map[string]crashPoint{
	"request lost before the leader": {
		hold: func(a *attempt) {
			a.address.SetFaults(faultproxy.ToHost, faultproxy.Faults{Cut: true})
		},
		reached: func(a *attempt) bool { return true },
	},
	"written by the leader alone": {
		hold: func(a *attempt) {
			for _, host := range a.others {
				cutPeerLinks(host, faultproxy.ToHost)
			}
		},
		reached: func(a *attempt) bool { return a.hasWritten(a.leader) },
	},
	"written by the leader and one follower, not acknowledged": {
		hold: func(a *attempt) {
			cutPeerLinks(a.others[0], faultproxy.ToHost)
			cutPeerLinks(a.leader, faultproxy.ToHost)
		},
		reached: func(a *attempt) bool { return a.hasWritten(a.leader) && a.hasWritten(a.others[1]) },
	},
	"written by all, not acknowledged": {
		hold: func(a *attempt) { cutPeerLinks(a.leader, faultproxy.ToHost) },
		reached: func(a *attempt) bool {
			return a.hasWritten(a.leader) && a.hasWritten(a.others[0]) && a.hasWritten(a.others[1])
		},
	},
	"applied, no reply": {
		hold: func(a *attempt) {
			a.address.SetFaults(faultproxy.ToCaller, faultproxy.Faults{Cut: true})
		},
		reached: func(a *attempt) bool {
			s := a.leader.Status()
			return s != nil && s.Version == 2
		},
	},
}

// TestLeaderKilledAtEachStepOfPatch kills the leader at each step of a patch. Resent
// to the other hosts, the patch becomes version 2 exactly once, and every host returns
// that outcome.
func TestLeaderKilledAtEachStepOfPatch(t *testing.T) {
	for name, p := range crashPoints {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := newAttempt(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			client := a.d.Client(a.address.Addr())
			_, _, err := client.Config(ctx, 0) // connects before the fault
			is.NoErr(err)
			p.hold(a)
			for _, host := range a.d.controls {
				a.logSizes[host] = host.ConfigLogBytes()
			}
			var first error
			var call conc.WaitGroup
			call.Go(func() { _, first = client.Submit(ctx, putPatch("held", 1, a.d.lodgement)) })
			processtest.Eventually(t, name, func() bool { return p.reached(a) })
			a.leader.Kill()
			cancel()
			call.Wait()
			is.True(first != nil) // the reply is lost
			for _, host := range a.d.controls {
				host.PeerRelay.Heal()
			}
			a.checkOnce(t)
		})
	}
}

func newAttempt(t *testing.T) *attempt {
	t.Helper()
	d := deployRelayed(t).withAgent()
	leader := d.Leader()
	return &attempt{
		d: d, leader: leader, others: leader.Others(),
		address:  leader.OperatorRelay(),
		logSizes: map[*processtest.Control]int64{},
	}
}

// checkOnce resends the patch, restarts the leader and expects the same outcome from
// every host.
func (a *attempt) checkOnce(t *testing.T) {
	t.Helper()
	is := is.New(t)
	others := a.d.Client(a.others[0].Operator, a.others[1].Operator)
	again := func() (out *configpb.Outcome) {
		processtest.Eventually(t, "a reply with the outcome", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			var err error
			out, err = others.Submit(ctx, putPatch("held", 1, a.d.lodgement))
			return err == nil
		})
		return out
	}
	want := reply{verdict: configpb.Verdict_VERDICT_ACCEPTED, version: 2, patch: "held"}
	is.Equal(replyOf(again()), want)
	a.leader.Launch()
	a.leader.WaitReady()
	is.Equal(replyOf(again()), want)
	for _, host := range a.d.controls {
		o := processtest.Outcome{}
		processtest.Eventually(t, "each host returns the outcome", func() bool {
			o = a.d.Show("held", host.Operator)
			return o.Verdict != processtest.NotApplied && o.Verdict != processtest.Unknown
		})
		is.Equal(o.Version, uint64(2))
	}
	a.d.checkSubscribers(t, 2)
}
