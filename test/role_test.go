package test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// Exit statuses that the operator commands document.
const (
	exitAccepted = 0
	exitForced   = 1
	exitRefused  = 3
	exitUnknown  = 4
)

// TestRolesServeAndEnd ends every process with SIGTERM, those first that others
// do without.
func TestRolesServeAndEnd(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	d.checkEchoes(t, "before the end", 1)
	var agents, backends []*processtest.Process
	for _, target := range d.all() {
		agents = append(agents, target.Agent)
		backends = append(backends, target.Backend)
	}
	entries := []*processtest.Process{d.entries[0].Process, d.entries[1].Process}
	for _, role := range [][]*processtest.Process{agents, entries, {d.controls[0].Process}} {
		for _, p := range role {
			is.True(strings.Contains(p.Metrics(), "# TYPE")) // counters are served
		}
		endAll(role)
	}
	endAll(backends)
}

// endAll ends processes side by side.
func endAll(all []*processtest.Process) {
	for _, p := range all {
		p.Terminate()
	}
	for _, p := range all {
		p.WaitCleanExit()
	}
}

// TestSecondSignalEndsAgentWithItsSessions is the forced end of sessions, the
// operator's explicit choice.
func TestSecondSignalEndsAgentWithItsSessions(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	watch := d.lodgement.NewCaller().Watch()
	target, _ := d.holder(t, watch)
	target.DrainAgent()
	watch.WaitEvents()
	is.True(target.Agent.Running())
	target.Agent.Terminate()
	is.Equal(target.Agent.WaitExitCode(), exitForced)
}

// TestOperatorLearnsLostOutcome cuts the answer to a patch that was accepted,
// and runs what the command prints.
func TestOperatorLearnsLostOutcome(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	cut := d.StartOutcomeDropper()

	o := d.Submit(1, "cut-json", []string{d.lodgement.PutSection()}, cut)
	is.Equal(o.Verdict, processtest.Unknown) // Submit holds it to exit status 4
	told := d.RunShell(o.Next)
	is.Equal(told.Status, exitAccepted)
	is.True(strings.Contains(told.Stdout, "patch cut-json: accepted as version 2"))

	printed := d.RunOperator(d.SubmitArgs(1, "cut-text", d.lodgement.PutSection()), cut)
	is.Equal(printed.Status, exitUnknown)
	_, next, found := strings.Cut(printed.Stdout, "To learn it run:\n  ")
	is.True(found)
	told = d.RunShell(next)
	is.Equal(told.Status, exitRefused)
	is.True(strings.Contains(told.Stdout, "the current version is 2, made by patch cut-json"))
}

// TestOperatorCommands runs the operator's side against a deployment, for
// people and for programs.
func TestOperatorCommands(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	d.Patch(d.lodgement.PutSection(), d.certificates.RemoveSection())
	for _, args := range [][]string{
		{"status"}, {"config", "show"}, {"config", "show", "--version", "1"}, {"patch", "show", "patch-1"},
	} {
		text := d.RunOperator(args)
		is.Equal(text.Status, exitAccepted)
		is.True(text.Stdout != "")
		asJSON := d.RunOperator(append(args, "--json"))
		is.Equal(asJSON.Status, exitAccepted)
		is.True(json.Valid([]byte(asJSON.Stdout)))
	}
	is.True(!strings.Contains(d.RunOperator([]string{"config", "show"}).Stdout, "[service certificates]"))
	is.True(strings.Contains(d.RunOperator([]string{"config", "show", "--version", "1"}).Stdout, "[service certificates]"))

	wrong := d.RunOperator(d.SubmitArgs(2, "wrong",
		"[service lodgement]\naddresses = 192.0.2.1:443\nslots = 0\n", "[remove nobody]\n"))
	is.Equal(wrong.Status, exitRefused)
	is.Equal(strings.Count(wrong.Stdout, "wrong.ini:"), 2) // every finding with its place
	base := d.RunOperator(append(d.SubmitArgs(1, "old-base", d.lodgement.PutSection()), "--json"))
	is.Equal(base.Status, exitRefused)
	is.True(json.Valid([]byte(base.Stdout)))
}
