package team

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// unitSuffixes lists endings that other formats use for the unit of a duration.
func unitSuffixes() []string {
	return []string{"milliseconds", "millis", "msec", "ms", "seconds", "secs", "sec", "s"}
}

// nameHint suggests the known field that an unknown name probably stands for.
func nameHint(name string, known []string) string {
	for _, cand := range known {
		if normaliseName(cand) == normaliseName(name) {
			return ", did you mean " + cand + "?"
		}
	}
	for _, cand := range known {
		if strings.HasSuffix(cand, "Ms") && trimUnit(cand) == trimUnit(name) {
			return ", did you mean " + cand + "? Durations are whole milliseconds"
		}
	}
	for _, cand := range known {
		if editDistance(normaliseName(cand), normaliseName(name)) <= 2 {
			return ", did you mean " + cand + "?"
		}
	}
	return ""
}

// normaliseName removes the differences between camel case, snake case and the like.
func normaliseName(name string) string {
	return strings.ToLower(strings.NewReplacer("_", "", "-", "").Replace(name))
}

// trimUnit returns the normalised name without its unit.
func trimUnit(name string) string {
	low := normaliseName(name)
	for _, suf := range unitSuffixes() {
		if cut, ok := strings.CutSuffix(low, suf); ok && cut != "" {
			return cut
		}
	}
	return low
}

// unitHint suggests the number for a duration that was written as text.
func unitHint(raw json.RawMessage, what string) string {
	if typeOf(raw) != typeString || !strings.Contains(what, string(unitMillis)) {
		return ""
	}
	dur, err := time.ParseDuration(stringValue(raw))
	if err != nil || dur < time.Millisecond {
		return ""
	}
	return fmt.Sprintf("; write %d", dur.Milliseconds())
}

// maxHintName bounds the cost of editDistance, since a name can be a megabyte long.
const maxHintName = 40

// editDistance returns the Levenshtein distance of two names. Names longer than maxHintName
// are not compared and count as maxHintName apart.
func editDistance(from, to string) int {
	if len(from) > maxHintName || len(to) > maxHintName {
		return maxHintName
	}
	prev := make([]int, len(to)+1)
	for j := range prev {
		prev[j] = j
	}
	for i := range len(from) {
		next := make([]int, len(to)+1)
		next[0] = i + 1
		for j := range len(to) {
			cost := 1
			if from[i] == to[j] {
				cost = 0
			}
			next[j+1] = min(prev[j]+cost, prev[j+1]+1, next[j]+1)
		}
		prev = next
	}
	return prev[len(to)]
}
