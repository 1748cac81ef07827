package repotest

import (
	"regexp"
	"slices"
	"strings"
	"testing"
)

// measurementPackages are excluded: their subject is measurement.
var measurementPackages = []string{"internal/capacity", "internal/experiment"}

// history matches dates, issue numbers, seeds and measurements, which belong in
// commits or documentation.
var history = regexp.MustCompile(`(?i)\b20[0-9]{2}-[01][0-9]-[0-3][0-9]\b|\bissue [0-9]+|#[0-9]+\b|\bseed [0-9]+|\b(trial|measured)\b|\bof all worth\b|\bone run each\b`)

// TestCommentsContainNoHistory expects comments without the history of a change or
// figure.
func TestCommentsContainNoHistory(t *testing.T) {
	for name, s := range sources(t) {
		if slices.Contains(measurementPackages, name) || strings.HasPrefix(name, "api/") {
			continue
		}
		for _, file := range s.files {
			for _, comment := range file.Comments {
				if found := history.FindString(comment.Text()); found != "" {
					t.Errorf("%s: %q in the comment %q", name, found, comment.Text())
				}
			}
		}
	}
}
