package cli_test

import (
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/cli"
)

// occupiedAddress returns an address that is in use for UDP and TCP during the test.
func occupiedAddress(t *testing.T) string {
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

// Whichever listener finds its address in use, the start fails with an error that
// names the address.
func TestEveryListenerReportsAddressInUse(t *testing.T) {
	const free = "127.0.0.1:0"
	singleVoter := []string{"initial_voters =", ";initial_voters ="}
	for name, tt := range map[string]struct {
		role    string
		replace func(occupiedAddress string) []string
	}{
		"control link": {"control", func(occupiedAddress string) []string {
			return append(singleVoter, "listen = 192.0.2.1:7100", "listen = "+occupiedAddress, "192.0.2.1:7101", free)
		}},
		"control operator": {"control", func(occupiedAddress string) []string {
			return append(singleVoter, "listen = 192.0.2.1:7100", "listen = "+free, "192.0.2.1:7101", occupiedAddress)
		}},
		"entry frames": {"entry", func(occupiedAddress string) []string {
			return []string{"192.0.2.20:7200", occupiedAddress}
		}},
		"agent frames": {"agent", func(occupiedAddress string) []string {
			return []string{"192.0.2.30:7300", occupiedAddress, "127.0.0.1:7301", free}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := occupiedAddress(t)
			got := run(t, tt.role, "-c", writeRoleSettings(t, tt.role, tt.replace(addr)...))
			is.Equal(got.status, cli.ExitFailure)
			is.True(strings.Contains(got.stderr, "address already in use"))
			is.True(strings.Contains(got.stderr, addr))
		})
	}
}
