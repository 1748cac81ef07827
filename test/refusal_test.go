package test

import (
	"context"
	"net/http"
	"testing"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestCallersWithoutTargetAreRefusedAtOnce opens flows to services that have no target yet
// or lost all of theirs. Entry hosts refuse the callers instead of letting them time out.
func TestCallersWithoutTargetAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	d := &deployment{Cluster: processtest.New(t)}
	d.controls = d.StartControls(1)
	d.lodgement = d.NewService("lodgement")
	d.certificates = d.NewService("certificates")
	d.Patch(d.lodgement.PutSection(), d.certificates.PutSection())
	d.entries = append(d.entries, d.StartEntry(), d.StartEntry())
	d.certificates.StartTarget("a")
	watch := d.certificates.NewCaller().Watch()

	waitRefusals(t, d.lodgement) // no target yet
	first := d.lodgement.StartTarget("a")
	checkEcho(t, d.lodgement, waitServedCaller(t, d.lodgement), "the first target")

	first.Agent.Kill()
	first.Backend.Kill()
	waitRefusals(t, d.lodgement) // its lease has expired
	watch.WaitEvents()

	d.lodgement.StartTarget("b")
	checkEcho(t, d.lodgement, waitServedCaller(t, d.lodgement), "served again")
	watch.WaitEvents()
	processtest.Eventually(t, "refusals are counted", func() bool {
		sent, noTarget := 0.0, 0.0
		for _, e := range d.entries {
			sent += e.CounterSum("entry_connections_refused")
			noTarget += e.Refused("no_target")
		}
		return sent > 0 && noTarget >= sent
	})
}

// waitRefusals waits until a caller is refused. Entry hosts drop packets silently
// until their directory is complete and lost leases have expired. From then on every
// caller is refused.
func waitRefusals(t *testing.T, s *processtest.Service) {
	t.Helper()
	processtest.Eventually(t, "callers are refused", func() bool { return isRefused(firstRequest(s)) })
	for range 4 {
		if err := firstRequest(s); !isRefused(err) {
			t.Fatalf("a caller of a service without target got %v", err)
		}
	}
}

// firstRequest opens a flow for one request.
func firstRequest(s *processtest.Service) error {
	_, err := s.NewCaller().Do(context.Background(), http.MethodGet, "/echo?text=x", nil, nil)
	return err
}

func isRefused(err error) bool {
	var fault *quic.TransportError
	return errors.As(err, &fault) && fault.Remote && fault.ErrorCode == quic.ConnectionRefused
}

// waitServedCaller waits until entry hosts know a target and returns a caller that it
// serves.
func waitServedCaller(t *testing.T, s *processtest.Service) *processtest.Caller {
	t.Helper()
	var caller *processtest.Caller
	processtest.Eventually(t, "callers are served", func() bool {
		caller = s.NewCaller()
		_, err := caller.Do(context.Background(), http.MethodGet, "/echo?text=x", nil, nil)
		return err == nil
	})
	return caller
}
