package team

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// unitSuffixes are endings by which other formats name the unit of a duration.
func unitSuffixes() []string {
	return []string{"milliseconds", "millis", "msec", "ms", "seconds", "secs", "sec", "s"}
}

// nameHint suggests the field that an unknown name was meant to be.
func nameHint(name string, known []string) string {
	for _, cand := range known {
		if plain(cand) == plain(name) {
			return ", did you mean " + cand + "?"
		}
	}
	for _, cand := range known {
		if strings.HasSuffix(cand, "Ms") && stem(cand) == stem(name) {
			return ", did you mean " + cand + "? Durations are whole milliseconds"
		}
	}
	for _, cand := range known {
		if distance(plain(cand), plain(name)) <= 2 {
			return ", did you mean " + cand + "?"
		}
	}
	return ""
}

// plain levels the ways of writing a name of several words.
func plain(name string) string {
	return strings.ToLower(strings.NewReplacer("_", "", "-", "").Replace(name))
}

// stem is a name without its unit.
func stem(name string) string {
	low := plain(name)
	for _, suf := range unitSuffixes() {
		if cut, ok := strings.CutSuffix(low, suf); ok && cut != "" {
			return cut
		}
	}
	return low
}

// unitHint turns a duration written as text into the number that was wanted.
func unitHint(raw json.RawMessage, what string) string {
	if typeOf(raw) != typeString || !strings.Contains(what, string(unitMillis)) {
		return ""
	}
	dur, err := time.ParseDuration(textOf(raw))
	if err != nil || dur < time.Millisecond {
		return ""
	}
	return fmt.Sprintf("; write %d", dur.Milliseconds())
}

// maxHintName bounds the work that a name of a megabyte could cause.
const maxHintName = 40

// distance is the number of letters to change, add or drop between two names;
// names that are too long to be a slip are far from everything.
func distance(from, to string) int {
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
