package connid

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"

	"github.com/go-faster/errors"
)

// Limits of the secrets of a deployment.
const (
	// MaxSecretID is the largest ID of a secret: the ID has 3 bits on the wire.
	MaxSecretID = 7
	// SecretLength is the length of the key of a secret, in bytes.
	SecretLength = 32

	blockKeyLength = 16
)

// Errors of the secrets given to a codec.
var (
	ErrNoSecrets       = errors.New("no secrets")
	ErrInvalidSecretID = errors.New("secret ID out of range")
	ErrDuplicateSecret = errors.New("secret ID given twice")
)

// Secret is one deployment-wide secret. Several may be valid at a time so
// that they can be replaced without breaking flows.
type Secret struct {
	// ID tells the secrets of a deployment apart, 0 to MaxSecretID.
	ID byte
	// Key is uniformly random. No cipher uses it directly, see DeriveBlock.
	Key [SecretLength]byte
}

// DeriveBlock returns an AES-128 cipher under a key derived from s. Each
// purpose gets an independent key, so that one secret serves several codecs.
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

// ValidateSecrets reports why a list of secrets can't be used: it is empty, an
// ID is out of range or given twice.
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
