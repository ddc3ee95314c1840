package remote

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/origin"
)

// A fleet without large VMs has hundreds of targets. If few were drawn from all of them, most
// requests would leave their data centre.
func TestSamplePrefersOwnDataCentre(t *testing.T) {
	cases := []struct {
		local, remote, wantLocal, want int
	}{
		{2, 4, 2, 6},
		{300, 3000, maxCandidates - minRemote, maxCandidates},
		{3, 3000, 3, maxCandidates},
		{300, 0, maxCandidates, maxCandidates},
		{300, 1, maxCandidates - 1, maxCandidates},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprint(tc), func(t *testing.T) {
			is := is.New(t)
			var vms []*origin.Upstream
			for k := range tc.local + tc.remote {
				up := &origin.Upstream{ID: fmt.Sprint(k), DataCentre: "west"}
				if k < tc.local {
					up.DataCentre = "east"
				}
				vms = append(vms, up)
			}
			cl := New(Config{DataCentre: "east"})
			defer cl.Close()
			local, seen := 0, make(map[string]bool)
			for _, vm := range cl.sample(vms) {
				seen[vm.ID] = true
				if vm.DataCentre == "east" {
					local++
				}
			}
			is.Equal(len(seen), tc.want)
			is.Equal(local, tc.wantLocal)
		})
	}
}
