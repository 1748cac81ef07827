package sleep_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

func TestForEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	is.NoErr(sleep.For(t.Context(), time.Millisecond))
	is.NoErr(sleep.For(t.Context(), -time.Hour))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(time.Millisecond, cancel)
	is.Equal(sleep.For(ctx, time.Hour), context.Canceled)
	is.Equal(sleep.For(ctx, 0), context.Canceled) // cancelled before
}
