package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/gauge"
	"laburnumvane/core/lead"
	"laburnumvane/core/plan"
	"laburnumvane/core/route"
)

// A request that crashes servers goes to its owner, however busy that is: if small VMs ran it
// themselves because that is sooner, several servers would crash at the same time.
func TestSuspectRequestIsNotRunHereBecauseItIsSooner(t *testing.T) {
	is := is.New(t)
	en := &Entry{cfg: Config{Gauge: gauge.New(gauge.Config{Cores: 0.13})}}
	la := en.latency.forRoute(&route.Route{Name: "search", Target: 100 * time.Millisecond})
	is.True(en.ownTime(&request{}, la) > la.usualLatency())
	is.Equal(en.ownTime(&request{suspect: true}, la), time.Duration(0))
}

// A request waited on its way to this VM. Its client still leaves at the same time, so that the wait
// must not be added to the time that servers are given.
func TestForwardedRequestHasWaited(t *testing.T) {
	is := is.New(t)
	const clientTimeout, spent, waited = time.Second, 100 * time.Millisecond, 300 * time.Millisecond
	en := &Entry{
		cfg:  Config{Clock: func() time.Duration { return spent }, CopyAge: func() time.Duration { return 0 }},
		lead: lead.New(lead.Config{}), budgets: newBudgets(),
	}
	rt := &route.Route{Name: "all", Timeout: time.Minute, Gather: &route.Gather{Shards: []string{"s"}}}
	rq := &request{id: "a", timeout: clientTimeout, transitTime: time.Millisecond}
	cr := en.carryRequest(rq, rt, spent)
	at := spent + waited
	prompt := en.newFlight(en.forwardedRequest(cr, spent, 0), rt, plan.New(plan.Config{}))
	delayed := en.newFlight(en.forwardedRequest(cr, at, waited), rt, plan.New(plan.Config{}))
	is.Equal(delayed.hardDeadline, prompt.hardDeadline)
	is.True(delayed.hardDeadline < clientTimeout)
}
