package agentd

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net/netip"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"eelgrasswharf.example/eelgrasswharf/connid"
)

// resetPurpose separates the key for stateless resets from other keys derived from
// the data secret.
const resetPurpose = "eelgrasswharf stateless reset"

// identity is the identity that the control hosts assigned to this process.
type identity struct {
	service       string
	target        string
	serviceNumber uint32
	number        uint32
	incarnation   uint32
	address       netip.AddrPort
}

// String returns the value of the Target header.
func (id identity) String() string {
	return fmt.Sprintf("%s/%d/%d", id.target, id.number, id.incarnation)
}

func (id identity) connTarget() connid.Target {
	return connid.Target{Address: id.address, Number: id.number, Incarnation: id.incarnation}
}

// resetKey derives the key for stateless resets of one incarnation.
func resetKey(secret connid.Secret, number, incarnation uint32) *quic.StatelessResetKey {
	mac := hmac.New(sha256.New, secret.Key[:])
	mac.Write([]byte(resetPurpose))
	var numbers [8]byte
	binary.BigEndian.PutUint32(numbers[:4], number)
	binary.BigEndian.PutUint32(numbers[4:], incarnation)
	mac.Write(numbers[:])
	var key quic.StatelessResetKey
	copy(key[:], mac.Sum(nil))
	return &key
}

// idGenerator generates connection IDs that identify one target.
type idGenerator struct {
	codec   func() *connid.Codec
	target  connid.Target
	counter atomic.Uint32
	random  func() byte
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	id := g.codec().Encode(g.target, g.counter.Add(1), g.random())
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g *idGenerator) ConnectionIDLen() int {
	return connid.Length
}
