package node_test

import (
	"math"
	"testing"
)

// What the caller sees: a team's limit is the same however many VMs there are.
// Three VMs know each other from the list and by heartbeats; each takes an even
// part while it is new, and a fourth that boots takes one from the others.
// Why: a part is worked out from the VMs known, not from those heard.
func TestTeamSharesAreEven(t *testing.T) {
	st := startSite(t, 3, 0)
	even := func(n int) func() bool {
		return func() bool {
			for _, nd := range st.Nodes() {
				part, _ := nd.TeamShare("wash")
				if math.Abs(part-1/float64(n)) > 0.01 {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "a third each", even(3))
	if _, err := st.Boot("east"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a quarter each", even(4))
}
