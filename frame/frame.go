package frame

import (
	"crypto/cipher"
	"crypto/subtle"
	"encoding/binary"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/connid"
)

// Sizes and limits of a header.
const (
	// HeaderLength is the length of a header in bytes.
	HeaderLength = 64
	// MaxNumber is the largest target number and incarnation that can be encoded.
	MaxNumber = connid.MaxNumber
	// MaxHops is the largest number of hops that can be encoded.
	MaxHops = 3

	// version must be raised with each change of the layout.
	version = 1

	blockLength = 16
	tagLength   = 8
)

// Offsets of the fields.
const (
	offsetKind        = 0
	offsetFlags       = 1
	offsetLoad        = 2
	offsetService     = 4
	offsetTarget      = 8
	offsetIncarnation = 11
	offsetAlternate   = 14
	offsetCaller      = 20
	offsetPublic      = 38
	offsetTag         = 56
)

// Layout of the flags byte.
const (
	keyIDMask    = connid.MaxSecretID
	hopsShift    = 3
	drainingBit  = 1 << 5
	unhealthyBit = 1 << 6
)

const tagKeyPurpose = "eelgrasswharf frame tag"

// Kind is the kind of a frame.
type Kind uint8

// Kinds of frames. Zero is invalid.
const (
	// Forward carries a caller's datagram to the target named by its connection ID.
	Forward Kind = 1 + iota
	// First carries a datagram that may open a flow to the chosen target.
	First
	// Reply carries an agent's datagram to the caller.
	Reply
)

// String returns the kind in the form used as a metric label.
func (k Kind) String() string {
	switch k {
	case Forward:
		return "forward"
	case First:
		return "first"
	case Reply:
		return "reply"
	default:
		return "invalid"
	}
}

// Header is a decoded header. IPv4 addresses are unmapped, missing addresses are zero,
// zones are not encoded.
type Header struct {
	Kind Kind
	// Hops counts the agents that forwarded the frame, at most MaxHops.
	Hops uint8
	// Service is the number of the service that Public belongs to.
	Service uint32
	// Caller is the source or destination of the datagram.
	Caller netip.AddrPort
	// Public is the configured public address used by the caller.
	Public netip.AddrPort
	// Alternate is the IPv4 frame address of the second candidate of a First frame, or
	// zero. After a hop it is that of the entry host, through which the next agent
	// replies.
	Alternate netip.AddrPort
	// Target and Incarnation identify the receiving target, or the sender of a Reply.
	// They are at most MaxNumber.
	Target, Incarnation uint32
	// Load is that of the sender of a Reply, per mille of its capacity.
	Load uint16
	// Draining is set if the sender of a Reply takes no new flows.
	Draining bool
	// Unhealthy is set if the sender of a Reply considers its backend server unhealthy.
	Unhealthy bool
}

// Verdict is the result of parsing a frame.
type Verdict uint8

// Verdicts of Parse.
const (
	// OK means that a host of the deployment encoded the header.
	OK Verdict = iota
	// TooShort means that the header is truncated.
	TooShort
	// WrongVersion means that the layout is unknown.
	WrongVersion
	// UnknownSecret means that no secret has that ID.
	UnknownSecret
	// WrongTag means that no host of the deployment encoded the header.
	WrongTag
	// WrongKind means that the kind is unknown.
	WrongKind
)

// String returns the verdict in the form used as a metric label.
func (v Verdict) String() string {
	switch v {
	case OK:
		return "ok"
	case TooShort:
		return "too_short"
	case WrongVersion:
		return "wrong_version"
	case UnknownSecret:
		return "unknown_secret"
	case WrongTag:
		return "wrong_tag"
	case WrongKind:
		return "wrong_kind"
	default:
		return "invalid"
	}
}

// Codec encodes and parses headers. It is safe for concurrent use.
type Codec struct {
	encodingID byte
	tags       [connid.MaxSecretID + 1]cipher.Block
	scratch    sync.Pool
}

// scratch is pooled, as arguments of a cipher.Block escape to the heap.
type scratch struct {
	sum [blockLength]byte
}

// NewCodec returns a codec that encodes with the first secret and parses with all of
// them. It returns an error of connid.ValidateSecrets for an invalid list.
func NewCodec(secrets []connid.Secret) (*Codec, error) {
	if err := connid.ValidateSecrets(secrets); err != nil {
		return nil, err
	}

	c := &Codec{encodingID: secrets[0].ID}
	c.scratch.New = func() any { return new(scratch) }
	for _, s := range secrets {
		block, err := s.DeriveBlock(tagKeyPurpose)
		if err != nil {
			return nil, errors.Wrapf(err, "secret %d", s.ID)
		}
		c.tags[s.ID] = block
	}
	return c, nil
}

// Put encodes h into the first HeaderLength bytes of dst and does not allocate. It
// panics if dst is shorter. Numbers above MaxNumber and hops above MaxHops lose their
// high bits; an alternate that is not IPv4 is omitted.
func (c *Codec) Put(dst []byte, h *Header) {
	dst = dst[:HeaderLength]
	dst[offsetKind] = version<<4 | byte(h.Kind)&0x0f
	dst[offsetFlags] = flagsByte(h) | c.encodingID
	binary.BigEndian.PutUint16(dst[offsetLoad:], h.Load)
	binary.BigEndian.PutUint32(dst[offsetService:], h.Service)
	putUint24(dst[offsetTarget:], h.Target)
	putUint24(dst[offsetIncarnation:], h.Incarnation)
	putIPv4(dst[offsetAlternate:], h.Alternate)
	putAddrPort(dst[offsetCaller:], h.Caller)
	putAddrPort(dst[offsetPublic:], h.Public)

	s := c.scratch.Get().(*scratch)
	s.mac(c.tags[c.encodingID], dst)
	copy(dst[offsetTag:], s.sum[:tagLength])
	c.scratch.Put(s)
}

// Parse decodes the header at the start of src into h; the datagram is
// src[HeaderLength:]. Unless it returns OK, h is unchanged. It does not allocate and
// does not retain src.
func (c *Codec) Parse(src []byte, h *Header) Verdict {
	if len(src) < HeaderLength {
		return TooShort
	}
	src = src[:HeaderLength]
	if src[offsetKind]>>4 != version {
		return WrongVersion
	}
	block := c.tags[src[offsetFlags]&keyIDMask]
	if block == nil {
		return UnknownSecret
	}
	if !c.verify(block, src) {
		return WrongTag
	}

	kind := Kind(src[offsetKind] & 0x0f)
	if kind < Forward || kind > Reply {
		return WrongKind
	}
	decode(src, kind, h)
	return OK
}

func (c *Codec) verify(block cipher.Block, src []byte) bool {
	s := c.scratch.Get().(*scratch)
	defer c.scratch.Put(s)
	s.mac(block, src)
	return subtle.ConstantTimeCompare(s.sum[:tagLength], src[offsetTag:HeaderLength]) == 1
}

// mac computes the CBC-MAC over the header without its tag into s.sum.
func (s *scratch) mac(block cipher.Block, header []byte) {
	clear(s.sum[:])
	for i := 0; i < offsetTag; i += blockLength {
		end := min(i+blockLength, offsetTag)
		subtle.XORBytes(s.sum[:], s.sum[:], header[i:end])
		block.Encrypt(s.sum[:], s.sum[:])
	}
}

func decode(src []byte, kind Kind, h *Header) {
	flags := src[offsetFlags]
	*h = Header{
		Kind:        kind,
		Hops:        flags >> hopsShift & MaxHops,
		Service:     binary.BigEndian.Uint32(src[offsetService:]),
		Caller:      addrPort(src[offsetCaller:]),
		Public:      addrPort(src[offsetPublic:]),
		Alternate:   ipv4(src[offsetAlternate:]),
		Target:      uint24(src[offsetTarget:]),
		Incarnation: uint24(src[offsetIncarnation:]),
		Load:        binary.BigEndian.Uint16(src[offsetLoad:]),
		Draining:    flags&drainingBit != 0,
		Unhealthy:   flags&unhealthyBit != 0,
	}
}

func flagsByte(h *Header) byte {
	b := (h.Hops & MaxHops) << hopsShift
	if h.Draining {
		b |= drainingBit
	}
	if h.Unhealthy {
		b |= unhealthyBit
	}
	return b
}
