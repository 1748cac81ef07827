package keys

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

const (
	// SecretLength is the length of a data secret in bytes.
	SecretLength = 32
	// MaxSecretID is the largest ID of a data secret; connection IDs have three bits for it.
	MaxSecretID = 7
)

// ErrNoFreeSecretID is returned if all IDs of data secrets are in use.
var ErrNoFreeSecretID = errors.New("all IDs of data secrets are in use")

// ErrInvalidSecretChange is returned for a change that the present data secrets do not allow.
var ErrInvalidSecretChange = errors.New("data secrets unchanged")

// Secret protects connection IDs and frames.
type Secret struct {
	// ID identifies the secret in connection IDs and frames: 0 to MaxSecretID.
	ID  uint8
	Key [SecretLength]byte
}

// NewSecret creates a random secret.
func NewSecret(id uint8) (Secret, error) {
	s := Secret{ID: id}
	if id > MaxSecretID {
		return s, errors.Wrapf(ErrMalformed, "data secret ID %d is above %d", id, MaxSecretID)
	}
	if _, err := rand.Read(s.Key[:]); err != nil {
		return s, errors.Wrap(err, "generate data secret")
	}
	return s, nil
}

// ParseSecrets parses a data secrets file: lines with an ID and 32 bytes in hex. The first
// secret encodes, all of them decode. Empty lines and lines that start with # are skipped.
// Errors contain line numbers but no secrets.
func ParseSecrets(data []byte) ([]Secret, error) {
	var out []Secret
	used := make(map[uint8]bool)
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		s, err := parseSecret(line)
		if err != nil {
			return nil, errors.Wrapf(err, "line %d", i+1)
		}
		if used[s.ID] {
			return nil, errors.Wrapf(ErrMalformed, "line %d: ID %d appears twice", i+1, s.ID)
		}
		used[s.ID] = true
		out = append(out, s)
	}
	if len(out) == 0 {
		return nil, errors.Wrap(ErrMalformed, "no data secret")
	}
	return out, nil
}

func parseSecret(line string) (Secret, error) {
	fields := strings.Fields(line)
	if len(fields) != 2 {
		return Secret{}, errors.Wrapf(ErrMalformed, "expected an ID and a secret, found %d fields", len(fields))
	}
	id, err := strconv.ParseUint(fields[0], 10, 8)
	if err != nil || id > MaxSecretID {
		return Secret{}, errors.Wrapf(ErrMalformed, "ID is not a number from 0 to %d", MaxSecretID)
	}
	key, err := hex.DecodeString(fields[1])
	if err != nil || len(key) != SecretLength {
		return Secret{}, errors.Wrapf(ErrMalformed, "secret is not %d bytes in hex", SecretLength)
	}
	s := Secret{ID: uint8(id)}
	copy(s.Key[:], key)
	return s, nil
}

// FormatSecrets returns the content of a data secrets file.
func FormatSecrets(secrets []Secret) []byte {
	var b bytes.Buffer
	for _, s := range secrets {
		fmt.Fprintf(&b, "%d %s\n", s.ID, hex.EncodeToString(s.Key[:]))
	}
	return b.Bytes()
}

// appendSecret appends a new secret with a free ID. As it is not the first one it only
// decodes.
func appendSecret(secrets []Secret) ([]Secret, Secret, error) {
	used := make(map[uint8]bool)
	for _, s := range secrets {
		used[s.ID] = true
	}
	for id := uint8(0); id <= MaxSecretID; id++ {
		if used[id] {
			continue
		}
		s, err := NewSecret(id)
		if err != nil {
			return nil, s, err
		}
		return append(secrets, s), s, nil
	}
	return nil, Secret{}, ErrNoFreeSecretID
}
