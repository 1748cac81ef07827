// Command sitecopy writes variants of a site file, as a tool for development.
//
//	go run ./deploy/internal/sitecopy --out DIR SITE [VARIANT...]
//
// Without names all variants are written, each as DIR/SITE-VARIANT.toml.
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

func main() {
	var out string
	command := &cobra.Command{
		Use:          "sitecopy SITE [VARIANT...]",
		Short:        "Write variants of a site file",
		Long:         "Write variants of a site file: " + strings.Join(variantNames(), ", ") + ".",
		Args:         cobra.MinimumNArgs(1),
		SilenceUsage: true,
		RunE: func(_ *cobra.Command, args []string) error {
			return writeVariants(out, args[0], args[1:])
		},
	}
	command.Flags().StringVar(&out, "out", ".", "output directory")
	if command.Execute() != nil {
		os.Exit(1)
	}
}

// writeVariants writes the variants with the given names, or all.
func writeVariants(dir, path string, wanted []string) error {
	for _, name := range wanted {
		if !slices.Contains(variantNames(), name) {
			return errors.Errorf("unknown variant %q, known: %s", name, strings.Join(variantNames(), ", "))
		}
	}
	base := strings.TrimSuffix(filepath.Base(path), ".toml")
	for _, c := range variants {
		if len(wanted) > 0 && !slices.Contains(wanted, c.name) {
			continue
		}
		var s site
		if _, err := toml.DecodeFile(path, &s); err != nil {
			return errors.Wrap(err, "read site file")
		}
		if err := c.apply(s); err != nil {
			return errors.Wrapf(err, "variant %s", c.name)
		}
		var text bytes.Buffer
		if err := toml.NewEncoder(&text).Encode(map[string]any(s)); err != nil {
			return errors.Wrapf(err, "variant %s", c.name)
		}
		target := filepath.Join(dir, base+"-"+c.name+".toml")
		if err := os.WriteFile(target, text.Bytes(), 0o600); err != nil {
			return errors.Wrap(err, "write variant")
		}
		fmt.Println(target)
	}
	return nil
}

func variantNames() []string {
	out := make([]string, 0, len(variants))
	for _, c := range variants {
		out = append(out, c.name)
	}
	return out
}
