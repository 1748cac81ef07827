package dev

import (
	"context"

	"github.com/go-faster/errors"
)

// daemon is implemented by the daemons of all roles.
type daemon interface {
	Run(ctx context.Context) error
	Ready() <-chan struct{}
}

// process is a daemon running in a goroutine.
type process struct {
	name   string
	cancel context.CancelFunc
	exited chan struct{}
}

// startProcess runs a daemon. If it exits before it is stopped, the deployment fails.
func (d *Deployment) startProcess(name string, r daemon) *process {
	runCtx, cancelRun := context.WithCancel(context.Background())
	p := &process{name: name, cancel: cancelRun, exited: make(chan struct{})}
	d.running.Go(func() {
		defer close(p.exited)
		err := r.Run(runCtx)
		if err != nil || runCtx.Err() == nil {
			d.fail(errors.Wrapf(ErrDaemonExited, "%s: %v", name, err))
		}
	})
	return p
}

// requestStop starts a graceful shutdown and returns immediately.
func (p *process) requestStop() { p.cancel() }

// stop shuts the daemon down gracefully, without a time limit.
func (p *process) stop() {
	p.cancel()
	<-p.exited
}

// wait waits until done is closed, a daemon fails, or ctx ends.
func (d *Deployment) wait(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-d.failed:
		return d.failure()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitUntil polls the condition until it holds, a daemon fails, or ctx ends.
func (d *Deployment) waitUntil(ctx context.Context, condition func() bool) error {
	for !condition() {
		if err := d.waitPollInterval(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.daemonErr == nil {
		d.daemonErr = err
		close(d.failed)
	}
}

func (d *Deployment) failure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.daemonErr
}
