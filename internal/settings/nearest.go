package settings

import "fmt"

// maxDistance is the largest edit distance at which a known name is offered
// in place of an unknown one.
const maxDistance = 4

// hint offers the known name nearest to an unknown one, or nothing when none
// is near.
func hint(name string, known []string) string {
	best := nearest(name, known)
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// nearest returns the known name nearest to a name, or nothing when none is
// near.
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

// distance is the Levenshtein distance of two names in bytes.
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
