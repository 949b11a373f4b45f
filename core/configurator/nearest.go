package configurator

// Nearest returns the candidate with the smallest edit distance from name, or an
// empty string if there are no candidates.
func Nearest(name string, candidates []string) string {
	best, bestDistance := "", -1
	for _, candidate := range candidates {
		distance := editDistance(name, candidate)
		if bestDistance < 0 || distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// editDistance is the Levenshtein distance in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substituted := diagonal
			if a[i] != b[j] {
				substituted++
			}
			diagonal = row[j+1]
			row[j+1] = min(substituted, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
