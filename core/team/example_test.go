package team_test

import (
	"fmt"

	"laburnumvane/core/team"
)

// The deadline's name lacks its unit, and there are more faults: all are reported at once
// with the paths of their fields.
func ExampleParse() {
	_, err := team.Parse("wash", []byte(`{
		"version": 1,
		"team": "wash",
		"registers": {},
		"searches": {"kiosk": {"register": "members", "hardDeadline": 200}}
	}`))
	for _, fault := range team.Faults(err) {
		fmt.Println(fault.Path)
	}
	// Output:
	// searches.kiosk.hardDeadline
	// searches.kiosk.class
	// searches.kiosk.hardDeadlineMs
	// searches.kiosk.register
}
