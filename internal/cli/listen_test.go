package cli_test

import (
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/cli"
)

// taken holds an address for UDP and TCP during a test.
func taken(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	for {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		udp, err := net.ListenPacket("udp", tcp.Addr().String())
		if err != nil {
			_ = tcp.Close()
			continue
		}
		t.Cleanup(func() {
			_ = tcp.Close()
			_ = udp.Close()
		})
		return tcp.Addr().String()
	}
}

// Each listener of each role whose address is in use ends the start with one
// error that names the address.
func TestEveryListenerReportsAddressInUse(t *testing.T) {
	const free = "127.0.0.1:0"
	alone := []string{"initial_voters =", ";initial_voters ="}
	for name, tt := range map[string]struct {
		role    string
		replace func(taken string) []string
	}{
		"control link": {"control", func(taken string) []string {
			return append(alone, "listen = 192.0.2.1:7100", "listen = "+taken, "192.0.2.1:7101", free)
		}},
		"control operator": {"control", func(taken string) []string {
			return append(alone, "listen = 192.0.2.1:7100", "listen = "+free, "192.0.2.1:7101", taken)
		}},
		"entry frames": {"entry", func(taken string) []string {
			return []string{"192.0.2.20:7200", taken}
		}},
		"agent frames": {"agent", func(taken string) []string {
			return []string{"192.0.2.30:7300", taken, "127.0.0.1:7301", free}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := taken(t)
			got := run(t, tt.role, "-c", roleFiles(t, tt.role, tt.replace(addr)...))
			is.Equal(got.status, cli.ExitFailure)
			is.True(strings.Contains(got.stderr, "address already in use"))
			is.True(strings.Contains(got.stderr, addr))
		})
	}
}
