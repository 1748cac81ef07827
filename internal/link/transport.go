package link

import (
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// protocolName is the ALPN name of control links.
	protocolName = "eelgrasswharf-control/1"

	// Receive windows are small: a control link carries short messages, and
	// what a peer may make us hold is bounded by them.
	streamWindow        = 16 << 10
	maxStreamWindow     = 512 << 10
	connectionWindow    = 32 << 10
	maxConnectionWindow = 1 << 20

	// serverIDLength is the longest connection ID. A restarted server answers
	// a packet of a former connection with a stateless reset only if the
	// packet is longer than 42 bytes; with a long ID a heartbeat is.
	serverIDLength = 20

	handshakeTimeout = 3 * time.Second
)

// quicConfig returns the settings that both ends share.
func quicConfig(idle time.Duration, incoming int64) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idle,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
		MaxIncomingStreams:             incoming,
		MaxIncomingUniStreams:          -1,
		// Probes for a larger MTU cost more than they save on short messages.
		DisablePathMTUDiscovery: true,
	}
}
