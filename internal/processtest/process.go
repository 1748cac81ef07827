package processtest

import (
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/sourcegraph/conc"
)

// readyMessage is the log message of a process that is ready to serve.
const readyMessage = "ready"

// Process is a process of the binary under test.
type Process struct {
	// Name identifies the process in the logs of a failed test.
	Name string

	t    testing.TB
	cmd  *exec.Cmd
	log  *processLog
	wait conc.WaitGroup
	done chan struct{}
}

// Start starts the binary with the arguments. The process is killed at the end
// of the test or of the test process.
func Start(t testing.TB, name string, args ...string) *Process {
	t.Helper()
	p := &Process{
		Name: name,
		t:    t,
		cmd:  exec.Command(Binary(t), args...),
		log:  &processLog{},
		done: make(chan struct{}),
	}
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	p.wait.Go(func() {
		defer close(p.done)
		_ = p.cmd.Wait() // the exit code is read from ProcessState
	})
	t.Cleanup(p.cleanup)
	return p
}

func (p *Process) cleanup() {
	p.Kill()
	if p.t.Failed() {
		p.t.Logf("output of %s:\n%s", p.Name, p.log.output())
	}
}

// WaitReady waits until the process logs that it is ready.
func (p *Process) WaitReady() {
	p.t.Helper()
	p.WaitLog(readyMessage)
}

// WaitLog waits for a log line with the message.
func (p *Process) WaitLog(message string) {
	p.t.Helper()
	Eventually(p.t, p.Name+" logs "+message, func() bool {
		if !p.Running() && p.log.count(message) == 0 {
			p.t.Fatalf("%s exited before it logged %q: %v", p.Name, message, p.cmd.ProcessState)
		}
		return p.log.count(message) > 0
	})
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill kills the process (SIGKILL) and waits until it has exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Terminate requests a graceful shutdown (SIGTERM) and does not wait.
func (p *Process) Terminate() {
	p.signal(syscall.SIGTERM)
}

// Thaw resumes a frozen process (SIGCONT).
func (p *Process) Thaw() {
	p.signal(syscall.SIGCONT)
}

// WaitCleanExit waits until the process exits and fails the test unless its exit
// code is 0.
func (p *Process) WaitCleanExit() {
	p.t.Helper()
	if code := p.WaitExitCode(); code != 0 {
		p.t.Fatalf("%s: exit code %d", p.Name, code)
	}
}

// WaitExitCode waits until the process exits and returns its exit code.
func (p *Process) WaitExitCode() int {
	p.t.Helper()
	Eventually(p.t, p.Name+" exits", func() bool { return !p.Running() })
	return p.cmd.ProcessState.ExitCode()
}

// signal sends a signal to the process if it is running.
func (p *Process) signal(s os.Signal) {
	if p.Running() {
		_ = p.cmd.Process.Signal(s) // may have exited meanwhile
	}
}
