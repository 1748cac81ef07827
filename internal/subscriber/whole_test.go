package subscriber

import (
	"testing"

	"github.com/matryer/is"
)

// A view tells whether its list of targets is whole, also if that is empty, so
// that its reader knows whether a missing target is none at all. Without a
// subscription it never is.
func TestViewTellsWhetherTheDirectoryIsWhole(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newControlHost(configuration(1), true)
	server := d.listen(anyPort, h)
	s, _, _ := start(t, d.client(server), nil)
	awaitReady(t, s)
	is.True(!s.View().DirectoryComplete) // the control host has just started
	h.set(func() { h.whole = true })
	eventually(t, "the list is whole", func() bool { return s.View().DirectoryComplete })
	is.Equal(len(s.View().Targets), 0)
	is.NoErr(server.Close())
	eventually(t, "the subscription ends", func() bool { return !s.View().Connected })
	is.True(!s.View().DirectoryComplete)
}
