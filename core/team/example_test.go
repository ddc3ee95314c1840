package team_test

import (
	"fmt"

	"laburnumvane/core/team"
)

// A unit is missing from the deadline's name, and more is wrong: all faults are
// told at once, each with the path of its field.
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
