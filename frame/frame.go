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
	// HeaderLength is the length of a header, in bytes.
	HeaderLength = 64
	// MaxNumber is the largest target number and incarnation that fit.
	MaxNumber = connid.MaxNumber
	// MaxHops is the largest count of hops that fits.
	MaxHops = 3

	// version is raised whenever the layout changes.
	version = 1

	blockLength = 16
	tagLength   = 8
)

// Offsets of the fields.
const (
	offsetKind        = 0
	offsetState       = 1
	offsetLoad        = 2
	offsetService     = 4
	offsetTarget      = 8
	offsetIncarnation = 11
	offsetAlternate   = 14
	offsetCaller      = 20
	offsetPublic      = 38
	offsetTag         = 56
)

// Layout of the state byte.
const (
	keyIDMask   = connid.MaxSecretID
	hopsShift   = 3
	drainingBit = 1 << 5
	illBit      = 1 << 6
)

const purposeTag = "eelgrasswharf frame tag"

// Kind tells what a frame carries.
type Kind uint8

// Kinds of frames. Zero is no kind.
const (
	// Forward carries a caller's datagram to the target that its connection
	// ID names.
	Forward Kind = 1 + iota
	// First carries a datagram that may open a flow to a chosen target.
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

// Header is a decoded header. IPv4 addresses come out unmapped, absent
// addresses as the zero AddrPort; zones are not carried.
type Header struct {
	Kind Kind
	// Hops counts the agents that passed the frame on, at most MaxHops.
	Hops uint8
	// Service is the number of the service that Public belongs to.
	Service uint32
	// Caller is the address that the datagram came from or goes to.
	Caller netip.AddrPort
	// Public is the public address, as configured, that the caller uses.
	Public netip.AddrPort
	// Alternate is the frame address (IPv4) of the second candidate of a
	// First frame, or zero. Once an agent has passed the frame on (Hops above
	// 0) it is the entry host's, through which the next agent answers.
	Alternate netip.AddrPort
	// Target and Incarnation name the target: the chosen one on the way to
	// it, the sender on the way back. At most MaxNumber.
	Target, Incarnation uint32
	// Load of the sender of a Reply, per mille of its capacity.
	Load uint16
	// Draining: the sender of a Reply takes no new flows.
	Draining bool
	// Unhealthy: the sender of a Reply holds its backend server to be ill.
	Unhealthy bool
}

// Verdict tells what came of parsing a frame.
type Verdict uint8

// Verdicts of Parse.
const (
	// OK: a host of the deployment made the header.
	OK Verdict = iota
	// TooShort: there is no whole header.
	TooShort
	// WrongVersion: the layout is not known.
	WrongVersion
	// UnknownSecret: no secret has the named ID.
	UnknownSecret
	// WrongTag: no host of the deployment made the header.
	WrongTag
	// WrongKind: the kind is not known.
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

// Codec writes and reads headers. It is safe for concurrent use.
type Codec struct {
	first   byte
	tags    [connid.MaxSecretID + 1]cipher.Block
	scratch sync.Pool
}

// scratch is working memory for one tag. What is handed to an interface such
// as cipher.Block escapes to the heap, so it is pooled, not put on the stack.
type scratch struct {
	sum [blockLength]byte
}

// NewCodec returns a codec that writes with the first secret and reads with
// all of them. It returns an error of connid.CheckSecrets if the list can't be
// used.
func NewCodec(secrets []connid.Secret) (*Codec, error) {
	if err := connid.ValidateSecrets(secrets); err != nil {
		return nil, err
	}

	c := &Codec{first: secrets[0].ID}
	c.scratch.New = func() any { return new(scratch) }
	for _, s := range secrets {
		block, err := s.DeriveBlock(purposeTag)
		if err != nil {
			return nil, errors.Wrapf(err, "secret %d", s.ID)
		}
		c.tags[s.ID] = block
	}
	return c, nil
}

// Put writes h to the first HeaderLength bytes of dst and allocates nothing.
// It panics if dst is shorter. Numbers above MaxNumber and hops above MaxHops
// lose their high bits, and an alternate that is not IPv4 is left out.
func (c *Codec) Put(dst []byte, h *Header) {
	dst = dst[:HeaderLength]
	dst[offsetKind] = version<<4 | byte(h.Kind)&0x0f
	dst[offsetState] = stateByte(h) | c.first
	binary.BigEndian.PutUint16(dst[offsetLoad:], h.Load)
	binary.BigEndian.PutUint32(dst[offsetService:], h.Service)
	putUint24(dst[offsetTarget:], h.Target)
	putUint24(dst[offsetIncarnation:], h.Incarnation)
	putIPv4(dst[offsetAlternate:], h.Alternate)
	putAddrPort(dst[offsetCaller:], h.Caller)
	putAddrPort(dst[offsetPublic:], h.Public)

	s := c.scratch.Get().(*scratch)
	s.mac(c.tags[c.first], dst)
	copy(dst[offsetTag:], s.sum[:tagLength])
	c.scratch.Put(s)
}

// Parse reads the header at the start of src into h; the datagram is
// src[HeaderLength:]. On any verdict but OK it leaves h unchanged. It
// allocates nothing and keeps no reference to src.
func (c *Codec) Parse(src []byte, h *Header) Verdict {
	if len(src) < HeaderLength {
		return TooShort
	}
	src = src[:HeaderLength]
	if src[offsetKind]>>4 != version {
		return WrongVersion
	}
	block := c.tags[src[offsetState]&keyIDMask]
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
	get(src, kind, h)
	return OK
}

func (c *Codec) verify(block cipher.Block, src []byte) bool {
	s := c.scratch.Get().(*scratch)
	defer c.scratch.Put(s)
	s.mac(block, src)
	return subtle.ConstantTimeCompare(s.sum[:tagLength], src[offsetTag:HeaderLength]) == 1
}

// mac leaves the CBC-MAC over the header, its tag taken as zero, in s.sum.
func (s *scratch) mac(block cipher.Block, header []byte) {
	clear(s.sum[:])
	for i := 0; i < offsetTag; i += blockLength {
		end := min(i+blockLength, offsetTag)
		subtle.XORBytes(s.sum[:], s.sum[:], header[i:end])
		block.Encrypt(s.sum[:], s.sum[:])
	}
}

func get(src []byte, kind Kind, h *Header) {
	state := src[offsetState]
	*h = Header{
		Kind:        kind,
		Hops:        state >> hopsShift & MaxHops,
		Service:     binary.BigEndian.Uint32(src[offsetService:]),
		Caller:      addrPort(src[offsetCaller:]),
		Public:      addrPort(src[offsetPublic:]),
		Alternate:   ipv4(src[offsetAlternate:]),
		Target:      uint24(src[offsetTarget:]),
		Incarnation: uint24(src[offsetIncarnation:]),
		Load:        binary.BigEndian.Uint16(src[offsetLoad:]),
		Draining:    state&drainingBit != 0,
		Unhealthy:   state&illBit != 0,
	}
}

func stateByte(h *Header) byte {
	b := (h.Hops & MaxHops) << hopsShift
	if h.Draining {
		b |= drainingBit
	}
	if h.Unhealthy {
		b |= illBit
	}
	return b
}
