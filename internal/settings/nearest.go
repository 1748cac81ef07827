package settings

import "fmt"

// maxDistance is the largest edit distance of a suggestion.
const maxDistance = 4

// suggestion returns text that suggests the most similar known name, or "" if none is similar.
func suggestion(name string, known []string) string {
	best := nearest(name, known)
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// nearest returns the most similar known name, or "" if none is similar.
func nearest(name string, known []string) string {
	best := ""
	bestDistance := maxDistance + 1
	for _, k := range known {
		if d := distance(name, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// distance returns the Levenshtein distance of two names in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal = row[j]
			row[j] = next
		}
	}
	return row[len(b)]
}
