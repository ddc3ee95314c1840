package setup

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Suffixes of sizes, and their values in bytes.
const (
	suffixKiB = "KiB"
	suffixMiB = "MiB"
	kib       = 1 << 10
	mib       = 1 << 20
)

func formatInt(n int) string { return strconv.Itoa(n) }

func setText(to *string, s string) error {
	*to = strings.TrimSpace(s)
	return nil
}

func setInt(to *int, s string) error {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil {
		return errors.Errorf("%q is not a whole number", s)
	}
	*to = n
	return nil
}

func setUint(to *uint64, s string) error {
	n, err := strconv.ParseUint(strings.TrimSpace(s), 10, 64)
	if err != nil {
		return errors.Errorf("%q is not a whole number of 0 or more", s)
	}
	*to = n
	return nil
}

func setDuration(to *time.Duration, s string) error {
	d, err := time.ParseDuration(strings.TrimSpace(s))
	if err != nil {
		return errors.Errorf("%q is not a time with a unit, such as 500ms, 30s or 5m", s)
	}
	*to = d
	return nil
}

func setBytes(to *int, s string) error {
	digits, unit := strings.TrimSpace(s), 1
	switch {
	case strings.HasSuffix(digits, suffixKiB):
		digits, unit = strings.TrimSuffix(digits, suffixKiB), kib
	case strings.HasSuffix(digits, suffixMiB):
		digits, unit = strings.TrimSuffix(digits, suffixMiB), mib
	}
	n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 32)
	if err != nil {
		return errors.Errorf("%q is not a size such as 1048576, 512KiB or 1MiB", s)
	}
	*to = int(n) * unit
	return nil
}

// setList keeps the parts that are not empty, so that a trailing comma is allowed.
func setList(to *[]string, ss []string) error {
	var list []string
	for _, s := range ss {
		s = strings.TrimSpace(s)
		if s != "" {
			list = append(list, s)
		}
	}
	*to = list
	return nil
}

// setPairs parses TEAM=TOKEN pairs. Its errors give the number of a pair and not its text: a pair
// without = may be a bare token.
func setPairs(to *map[string]string, ss []string) error {
	pairs := make(map[string]string, len(ss))
	for i, s := range ss {
		s = strings.TrimSpace(s)
		if s == "" {
			continue
		}
		team, token, ok := strings.Cut(s, "=")
		if !ok {
			return errors.Errorf("pair %d has no =; write TEAM=TOKEN", i+1)
		}
		_, twice := pairs[team]
		if twice {
			return errors.Errorf("team %q has two tokens", team)
		}
		pairs[team] = token
	}
	*to = pairs
	return nil
}
