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

// tryLimit ends a request that nobody answers; either end is good there.
const tryLimit = time.Second

// TestAddressPassesToAnotherService gives lodgement's public address to
// certificates while one entry host can't hear of it. Each flow's packets keep
// reaching both entry hosts, which disagree on what the address stands for.
func TestAddressPassesToAnotherService(t *testing.T) {
	d := deploy(t, 1)
	link := d.controls[0].Relay()
	d.entries[1].RemoveFromFabric()
	behind := d.StartEntry(link.Addr())
	established := d.lodgement.NewCaller()
	checkEcho(t, d.lodgement, established, "before")

	link.Cut()
	version := d.passAddress()
	d.WaitActive(version, d.entries[0].Host)

	for i := range 20 {
		d.checkNeverOf(t, established, d.certificates, fmt.Sprint("established ", i))
		d.checkNeverOf(t, d.lodgement.NewCaller(), d.certificates, fmt.Sprint("lodgement ", i))
		d.checkNeverOf(t, d.lodgement.NewCallerAs(d.certificates.Name), d.lodgement, fmt.Sprint("certificates ", i))
	}
	link.Heal()
	d.WaitActive(version, behind.Host)
	caller := d.lodgement.NewCallerAs(d.certificates.Name)
	checkEcho(t, d.certificates, caller, "the address stands for certificates")
}

// passAddress gives lodgement another public address and its old one to
// certificates.
func (d *deployment) passAddress() uint64 {
	return d.Patch(
		d.lodgement.PutSection(d.NewAddress()),
		d.certificates.PutSection(d.certificates.Address, d.lodgement.Address),
	)
}

// TestSessionSurvivesLossOfItsAddress changes what a public address stands
// for under an open session. New flows follow the change at once, the
// established one stays with its target.
func TestSessionSurvivesLossOfItsAddress(t *testing.T) {
	for name, change := range map[string]func(*deployment) uint64{
		"address passes to another service": (*deployment).passAddress,
		"address is replaced by another one": func(d *deployment) uint64 {
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

// checkNeverOf sends a request, which may fail, and checks that the service
// does not answer it.
func (d *deployment) checkNeverOf(t *testing.T, caller *processtest.Caller, s *processtest.Service, text string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), tryLimit)
	defer cancel()
	answer, err := caller.Do(ctx, http.MethodGet, "/echo?text=x", nil, nil)
	if err == nil && strings.HasPrefix(answer.Target, s.Name+"-") {
		t.Fatalf("%s: answered by %s", text, answer.Target)
	}
}
