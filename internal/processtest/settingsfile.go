package processtest

import (
	"os"
	"testing"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/internal/settings"
)

const fileMode = 0o600

// writeSettings writes settings as an INI file.
func writeSettings(t testing.TB, path string, m proto.Message) {
	t.Helper()
	if err := os.WriteFile(path, []byte(settings.Format(m)), fileMode); err != nil {
		t.Fatal(err)
	}
}
