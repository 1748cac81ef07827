package test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// Exit statuses of the operator commands.
const (
	exitAccepted = 0
	exitForced   = 1
	exitRefused  = 3
	exitUnknown  = 4
)

// TestProcessesStopOnSIGTERM ends every process with SIGTERM, agents first and backend
// servers last.
func TestProcessesStopOnSIGTERM(t *testing.T) {
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
			is.True(strings.Contains(p.Metrics(), "# TYPE")) // metrics are served
		}
		terminateAll(role)
	}
	terminateAll(backends)
}

// terminateAll ends processes concurrently.
func terminateAll(all []*processtest.Process) {
	for _, p := range all {
		p.Terminate()
	}
	for _, p := range all {
		p.WaitCleanExit()
	}
}

// TestSecondSignalForcesAgentExit sends a second SIGTERM to an agent with an open
// session.
func TestSecondSignalForcesAgentExit(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	watch := d.lodgement.NewCaller().Watch()
	target, _ := d.sessionTarget(t, watch)
	target.DrainAgent()
	watch.WaitEvents()
	is.True(target.Agent.Running())
	target.Agent.Terminate()
	is.Equal(target.Agent.WaitExitCode(), exitForced)
}

// TestOperatorRecoversLostOutcome loses the reply to an accepted patch and runs the
// command that the operator's tool prints.
func TestOperatorRecoversLostOutcome(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	cut := d.StartOutcomeDropper()

	o := d.Submit(1, "cut-json", []string{d.lodgement.PutSection()}, cut)
	is.Equal(o.Verdict, processtest.Unknown) // Submit checks for exit status 4
	output := d.RunShell(o.Next)
	is.Equal(output.Status, exitAccepted)
	is.True(strings.Contains(output.Stdout, "patch cut-json: accepted as version 2"))

	printed := d.RunOperator(d.SubmitArgs(1, "cut-text", d.lodgement.PutSection()), cut)
	is.Equal(printed.Status, exitUnknown)
	_, next, found := strings.Cut(printed.Stdout, "To learn it run:\n  ")
	is.True(found)
	output = d.RunShell(next)
	is.Equal(output.Status, exitRefused)
	is.True(strings.Contains(output.Stdout, "the current version is 2, made by patch cut-json"))
}

// TestOperatorCommands runs the operator's commands with text and JSON output.
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
	is.Equal(strings.Count(wrong.Stdout, "wrong.ini:"), 2) // each finding with its place
	base := d.RunOperator(append(d.SubmitArgs(1, "old-base", d.lodgement.PutSection()), "--json"))
	is.Equal(base.Status, exitRefused)
	is.True(json.Valid([]byte(base.Stdout)))
}
