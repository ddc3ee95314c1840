package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/lead"
	"laburnumvane/core/plan"
	"laburnumvane/core/route"
)

// A small VM that forwards a request needs some milliseconds to read, copy and write the
// response. Without that margin, a response that the other VM sent at the last moment would
// reach the client after its target.
func TestForwardedRequestsHaveAnEarlierDeadline(t *testing.T) {
	is := is.New(t)
	en := &Entry{cfg: Config{Names: HeaderNames{RequestID: "Id"}}, budgets: newBudgets(), lead: lead.New(lead.Config{})}
	rt := &route.Route{Name: "all", Timeout: time.Second, Target: 80 * time.Millisecond, Gather: &route.Gather{Shards: []string{"s"}}}
	vw := plan.New(plan.Config{})
	local := en.newFlight(&request{id: "a"}, rt, vw)
	forwarded := en.newFlight(&request{id: "b", forwarded: true}, rt, vw)
	is.Equal(local.hardDeadline-forwarded.hardDeadline, forwardOverhead)
}
