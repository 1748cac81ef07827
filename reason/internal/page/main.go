// Command page writes the operators' page of all reasons to the file that its
// argument names.
package main

import (
	"fmt"
	"os"

	"eelgrasswharf.example/eelgrasswharf/reason"
)

const fileMode = 0o644

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: page FILE")
		os.Exit(2)
	}
	if err := os.WriteFile(os.Args[1], []byte(reason.Markdown()), fileMode); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
