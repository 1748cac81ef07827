package subscriber

import (
	"testing"

	"github.com/matryer/is"
)

// A view has a complete directory only while a control host confirms it, even if the
// list is empty.
func TestViewDirectoryComplete(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newControlHost(configuration(1), true)
	server := d.listen(anyPort, h)
	s, _, _ := start(t, d.client(server), nil)
	awaitReady(t, s)
	is.True(!s.View().DirectoryComplete) // the control host has just started
	h.set(func() { h.directoryComplete = true })
	eventually(t, "the complete list", func() bool { return s.View().DirectoryComplete })
	is.Equal(len(s.View().Targets), 0)
	is.NoErr(server.Close())
	eventually(t, "the subscription ends", func() bool { return !s.View().Connected })
	is.True(!s.View().DirectoryComplete)
}
