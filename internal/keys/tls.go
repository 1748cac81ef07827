package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Errors of peer verification.
var (
	// ErrNoCertificate is returned for a peer without a certificate.
	ErrNoCertificate = errors.New("peer presented no certificate")
	// ErrUnknownAuthority is returned for a certificate that no trusted authority signed.
	ErrUnknownAuthority = errors.New("certificate signed by unknown authority")
)

// ServerTLS returns the configuration of a listener that accepts only peers with the given
// roles. The caller sets NextProtos.
func (c *Credentials) ServerTLS(allowed ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection checks the certificate and returns distinct errors.
		ClientAuth:             tls.RequestClientCert,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := c.VerifyPeer(state, allowed...)
			return err
		},
	}
}

// ClientTLS returns the configuration of a dialer that accepts only peers with the given
// roles. The caller sets NextProtos.
func (c *Credentials) ClientTLS(allowed ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection checks signature, validity and identity; host names play no role.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.current.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := c.VerifyPeer(state, allowed...)
			return err
		},
	}
}

// VerifyPeer verifies the peer's certificate and checks that its role is allowed.
func (c *Credentials) VerifyPeer(state tls.ConnectionState, allowed ...Role) (Identity, error) {
	certs := state.PeerCertificates
	if len(certs) == 0 {
		return Identity{}, ErrNoCertificate
	}
	id, err := c.identify(certs)
	if err != nil {
		return Identity{}, err
	}
	if !slices.Contains(allowed, id.Role) {
		return Identity{}, errors.Wrapf(ErrRoleNotAllowed, "%s", id)
	}
	return id, nil
}

// identify returns the identity in a peer's certificate, verified unless the credentials are
// unauthenticated.
func (c *Credentials) identify(certs []*x509.Certificate) (Identity, error) {
	loaded := c.current.Load()
	if loaded.unauthenticated {
		return IdentityOf(certs[0])
	}
	return verify(certs[0], certs[1:], loaded.authorities, time.Now())
}

// CallerCertificate loads the certificate that an agent presents to callers.
func CallerCertificate(certPath, keyPath string) (*tls.Certificate, error) {
	certPEM, err := os.ReadFile(certPath)
	if err != nil {
		return nil, errors.Wrap(err, "read caller certificate")
	}
	keyPEM, err := os.ReadFile(keyPath)
	if err != nil {
		return nil, errors.Wrap(err, "read caller private key")
	}
	cert, err := ParseCallerCertificate(&KeyPair{Certificate: certPEM, PrivateKey: keyPEM})
	if err != nil {
		return nil, errors.Wrapf(err, "caller certificate %s with private key %s", certPath, keyPath)
	}
	return cert, nil
}

// ParseCallerCertificate is like CallerCertificate for keys in memory.
func ParseCallerCertificate(pair *KeyPair) (*tls.Certificate, error) {
	cert, err := parseKeyPair(pair.Certificate, pair.PrivateKey)
	if err != nil {
		return nil, err
	}
	if err := checkValidity(cert.Leaf, time.Now()); err != nil {
		return nil, err
	}
	return cert, nil
}

// verify verifies a certificate and returns its identity.
func verify(leaf *x509.Certificate, chain []*x509.Certificate, authorities *x509.CertPool, now time.Time) (Identity, error) {
	if err := checkValidity(leaf, now); err != nil {
		return Identity{}, err
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain {
		intermediates.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return Identity{}, errors.Wrap(ErrExpired, "authority")
	}
	if err != nil {
		return Identity{}, errors.Wrapf(ErrUnknownAuthority, "%s: %v", leaf.Subject, err)
	}
	return IdentityOf(leaf)
}

func checkValidity(cert *x509.Certificate, now time.Time) error {
	if now.Before(cert.NotBefore) || now.After(cert.NotAfter) {
		return errors.Wrapf(ErrExpired, "%s: valid from %s to %s", cert.Subject,
			cert.NotBefore.Format(time.RFC3339), cert.NotAfter.Format(time.RFC3339))
	}
	return nil
}
