package keys

import (
	"bytes"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
)

// NextAuthorityKeyFile is the private key of an authority that is trusted but
// does not sign yet.
const NextAuthorityKeyFile = "authority-next.key.pem"

// ErrRotationOrder is returned for a step of a rotation that is out of order.
var ErrRotationOrder = errors.New("rotation step out of order")

// AddAuthority makes a second authority in a folder. The authority file then
// holds both certificates; the former one signs until PreferAuthority, since
// every process must trust the new one before any process shows a certificate
// that it signed.
func AddAuthority(dir string) error {
	nextPath := filepath.Join(dir, NextAuthorityKeyFile)
	if _, err := os.Lstat(nextPath); err == nil {
		return errors.Wrapf(ErrExists, "%s: the rotation under way comes first", nextPath)
	}
	if _, err := LoadAuthority(dir); err != nil {
		return err
	}
	certPath := filepath.Join(dir, AuthorityFile)
	former, err := os.ReadFile(certPath)
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
	// A certificate without its key could never be preferred: the key first.
	if err := writeFile(nextPath, keyPEM, privateMode); err != nil {
		return err
	}
	return writeFile(certPath, append(former, next.CertificatePEM()...), publicMode)
}

// PreferAuthority lets the authority that AddAuthority made sign from now on.
// The private key of the former one is gone afterwards; what it signed stays
// valid until RemoveAuthority.
func PreferAuthority(dir string) error {
	nextPath := filepath.Join(dir, NextAuthorityKeyFile)
	data, err := os.ReadFile(nextPath)
	if os.IsNotExist(err) {
		return errors.Wrap(ErrRotationOrder, "no authority was added")
	}
	if err != nil {
		return errors.Wrap(err, "read authority key")
	}
	if _, err := authorityOf(dir, data); err != nil {
		return err
	}
	if err := os.Rename(nextPath, filepath.Join(dir, AuthorityKeyFile)); err != nil {
		return errors.Wrap(err, "replace authority key")
	}
	return syncDir(dir)
}

// RemoveAuthority removes every authority from a folder but the one that
// signs. Certificates of the others are refused wherever the file goes.
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
		return errors.Wrap(ErrRotationOrder, "there is no former authority")
	}
	return writeFile(certPath, after, publicMode)
}
