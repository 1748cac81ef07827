package agentd

import (
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
)

// newRand returns a randomly seeded random source.
func newRand() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:])
	first := binary.LittleEndian.Uint64(seed[:8])
	second := binary.LittleEndian.Uint64(seed[8:])
	return rand.New(rand.NewPCG(first, second))
}

// randomByte returns a random byte for connection IDs.
func randomByte() byte {
	return byte(rand.Uint32())
}
