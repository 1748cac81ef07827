package cli

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

const (
	binaryName = "eelgrasswharf"
	// mainPackage is what "go run" has to be told.
	mainPackage = "eelgrasswharf.example/eelgrasswharf/cmd/eelgrasswharf"
	// goRunFolder begins the name of the temporary folder in which "go run"
	// keeps a binary for as long as that runs.
	goRunFolder = "go-build"
)

// invocation is how a user can start this binary again: by its name if the
// shell finds it by that, by "go run" if that made it, else by its path.
func invocation() string {
	path, err := os.Executable()
	if err != nil {
		return binaryName
	}
	found, err := exec.LookPath(binaryName)
	if err == nil && sameFile(found, path) {
		return binaryName
	}
	if madeByGoRun(path) {
		return "go run " + mainPackage
	}
	return path
}

func madeByGoRun(path string) bool {
	return strings.Contains(path, string(filepath.Separator)+goRunFolder)
}

func sameFile(a, b string) bool {
	first, err := os.Stat(a)
	if err != nil {
		return false
	}
	second, err := os.Stat(b)
	return err == nil && os.SameFile(first, second)
}

// quote writes a word so that a shell reads it as one.
func quote(word string) string {
	if word != "" && !strings.ContainsFunc(word, special) {
		return word
	}
	return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'"
}

// special tells characters that a shell might not take as they are.
func special(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return !strings.ContainsRune("-_./:,+@%", r)
}
