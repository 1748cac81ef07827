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

// binary is the binary under test, built at most once per test process.
var binary struct {
	once sync.Once
	dir  string
	path string
	err  error
}

// Main is the body of TestMain: it runs the tests of a package and removes the
// binary afterwards.
func Main(m *testing.M) {
	code := m.Run()
	if binary.dir != "" {
		os.RemoveAll(binary.dir)
	}
	os.Exit(code)
}

// Binary returns the path of the binary under test.
func Binary(t testing.TB) string {
	t.Helper()
	binary.once.Do(build)
	if binary.err != nil {
		t.Fatal(binary.err)
	}
	return binary.path
}

func build() {
	binary.dir, binary.err = os.MkdirTemp("", "eelgrasswharf-test-")
	if binary.err != nil {
		return
	}
	binary.path = filepath.Join(binary.dir, "eelgrasswharf")
	out, err := exec.Command("go", "build", "-o", binary.path, mainPackage).CombinedOutput()
	if err != nil {
		binary.err = errors.Wrapf(err, "build: %s", out)
	}
}
