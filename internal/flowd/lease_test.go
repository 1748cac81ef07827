package flowd

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The loss of a control host is detected by a heartbeat, and the next host is dialled after
// a backoff and may be down.
func TestMinLeaseCoversMoveToAnotherControlHost(t *testing.T) {
	is := is.New(t)
	// Jitter lengthens heartbeats and backoffs by a fifth.
	detection := linkHeartbeat*6/5 + linkTimeout
	move := maxBackoff*6/5 + dialTimeout
	is.True(MinLease >= detection+move+250*time.Millisecond) // the time of a call
}
