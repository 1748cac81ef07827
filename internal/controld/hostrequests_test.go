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
	r := newHostRequests(func(address string) {
		sent <- address
		if address == "lost" {
			<-unblock
		}
	})
	r.start("lost")
	is.Equal(<-sent, "lost")
	for range 3 {
		r.start("lost") // still pending
		unittest.Eventually(t, "the reply of the other host", func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return !r.pending["there"]
		})
		r.start("there")
		is.Equal(<-sent, "there")
	}
	close(unblock)
}
