// Package sleep waits for a time that a context may cut short.
package sleep

import (
	"context"
	"time"
)

// For returns nil after the duration, at once if that is not positive, or the
// error of the context when that ends first.
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
