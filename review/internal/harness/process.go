package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	deployFile = "deploy/system.toml"
	// graceTime is the time between SIGTERM and SIGKILL, grace_s.
	graceTime = 6 * time.Second
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 300 * time.Millisecond
)

// process is a process of the product.
type process struct {
	record   *record
	name     string
	words    []string
	settings string
	log      string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// commandOf returns the words of a role's command in the deploy file.
func commandOf(role string) ([]string, error) {
	data, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	inRole := false
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			inRole = line == "[roles."+role+"]"
		}
		if value, found := strings.CutPrefix(line, "run = "); found && inRole {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("%s has no command of %s", deployFile, role)
}

// start starts the process in the repository root.
func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(filepath.FromSlash(p.words[0]), p.words[1:]...)
	p.cmd.Env = []string{"EELGRASSWHARF_BOOT=" + p.settings, "LANG=C.UTF-8"}
	for _, name := range []string{"PATH", "HOME"} {
		p.cmd.Env = append(p.cmd.Env, name+"="+os.Getenv(name))
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	p.record.line("platform starts %s", p.name)
	return nil
}

// terminate sends SIGTERM, after the grace time SIGKILL, and waits for the exit.
func (p *process) terminate() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(graceTime):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// kill kills the process for good.
func (p *process) kill() {
	p.record.line("%s loses power", p.name)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// restart stops the process and starts it again, as planned work does.
func (p *process) restart() error {
	p.record.line("platform sends SIGTERM to %s", p.name)
	p.terminate()
	p.record.line("%s has ended", p.name)
	time.Sleep(restartDelay)
	settings, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	later := strings.Replace(string(settings), "bootstrap = true", "bootstrap = false", 1)
	if err := os.WriteFile(p.settings, []byte(later), 0o600); err != nil {
		return err
	}
	return p.start()
}
