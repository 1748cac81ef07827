package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sourcegraph/conc"
)

// runUntilSignal runs serve with a context that the first SIGTERM or SIGINT cancels,
// for a graceful shutdown without a time limit. A second signal exits immediately.
func runUntilSignal(ctx context.Context, serve func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() {
		select {
		case <-signals:
			cancel()
		case <-done:
			return
		}
		select {
		case <-signals:
			os.Exit(ExitFailure)
		case <-done:
		}
	})
	err := serve(ctx)
	close(done)
	signal.Stop(signals)
	wg.Wait()
	return err
}
