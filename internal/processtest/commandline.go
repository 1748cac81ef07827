package processtest

import (
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
)

// CommandResult is what a command wrote and how it ended.
type CommandResult struct {
	Stdout string
	Stderr string
	Status int
}

// RunOperator runs an operator command against control hosts with these operator
// addresses, or against all of them if none is named.
func (c *Cluster) RunOperator(args []string, control ...netip.AddrPort) CommandResult {
	c.t.Helper()
	stdout, stderr, status := c.run(append(args, c.operatorFlags(control)...))
	return CommandResult{Stdout: string(stdout), Stderr: string(stderr), Status: status}
}

// SubmitArgs writes the sections as a patch file and returns the command that
// submits it.
func (c *Cluster) SubmitArgs(base uint64, id string, sections ...string) []string {
	c.t.Helper()
	path := c.path("%s.ini", id)
	c.must(os.WriteFile(path, []byte(strings.Join(sections, "\n")), fileMode))
	return []string{"patch", "submit", "--base", strconv.FormatUint(base, 10), "--id", id, path}
}

// RunShell gives a printed command to a shell.
func (c *Cluster) RunShell(command string) CommandResult {
	c.t.Helper()
	var stdout, stderr strings.Builder
	cmd := exec.Command("sh", "-c", command)
	cmd.Stdout = &stdout
	cmd.Stderr = &stderr
	_ = cmd.Run() // the status is read from ProcessState
	return CommandResult{Stdout: stdout.String(), Stderr: stderr.String(), Status: cmd.ProcessState.ExitCode()}
}
