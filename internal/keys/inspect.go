package keys

import (
	"bytes"
	"crypto/x509"
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// Kind is the kind of content of a key file.
type Kind string

// The kinds of key files.
const (
	KindAuthority   Kind = "authority"
	KindProcess     Kind = "process certificate"
	KindCaller      Kind = "caller certificate"
	KindPrivateKey  Kind = "private key"
	KindDataSecrets Kind = "data secrets"
)

// Inspection describes one item of a key file without any secret.
type Inspection struct {
	Kind Kind
	// Identity is set for process certificates.
	Identity Identity
	// The following fields are set for certificates.
	Subject   string
	Serial    string
	DNSNames  []string
	IPs       []net.IP
	NotBefore time.Time
	NotAfter  time.Time
	// SecretIDs lists the IDs of data secrets; the first one encodes.
	SecretIDs []uint8
}

// InspectFile describes the content of a key file.
func InspectFile(path string) ([]Inspection, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read key file")
	}
	out, err := inspect(data)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	return out, nil
}

func inspect(data []byte) ([]Inspection, error) {
	if !bytes.Contains(data, []byte("-----BEGIN ")) {
		secrets, err := ParseSecrets(data)
		if err != nil {
			return nil, err
		}
		item := Inspection{Kind: KindDataSecrets}
		for _, s := range secrets {
			item.SecretIDs = append(item.SecretIDs, s.ID)
		}
		return []Inspection{item}, nil
	}
	if bytes.Contains(data, []byte(pemTypeKey)) {
		if _, err := parseKey(data); err != nil {
			return nil, err
		}
		return []Inspection{{Kind: KindPrivateKey}}, nil
	}
	certs, err := parseCertificates(data)
	if err != nil {
		return nil, err
	}
	var out []Inspection
	for _, cert := range certs {
		out = append(out, inspectCertificate(cert))
	}
	return out, nil
}

func inspectCertificate(cert *x509.Certificate) Inspection {
	item := Inspection{
		Kind:      KindCaller,
		Subject:   cert.Subject.String(),
		Serial:    cert.SerialNumber.Text(16),
		DNSNames:  cert.DNSNames,
		IPs:       cert.IPAddresses,
		NotBefore: cert.NotBefore,
		NotAfter:  cert.NotAfter,
	}
	if cert.IsCA {
		item.Kind = KindAuthority
	} else if id, err := IdentityOf(cert); err == nil {
		item.Kind = KindProcess
		item.Identity = id
	}
	return item
}
