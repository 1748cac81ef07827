package processtest

import (
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
)

// CommandResult holds the output and the exit status of a command.
type CommandResult struct {
	Stdout string
	Stderr string
	Status int
}

// RunOperator runs an operator command against the given operator addresses, or
// against all control hosts if none is given.
func (c *Cluster) RunOperator(args []string, control ...netip.AddrPort) CommandResult {
	c.t.Helper()
	stdout, stderr, status := c.runCommand(append(args, c.operatorFlags(control)...))
	return CommandResult{Stdout: string(stdout), Stderr: string(stderr), Status: status}
}

// SubmitArgs writes a patch file with the sections and returns the arguments of
// the command that submits it.
func (c *Cluster) SubmitArgs(base uint64, id string, sections ...string) []string {
	c.t.Helper()
	path := c.path("%s.ini", id)
	c.must(os.WriteFile(path, []byte(strings.Join(sections, "\n")), fileMode))
	return []string{"patch", "submit", "--base", strconv.FormatUint(base, 10), "--id", id, path}
}

// RunShell runs a command line in a shell.
func (c *Cluster) RunShell(command string) CommandResult {
	c.t.Helper()
	var stdout, stderr strings.Builder
	cmd := exec.Command("sh", "-c", command)
	cmd.Stdout = &stdout
	cmd.Stderr = &stderr
	_ = cmd.Run() // the status is read from ProcessState
	return CommandResult{Stdout: stdout.String(), Stderr: stderr.String(), Status: cmd.ProcessState.ExitCode()}
}
