package processtest

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/go-faster/errors"
)

const mainPackage = "eelgrasswharf.example/eelgrasswharf/cmd/eelgrasswharf"

// built is the binary under test, made at most once per test process.
var built struct {
	once sync.Once
	dir  string
	path string
	err  error
}

// Main runs the tests of a package and removes the binary afterwards. It is
// the body of TestMain.
func Main(m *testing.M) {
	code := m.Run()
	if built.dir != "" {
		os.RemoveAll(built.dir)
	}
	os.Exit(code)
}

// Binary returns the path of the binary under test.
func Binary(t testing.TB) string {
	t.Helper()
	built.once.Do(build)
	if built.err != nil {
		t.Fatal(built.err)
	}
	return built.path
}

func build() {
	built.dir, built.err = os.MkdirTemp("", "eelgrasswharf-test-")
	if built.err != nil {
		return
	}
	built.path = filepath.Join(built.dir, "eelgrasswharf")
	out, err := exec.Command("go", "build", "-o", built.path, mainPackage).CombinedOutput()
	if err != nil {
		built.err = errors.Wrapf(err, "build: %s", out)
	}
}
