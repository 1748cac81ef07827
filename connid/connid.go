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
	// MaxNumber is the largest target number and incarnation that fit.
	MaxNumber = 1<<24 - 1

	keyIDMask   = MaxSecretID
	blockLength = 16
	tagLength   = 3
	tagOffset   = 1 + blockLength
)

// Purposes of the two keys derived from each secret.
const (
	purposeBlock = "eelgrasswharf connection ID block"
	purposeTag   = "eelgrasswharf connection ID tag"
)

// ErrInvalidTarget tells that a target does not fit into a connection ID.
var ErrInvalidTarget = errors.New("target does not fit into a connection ID")

// Target is what a connection ID names.
type Target struct {
	// Address is the frame address of the agent, IPv4.
	Address netip.AddrPort
	// Number is the stable number of the target, at most MaxNumber.
	Number uint32
	// Incarnation tells the lives of a target apart, at most MaxNumber.
	Incarnation uint32
}

// Validate returns ErrTarget, wrapped, if a codec can't encode t.
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

// Verdict tells what came of decoding a connection ID.
type Verdict uint8

// Verdicts of Decode.
const (
	// OK: the deployment issued the ID.
	OK Verdict = iota
	// WrongLength: the ID is not Length bytes long.
	WrongLength
	// UnknownSecret: no secret has the key ID named in the first byte.
	UnknownSecret
	// WrongTag: the deployment did not issue the ID.
	WrongTag
	// NoAddress: the ID names no usable address.
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
	first   byte
	ciphers [MaxSecretID + 1]ciphers
	scratch sync.Pool
}

// ciphers holds the expanded keys of one secret; both are nil if there is none.
type ciphers struct {
	block cipher.Block
	tag   cipher.Block
}

// scratch is working memory for one call. What is handed to an interface such
// as cipher.Block escapes to the heap, so it is pooled, not put on the stack.
type scratch struct {
	sealed [blockLength]byte
	plain  [blockLength]byte
	tag    [blockLength]byte
}

// NewCodec returns a codec that encodes with the first secret and decodes
// with all of them. It returns ErrNoSecrets, ErrSecretID or
// ErrDuplicateSecret, wrapped, if the list can't be used.
func NewCodec(secrets []Secret) (*Codec, error) {
	if err := ValidateSecrets(secrets); err != nil {
		return nil, err
	}

	c := &Codec{first: secrets[0].ID}
	c.scratch.New = func() any { return new(scratch) }
	for _, s := range secrets {
		block, err := s.DeriveBlock(purposeBlock)
		if err != nil {
			return nil, errors.Wrapf(err, "secret %d", s.ID)
		}
		tag, err := s.DeriveBlock(purposeTag)
		if err != nil {
			return nil, errors.Wrapf(err, "secret %d", s.ID)
		}
		c.ciphers[s.ID] = ciphers{block: block, tag: tag}
	}
	return c, nil
}

// Encode returns a connection ID that names t. The counter must be unique
// within the incarnation; the random byte fills the bits of the first byte
// that carry nothing. The caller has checked t with Validate once: an address
// other than IPv4 is encoded as zero, which Decode refuses, and numbers above
// MaxNumber lose their high bits.
func (c *Codec) Encode(t Target, counter uint32, random byte) [Length]byte {
	s := c.scratch.Get().(*scratch)
	defer c.scratch.Put(s)

	putTarget(&s.plain, t, counter)
	k := &c.ciphers[c.first]
	k.block.Encrypt(s.sealed[:], s.plain[:])
	k.tag.Encrypt(s.tag[:], s.sealed[:])

	var id [Length]byte
	id[0] = random&^keyIDMask | c.first
	copy(id[1:], s.sealed[:])
	copy(id[tagOffset:], s.tag[:tagLength])
	return id
}

// Decode returns what a connection ID names, or the reason why it can't. It
// allocates nothing and keeps no reference to id.
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
	copy(s.sealed[:], id[1:])
	k.tag.Encrypt(s.tag[:], s.sealed[:])
	if subtle.ConstantTimeCompare(s.tag[:tagLength], id[tagOffset:]) != 1 {
		return Target{}, WrongTag
	}

	k.block.Decrypt(s.plain[:], s.sealed[:])
	return getTarget(&s.plain)
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
