package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/gauge"
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
