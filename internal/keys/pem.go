package keys

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"

	"github.com/go-faster/errors"
)

const (
	pemTypeCertificate = "CERTIFICATE"
	pemTypeKey         = "PRIVATE KEY"
)

// Errors of key files.
var (
	// ErrMalformed is returned for a file in an unexpected format.
	ErrMalformed = errors.New("malformed file")
	// ErrMismatch is returned for files that do not match each other.
	ErrMismatch = errors.New("files do not match")
	// ErrExpired is returned for a certificate outside its validity period.
	ErrExpired = errors.New("certificate is not valid now")
)

func encodeCertificate(cert *x509.Certificate) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: pemTypeCertificate, Bytes: cert.Raw})
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "encode private key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemTypeKey, Bytes: der}), nil
}

// parseCertificates returns the certificates of a PEM file, at least one.
func parseCertificates(data []byte) ([]*x509.Certificate, error) {
	var out []*x509.Certificate
	for {
		block, rest := pem.Decode(data)
		if block == nil {
			break
		}
		data = rest
		if block.Type != pemTypeCertificate {
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
	if block.Type != pemTypeKey {
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
