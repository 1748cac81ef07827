package operator

import (
	"bytes"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// failedHandshake starts the line that net/http writes about a connection that
// never got through the handshake: noise, or a peer without the certificate of
// an operator, which the TLS alert tells.
var failedHandshake = []byte("http: TLS handshake error")

// serverErrors takes the error lines of net/http. It counts failed handshakes,
// of which any stranger can cause as many as he likes, and logs what else there
// is.
type serverErrors struct {
	handshakes tally.Counter
	log        *zap.Logger
}

func newServerErrors(scope tally.Scope, log *zap.Logger) *serverErrors {
	return &serverErrors{handshakes: scope.Counter("refused_handshakes"), log: log}
}

// Write takes one line.
func (e *serverErrors) Write(line []byte) (int, error) {
	if bytes.HasPrefix(line, failedHandshake) {
		e.handshakes.Inc(1)
		return len(line), nil
	}
	e.log.Error("operator address", zap.ByteString("error", bytes.TrimSpace(line)))
	return len(line), nil
}
