package operator

import "strings"

// DiffLines returns the lines that are only in before, marked "-", and those
// that are only in after, marked "+". Each line is one rule, so the order of
// the lines does not matter.
func DiffLines(before, after string) []string {
	var diff []string
	oldLines, newLines := lineSet(before), lineSet(after)
	for _, line := range strings.Split(before, "\n") {
		if line != "" && !newLines[line] {
			diff = append(diff, "- "+line)
		}
	}
	for _, line := range strings.Split(after, "\n") {
		if line != "" && !oldLines[line] {
			diff = append(diff, "+ "+line)
		}
	}
	return diff
}

func lineSet(text string) map[string]bool {
	set := make(map[string]bool)
	for _, line := range strings.Split(text, "\n") {
		set[line] = true
	}
	return set
}
