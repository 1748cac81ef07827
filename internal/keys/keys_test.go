package keys

import (
	"crypto/tls"
	"crypto/x509"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

var loopbackIP = []netip.Addr{netip.MustParseAddr("127.0.0.1")}

func newKeyDir(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "keys")
	is.New(t).NoErr(InitAuthority(dir))
	return dir
}

func issue(t *testing.T, dir string, role Role, name, service string) Files {
	t.Helper()
	files, err := Issue(dir, role, name, service, loopbackIP, time.Hour)
	is.New(t).NoErr(err)
	return files
}

func TestIssueAndLoad(t *testing.T) {
	dir := newKeyDir(t)
	cases := []Identity{
		{Role: RoleControl, Name: "c1"},
		{Role: RoleEntry, Name: "e-1.oke-ado"},
		{Role: RoleAgent, Name: "a1", Service: "lodgement"},
		{Role: RoleOperator, Name: "ade"},
	}
	for _, id := range cases {
		t.Run(string(id.Role), func(t *testing.T) {
			is := is.New(t)
			files := issue(t, dir, id.Role, id.Name, id.Service)
			creds, err := FromSettings(files.Settings())
			is.NoErr(err)
			is.Equal(creds.Identity(), id)
			is.Equal(len(creds.DataSecrets()), 1)
			is.True(time.Until(creds.NotAfter()) > 30*time.Minute)
			items, err := InspectFile(files.Certificate)
			is.NoErr(err)
			is.Equal(len(items), 1)
			is.Equal(items[0].Kind, KindProcess)
			is.Equal(items[0].Identity, id)
			is.Equal(items[0].IPs[0].String(), "127.0.0.1")
			info, err := os.Stat(files.PrivateKey)
			is.NoErr(err)
			is.Equal(info.Mode().Perm(), privateMode)
		})
	}
}

func TestIdentityURI(t *testing.T) {
	is := is.New(t)
	is.Equal(Identity{Role: RoleControl, Name: "c1"}.String(), "eelgrasswharf:control/c1")
	is.Equal(Identity{Role: RoleAgent, Name: "a1", Service: "lodgement"}.String(),
		"eelgrasswharf:agent/a1?service=lodgement")
}

func TestInvalidIdentities(t *testing.T) {
	dir := newKeyDir(t)
	cases := []struct {
		name string
		id   Identity
		want error
	}{
		{"unknown role", Identity{Role: "king", Name: "k"}, ErrRoleNotAllowed},
		{"empty name", Identity{Role: RoleEntry}, ErrInvalidName},
		{"path in name", Identity{Role: RoleEntry, Name: "../x"}, ErrInvalidName},
		{"agent without service", Identity{Role: RoleAgent, Name: "a"}, ErrInvalidName},
		{"entry host with service", Identity{Role: RoleEntry, Name: "e", Service: "s"}, ErrInvalidName},
		{"name of the authority", Identity{Role: RoleEntry, Name: "authority"}, ErrInvalidName},
		{"caller without service", Identity{Role: RoleCaller}, ErrInvalidName},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Issue(dir, tc.id.Role, tc.id.Name, tc.id.Service, nil, time.Hour)
			is.New(t).True(errors.Is(err, tc.want))
		})
	}
}

func TestCallerCertificate(t *testing.T) {
	is := is.New(t)
	dir := newKeyDir(t)
	files := issue(t, dir, RoleCaller, "", "lodgement")
	cert, err := CallerCertificate(files.Certificate, files.PrivateKey)
	is.NoErr(err)
	is.NoErr(cert.Leaf.VerifyHostname("lodgement"))
	is.NoErr(cert.Leaf.VerifyHostname("127.0.0.1"))
	is.True(cert.Leaf.VerifyHostname("certificates") != nil)
	items, err := InspectFile(files.Certificate)
	is.NoErr(err)
	is.Equal(items[0].Kind, KindCaller)
	// A caller certificate is not a process identity.
	_, err = Load(files)
	is.True(errors.Is(err, ErrNoIdentity))
}

func TestAuthorityIsNotOverwritten(t *testing.T) {
	dir := newKeyDir(t)
	is.New(t).True(errors.Is(InitAuthority(dir), ErrExists))
}

func TestLoadErrors(t *testing.T) {
	dir := newKeyDir(t)
	good := issue(t, dir, RoleEntry, "e1", "")
	other := issue(t, newKeyDir(t), RoleEntry, "e1", "")
	secrets := filepath.Join(t.TempDir(), "bad")
	is.New(t).NoErr(os.WriteFile(secrets, []byte("0 abc\n"), privateMode))
	cases := []struct {
		name   string
		change func(*Files)
		want   error
	}{
		{"unreadable", func(f *Files) { f.Certificate = filepath.Join(dir, "none") }, fs.ErrNotExist},
		{"key of another certificate", func(f *Files) { f.PrivateKey = other.PrivateKey }, ErrMismatch},
		{"another authority", func(f *Files) { f.Authority = other.Authority }, ErrUnknownAuthority},
		{"key in place of certificate", func(f *Files) { f.Certificate = f.PrivateKey }, ErrMalformed},
		{"certificate in place of key", func(f *Files) { f.PrivateKey = f.Certificate }, ErrMalformed},
		{"leaf in place of authority", func(f *Files) { f.Authority = f.Certificate }, ErrMalformed},
		{"secrets in place of certificate", func(f *Files) { f.Certificate = f.DataSecrets }, ErrMalformed},
		{"malformed secrets", func(f *Files) { f.DataSecrets = secrets }, ErrMalformed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			files := good
			tc.change(&files)
			_, err := Load(files)
			is.True(errors.Is(err, tc.want))
		})
	}
}

func TestCertificateOutsideValidity(t *testing.T) {
	is := is.New(t)
	a, err := NewAuthority(time.Now(), time.Hour)
	is.NoErr(err)
	for _, offset := range []time.Duration{-2 * time.Hour, 2 * time.Hour} {
		pair, err := a.IssueProcess(Identity{Role: RoleEntry, Name: "e1"}, nil, time.Now().Add(offset), 30*time.Minute)
		is.NoErr(err)
		_, err = InMemory(a.CertificatePEM(), pair, nil)
		is.True(errors.Is(err, ErrExpired))
		is.True(strings.Contains(err.Error(), "valid from"))
	}
}

func TestValidityIsLimitedByAuthority(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a, err := NewAuthority(now, time.Hour)
	is.NoErr(err)
	pair, err := a.IssueProcess(Identity{Role: RoleEntry, Name: "e1"}, nil, now, 48*time.Hour)
	is.NoErr(err)
	certs, err := parseCertificates(pair.Certificate)
	is.NoErr(err)
	is.True(!certs[0].NotAfter.After(a.cert.NotAfter))
	_, err = a.IssueProcess(Identity{Role: RoleEntry, Name: "e1"}, nil, now, 0)
	is.True(errors.Is(err, ErrInvalidValidity))
}

func TestReload(t *testing.T) {
	is := is.New(t)
	dir := newKeyDir(t)
	files := issue(t, dir, RoleEntry, "e1", "")
	creds, err := Load(files)
	is.NoErr(err)
	changes := 0
	creds.OnChange(func() { changes++ })

	changed, err := creds.Reload()
	is.NoErr(err)
	is.True(!changed)

	id, err := AddDataSecret(dir)
	is.NoErr(err)
	is.Equal(id, uint8(1))
	changed, err = creds.Reload()
	is.NoErr(err)
	is.True(changed)
	is.Equal(len(creds.DataSecrets()), 2)
	is.Equal(creds.DataSecrets()[0].ID, uint8(0)) // the previous one still encodes
	is.NoErr(PreferDataSecret(dir, 1))
	_, err = creds.Reload()
	is.NoErr(err)
	is.Equal(creds.DataSecrets()[0].ID, uint8(1))

	// An invalid file leaves the previous keys in use.
	is.NoErr(os.WriteFile(files.Certificate, []byte("invalid"), publicMode))
	changed, err = creds.Reload()
	is.True(errors.Is(err, ErrMalformed))
	is.True(!changed)
	is.Equal(creds.Identity().Name, "e1")
	is.Equal(changes, 2)
}

func TestWatchReportsOnce(t *testing.T) {
	is := is.New(t)
	dir := newKeyDir(t)
	files := issue(t, dir, RoleEntry, "e1", "")
	creds, err := Load(files)
	is.NoErr(err)
	type report struct {
		changed bool
		err     error
	}
	reports := make(chan report)
	go creds.Watch(t.Context(), time.Millisecond, func(changed bool, err error) {
		select {
		case reports <- report{changed, err}:
		case <-t.Context().Done():
		}
	})
	is.NoErr(os.WriteFile(files.Certificate, []byte("invalid"), publicMode))
	r := <-reports
	is.True(errors.Is(r.err, ErrMalformed))
	issue(t, dir, RoleEntry, "e1", "")
	r = <-reports
	is.NoErr(r.err)
	is.True(r.changed)
}

func TestVerifyPeer(t *testing.T) {
	is := is.New(t)
	a, err := NewAuthority(time.Now(), time.Hour)
	is.NoErr(err)
	pair, err := a.IssueProcess(Identity{Role: RoleEntry, Name: "e1"}, nil, time.Now(), time.Hour)
	is.NoErr(err)
	creds, err := InMemory(a.CertificatePEM(), pair, nil)
	is.NoErr(err)
	leaf, err := parseCertificates(pair.Certificate)
	is.NoErr(err)
	state := tls.ConnectionState{PeerCertificates: leaf}
	id, err := creds.VerifyPeer(state, RoleEntry)
	is.NoErr(err)
	is.Equal(id.Name, "e1")
	_, err = creds.VerifyPeer(state, RoleControl, RoleAgent)
	is.True(errors.Is(err, ErrRoleNotAllowed))
	_, err = creds.VerifyPeer(tls.ConnectionState{}, RoleEntry)
	is.True(errors.Is(err, ErrNoCertificate))
	_, err = creds.VerifyPeer(tls.ConnectionState{PeerCertificates: []*x509.Certificate{a.cert}}, RoleEntry)
	is.True(errors.Is(err, ErrNoIdentity))
}

func TestSecretsFile(t *testing.T) {
	is := is.New(t)
	one, err := NewSecret(3)
	is.NoErr(err)
	two, err := NewSecret(0)
	is.NoErr(err)
	data := append([]byte("# first encodes\n\n"), FormatSecrets([]Secret{one, two})...)
	got, err := ParseSecrets(data)
	is.NoErr(err)
	is.Equal(got, []Secret{one, two})

	hex64 := strings.Repeat("ab", SecretLength)
	for _, bad := range []string{
		"", "8 " + hex64, "-1 " + hex64, "x " + hex64, "0 " + hex64[2:], "0 " + hex64 + "ab",
		"0", "0 " + hex64 + " x", "0 " + hex64 + "\n0 " + hex64,
	} {
		_, err := ParseSecrets([]byte(bad))
		is.True(errors.Is(err, ErrMalformed))
		is.True(!strings.Contains(err.Error(), "abab")) // no secret in errors
	}
	_, err = NewSecret(MaxSecretID + 1)
	is.True(errors.Is(err, ErrMalformed))
}

func TestSecretIDsExhausted(t *testing.T) {
	is := is.New(t)
	dir := newKeyDir(t)
	for id := 1; id <= MaxSecretID; id++ {
		got, err := AddDataSecret(dir)
		is.NoErr(err)
		is.Equal(int(got), id)
	}
	_, err := AddDataSecret(dir)
	is.True(errors.Is(err, ErrNoFreeSecretID))
	is.NoErr(RemoveDataSecret(dir, 4))
	got, err := AddDataSecret(dir)
	is.NoErr(err)
	is.Equal(got, uint8(4))
	items, err := InspectFile(filepath.Join(dir, DataSecretsFile))
	is.NoErr(err)
	is.Equal(items[0].SecretIDs, []uint8{0, 1, 2, 3, 5, 6, 7, 4})
	is.True(errors.Is(PreferDataSecret(newKeyDir(t), 5), ErrInvalidSecretChange)) // no such secret
	is.True(errors.Is(RemoveDataSecret(newKeyDir(t), 0), ErrInvalidSecretChange)) // the last one
}

func TestSeveralAuthorities(t *testing.T) {
	is := is.New(t)
	oldDir, renewedDir := newKeyDir(t), newKeyDir(t)
	files := issue(t, oldDir, RoleEntry, "e1", "")
	data, err := os.ReadFile(files.Authority)
	is.NoErr(err)
	renewed, err := os.ReadFile(filepath.Join(renewedDir, AuthorityFile))
	is.NoErr(err)
	// Both authorities in one file, the new one first.
	is.NoErr(os.WriteFile(files.Authority, append(renewed, data...), publicMode))
	_, err = Load(files)
	is.NoErr(err)
	// The authority that matches the private key signs.
	a, err := LoadAuthority(oldDir)
	is.NoErr(err)
	is.Equal(string(a.CertificatePEM()), string(data))
	items, err := InspectFile(files.Authority)
	is.NoErr(err)
	is.Equal(len(items), 2)
	is.Equal(items[0].Kind, KindAuthority)
}
