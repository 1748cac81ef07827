package link

import (
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// protocolName is the ALPN name of control links.
	protocolName = "eelgrasswharf-control/1"
	// protocolQueue is offered by a client that waits for its place in the queue of a server
	// that refuses it, protocolNewcomer in addition by one that no server has named others to.
	protocolQueue    = "eelgrasswharf-control/2"
	protocolNewcomer = "eelgrasswharf-control/2-newcomer"

	// Receive windows are small since messages are short; they bound the memory that a peer
	// can occupy.
	streamWindow        = 16 << 10
	maxStreamWindow     = 512 << 10
	connectionWindow    = 32 << 10
	maxConnectionWindow = 1 << 20

	// serverConnIDLength is the longest connection ID. quic-go sends a stateless reset only
	// for packets longer than 42 bytes; with this length a heartbeat is.
	serverConnIDLength = 20

	handshakeTimeout = 3 * time.Second
)

// quicConfig returns the settings shared by both ends.
func quicConfig(idleTimeout time.Duration, maxIncomingStreams int64) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
		MaxIncomingStreams:             maxIncomingStreams,
		MaxIncomingUniStreams:          -1,
		// Larger packets don't help short messages.
		DisablePathMTUDiscovery: true,
	}
}
