package subscriber

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// A view tells whether its list of targets is a full one, also if that is
// empty, so that its reader knows whether a missing target is none at all.
func TestViewTellsWhetherTheDirectoryIsWhole(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	h := newControlHost(configuration(1), true)
	h.directory = &controlpb.DirectoryUpdate{Epoch: 1, Sequence: 1} // it has just started
	s, _, _ := start(t, d.client(d.listen(anyPort, h)), nil)
	awaitReady(t, s)
	is.True(!s.View().DirectoryWhole)
	h.set(func() { h.directory = &controlpb.DirectoryUpdate{Epoch: 1, Sequence: 2, Full: true} })
	eventually(t, "a full list", func() bool { return s.View().DirectoryWhole })
	is.Equal(len(s.View().Targets), 0)

	// Another control host that has just started does not know who is gone.
	h.set(func() { h.directory = &controlpb.DirectoryUpdate{Epoch: 2, Sequence: 1} })
	eventually(t, "a list that is not full", func() bool { return !s.View().DirectoryWhole })
}
