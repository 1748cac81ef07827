package dev

import (
	"context"

	"github.com/go-faster/errors"
)

// runner is what all daemons have in common.
type runner interface {
	Run(ctx context.Context) error
	Ready() <-chan struct{}
}

// process is a daemon that runs in this process.
type process struct {
	name   string
	cancel context.CancelFunc
	ended  chan struct{}
}

// launch runs a daemon. Its end before stop is a failure of the deployment.
func (d *Deployment) launch(name string, r runner) *process {
	life, stop := context.WithCancel(context.Background())
	p := &process{name: name, cancel: stop, ended: make(chan struct{})}
	d.running.Go(func() {
		defer close(p.ended)
		err := r.Run(life)
		if err != nil || life.Err() == nil {
			d.fail(errors.Wrapf(ErrDaemonExited, "%s: %v", name, err))
		}
	})
	return p
}

// leave tells the daemon to end gracefully and returns at once.
func (p *process) leave() { p.cancel() }

// stop ends the daemon gracefully, however long that takes.
func (p *process) stop() {
	p.cancel()
	<-p.ended
}

// await waits for a channel to be closed, a failure, or the end of ctx.
func (d *Deployment) await(ctx context.Context, what <-chan struct{}) error {
	select {
	case <-what:
		return nil
	case <-d.gone:
		return d.failure()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// until polls a condition.
func (d *Deployment) until(ctx context.Context, condition func() bool) error {
	for !condition() {
		if err := d.pause(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended == nil {
		d.ended = err
		close(d.gone)
	}
}

func (d *Deployment) failure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended
}
