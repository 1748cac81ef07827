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

// Hasher hashes what is known of a flow that no target has answered yet. All
// hosts with the same secret hash alike, so a repeated first packet meets the
// same candidates at every entry host; without the secret nobody can make up
// flows that meet on one target. It is safe for concurrent use.
type Hasher struct {
	block   cipher.Block
	scratch sync.Pool
}

// hashState is working memory for one hash. It is pooled because what is
// handed to a cipher.Block escapes to the heap.
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

// Hash returns the hash of a flow by its caller's address and the connection
// ID that the caller made up. It allocates nothing.
func (h *Hasher) Hash(caller netip.AddrPort, id []byte) uint64 {
	s := h.scratch.Get().(*hashState)
	defer h.scratch.Put(s)

	s.sum = caller.Addr().As16()
	h.block.Encrypt(s.sum[:], s.sum[:])

	// Port and length come first, which keeps IDs that differ in trailing
	// zeros apart.
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
