// Command page writes the operators' page of all settings to the given file.
package main

import (
	"fmt"
	"os"

	"eelgrasswharf.example/eelgrasswharf/internal/settings"
)

const fileMode = 0o644

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: page FILE")
		os.Exit(2)
	}
	page, err := settings.Markdown()
	if err == nil {
		err = os.WriteFile(os.Args[1], []byte(page), fileMode)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
