package metrics_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/metrics"
)

func scrape(t *testing.T, addr string) string {
	t.Helper()
	is := is.New(t)
	res, err := http.Get("http://" + addr + "/metrics")
	is.NoErr(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	return string(body)
}

func TestCounterIsServed(t *testing.T) {
	is := is.New(t)
	scope, closer, addr, err := metrics.New(&settingspb.Metrics{Listen: "127.0.0.1:0"}, func(err error) { t.Error(err) })
	is.NoErr(err)
	defer closer.Close()
	is.True(addr.Port() != 0)
	scope.Tagged(map[string]string{"reason": "queue-full"}).Counter("refused").Inc(3)
	for !strings.Contains(scrape(t, addr.String()), `eelgrasswharf_refused{reason="queue-full"} 3`) {
		if t.Context().Err() != nil {
			t.Fatal("counter not served")
		}
	}
}

func TestDisabledWithoutAddress(t *testing.T) {
	is := is.New(t)
	scope, closer, addr, err := metrics.New(&settingspb.Metrics{}, nil)
	is.NoErr(err)
	is.True(!addr.IsValid())
	scope.Counter("refused").Inc(1)
	is.NoErr(closer.Close())
}

func TestAddressInUse(t *testing.T) {
	is := is.New(t)
	_, closer, addr, err := metrics.New(&settingspb.Metrics{Listen: "127.0.0.1:0"}, nil)
	is.NoErr(err)
	defer closer.Close()
	_, _, _, err = metrics.New(&settingspb.Metrics{Listen: addr.String()}, nil)
	is.True(errors.Is(err, metrics.ErrListen))
}
