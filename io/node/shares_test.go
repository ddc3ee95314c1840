package node_test

import (
	"math"
	"testing"
)

// A team's limit must not depend on the number of VMs. Three new VMs, which know each other from
// the list and by heartbeats, must have equal shares; when a fourth boots, all four must. Shares
// are computed from the known VMs, not from those whose demand has arrived.
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
	if _, err := st.StartVM("east"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a quarter each", even(4))
}
