// Command mutants verifies that the soak detects defects: it builds the product with one
// defect at a time and runs seeds until one reports a violation.
//
//	go run ./soak/internal/mutants --seeds 10 --length 15s
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/spf13/cobra"
)

// errUndetected is returned if a defect was not found.
var errUndetected = errors.New("defects were not found")

func main() {
	m := mutants{}
	command := &cobra.Command{
		Use:          "mutants",
		Short:        "Look for seeded defects with the soak",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			m.out = cmd.OutOrStdout()
			return m.run(cmd.Context())
		},
	}
	command.Flags().StringVar(&m.root, "root", ".", "checkout that is copied and changed")
	command.Flags().IntVar(&m.seeds, "seeds", 10, "maximum number of seeds for each defect")
	command.Flags().DurationVar(&m.length, "length", 15*time.Second, "length of each seed")
	command.Flags().StringVar(&m.only, "only", "", "run this defect only")
	command.Flags().IntVar(&m.jobs, "jobs", 2, "number of concurrent defects")
	if command.Execute() != nil {
		os.Exit(1)
	}
}

type mutants struct {
	root   string
	seeds  int
	length time.Duration
	only   string
	jobs   int
	out    io.Writer
}

func (m *mutants) run(ctx context.Context) error {
	scratch, err := os.MkdirTemp("", "eelgrasswharf-mutants-")
	if err != nil {
		return errors.Wrap(err, "create directory")
	}
	defer os.RemoveAll(scratch)
	work := pool.NewWithResults[bool]().WithMaxGoroutines(m.jobs).WithErrors()
	for i, d := range defects {
		if m.only != "" && m.only != d.name {
			continue
		}
		dir := filepath.Join(scratch, fmt.Sprint(i))
		work.Go(func() (bool, error) { return m.detect(ctx, d, dir) })
	}
	found, err := work.Wait()
	if err != nil {
		return err
	}
	missed := 0
	for _, one := range found {
		if !one {
			missed++
		}
	}
	if missed > 0 {
		return errors.Wrapf(errUndetected, "%d of %d", missed, len(defects))
	}
	return nil
}

// detect runs seeds on a build with a defect. It reports whether one found it.
func (m *mutants) detect(ctx context.Context, d defect, dir string) (bool, error) {
	binary, err := m.build(ctx, d, dir)
	if err != nil {
		return false, errors.Wrap(err, d.name)
	}
	for seed := 1; seed <= m.seeds; seed++ {
		soak := exec.CommandContext(ctx, binary, "platform", "soak",
			"--seed", fmt.Sprint(seed), "--length", m.length.String(), "--folder", filepath.Join(dir, "soak"))
		output, err := soak.CombinedOutput()
		if err == nil {
			continue
		}
		fmt.Fprintf(m.out, "%s: found by seed %d: %s\n", d.name, seed, firstViolation(string(output)))
		return true, nil
	}
	fmt.Fprintf(m.out, "%s: NOT FOUND in %d seeds\n", d.name, m.seeds)
	return false, nil
}

// firstViolation returns the line of the first violation.
func firstViolation(output string) string {
	lines := strings.Split(output, "\n")
	for i, line := range lines {
		if strings.Contains(line, "BROKEN") && i+1 < len(lines) {
			return truncate(strings.TrimSpace(lines[i+1]))
		}
	}
	return truncate(strings.TrimSpace(output))
}

// truncate shortens long lines, which may quote documents.
func truncate(line string) string {
	const maxLength = 160
	return line[:min(len(line), maxLength)]
}

// build copies the checkout, applies the defect and builds the program.
func (m *mutants) build(ctx context.Context, d defect, dir string) (string, error) {
	list := exec.CommandContext(ctx, "git", "ls-files", "--", "*.go", "go.mod", "go.sum", "*.binpb", "*.md", "*.toml", "*.ini")
	list.Dir = m.root
	files, err := list.Output()
	if err != nil {
		return "", errors.Wrap(err, "list files")
	}
	tree := filepath.Join(dir, "tree")
	for _, name := range strings.Fields(string(files)) {
		if err := copyFile(filepath.Join(m.root, name), filepath.Join(tree, name)); err != nil {
			return "", err
		}
	}
	if err := d.apply(tree); err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "eelgrasswharf")
	build := exec.CommandContext(ctx, "go", "build", "-o", binary, "./cmd/eelgrasswharf")
	build.Dir = tree
	if output, err := build.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "build: %s", output)
	}
	return binary, nil
}

func copyFile(from, to string) error {
	data, err := os.ReadFile(from)
	if err != nil {
		return errors.Wrap(err, "copy")
	}
	if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
		return errors.Wrap(err, "copy")
	}
	if err := os.WriteFile(to, data, 0o600); err != nil {
		return errors.Wrap(err, "copy")
	}
	return nil
}

// apply applies the defect to a tree.
func (d defect) apply(tree string) error {
	path := filepath.Join(tree, d.file)
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "defect")
	}
	if count := strings.Count(string(data), d.old); count != 1 {
		return errors.Errorf("%s has the text to replace %d times", d.file, count)
	}
	changed := strings.Replace(string(data), d.old, d.new, 1)
	if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
		return errors.Wrap(err, "defect")
	}
	return nil
}
