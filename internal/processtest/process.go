package processtest

import (
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/sourcegraph/conc"
)

// readyMessage is the log message of a process that can do its work.
const readyMessage = "ready"

// Process is one running process of the binary under test.
type Process struct {
	// Name tells processes apart in the logs of a failed test.
	Name string

	t    testing.TB
	cmd  *exec.Cmd
	log  *processLog
	wait conc.WaitGroup
	done chan struct{}
}

// Start starts the binary with the arguments. The process is killed at the
// end of the test, or when the test process dies.
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
		p.t.Logf("log of %s:\n%s", p.Name, p.log.text())
	}
}

// WaitReady waits until the process says that it is ready.
func (p *Process) WaitReady() {
	p.t.Helper()
	p.WaitLog(readyMessage)
}

// WaitLog waits for a log line with the message.
func (p *Process) WaitLog(message string) {
	p.t.Helper()
	Eventually(p.t, p.Name+" logs "+message, func() bool {
		if !p.Running() && p.log.count(message) == 0 {
			p.t.Fatalf("%s ended before it logged %q: %v", p.Name, message, p.cmd.ProcessState)
		}
		return p.log.count(message) > 0
	})
}

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once (SIGKILL) and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Terminate asks for a graceful shutdown (SIGTERM) and does not wait.
func (p *Process) Terminate() {
	p.signal(syscall.SIGTERM)
}

// Thaw lets a frozen process go on (SIGCONT).
func (p *Process) Thaw() {
	p.signal(syscall.SIGCONT)
}

// WaitCleanExit waits until the process ends by itself and checks that it reports
// success.
func (p *Process) WaitCleanExit() {
	p.t.Helper()
	if code := p.WaitExitCode(); code != 0 {
		p.t.Fatalf("%s: exit code %d", p.Name, code)
	}
}

// WaitExitCode waits until the process ends by itself and returns its exit code.
func (p *Process) WaitExitCode() int {
	p.t.Helper()
	Eventually(p.t, p.Name+" ends", func() bool { return !p.Running() })
	return p.cmd.ProcessState.ExitCode()
}

// signal sends a signal to a process that has not ended.
func (p *Process) signal(s os.Signal) {
	if p.Running() {
		_ = p.cmd.Process.Signal(s) // it may just have ended
	}
}
