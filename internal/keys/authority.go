package keys

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

const (
	// DefaultAuthorityValidity is the validity of an authority.
	DefaultAuthorityValidity = 10 * 365 * 24 * time.Hour
	// DefaultValidity is the validity of a certificate.
	DefaultValidity = 365 * 24 * time.Hour
	// maxClockSkew is the tolerated difference between the clocks of two hosts.
	maxClockSkew = 10 * time.Minute

	serialBits = 120
)

// ErrInvalidValidity is returned for a validity that is not positive.
var ErrInvalidValidity = errors.New("validity must be positive")

// Authority signs the certificates of one deployment.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// KeyPair is a certificate with its private key, both in PEM.
type KeyPair struct {
	Certificate []byte
	PrivateKey  []byte
}

// NewAuthority creates an authority in memory.
func NewAuthority(now time.Time, validity time.Duration) (*Authority, error) {
	if validity <= 0 {
		return nil, ErrInvalidValidity
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate authority key")
	}
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: "eelgrasswharf authority " + serial.Text(36)},
		NotBefore:             now.Add(-maxClockSkew),
		NotAfter:              now.Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	cert, err := sign(template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "sign authority")
	}
	return &Authority{cert: cert, key: key}, nil
}

// CertificatePEM returns the authority's own certificate.
func (a *Authority) CertificatePEM() []byte {
	return encodeCertificate(a.cert)
}

// IssueProcess issues a certificate for a process of the deployment. ips may be empty;
// control links do not check them.
func (a *Authority) IssueProcess(id Identity, ips []netip.Addr, now time.Time, validity time.Duration) (*KeyPair, error) {
	if err := id.Validate(); err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: id.Name, OrganizationalUnit: []string{string(id.Role)}},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	template.URIs = append(template.URIs, id.URI())
	return a.issue(template, ips, now, validity)
}

// IssueCaller issues the certificate that agents of a service present to callers. Its DNS
// name is the service's name.
func (a *Authority) IssueCaller(service string, ips []netip.Addr, now time.Time, validity time.Duration) (*KeyPair, error) {
	if !namePattern.MatchString(service) {
		return nil, errors.Wrapf(ErrInvalidName, "service name %q", service)
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: service},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
		DNSNames:    []string{service},
	}
	return a.issue(template, ips, now, validity)
}

func (a *Authority) issue(template *x509.Certificate, ips []netip.Addr, now time.Time, validity time.Duration) (*KeyPair, error) {
	if validity <= 0 {
		return nil, ErrInvalidValidity
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	if template.SerialNumber, err = newSerial(); err != nil {
		return nil, err
	}
	template.NotBefore = now.Add(-maxClockSkew)
	template.NotAfter = now.Add(validity)
	if template.NotAfter.After(a.cert.NotAfter) {
		// Verification would fail after the authority has expired.
		template.NotAfter = a.cert.NotAfter
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.BasicConstraintsValid = true
	for _, ip := range ips {
		template.IPAddresses = append(template.IPAddresses, net.IP(ip.AsSlice()))
	}
	cert, err := sign(template, a.cert, key.Public(), a.key)
	if err != nil {
		return nil, errors.Wrap(err, "sign certificate")
	}
	keyPEM, err := encodeKey(key)
	if err != nil {
		return nil, err
	}
	return &KeyPair{Certificate: encodeCertificate(cert), PrivateKey: keyPEM}, nil
}

func sign(template, parent *x509.Certificate, public crypto.PublicKey, signer crypto.Signer) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, signer)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate")
	}
	return x509.ParseCertificate(der)
}

func newSerial() (*big.Int, error) {
	limit := new(big.Int).Lsh(big.NewInt(1), serialBits)
	n, err := rand.Int(rand.Reader, limit)
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	return n.Add(n, big.NewInt(1)), nil
}
