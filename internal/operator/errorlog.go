package operator

import (
	"bytes"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// handshakeErrorPrefix is the prefix of net/http's log line for a failed TLS handshake,
// such as that of a client without an operator certificate.
var handshakeErrorPrefix = []byte("http: TLS handshake error")

// errorLogWriter receives the error log of net/http. It counts failed handshakes, which
// anyone can cause in any number, and logs all other lines.
type errorLogWriter struct {
	handshakeErrors tally.Counter
	log             *zap.Logger
}

func newErrorLogWriter(scope tally.Scope, log *zap.Logger) *errorLogWriter {
	return &errorLogWriter{handshakeErrors: scope.Counter("refused_handshakes"), log: log}
}

// Write receives one line.
func (e *errorLogWriter) Write(line []byte) (int, error) {
	if bytes.HasPrefix(line, handshakeErrorPrefix) {
		e.handshakeErrors.Inc(1)
		return len(line), nil
	}
	e.log.Error("operator API server error", zap.ByteString("error", bytes.TrimSpace(line)))
	return len(line), nil
}
