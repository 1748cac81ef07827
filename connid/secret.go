package connid

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"

	"github.com/go-faster/errors"
)

// Limits of secrets.
const (
	// MaxSecretID is the largest ID of a secret, which is encoded in 3 bits.
	MaxSecretID = 7
	// SecretLength is the length of a key in bytes.
	SecretLength = 32

	blockKeyLength = 16
)

// Errors of ValidateSecrets.
var (
	ErrNoSecrets       = errors.New("no secrets")
	ErrInvalidSecretID = errors.New("secret ID out of range")
	ErrDuplicateSecret = errors.New("duplicate secret ID")
)

// Secret is a secret shared by the deployment. Several are valid during a rotation.
type Secret struct {
	// ID identifies the secret, 0 to MaxSecretID.
	ID byte
	// Key is uniformly random. Ciphers use keys derived from it, see DeriveBlock.
	Key [SecretLength]byte
}

// DeriveBlock returns an AES-128 cipher with a key derived from s. Keys of different
// purposes are independent.
func (s Secret) DeriveBlock(purpose string) (cipher.Block, error) {
	key, err := hkdf.Expand(sha256.New, s.Key[:], purpose, blockKeyLength)
	if err != nil {
		return nil, errors.Wrap(err, "derive key")
	}

	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, errors.Wrap(err, "make cipher")
	}
	return block, nil
}

// ValidateSecrets returns an error if the list is empty, or an ID is out of range or
// not unique.
func ValidateSecrets(secrets []Secret) error {
	if len(secrets) == 0 {
		return ErrNoSecrets
	}

	var seen [MaxSecretID + 1]bool
	for _, s := range secrets {
		if s.ID > MaxSecretID {
			return errors.Wrapf(ErrInvalidSecretID, "secret %d", s.ID)
		}
		if seen[s.ID] {
			return errors.Wrapf(ErrDuplicateSecret, "secret %d", s.ID)
		}
		seen[s.ID] = true
	}
	return nil
}
