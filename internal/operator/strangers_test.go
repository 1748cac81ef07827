package operator_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// Strangers are counted and write no log line, or a scan would fill the log.
func TestStrangersAreCounted(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	scope := tally.NewTestScope("", nil)
	core, lines := observer.New(zap.DebugLevel)
	server, err := operator.Listen("127.0.0.1:0", s.credentials(keys.RoleControl, "c1"), &fake{}, zap.New(core), scope)
	is.NoErr(err)
	defer func() { _ = server.Shutdown(t.Context()) }()

	conn, err := net.Dial("tcp", server.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = conn.Write([]byte("neither TLS nor HTTP\r\n\r\n"))
	is.NoErr(err)
	_, _ = io.ReadAll(conn) // until the server ends it

	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if c := scope.Snapshot().Counters()["operator.refused_handshakes+"]; c != nil && c.Value() == 1 {
			is.Equal(lines.Len(), 0)
			return
		}
	}
	t.Fatal("the stranger is not counted")
}
