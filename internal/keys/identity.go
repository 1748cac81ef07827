package keys

import (
	"crypto/x509"
	"net/url"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
)

// Role is what a process is authorized to do on control links.
type Role string

// The roles of a deployment.
const (
	RoleControl  Role = "control"
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
	// RoleCaller marks the certificate that agents present to callers. It is not a process
	// identity and is refused on control links.
	RoleCaller Role = "caller"
)

const (
	uriScheme    = "eelgrasswharf"
	serviceParam = "service"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Errors of identities.
var (
	// ErrRoleNotAllowed is returned for a role that is unknown or not allowed.
	ErrRoleNotAllowed = errors.New("role not allowed")
	// ErrInvalidName is returned for a name that is empty, too long or has characters other
	// than A-Z, a-z, 0-9, dot, underscore and hyphen.
	ErrInvalidName = errors.New("invalid name")
	// ErrNoIdentity is returned for a certificate without a process identity.
	ErrNoIdentity = errors.New("certificate has no process identity")
)

// Identity is the process identity in a certificate.
type Identity struct {
	Role Role
	// Name is unique among the processes of a role.
	Name string
	// Service is set for agents only.
	Service string
}

// ParseRole returns the role with the given name.
func ParseRole(s string) (Role, error) {
	switch r := Role(s); r {
	case RoleControl, RoleEntry, RoleAgent, RoleOperator, RoleCaller:
		return r, nil
	}
	return "", errors.Wrapf(ErrRoleNotAllowed, "%q", s)
}

// URI returns the identity in the form used in certificates.
func (i Identity) URI() *url.URL {
	u := &url.URL{Scheme: uriScheme, Opaque: string(i.Role) + "/" + i.Name}
	if i.Service != "" {
		u.RawQuery = url.Values{serviceParam: {i.Service}}.Encode()
	}
	return u
}

// String returns the identity as text.
func (i Identity) String() string {
	return i.URI().String()
}

// Validate checks that the identity can be put into a certificate.
func (i Identity) Validate() error {
	if _, err := ParseRole(string(i.Role)); err != nil {
		return err
	}
	if i.Role == RoleCaller {
		return errors.Wrap(ErrRoleNotAllowed, "a caller certificate is not a process identity")
	}
	if !namePattern.MatchString(i.Name) {
		return errors.Wrapf(ErrInvalidName, "process name %q", i.Name)
	}
	if i.Role == RoleAgent && !namePattern.MatchString(i.Service) {
		return errors.Wrapf(ErrInvalidName, "service name %q", i.Service)
	}
	if i.Role != RoleAgent && i.Service != "" {
		return errors.Wrapf(ErrInvalidName, "role %s has no service, got %q", i.Role, i.Service)
	}
	return nil
}

// IdentityOf returns the process identity of a certificate without verifying its signature.
func IdentityOf(cert *x509.Certificate) (Identity, error) {
	for _, u := range cert.URIs {
		if u.Scheme != uriScheme {
			continue
		}
		role, name, _ := strings.Cut(u.Opaque, "/")
		id := Identity{
			Role:    Role(role),
			Name:    name,
			Service: u.Query().Get(serviceParam),
		}
		if err := id.Validate(); err != nil {
			return Identity{}, err
		}
		return id, nil
	}
	return Identity{}, errors.Wrapf(ErrNoIdentity, "subject %s", cert.Subject)
}
