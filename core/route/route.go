package route

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Route is where requests below one prefix of one host go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Target is the time within which an answer is worth all of its value.
	Target time.Duration
	// Priority is the rank among routes; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of servers of one service to which one request
	// may be sent.
	MaxAttempts int
	// Split shares requests among services; a plain route has one entry. It is
	// empty where Gather is set.
	Split []Share
	// Gather is set where each request goes to all of several services.
	Gather *Gather
	// Regions are those that a request must not leave, but for the VM that its client reached;
	// empty is no bound.
	Regions []string

	digest uint64
}

// Allows tells whether requests may go to a region.
func (rt *Route) Allows(region string) bool {
	return len(rt.Regions) == 0 || slices.Contains(rt.Regions, region)
}

// Digest is the same for routes that handle requests in the same way, on all VMs
// and in all versions. It is 0 for a route that is in no Table.
func (rt *Route) Digest() uint64 { return rt.digest }

// digestOf goes over all that decides how a request is handled; a route's name and
// place in the configuration do not.
func digestOf(rt *Route) uint64 {
	plain := *rt
	plain.Name = ""
	plain.Gather = nil
	text := fmt.Appendf(nil, "%+v", plain)
	if rt.Gather != nil {
		text = fmt.Appendf(text, "%+v", *rt.Gather)
	}
	return xxhash.Sum64(text)
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Gather joins the answers of several services, the shards, into one.
type Gather struct {
	Shards []string
	// Limit is the number of records in the answer.
	Limit int
	// MinCoverage is the least share of the shards in an answer, 0 to 1.
	MinCoverage float64
}

// MinParts is the least number of shards in an answer, and never less than one.
func (ga *Gather) MinParts() int {
	// Without the tolerance a share of 0.7 of 10 would ask for 8 of them, for
	// the product is a little above 7.
	const tolerance = 1e-9
	need := ga.MinCoverage*float64(len(ga.Shards)) - tolerance
	parts := int(need)
	if float64(parts) < need {
		parts++
	}
	return max(parts, 1)
}

// Services lists the services to which the route's requests may go.
func (rt *Route) Services() []string {
	if rt.Gather != nil {
		return rt.Gather.Shards
	}
	names := make([]string, len(rt.Split))
	for i, sh := range rt.Split {
		names[i] = sh.Service
	}
	return names
}

// Draw picks the service of a request; at is uniform within 0 to 1.
func (rt *Route) Draw(at float64) (string, bool) {
	var total float64
	for _, sh := range rt.Split {
		total += sh.Weight
	}
	if total <= 0 {
		return "", false
	}
	at *= total
	for _, sh := range rt.Split {
		if at < sh.Weight {
			return sh.Service, true
		}
		at -= sh.Weight
	}
	// Rounding may leave a little beyond the last share.
	return rt.Split[len(rt.Split)-1].Service, true
}
