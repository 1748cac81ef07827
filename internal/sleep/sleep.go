// Package sleep provides a sleep that a context can end.
package sleep

import (
	"context"
	"time"
)

// For sleeps for d and returns nil, or returns the error of ctx as soon as it is done. It
// does not sleep if d is not positive.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}
