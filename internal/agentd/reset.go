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
	// resetToken is the length of a stateless reset token in bytes.
	resetToken = 16
	// resetLength is the length of a stateless reset (RFC 9000, 10.3).
	resetLength = 21 + resetToken
	// shortHeaderBit marks a packet with a short header and the fixed bit.
	shortHeaderBit = 0x40
	// lowSecretBits hold the ID of the secret in a connection ID.
	lowSecretBits = 0x07
)

// formerLife answers a packet of a flow that an earlier process at the very
// same address held. That process is gone, since this one has its port, so its
// callers are told at once by a stateless reset instead of waiting for their
// idle timeout. It returns nil for any other packet.
func (s *frameSocket) formerLife(datagram []byte) []byte {
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

// secretOf returns the secret that an ID was made with. The process that made
// it derived its resets from the same one.
func (s *frameSocket) secretOf(id []byte) (connid.Secret, bool) {
	for _, secret := range s.codecs.Load().secrets {
		if secret.ID == id[0]&lowSecretBits {
			return secret, true
		}
	}
	return connid.Secret{}, false
}

// statelessReset returns the datagram by which a caller knows that its
// connection is gone. The token is computed as quic-go does.
func statelessReset(key *quic.StatelessResetKey, id []byte) []byte {
	datagram := make([]byte, resetLength)
	_, _ = crand.Read(datagram)
	datagram[0] = datagram[0]&0x3f | shortHeaderBit
	mac := hmac.New(sha256.New, key[:])
	mac.Write(id)
	copy(datagram[resetLength-resetToken:], mac.Sum(nil))
	return datagram
}
