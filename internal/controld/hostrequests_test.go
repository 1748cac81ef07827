package controld

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/unittest"
)

func TestHostRequestsAreIndependent(t *testing.T) {
	is := is.New(t)
	unblock := make(chan struct{})
	sent := make(chan string)
	a := newHostRequests(func(address string) {
		sent <- address
		if address == "lost" {
			<-unblock
		}
	})
	a.start("lost")
	is.Equal(<-sent, "lost")
	for range 3 {
		a.start("lost") // still pending
		unittest.Eventually(t, "the reply of the other host", func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return !a.pending["there"]
		})
		a.start("there")
		is.Equal(<-sent, "there")
	}
	close(unblock)
}
