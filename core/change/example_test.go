package change_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumvane/core/change"
)

// Example proposes a change whose answer is lost, and determines its result by reading the value
// back.
func Example() {
	var pair change.Pair
	now := time.Duration(0)
	pr := change.NewProposer(change.Config{
		Proposal: change.Proposal{ID: "c1", NewID: true, Team: "wash", Document: []byte(`{"version":1,"team":"wash","limits":{},"searches":{},"registers":{}}`)},
		Deadline: now + 10*time.Second,
		Rand:     rand.New(rand.NewPCG(1, 1)),
	})
	acts := pr.Step(now, change.Begin{})
	for len(acts) > 0 {
		ac := acts[0]
		switch ac := ac.(type) {
		case change.Get:
			fmt.Println("get", ac.Key)
			acts = pr.Step(now, change.Got{Pair: pair})
		case change.Swap:
			fmt.Println("swap", ac.Key, "expecting", ac.Expect)
			pair = change.Pair{Value: ac.Value, Revision: 1}
			acts = pr.Step(now, change.SwapFailed{MayHaveApplied: true, Err: errors.New("connection reset")})
		case change.Wake:
			now = ac.At
			acts = pr.Step(now, change.Tick{})
		case change.Report:
			fmt.Println(ac.Outcome.Result, "as revision", ac.Outcome.Entry.Revision)
			acts = nil
		}
	}
	// Output:
	// get teams/wash/config
	// swap teams/wash/config expecting 0
	// get teams/wash/config
	// accepted as revision 1
}
