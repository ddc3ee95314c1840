package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/lead"
	"laburnumvane/core/plan"
	"laburnumvane/core/route"
)

// A small VM passes on what another one gathered. It needs some milliseconds to
// read, copy and write it; an answer that left the other one at the last moment
// would reach the client after its target, and be worth next to nothing.
func TestCarriedAnswersLeaveSooner(t *testing.T) {
	is := is.New(t)
	en := &Entry{cfg: Config{Names: Names{RequestID: "Id"}}, budgets: newBudgets(), lead: lead.New(lead.Config{})}
	rt := &route.Route{Name: "all", Timeout: time.Second, Target: 80 * time.Millisecond, Gather: &route.Gather{Shards: []string{"s"}}}
	vw := plan.New(plan.Config{})
	own := en.launch(&request{id: "a"}, rt, vw)
	carried := en.launch(&request{id: "b", carried: true}, rt, vw)
	is.Equal(own.hard-carried.hard, hopBack)
}
