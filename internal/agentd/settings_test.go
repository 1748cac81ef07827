package agentd

import (
	"net/netip"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

func TestFrameAddress(t *testing.T) {
	listenAddr := netip.MustParseAddrPort("127.0.0.1:7300")
	for _, tt := range []struct {
		name, setting, want string
	}{
		{"default", "", "127.0.0.1:7300"},
		{"mapped", "192.0.2.30:7400", "192.0.2.30:7400"},
		{"no port", "192.0.2.30:0", ""},
		{"no address", "192.0.2.30", ""},
		{"IPv6", "[2001:db8::1]:7400", ""},
		{"unspecified", "0.0.0.0:7400", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, err := frameAddress(&settingspb.Agent{FrameAddress: tt.setting}, listenAddr)
			is.Equal(errors.Is(err, ErrSettings), tt.want == "")
			if tt.want != "" {
				is.Equal(got.String(), tt.want)
			}
		})
	}
}
