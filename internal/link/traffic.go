package link

import "github.com/quic-go/quic-go"

// Traffic counts what a server exchanged over admitted connections, without UDP and IP
// headers.
type Traffic struct {
	BytesSent       uint64
	BytesReceived   uint64
	PacketsSent     uint64
	PacketsReceived uint64
}

func (t *Traffic) add(s quic.ConnectionStats) {
	t.BytesSent += s.BytesSent
	t.BytesReceived += s.BytesReceived
	t.PacketsSent += s.PacketsSent
	t.PacketsReceived += s.PacketsReceived
}

// Traffic returns the sum over all open and ended connections. It never decreases.
func (s *Server) Traffic() Traffic {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := s.endedTraffic
	for conn := range s.conns {
		sum.add(conn.ConnectionStats())
	}
	return sum
}
