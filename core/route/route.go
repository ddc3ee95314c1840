package route

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Route describes the handling of requests whose path begins with Prefix on one host.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set if requests may run more than once.
	Idempotent bool
	// Timeout is the maximum time until the final answer.
	Timeout time.Duration
	// Target is the latency within which an answer has its full value.
	Target time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of servers of one service to which one request is
	// sent.
	MaxAttempts int
	// Split distributes requests among services by weight; a route to a single service has
	// one entry. It is empty if Gather is set.
	Split []Share
	// Gather is set if each request goes to all of several services.
	Gather *Gather
	// Regions are the regions that requests must not leave, except for the VM that the client
	// reached; empty means no restriction.
	Regions []string

	digest uint64

	// Public is set if requests need no key although the configuration has client accounts. It is
	// the last field: see digestOf.
	Public bool
}

// Allows reports whether requests may go to a region.
func (rt *Route) Allows(region string) bool {
	return len(rt.Regions) == 0 || slices.Contains(rt.Regions, region)
}

// Digest identifies how a route handles requests: it is equal for equal handling on all VMs
// and in all versions of the configuration. It is 0 for a route that is in no Table.
func (rt *Route) Digest() uint64 { return rt.digest }

// digestOf covers everything that decides how a request is handled, not the route's name or
// its position in the configuration. The formatted text contains the names of the fields, so
// renaming a field of Route, Share or Gather changes all digests. The digest of a route that is not
// public is the same as in builds that do not know Public; such builds have another digest for a
// public route, so that it is run on the VM that its client reached while both builds are in use.
func digestOf(rt *Route) uint64 {
	plain := *rt
	plain.Name = ""
	plain.Gather = nil
	text := fmt.Appendf(nil, "%+v", plain)
	if !rt.Public {
		text = append(bytes.TrimSuffix(text, []byte(" Public:false}")), '}')
	}
	if rt.Gather != nil {
		text = fmt.Appendf(text, "%+v", *rt.Gather)
	}
	return xxhash.Sum64(text)
}

// Share is the weight of a service among the requests of a route.
type Share struct {
	Service string
	Weight  float64
}

// Gather merges the answers of several services, the shards, into one.
type Gather struct {
	Shards []string
	// Limit is the maximum number of records in the answer.
	Limit int
	// MinCoverage is the minimum share of the shards in an answer, 0 to 1.
	MinCoverage float64
}

// MinParts returns the minimum number of shards in an answer, at least one.
func (ga *Gather) MinParts() int {
	// Without the tolerance a share of 0.7 of 10 shards would require 8, since the product is
	// slightly above 7.
	const tolerance = 1e-9
	required := ga.MinCoverage*float64(len(ga.Shards)) - tolerance
	parts := int(required)
	if float64(parts) < required {
		parts++
	}
	return max(parts, 1)
}

// Services lists the services to which requests of the route may go.
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

// Draw selects the service of a request by weight, and returns false if the route has none.
// at is uniform in [0, 1].
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
	// Rounding errors can leave a remainder after the last share.
	return rt.Split[len(rt.Split)-1].Service, true
}
