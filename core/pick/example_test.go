package pick_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumvane/core/pick"
	"laburnumvane/core/view"
)

// One of two replicas returns errors immediately: the other one gets the work.
func ExampleChooser_Pick() {
	vw := view.View{}.WithServers([]view.Server{
		{ID: 0, DataCentre: "east", State: view.StateServing},
		{ID: 1, DataCentre: "east", State: view.StateServing},
	})
	tb := pick.New(pick.Config{DataCentre: "east"})
	tb.Grow(vw.Len())
	now := time.Second // monotonic, from the start of the process
	for range 10 {
		tb.Begin(0)
		tb.End(now, 0, pick.Failed, 0)
	}
	ch := tb.Chooser(now, &vw, rand.New(rand.NewPCG(1, 1)))
	id, ok := ch.Pick([]view.ServerID{0, 1}, nil)
	fmt.Println(id, ok, tb.Failing(0))
	// Output: 1 true true
}
