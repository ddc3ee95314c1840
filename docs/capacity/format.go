package main

import (
	"fmt"
	"math"
	"strings"
)

// formatNumber formats a number with three significant digits and thousands separators.
func formatNumber(val float64) string {
	if val == 0 {
		return "0"
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(val)))))
	scale := math.Pow(10, 2-math.Floor(math.Log10(math.Abs(val))))
	text := fmt.Sprintf("%.*f", digits, math.Round(val*scale)/scale)
	if strings.Contains(text, ".") {
		return strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return thousands(text)
}

func thousands(text string) string {
	const group = 3
	var sb strings.Builder
	for i, digit := range text {
		if i > 0 && (len(text)-i)%group == 0 {
			sb.WriteByte(',')
		}
		sb.WriteRune(digit)
	}
	return sb.String()
}

func formatWhole(val float64) string {
	return thousands(fmt.Sprintf("%.0f", val))
}
