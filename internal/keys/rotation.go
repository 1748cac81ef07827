package keys

import (
	"bytes"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
)

// NextAuthorityKeyFile is the private key of an authority that is trusted but does not sign
// yet.
const NextAuthorityKeyFile = "authority-next.key.pem"

// ErrRotationOrder is returned for a rotation step that is out of order.
var ErrRotationOrder = errors.New("rotation step out of order")

// AddAuthority creates a second authority in a key directory and adds its certificate to the
// authority file. The previous authority signs until PreferAuthority, since every process
// must trust the new one before it signs certificates.
func AddAuthority(dir string) error {
	nextPath := filepath.Join(dir, NextAuthorityKeyFile)
	if _, err := os.Lstat(nextPath); err == nil {
		return errors.Wrapf(ErrExists, "%s: a rotation is in progress", nextPath)
	}
	if _, err := LoadAuthority(dir); err != nil {
		return err
	}
	certPath := filepath.Join(dir, AuthorityFile)
	previous, err := os.ReadFile(certPath)
	if err != nil {
		return errors.Wrap(err, "read authority")
	}
	next, err := NewAuthority(time.Now(), DefaultAuthorityValidity)
	if err != nil {
		return err
	}
	keyPEM, err := encodeKey(next.key)
	if err != nil {
		return err
	}
	// The key comes first: a certificate without its key could never sign.
	if err := writeFile(nextPath, keyPEM, privateMode); err != nil {
		return err
	}
	return writeFile(certPath, append(previous, next.CertificatePEM()...), publicMode)
}

// PreferAuthority makes the authority created by AddAuthority sign. It removes the private
// key of the previous one, whose certificates stay valid until RemoveAuthority.
func PreferAuthority(dir string) error {
	nextPath := filepath.Join(dir, NextAuthorityKeyFile)
	data, err := os.ReadFile(nextPath)
	if os.IsNotExist(err) {
		return errors.Wrap(ErrRotationOrder, "no authority was added")
	}
	if err != nil {
		return errors.Wrap(err, "read authority key")
	}
	if _, err := matchAuthority(dir, data); err != nil {
		return err
	}
	if err := os.Rename(nextPath, filepath.Join(dir, AuthorityKeyFile)); err != nil {
		return errors.Wrap(err, "replace authority key")
	}
	return syncDir(dir)
}

// RemoveAuthority removes all authorities but the signing one from a key directory.
// Certificates of the others are no longer accepted.
func RemoveAuthority(dir string) error {
	nextPath := filepath.Join(dir, NextAuthorityKeyFile)
	if _, err := os.Lstat(nextPath); err == nil {
		return errors.Wrap(ErrRotationOrder, "the authority that was added does not sign yet")
	}
	signing, err := LoadAuthority(dir)
	if err != nil {
		return err
	}
	certPath := filepath.Join(dir, AuthorityFile)
	before, err := os.ReadFile(certPath)
	if err != nil {
		return errors.Wrap(err, "read authority")
	}
	after := signing.CertificatePEM()
	if bytes.Equal(before, after) {
		return errors.Wrap(ErrRotationOrder, "there is no previous authority")
	}
	return writeFile(certPath, after, publicMode)
}
