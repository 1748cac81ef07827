package keys

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"

	"github.com/go-faster/errors"
)

const (
	blockCertificate = "CERTIFICATE"
	blockKey         = "PRIVATE KEY"
)

// Errors of key files.
var (
	// ErrMalformed is returned for a file that is not in the expected form.
	ErrMalformed = errors.New("malformed file")
	// ErrMismatch is returned for files that do not belong together.
	ErrMismatch = errors.New("files do not belong together")
	// ErrExpired is returned for a certificate outside of its validity.
	ErrExpired = errors.New("certificate is not valid now")
)

func encodeCertificate(cert *x509.Certificate) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockCertificate, Bytes: cert.Raw})
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "encode private key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: blockKey, Bytes: der}), nil
}

// parseCertificates returns all certificates of a PEM file, one at least.
func parseCertificates(data []byte) ([]*x509.Certificate, error) {
	var out []*x509.Certificate
	for {
		block, rest := pem.Decode(data)
		if block == nil {
			break
		}
		data = rest
		if block.Type != blockCertificate {
			return nil, errors.Wrapf(ErrMalformed, "expected a certificate, found %q", block.Type)
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, errors.Wrapf(ErrMalformed, "certificate %d: %v", len(out)+1, err)
		}
		out = append(out, cert)
	}
	if len(out) == 0 {
		return nil, errors.Wrap(ErrMalformed, "no PEM certificate")
	}
	return out, nil
}

func parseKey(data []byte) (*ecdsa.PrivateKey, error) {
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, errors.Wrap(ErrMalformed, "no PEM private key")
	}
	if block.Type != blockKey {
		return nil, errors.Wrapf(ErrMalformed, "expected a private key, found %q", block.Type)
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "private key: %v", err)
	}
	ec, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.Wrapf(ErrMalformed, "private key is %T, expected ECDSA", key)
	}
	return ec, nil
}
