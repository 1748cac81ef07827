package keys

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// trusts reports whether a process with the given files accepts a certificate.
func trusts(t *testing.T, files Files, certificate string) bool {
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
	dir := newKeyDir(t)
	old := issue(t, dir, RoleEntry, "old", "")
	is.NoErr(AddAuthority(dir))
	is.True(errors.Is(AddAuthority(dir), ErrExists)) // one rotation at a time
	// The previous authority still signs.
	between := issue(t, dir, RoleEntry, "between", "")
	is.True(trusts(t, old, between.Certificate))
	is.NoErr(PreferAuthority(dir))
	renewed := issue(t, dir, RoleEntry, "renewed", "")
	// Certificates of both are accepted until the previous authority is removed.
	is.True(trusts(t, old, renewed.Certificate))
	is.True(trusts(t, renewed, old.Certificate))
	is.NoErr(RemoveAuthority(dir))
	is.True(!trusts(t, renewed, old.Certificate))
	_, err := Load(old)
	is.True(errors.Is(err, ErrUnknownAuthority)) // not accepted by its own process either
	// The next rotation works the same way.
	is.NoErr(AddAuthority(dir))
	is.NoErr(PreferAuthority(dir))
	is.NoErr(RemoveAuthority(dir))
}

func TestAuthorityRotationOutOfOrder(t *testing.T) {
	is := is.New(t)
	dir := newKeyDir(t)
	path := filepath.Join(dir, AuthorityFile)
	before, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(errors.Is(PreferAuthority(dir), ErrRotationOrder))
	is.True(errors.Is(RemoveAuthority(dir), ErrRotationOrder))
	after, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(after, before)
	is.NoErr(AddAuthority(dir))
	is.True(errors.Is(RemoveAuthority(dir), ErrRotationOrder)) // would remove the added one
	// An authority key without its certificate is not used.
	is.NoErr(os.WriteFile(path, before, publicMode))
	is.True(errors.Is(PreferAuthority(dir), ErrMismatch))
	_, err = LoadAuthority(dir)
	is.NoErr(err)
	_, err = Issue(dir, RoleEntry, "authority-next", "", nil, DefaultValidity)
	is.True(errors.Is(err, ErrInvalidName))
}
