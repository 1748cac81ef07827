package agentd

import (
	"crypto/hmac"
	crand "crypto/rand"
	"crypto/sha256"

	"github.com/quic-go/quic-go"

	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/quicheader"
)

const (
	// resetTokenLength is the length of a stateless reset token in bytes.
	resetTokenLength = 16
	// resetLength is the length of a stateless reset in bytes (RFC 9000, section
	// 10.3).
	resetLength = 21 + resetTokenLength
	// fixedBit is the fixed bit in the first byte of a short header. The bit for
	// a long header is 0.
	fixedBit = 0x40
	// secretIDMask masks the ID of the data secret in a connection ID.
	secretIDMask = 0x07
)

// staleFlowReset returns a stateless reset for a packet of a flow of an earlier
// process at the same address, nil for any other packet. That process has exited,
// since this one has its port. The reset spares the caller its idle timeout.
func (s *frameSocket) staleFlowReset(datagram []byte) []byte {
	header, ok := quicheader.Parse(datagram, connid.Length)
	if !ok || header.Type != quicheader.Short || len(datagram) <= resetLength {
		return nil
	}
	named, verdict := s.codecs.Load().ids.Decode(header.Destination)
	if verdict != connid.OK || named.Address != s.self.address || named == s.self.connTarget() {
		return nil
	}
	secret, ok := s.secretOf(header.Destination)
	if !ok {
		return nil
	}
	return statelessReset(resetKey(secret, named.Number, named.Incarnation), header.Destination)
}

// secretOf returns the data secret of a connection ID. The reset key of the process
// that issued the ID was derived from the same secret.
func (s *frameSocket) secretOf(id []byte) (connid.Secret, bool) {
	for _, secret := range s.codecs.Load().secrets {
		if secret.ID == id[0]&secretIDMask {
			return secret, true
		}
	}
	return connid.Secret{}, false
}

// statelessReset returns a stateless reset packet. The token is computed as in
// quic-go.
func statelessReset(key *quic.StatelessResetKey, id []byte) []byte {
	datagram := make([]byte, resetLength)
	_, _ = crand.Read(datagram)
	datagram[0] = datagram[0]&0x3f | fixedBit
	mac := hmac.New(sha256.New, key[:])
	mac.Write(id)
	copy(datagram[resetLength-resetTokenLength:], mac.Sum(nil))
	return datagram
}
