package pick_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumvane/core/pick"
	"laburnumvane/core/view"
)

// One of three replicas fails all that it gets. Once that shows, it gets nothing
// but a probe now and then.
func Example() {
	servers := make([]view.Server, 3)
	for i := range servers {
		servers[i] = view.Server{ID: view.ServerID(i), DataCentre: "east", State: view.StateServing, Weight: 1}
	}
	vw := view.View{}.WithServers(servers)
	tb := pick.New(pick.Config{DataCentre: "east"})
	tb.Grow(vw.Len())

	replicas := []view.ServerID{0, 1, 2}
	rnd := rand.New(rand.NewPCG(1, 1))
	picked := make([]int, 3)
	for i := range 1000 {
		now := time.Duration(i) * time.Millisecond
		id, _ := tb.Chooser(now, &vw, rnd).Pick(replicas, nil)
		tb.Begin(id)
		result := pick.Replied
		if id == 0 {
			result = pick.Failed
		}
		tb.End(now, id, result, 5*time.Millisecond)
		picked[id]++
	}
	fmt.Println("less than a tenth of the work:", picked[0] < 100)
	// Output: less than a tenth of the work: true
}
