package keys

import (
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

// Names of the files in a key directory.
const (
	AuthorityFile    = "authority.pem"
	AuthorityKeyFile = "authority.key.pem"
	DataSecretsFile  = "data-secrets"

	certSuffix   = ".pem"
	keySuffix    = ".key.pem"
	callerPrefix = "caller-"

	publicMode  fs.FileMode = 0o644
	privateMode fs.FileMode = 0o600
	dirMode     fs.FileMode = 0o700
)

// ErrExists is returned instead of overwriting an authority.
var ErrExists = errors.New("file exists")

// Files names the key files of one process. DataSecrets may be empty if the process does not
// handle connection IDs.
type Files struct {
	Authority   string
	Certificate string
	PrivateKey  string
	DataSecrets string
}

// Settings returns the settings section that names the files.
func (f Files) Settings() *settingspb.Keys {
	return &settingspb.Keys{
		Authority:   f.Authority,
		Certificate: f.Certificate,
		PrivateKey:  f.PrivateKey,
		DataSecrets: f.DataSecrets,
	}
}

// InitAuthority creates an authority and the first data secret in a directory. It fails if
// there is an authority already.
func InitAuthority(dir string) error {
	certPath := filepath.Join(dir, AuthorityFile)
	keyPath := filepath.Join(dir, AuthorityKeyFile)
	for _, path := range []string{certPath, keyPath} {
		if _, err := os.Lstat(path); err == nil {
			return errors.Wrap(ErrExists, path)
		}
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrap(err, "create directory")
	}
	a, err := NewAuthority(time.Now(), DefaultAuthorityValidity)
	if err != nil {
		return err
	}
	keyPEM, err := encodeKey(a.key)
	if err != nil {
		return err
	}
	if err := writeFile(keyPath, keyPEM, privateMode); err != nil {
		return err
	}
	if err := writeFile(certPath, a.CertificatePEM(), publicMode); err != nil {
		return err
	}
	if _, err := os.Lstat(filepath.Join(dir, DataSecretsFile)); err == nil {
		return nil
	}
	_, err = AddDataSecret(dir)
	return err
}

// LoadAuthority reads the authority of a key directory: the certificate in the authority
// file that matches the private key.
func LoadAuthority(dir string) (*Authority, error) {
	data, err := os.ReadFile(filepath.Join(dir, AuthorityKeyFile))
	if err != nil {
		return nil, errors.Wrap(err, "read authority key")
	}
	return matchAuthority(dir, data)
}

// matchAuthority finds the certificate in the authority file that matches a private key.
func matchAuthority(dir string, keyPEM []byte) (*Authority, error) {
	certPath := filepath.Join(dir, AuthorityFile)
	certs, err := readCertificates(certPath)
	if err != nil {
		return nil, err
	}
	key, err := parseKey(keyPEM)
	if err != nil {
		return nil, errors.Wrap(err, "authority key")
	}
	for _, cert := range certs {
		if key.PublicKey.Equal(cert.PublicKey) {
			return &Authority{cert: cert, key: key}, nil
		}
	}
	return nil, errors.Wrapf(ErrMismatch, "%s and its private key", certPath)
}

// Issue issues a certificate with the authority of a key directory and writes it there,
// replacing one of the same name. For RoleCaller the file is named after the service and name
// is ignored.
func Issue(dir string, role Role, name, service string, ips []netip.Addr, validity time.Duration) (Files, error) {
	a, err := LoadAuthority(dir)
	if err != nil {
		return Files{}, err
	}
	var pair *KeyPair
	base := name
	if role == RoleCaller {
		base = callerPrefix + service
		pair, err = a.IssueCaller(service, ips, time.Now(), validity)
	} else {
		pair, err = a.IssueProcess(Identity{Role: role, Name: name, Service: service}, ips, time.Now(), validity)
	}
	if err != nil {
		return Files{}, err
	}
	files := Files{
		Authority:   filepath.Join(dir, AuthorityFile),
		Certificate: filepath.Join(dir, base+certSuffix),
		PrivateKey:  filepath.Join(dir, base+keySuffix),
		DataSecrets: filepath.Join(dir, DataSecretsFile),
	}
	if files.Certificate == files.Authority || filepath.Base(files.PrivateKey) == NextAuthorityKeyFile {
		return Files{}, errors.Wrapf(ErrInvalidName, "%q is reserved for the authority", name)
	}
	if err := writeFile(files.PrivateKey, pair.PrivateKey, privateMode); err != nil {
		return Files{}, err
	}
	return files, writeFile(files.Certificate, pair.Certificate, publicMode)
}

// AddDataSecret adds a data secret to the file in a key directory and returns its ID. The
// secret only decodes until PreferDataSecret, which must wait until every process has
// loaded it.
func AddDataSecret(dir string) (uint8, error) {
	path := filepath.Join(dir, DataSecretsFile)
	var secrets []Secret
	data, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return 0, errors.Wrap(err, "read data secrets")
	default:
		if secrets, err = ParseSecrets(data); err != nil {
			return 0, errors.Wrap(err, path)
		}
	}
	secrets, added, err := appendSecret(secrets)
	if err != nil {
		return 0, errors.Wrap(err, path)
	}
	return added.ID, writeFile(path, FormatSecrets(secrets), privateMode)
}

// PreferDataSecret moves a data secret to the top of the file, so that it encodes.
func PreferDataSecret(dir string, id uint8) error {
	return editSecrets(dir, id, func(chosen Secret, others []Secret) []Secret {
		return append([]Secret{chosen}, others...)
	})
}

// RemoveDataSecret removes a data secret. Flows whose connection IDs it protects can no
// longer be forwarded.
func RemoveDataSecret(dir string, id uint8) error {
	return editSecrets(dir, id, func(_ Secret, others []Secret) []Secret {
		return others
	})
}

func editSecrets(dir string, id uint8, edit func(chosen Secret, others []Secret) []Secret) error {
	path := filepath.Join(dir, DataSecretsFile)
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read data secrets")
	}
	secrets, err := ParseSecrets(data)
	if err != nil {
		return errors.Wrap(err, path)
	}
	for i, s := range secrets {
		if s.ID != id {
			continue
		}
		others := append(append([]Secret{}, secrets[:i]...), secrets[i+1:]...)
		result := edit(s, others)
		if len(result) == 0 {
			return errors.Wrapf(ErrInvalidSecretChange, "%s: the last data secret cannot be removed", path)
		}
		return writeFile(path, FormatSecrets(result), privateMode)
	}
	return errors.Wrapf(ErrInvalidSecretChange, "%s: no data secret has ID %d", path, id)
}

// writeFile replaces a file atomically, since a process may reload it at any time.
func writeFile(path string, data []byte, mode fs.FileMode) error {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, ".keys-*")
	if err != nil {
		return errors.Wrap(err, "create temporary file")
	}
	defer func() { _ = os.Remove(f.Name()) }()
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return errors.Wrapf(err, "write %s", path)
	}
	if err := f.Chmod(mode); err != nil {
		_ = f.Close()
		return errors.Wrapf(err, "set mode of %s", path)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return errors.Wrapf(err, "sync %s", path)
	}
	if err := f.Close(); err != nil {
		return errors.Wrapf(err, "close %s", path)
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return errors.Wrapf(err, "replace %s", path)
	}
	return syncDir(dir)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open directory")
	}
	defer func() { _ = d.Close() }()
	if err := d.Sync(); err != nil {
		return errors.Wrapf(err, "sync %s", dir)
	}
	return nil
}
