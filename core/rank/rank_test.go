package rank_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/rank"
)

func fleet(centres, each int) []rank.VM {
	var vms []rank.VM
	for c := range centres {
		for i := range each {
			vms = append(vms, rank.VM{Addr: fmt.Sprintf("10.%d.0.%d:7703", c, i), DataCentre: fmt.Sprint("dc", c)})
		}
	}
	return vms
}

func TestWatchersAreFirstInRank(t *testing.T) {
	for _, each := range []int{1, 2, 3, 50} {
		is := is.New(t)
		vms := fleet(3, each)
		count := map[string]int{}
		for _, self := range vms {
			tb := rank.New(rank.Config{Self: self, VMs: vms})
			at := slices.Index(tb.Ranked(self.DataCentre), self)
			is.Equal(tb.IsWatcher(), at < rank.DefaultWatchers)
			if tb.IsWatcher() {
				count[self.DataCentre]++
			}
		}
		for _, n := range count {
			is.Equal(n, min(each, rank.DefaultWatchers))
		}
		is.Equal(len(count), 3)
	}
}

func TestTreeReachesEachVMOnce(t *testing.T) {
	// For every change, forwarding from the root to the children reaches every VM of the data
	// centre exactly once.
	is := is.New(t)
	vms := fleet(2, 100)
	tb := rank.New(rank.Config{Self: vms[0], VMs: vms})
	for _, id := range []string{"a", "b", "c"} {
		root, ok := tb.Root("dc1", id)
		is.True(ok)
		reached := map[string]int{root.Addr: 1}
		for queue := []rank.VM{root}; len(queue) > 0; queue = queue[1:] {
			for _, vm := range tb.Children("dc1", id, queue[0].Addr) {
				reached[vm.Addr]++
				queue = append(queue, vm)
			}
		}
		is.Equal(len(reached), 100)
		for _, n := range reached {
			is.Equal(n, 1)
		}
	}
}

func TestOrderIsStableWhenVMLeaves(t *testing.T) {
	// When a VM leaves, the others keep their order, so that only its own duties move.
	is := is.New(t)
	vms := fleet(1, 20)
	before := rank.Order(vms, "watch")
	after := rank.Order(append(vms[:7:7], vms[8:]...), "watch")
	kept := before[:0:0]
	for _, vm := range before {
		if vm != vms[7] {
			kept = append(kept, vm)
		}
	}
	is.Equal(after, kept)
}

func Example() {
	vms := fleet(2, 3)
	tb := rank.New(rank.Config{Self: vms[0], VMs: vms})
	for _, dc := range tb.DataCentres() {
		fmt.Println(dc, tb.Ranked(dc)[0].Addr)
	}
	// Output:
	// dc0 10.0.0.1:7703
	// dc1 10.1.0.2:7703
}
