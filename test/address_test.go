package test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// tryTimeout ends a request that gets no response.
const tryTimeout = time.Second

// TestAddressReassignedToAnotherService moves lodgement's public address to
// certificates while one entry host is cut off from control. No flow may reach the
// wrong service, although the packets of each flow arrive at both entry hosts.
func TestAddressReassignedToAnotherService(t *testing.T) {
	d := deploy(t, 1)
	link := d.controls[0].Relay()
	d.entries[1].RemoveFromFabric()
	lagging := d.StartEntry(link.Addr())
	established := d.lodgement.NewCaller()
	checkEcho(t, d.lodgement, established, "before")

	link.Cut()
	version := d.reassignAddress()
	d.WaitActive(version, d.entries[0].Host)

	for i := range 20 {
		d.checkNotServedBy(t, established, d.certificates, fmt.Sprint("established ", i))
		d.checkNotServedBy(t, d.lodgement.NewCaller(), d.certificates, fmt.Sprint("lodgement ", i))
		d.checkNotServedBy(t, d.lodgement.NewCallerAs(d.certificates.Name), d.lodgement, fmt.Sprint("certificates ", i))
	}
	link.Heal()
	d.WaitActive(version, lagging.Host)
	caller := d.lodgement.NewCallerAs(d.certificates.Name)
	checkEcho(t, d.certificates, caller, "address reassigned to certificates")
}

// reassignAddress gives lodgement a new public address and its old one to
// certificates.
func (d *deployment) reassignAddress() uint64 {
	return d.Patch(
		d.lodgement.PutSection(d.NewAddress()),
		d.certificates.PutSection(d.certificates.Address, d.lodgement.Address),
	)
}

// TestSessionSurvivesAddressChange reassigns or replaces a public address under an
// open session. The session stays with its target.
func TestSessionSurvivesAddressChange(t *testing.T) {
	for name, change := range map[string]func(*deployment) uint64{
		"address reassigned to another service": (*deployment).reassignAddress,
		"address replaced": func(d *deployment) uint64 {
			return d.Patch(d.lodgement.PutSection(d.NewAddress()))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, 1)
			watch := d.lodgement.NewCaller().Watch()
			version := change(d)
			d.WaitActive(version, d.entries[0].Host, d.entries[1].Host)
			watch.WaitEvents()
		})
	}
}

// checkNotServedBy sends a request, which may fail, and checks that the service does
// not answer it.
func (d *deployment) checkNotServedBy(t *testing.T, caller *processtest.Caller, s *processtest.Service, text string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	answer, err := caller.Do(ctx, http.MethodGet, "/echo?text=x", nil, nil)
	if err == nil && strings.HasPrefix(answer.Target, s.Name+"-") {
		t.Fatalf("%s: answered by %s", text, answer.Target)
	}
}
