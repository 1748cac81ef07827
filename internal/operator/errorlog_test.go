package operator_test

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/unittest"
)

// Failed handshakes are counted and not logged, as a port scan would fill the log.
func TestFailedHandshakesAreCounted(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	scope := tally.NewTestScope("", nil)
	core, lines := observer.New(zap.DebugLevel)
	server, err := operator.Listen("127.0.0.1:0", d.credentials(keys.RoleControl, "c1"), &fakeHandler{}, zap.New(core), scope)
	is.NoErr(err)
	defer func() { _ = server.Shutdown(t.Context()) }()

	conn, err := net.Dial("tcp", server.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = conn.Write([]byte("neither TLS nor HTTP\r\n\r\n"))
	is.NoErr(err)
	_, _ = io.ReadAll(conn) // until the server closes it

	unittest.Eventually(t, "the failed handshake is counted", func() bool {
		return unittest.Counter(scope, "operator.refused_handshakes", "") == 1
	})
	is.Equal(lines.Len(), 0)
}
