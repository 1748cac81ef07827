package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sourcegraph/conc"
)

// untilSignal runs serve with a context that the first SIGTERM or SIGINT
// ends, which asks for a graceful shutdown without a time limit. The second
// one ends the process at once: the forced end of sessions is the operator's
// explicit choice.
func untilSignal(ctx context.Context, serve func(context.Context) error) error {
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
