package controld_test

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// TestRemovalIsToldOnce removes a member by one call, whichever hosts lead the
// groups, and tells a quorum's knowledge from one host's.
func TestRemovalIsToldOnce(t *testing.T) {
	is := is.New(t)
	d := newGroup(t)
	d.stop("c3")
	ops := d.operator("c1", "c2")
	eventually(t, "removal", func() bool {
		s, err := ops.Remove(testContext(t), memberRef("c3"))
		// A call that was made must not be told as a member never known.
		is.True(!errors.Is(err, operator.ErrNotFound))
		return err == nil && len(s.Groups) == 2
	})
	for _, g := range d.status(d.leader()).Groups {
		is.Equal(len(g.Members), 2)
	}
	_, err := ops.Remove(testContext(t), memberRef("c3"))
	is.True(errors.Is(err, operator.ErrNotFound)) // a quorum says so
	d.stop("c2")
	_, err = d.operator("c1").Remove(testContext(t), memberRef("c3"))
	is.True(errors.Is(err, operator.ErrNotDone)) // nobody can say so
	is.True(!errors.Is(err, operator.ErrNotFound))
}
