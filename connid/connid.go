package connid

import (
	"crypto/cipher"
	"crypto/subtle"
	"encoding/binary"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"
)

// Layout of a connection ID.
const (
	// Length is the length of every connection ID, in bytes.
	Length = 20
	// MaxNumber is the largest target number and incarnation that can be encoded.
	MaxNumber = 1<<24 - 1

	keyIDMask   = MaxSecretID
	blockLength = 16
	tagLength   = 3
	tagOffset   = 1 + blockLength
)

// Purposes of the keys derived from each secret.
const (
	blockKeyPurpose = "eelgrasswharf connection ID block"
	tagKeyPurpose   = "eelgrasswharf connection ID tag"
)

// ErrInvalidTarget is returned for a target that can't be encoded.
var ErrInvalidTarget = errors.New("target does not fit into a connection ID")

// Target is the content of a connection ID.
type Target struct {
	// Address is the frame address of the agent, IPv4.
	Address netip.AddrPort
	// Number is the stable number of the target, at most MaxNumber.
	Number uint32
	// Incarnation distinguishes restarts of the target, at most MaxNumber.
	Incarnation uint32
}

// Validate returns ErrInvalidTarget, wrapped, if t can't be encoded.
func (t Target) Validate() error {
	if !t.Address.Addr().Unmap().Is4() {
		return errors.Wrapf(ErrInvalidTarget, "address %v is not IPv4", t.Address)
	}
	if t.Address.Addr().Unmap().IsUnspecified() || t.Address.Port() == 0 {
		return errors.Wrapf(ErrInvalidTarget, "address %v is incomplete", t.Address)
	}
	if t.Number > MaxNumber {
		return errors.Wrapf(ErrInvalidTarget, "number %d", t.Number)
	}
	if t.Incarnation > MaxNumber {
		return errors.Wrapf(ErrInvalidTarget, "incarnation %d", t.Incarnation)
	}
	return nil
}

// Verdict is the result of decoding a connection ID.
type Verdict uint8

// Verdicts of Decode.
const (
	// OK means that this deployment issued the ID.
	OK Verdict = iota
	// WrongLength means that the ID is not Length bytes long.
	WrongLength
	// UnknownSecret means that no secret has the ID in the first byte.
	UnknownSecret
	// WrongTag means that this deployment did not issue the ID.
	WrongTag
	// NoAddress means that the ID contains no usable address.
	NoAddress
)

// String returns the verdict in the form used as a metric label.
func (v Verdict) String() string {
	switch v {
	case OK:
		return "ok"
	case WrongLength:
		return "wrong_length"
	case UnknownSecret:
		return "unknown_secret"
	case WrongTag:
		return "wrong_tag"
	case NoAddress:
		return "no_address"
	default:
		return "invalid"
	}
}

// Codec encodes and decodes connection IDs. It is safe for concurrent use.
type Codec struct {
	encodingID byte
	ciphers    [MaxSecretID + 1]ciphers
	scratch    sync.Pool
}

// ciphers holds the expanded keys of one secret; both are nil if there is none.
type ciphers struct {
	block cipher.Block
	tag   cipher.Block
}

// scratch is pooled, as arguments of a cipher.Block escape to the heap.
type scratch struct {
	ciphertext [blockLength]byte
	plaintext  [blockLength]byte
	tag        [blockLength]byte
}

// NewCodec returns a codec that encodes with the first secret and decodes with all of
// them. For an invalid list it returns ErrNoSecrets, ErrInvalidSecretID or
// ErrDuplicateSecret, wrapped.
func NewCodec(secrets []Secret) (*Codec, error) {
	if err := ValidateSecrets(secrets); err != nil {
		return nil, err
	}

	c := &Codec{encodingID: secrets[0].ID}
	c.scratch.New = func() any { return new(scratch) }
	for _, s := range secrets {
		block, err := s.DeriveBlock(blockKeyPurpose)
		if err != nil {
			return nil, errors.Wrapf(err, "secret %d", s.ID)
		}
		tag, err := s.DeriveBlock(tagKeyPurpose)
		if err != nil {
			return nil, errors.Wrapf(err, "secret %d", s.ID)
		}
		c.ciphers[s.ID] = ciphers{block: block, tag: tag}
	}
	return c, nil
}

// Encode returns a connection ID for t. The counter must be unique within the
// incarnation; the high bits of random fill the unused bits of the first byte. The
// caller must have validated t: an address that is not IPv4 is encoded as zero, and
// numbers above MaxNumber lose their high bits.
func (c *Codec) Encode(t Target, counter uint32, random byte) [Length]byte {
	s := c.scratch.Get().(*scratch)
	defer c.scratch.Put(s)

	putTarget(&s.plaintext, t, counter)
	k := &c.ciphers[c.encodingID]
	k.block.Encrypt(s.ciphertext[:], s.plaintext[:])
	k.tag.Encrypt(s.tag[:], s.ciphertext[:])

	var id [Length]byte
	id[0] = random&^keyIDMask | c.encodingID
	copy(id[1:], s.ciphertext[:])
	copy(id[tagOffset:], s.tag[:tagLength])
	return id
}

// Decode returns the target of a connection ID, or a verdict other than OK. It does not
// allocate and does not retain id.
func (c *Codec) Decode(id []byte) (Target, Verdict) {
	if len(id) != Length {
		return Target{}, WrongLength
	}
	k := &c.ciphers[id[0]&keyIDMask]
	if k.block == nil {
		return Target{}, UnknownSecret
	}

	s := c.scratch.Get().(*scratch)
	defer c.scratch.Put(s)
	copy(s.ciphertext[:], id[1:])
	k.tag.Encrypt(s.tag[:], s.ciphertext[:])
	if subtle.ConstantTimeCompare(s.tag[:tagLength], id[tagOffset:]) != 1 {
		return Target{}, WrongTag
	}

	k.block.Decrypt(s.plaintext[:], s.ciphertext[:])
	return getTarget(&s.plaintext)
}

func putTarget(b *[blockLength]byte, t Target, counter uint32) {
	clear(b[:])
	if a := t.Address.Addr().Unmap(); a.Is4() {
		ip := a.As4()
		copy(b[0:4], ip[:])
	}
	binary.BigEndian.PutUint16(b[4:6], t.Address.Port())
	putUint24(b[6:9], t.Number)
	putUint24(b[9:12], t.Incarnation)
	binary.BigEndian.PutUint32(b[12:16], counter)
}

func getTarget(b *[blockLength]byte) (Target, Verdict) {
	addr := netip.AddrFrom4([4]byte(b[0:4]))
	port := binary.BigEndian.Uint16(b[4:6])
	if addr.IsUnspecified() || port == 0 {
		return Target{}, NoAddress
	}
	return Target{
		Address:     netip.AddrPortFrom(addr, port),
		Number:      uint24(b[6:9]),
		Incarnation: uint24(b[9:12]),
	}, OK
}

func putUint24(b []byte, v uint32) {
	b[0] = byte(v >> 16)
	b[1] = byte(v >> 8)
	b[2] = byte(v)
}

func uint24(b []byte) uint32 {
	return uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2])
}
