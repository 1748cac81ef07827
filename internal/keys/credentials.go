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

// ReloadInterval is the time between checks of the key files of a process.
const ReloadInterval = 10 * time.Second

// Credentials holds the keys of one process. It is safe for concurrent use.
type Credentials struct {
	files   Files
	current atomic.Pointer[keySet]

	// mu serializes reloads and guards onChange.
	mu       sync.Mutex
	onChange []func()
}

// keySet is a consistent set of keys. It is immutable.
type keySet struct {
	raw         rawFiles
	identity    Identity
	certificate *tls.Certificate
	authorities *x509.CertPool
	secrets     []Secret
	// unauthenticated means that the identity in a peer's certificate is not verified.
	unauthenticated bool
}

type rawFiles struct {
	authority   []byte
	certificate []byte
	privateKey  []byte
	secrets     []byte
}

// Load reads the key files of a process and checks that they match and are valid.
func Load(files Files) (*Credentials, error) {
	c := &Credentials{files: files}
	set, err := loadKeySet(files, time.Now())
	if err != nil {
		return nil, err
	}
	c.current.Store(set)
	return c, nil
}

// FromSettings loads the key files named in a settings section.
func FromSettings(s *settingspb.Keys) (*Credentials, error) {
	return Load(Files{
		Authority:   s.GetAuthority(),
		Certificate: s.GetCertificate(),
		PrivateKey:  s.GetPrivateKey(),
		DataSecrets: s.GetDataSecrets(),
	})
}

// ForProcess loads the key files named in a settings section, or creates unauthenticated
// credentials for id if the section requests that.
func ForProcess(s *settingspb.Keys, id Identity) (*Credentials, error) {
	if s.GetUnauthenticated() {
		return Unauthenticated(id)
	}
	return FromSettings(s)
}

// Unauthenticated creates credentials with a new key, without a shared authority. Links are
// encrypted, but peers are not verified, so there is no protection against an attacker who
// takes part in the handshake.
func Unauthenticated(id Identity) (*Credentials, error) {
	now := time.Now()
	// A long validity tolerates jumps of the clock; peers do not check it.
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

// Authenticated reports whether the identity of peers is verified.
func (c *Credentials) Authenticated() bool { return !c.current.Load().unauthenticated }

// InMemory creates credentials that are not read from files.
func InMemory(authorities []byte, pair *KeyPair, secrets []Secret) (*Credentials, error) {
	c := &Credentials{}
	if err := c.Replace(authorities, pair, secrets); err != nil {
		return nil, err
	}
	return c, nil
}

// Replace sets new keys. It is for credentials created by InMemory.
func (c *Credentials) Replace(authorities []byte, pair *KeyPair, secrets []Secret) error {
	raw := rawFiles{
		authority:   authorities,
		certificate: pair.Certificate,
		privateKey:  pair.PrivateKey,
	}
	if len(secrets) > 0 {
		raw.secrets = FormatSecrets(secrets)
	}
	set, err := parseKeySet(raw, Files{}, time.Now())
	if err != nil {
		return err
	}
	c.replace(set)
	return nil
}

// Identity returns the identity of this process.
func (c *Credentials) Identity() Identity {
	return c.current.Load().identity
}

// DataSecrets returns the data secrets; the first one encodes. The caller must not modify
// the slice.
func (c *Credentials) DataSecrets() []Secret {
	return c.current.Load().secrets
}

// NotAfter returns the expiry of the certificate.
func (c *Credentials) NotAfter() time.Time {
	return c.current.Load().certificate.Leaf.NotAfter
}

// OnChange registers a function that is called after each reload that changed the keys.
func (c *Credentials) OnChange(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onChange = append(c.onChange, f)
}

// Reload reads the files again and reports whether the keys have changed. After an error the
// previous keys remain in use.
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
	set, err := parseKeySet(raw, c.files, time.Now())
	if err != nil {
		return false, err
	}
	c.replace(set)
	return true, nil
}

// Watch reloads the files at each interval until ctx is done. It calls report after each
// change and once after the same error in two successive attempts: files that are being
// replaced may not match for a moment.
func (c *Credentials) Watch(ctx context.Context, interval time.Duration, report func(changed bool, err error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var lastError, reportedError string
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := c.Reload()
		errText := ""
		if err != nil {
			errText = err.Error()
		}
		switch {
		case changed:
			report(true, nil)
		case err != nil && errText == lastError && errText != reportedError:
			report(false, err)
			reportedError = errText
		}
		if err == nil {
			reportedError = ""
		}
		lastError = errText
	}
}

// LogReload returns a report function for Watch that logs.
func LogReload(log *zap.Logger) func(changed bool, err error) {
	return func(_ bool, err error) {
		if err != nil {
			log.Warn("keys not reloaded, the previous ones stay in use", zap.Error(err))
			return
		}
		log.Info("keys reloaded")
	}
}

// StatelessResetKey returns a key derived from the private key. With the same private key a
// restarted listener can reset connections of its previous instance.
func (c *Credentials) StatelessResetKey() [sha256.Size]byte {
	mac := hmac.New(sha256.New, c.current.Load().raw.privateKey)
	_, _ = mac.Write([]byte(statelessResetLabel))
	return [sha256.Size]byte(mac.Sum(nil))
}

func (c *Credentials) replace(set *keySet) {
	c.mu.Lock()
	c.current.Store(set)
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

func loadKeySet(files Files, now time.Time) (*keySet, error) {
	raw, err := readFiles(files)
	if err != nil {
		return nil, err
	}
	return parseKeySet(raw, files, now)
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

func parseKeySet(raw rawFiles, files Files, now time.Time) (*keySet, error) {
	set := &keySet{raw: raw, authorities: x509.NewCertPool()}
	authorities, err := parseCertificates(raw.authority)
	if err != nil {
		return nil, errors.Wrapf(err, "authority %s", files.Authority)
	}
	for _, a := range authorities {
		if !a.IsCA {
			return nil, errors.Wrapf(ErrMalformed, "authority %s: %s is not an authority", files.Authority, a.Subject)
		}
		set.authorities.AddCert(a)
	}
	if set.certificate, err = parseKeyPair(raw.certificate, raw.privateKey); err != nil {
		return nil, errors.Wrapf(err, "certificate %s with private key %s", files.Certificate, files.PrivateKey)
	}
	leaf := set.certificate.Leaf
	if set.identity, err = verify(leaf, nil, set.authorities, now); err != nil {
		return nil, errors.Wrapf(err, "certificate %s", files.Certificate)
	}
	if raw.secrets == nil {
		return set, nil
	}
	if set.secrets, err = ParseSecrets(raw.secrets); err != nil {
		return nil, errors.Wrapf(err, "data secrets %s", files.DataSecrets)
	}
	return set, nil
}

func parseKeyPair(certPEM, keyPEM []byte) (*tls.Certificate, error) {
	certs, err := parseCertificates(certPEM)
	if err != nil {
		return nil, err
	}
	key, err := parseKey(keyPEM)
	if err != nil {
		return nil, err
	}
	if !key.PublicKey.Equal(certs[0].PublicKey) {
		return nil, errors.Wrap(ErrMismatch, "the private key does not match the certificate")
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
