package keys

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

const statelessResetLabel = "eelgrasswharf stateless reset"

// ReloadInterval is the time between two looks at the key files of a process.
const ReloadInterval = 10 * time.Second

// Credentials are the loaded keys of one process. All methods may be called
// concurrently.
type Credentials struct {
	files   Files
	current atomic.Pointer[material]

	// mu orders reloads and guards onChange.
	mu       sync.Mutex
	onChange []func()
}

// material is one consistent set of keys. It is immutable.
type material struct {
	raw         rawFiles
	identity    Identity
	certificate *tls.Certificate
	authorities *x509.CertPool
	secrets     []Secret
	// unauthenticated says that each peer's own word on its identity is believed.
	unauthenticated bool
}

type rawFiles struct {
	authority   []byte
	certificate []byte
	privateKey  []byte
	secrets     []byte
}

// Load reads the files of a process and checks that they belong together and
// are valid now.
func Load(files Files) (*Credentials, error) {
	c := &Credentials{files: files}
	m, err := loadMaterial(files, time.Now())
	if err != nil {
		return nil, err
	}
	c.current.Store(m)
	return c, nil
}

// FromSettings loads the files that a settings section names.
func FromSettings(s *settingspb.Keys) (*Credentials, error) {
	return Load(Files{
		Authority:   s.GetAuthority(),
		Certificate: s.GetCertificate(),
		PrivateKey:  s.GetPrivateKey(),
		DataSecrets: s.GetDataSecrets(),
	})
}

// ForProcess loads the files that a settings section names, or makes
// unauthenticated credentials for id if the section asks for that.
func ForProcess(s *settingspb.Keys, id Identity) (*Credentials, error) {
	if s.GetUnauthenticated() {
		return Unauthenticated(id)
	}
	return FromSettings(s)
}

// Unauthenticated makes credentials that no authority backs: a key of its own for
// this process, and belief in what each peer's certificate says of itself. Links
// are encrypted all the same, so that only who takes part in the handshake of a
// link can read or change it.
func Unauthenticated(id Identity) (*Credentials, error) {
	now := time.Now()
	// The validity is long because the time of day may jump, and nobody checks it.
	authority, err := NewAuthority(now, DefaultAuthorityValidity)
	if err != nil {
		return nil, err
	}
	pair, err := authority.IssueProcess(id, nil, now, DefaultAuthorityValidity)
	if err != nil {
		return nil, err
	}
	secret, err := NewSecret(0)
	if err != nil {
		return nil, err
	}
	c, err := InMemory(authority.CertificatePEM(), pair, []Secret{secret})
	if err != nil {
		return nil, err
	}
	c.current.Load().unauthenticated = true
	return c, nil
}

// Authenticated reports whether peers have to prove who they are.
func (c *Credentials) Authenticated() bool { return !c.current.Load().unauthenticated }

// InMemory makes credentials that no file backs.
func InMemory(authorities []byte, pair *Pair, secrets []Secret) (*Credentials, error) {
	c := &Credentials{}
	if err := c.Replace(authorities, pair, secrets); err != nil {
		return nil, err
	}
	return c, nil
}

// Replace puts new keys in place of credentials made by InMemory.
func (c *Credentials) Replace(authorities []byte, pair *Pair, secrets []Secret) error {
	raw := rawFiles{
		authority:   authorities,
		certificate: pair.Certificate,
		privateKey:  pair.PrivateKey,
	}
	if len(secrets) > 0 {
		raw.secrets = FormatSecrets(secrets)
	}
	m, err := parseMaterial(raw, Files{}, time.Now())
	if err != nil {
		return err
	}
	c.replace(m)
	return nil
}

// Identity returns who this process is.
func (c *Credentials) Identity() Identity {
	return c.current.Load().identity
}

// DataSecrets returns the data secrets; the first one encodes. The slice must
// not be changed.
func (c *Credentials) DataSecrets() []Secret {
	return c.current.Load().secrets
}

// NotAfter returns when the certificate of this process expires.
func (c *Credentials) NotAfter() time.Time {
	return c.current.Load().certificate.Leaf.NotAfter
}

// OnChange registers a function that runs after each reload that changed
// something.
func (c *Credentials) OnChange(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onChange = append(c.onChange, f)
}

// Reload reads the files again. It reports whether anything changed. On an
// error the former keys stay in use.
func (c *Credentials) Reload() (bool, error) {
	if c.files == (Files{}) {
		return false, nil
	}
	raw, err := readFiles(c.files)
	if err != nil {
		return false, err
	}
	if raw.equal(c.current.Load().raw) {
		return false, nil
	}
	m, err := parseMaterial(raw, c.files, time.Now())
	if err != nil {
		return false, err
	}
	c.replace(m)
	return true, nil
}

// Watch reloads the files at each period until the context ends. The report
// function hears of every change and, once, of a failure that two attempts in
// a row met: files that are being replaced do not fit together for a moment.
func (c *Credentials) Watch(ctx context.Context, period time.Duration, report func(changed bool, err error)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	var last, reported string
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := c.Reload()
		text := ""
		if err != nil {
			text = err.Error()
		}
		switch {
		case changed:
			report(true, nil)
		case err != nil && text == last && text != reported:
			report(false, err)
			reported = text
		}
		if err == nil {
			reported = ""
		}
		last = text
	}
}

// LogReload returns a function for Watch that logs what it hears.
func LogReload(log *zap.Logger) func(changed bool, err error) {
	return func(_ bool, err error) {
		if err != nil {
			log.Warn("keys not renewed, the former ones stay in use", zap.Error(err))
			return
		}
		log.Info("keys renewed")
	}
}

// StatelessResetKey returns a key derived from the private key. A restarted
// listener with the same private key can tell its former peers at once that
// their connections are gone.
func (c *Credentials) StatelessResetKey() [sha256.Size]byte {
	mac := hmac.New(sha256.New, c.current.Load().raw.privateKey)
	_, _ = mac.Write([]byte(statelessResetLabel))
	return [sha256.Size]byte(mac.Sum(nil))
}

func (c *Credentials) replace(m *material) {
	c.mu.Lock()
	c.current.Store(m)
	listeners := append([]func(){}, c.onChange...)
	c.mu.Unlock()
	for _, f := range listeners {
		f()
	}
}

func (r rawFiles) equal(o rawFiles) bool {
	return bytes.Equal(r.authority, o.authority) &&
		bytes.Equal(r.certificate, o.certificate) &&
		bytes.Equal(r.privateKey, o.privateKey) &&
		bytes.Equal(r.secrets, o.secrets)
}

func loadMaterial(files Files, now time.Time) (*material, error) {
	raw, err := readFiles(files)
	if err != nil {
		return nil, err
	}
	return parseMaterial(raw, files, now)
}

func readFiles(files Files) (rawFiles, error) {
	var raw rawFiles
	var err error
	if raw.authority, err = os.ReadFile(files.Authority); err != nil {
		return raw, errors.Wrap(err, "read authority")
	}
	if raw.certificate, err = os.ReadFile(files.Certificate); err != nil {
		return raw, errors.Wrap(err, "read certificate")
	}
	if raw.privateKey, err = os.ReadFile(files.PrivateKey); err != nil {
		return raw, errors.Wrap(err, "read private key")
	}
	if files.DataSecrets == "" {
		return raw, nil
	}
	if raw.secrets, err = os.ReadFile(files.DataSecrets); err != nil {
		return raw, errors.Wrap(err, "read data secrets")
	}
	return raw, nil
}

func parseMaterial(raw rawFiles, files Files, now time.Time) (*material, error) {
	m := &material{raw: raw, authorities: x509.NewCertPool()}
	authorities, err := parseCertificates(raw.authority)
	if err != nil {
		return nil, errors.Wrapf(err, "authority %s", files.Authority)
	}
	for _, a := range authorities {
		if !a.IsCA {
			return nil, errors.Wrapf(ErrMalformed, "authority %s: %s is no authority", files.Authority, a.Subject)
		}
		m.authorities.AddCert(a)
	}
	if m.certificate, err = parsePair(raw.certificate, raw.privateKey); err != nil {
		return nil, errors.Wrapf(err, "certificate %s with private key %s", files.Certificate, files.PrivateKey)
	}
	leaf := m.certificate.Leaf
	if m.identity, err = verify(leaf, nil, m.authorities, now); err != nil {
		return nil, errors.Wrapf(err, "certificate %s", files.Certificate)
	}
	if raw.secrets == nil {
		return m, nil
	}
	if m.secrets, err = ParseSecrets(raw.secrets); err != nil {
		return nil, errors.Wrapf(err, "data secrets %s", files.DataSecrets)
	}
	return m, nil
}

func parsePair(certPEM, keyPEM []byte) (*tls.Certificate, error) {
	certs, err := parseCertificates(certPEM)
	if err != nil {
		return nil, err
	}
	key, err := parseKey(keyPEM)
	if err != nil {
		return nil, err
	}
	if !key.PublicKey.Equal(certs[0].PublicKey) {
		return nil, errors.Wrap(ErrMismatch, "the private key is another one's")
	}
	out := &tls.Certificate{PrivateKey: key, Leaf: certs[0]}
	for _, c := range certs {
		out.Certificate = append(out.Certificate, c.Raw)
	}
	return out, nil
}

func readCertificates(path string) ([]*x509.Certificate, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read certificates")
	}
	certs, err := parseCertificates(data)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	return certs, nil
}
