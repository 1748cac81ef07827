package keys

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// knows tells whether a process with the files of one folder takes the
// certificate of another process.
func knows(t *testing.T, files Files, certificate string) bool {
	t.Helper()
	is := is.New(t)
	creds, err := Load(files)
	is.NoErr(err)
	certs, err := readCertificates(certificate)
	is.NoErr(err)
	_, err = verify(certs[0], nil, creds.current.Load().authorities, certs[0].NotBefore)
	is.True(err == nil || errors.Is(err, ErrUnknownAuthority))
	return err == nil
}

func TestAuthorityRotation(t *testing.T) {
	is := is.New(t)
	dir := newDir(t)
	old := issue(t, dir, RoleEntry, "old", "")
	is.NoErr(AddAuthority(dir))
	is.True(errors.Is(AddAuthority(dir), ErrExists)) // one rotation at a time
	// The former authority still signs.
	between := issue(t, dir, RoleEntry, "between", "")
	is.True(knows(t, old, between.Certificate))
	is.NoErr(PreferAuthority(dir))
	renewed := issue(t, dir, RoleEntry, "renewed", "")
	// Both sides know each other until the former authority is removed.
	is.True(knows(t, old, renewed.Certificate))
	is.True(knows(t, renewed, old.Certificate))
	is.NoErr(RemoveAuthority(dir))
	is.True(!knows(t, renewed, old.Certificate))
	_, err := Load(old)
	is.True(errors.Is(err, ErrUnknownAuthority)) // not even its own process takes it
	// The next rotation works alike.
	is.NoErr(AddAuthority(dir))
	is.NoErr(PreferAuthority(dir))
	is.NoErr(RemoveAuthority(dir))
}

func TestAuthorityRotationOutOfOrder(t *testing.T) {
	is := is.New(t)
	dir := newDir(t)
	path := filepath.Join(dir, AuthorityFile)
	before, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(errors.Is(PreferAuthority(dir), ErrRotationOrder))
	is.True(errors.Is(RemoveAuthority(dir), ErrRotationOrder))
	after, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(after, before)
	is.NoErr(AddAuthority(dir))
	is.True(errors.Is(RemoveAuthority(dir), ErrRotationOrder)) // would drop the added one
	// A key whose certificate is missing never becomes the signing one.
	is.NoErr(os.WriteFile(path, before, publicMode))
	is.True(errors.Is(PreferAuthority(dir), ErrMismatch))
	_, err = LoadAuthority(dir)
	is.NoErr(err)
	_, err = Issue(dir, RoleEntry, "authority-next", "", nil, DefaultValidity)
	is.True(errors.Is(err, ErrInvalidName))
}
