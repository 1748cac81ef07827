package routing

import (
	"crypto/cipher"
	"crypto/subtle"
	"encoding/binary"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/connid"
)

const (
	purposeHash = "eelgrasswharf flow hash"
	blockLength = 16
)

// Hasher hashes a flow that has no reply yet. All hosts with the same secret compute
// the same hash, so a repeated first packet gets the same candidates at every entry
// host. Without the secret an attacker cannot craft flows that all hit one target. It is
// safe for concurrent use.
type Hasher struct {
	block   cipher.Block
	scratch sync.Pool
}

// hashState is pooled, as arguments of a cipher.Block escape to the heap.
type hashState struct {
	sum   [blockLength]byte
	input [blockLength]byte
}

// NewHasher returns a hasher under a key derived from the secret.
func NewHasher(secret connid.Secret) (*Hasher, error) {
	block, err := secret.DeriveBlock(purposeHash)
	if err != nil {
		return nil, errors.Wrap(err, "flow hash")
	}
	h := &Hasher{block: block}
	h.scratch.New = func() any { return new(hashState) }
	return h, nil
}

// Hash returns the hash of a flow, given the address of its caller and the connection
// ID that the caller chose. It does not allocate.
func (h *Hasher) Hash(caller netip.AddrPort, id []byte) uint64 {
	s := h.scratch.Get().(*hashState)
	defer h.scratch.Put(s)

	s.sum = caller.Addr().As16()
	h.block.Encrypt(s.sum[:], s.sum[:])

	// The length is included, so that IDs that differ in trailing zeros have different
	// hashes.
	clear(s.input[:])
	binary.BigEndian.PutUint16(s.input[:], caller.Port())
	s.input[2] = byte(len(id))
	h.absorb(s)

	for len(id) > 0 {
		clear(s.input[:])
		n := copy(s.input[:], id)
		id = id[n:]
		h.absorb(s)
	}
	return binary.BigEndian.Uint64(s.sum[:])
}

func (h *Hasher) absorb(s *hashState) {
	subtle.XORBytes(s.sum[:], s.sum[:], s.input[:])
	h.block.Encrypt(s.sum[:], s.sum[:])
}
