package search_test

import (
	"fmt"
	"time"

	"laburnumvane/core/budget"
	"laburnumvane/core/search"
	"laburnumvane/core/view"
)

// A search over two shards. One shard answers; the other has not answered by the
// soft deadline, when half of the shards are enough.
func Example() {
	mc := search.New(search.Config{
		ID: 1,
		Snapshot: view.Snapshot{Version: 7, Replicas: [][]view.ServerID{
			{10, 11},
			{20, 21},
		}},
		SoftDeadline: 100 * time.Millisecond,
		HardDeadline: time.Second,
		MinCoverage:  0.5,
		HitLimit:     10,
		Chooser:      firstUntried{},
		HedgeBudget:  budget.New(budget.Config{}),
		RetryBudget:  budget.New(budget.Config{}),
	})
	show := func(actions []search.Action) {
		for _, ac := range actions {
			switch ac.Kind {
			case search.ActSend:
				fmt.Println("send shard", ac.Shard, "to server", ac.Server)
			case search.ActAnswer:
				fmt.Println("answer", ac.Answer.Answered, "of", ac.Answer.Shards)
			}
		}
	}
	show(mc.Start(0))
	show(mc.Step(5*time.Millisecond, search.Event{
		Kind:     search.EvReply,
		Sub:      search.SubID{Search: 1, Attempt: 0},
		Shard:    0,
		Snapshot: 7,
		Shards:   2,
	}))
	show(mc.Step(100*time.Millisecond, search.Event{Kind: search.EvWake}))
	// Output:
	// send shard 0 to server 10
	// send shard 1 to server 20
	// answer 1 of 2
}
