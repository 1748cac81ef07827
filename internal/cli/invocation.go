package cli

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

const (
	binaryName = "eelgrasswharf"
	// mainPackage is the argument of "go run".
	mainPackage = "eelgrasswharf.example/eelgrasswharf/cmd/eelgrasswharf"
	// goBuildDirPrefix is the prefix of the temporary directory in which "go run"
	// builds the binary.
	goBuildDirPrefix = "go-build"
)

// invocation returns the command that starts this binary again: its name if it is
// in PATH, "go run" if that built it, else its path.
func invocation() string {
	path, err := os.Executable()
	if err != nil {
		return binaryName
	}
	found, err := exec.LookPath(binaryName)
	if err == nil && sameFile(found, path) {
		return binaryName
	}
	if builtByGoRun(path) {
		return "go run " + mainPackage
	}
	return path
}

func builtByGoRun(path string) bool {
	return strings.Contains(path, string(filepath.Separator)+goBuildDirPrefix)
}

func sameFile(a, b string) bool {
	first, err := os.Stat(a)
	if err != nil {
		return false
	}
	second, err := os.Stat(b)
	return err == nil && os.SameFile(first, second)
}

// quote quotes a word for a POSIX shell.
func quote(word string) string {
	if word != "" && !strings.ContainsFunc(word, needsQuoting) {
		return word
	}
	return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'"
}

// needsQuoting reports whether a shell may treat the character as special.
func needsQuoting(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return !strings.ContainsRune("-_./:,+@%", r)
}
