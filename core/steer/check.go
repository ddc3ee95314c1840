package steer

import (
	"slices"
	"time"

	"laburnumvane/core/origin"
)

const (
	// reserveRatio is how many times the usual latency is left for the request itself when a
	// check is extended.
	reserveRatio = 2
	// recentSpan: of the servers that did not respond to a check, those are preferred that
	// responded at most this long before the latest one.
	recentSpan = time.Second
)

// lastGroup is the last of the groups that Rank returns.
const lastGroup = 3

// CheckConfig configures a Check.
type CheckConfig struct {
	Table *Table
	// Asked are the servers that are asked first.
	Asked []*origin.Upstream
	// Brief is how long the responses may take at most if a server is ready by then.
	Brief time.Duration
	// UsualLatency is the latency of the request on most servers.
	UsualLatency time.Duration
	// Deadline is when the response to the request is due.
	Deadline time.Duration
}

// CheckStep is what to do next in a Check.
type CheckStep uint8

// Steps of a Check.
const (
	// CheckWait: wait for results.
	CheckWait CheckStep = iota
	// CheckMore: ask further servers and report them to Ask.
	CheckMore
	// CheckDone: send the request.
	CheckDone
)

// Check decides how long to wait for the status of servers before a request that may run only
// once is sent, and which server gets it. If no server has reported within the brief time that it
// is ready, servers may be silent, or this VM may be slow, so that responses have arrived but have
// not been read. The request cannot be sent again, so the check then continues for as long as the
// request would still be answered by its deadline, and asks further servers. It is not safe for
// concurrent use.
type Check struct {
	cfg      CheckConfig
	briefEnd time.Duration
	latest   time.Duration
	extended bool
	asked    []*origin.Upstream
	answered []*origin.Upstream
	failed   int
	// ready and queued are the servers that were ready, or had a queue, when they responded.
	ready, queued []*origin.Upstream
}

// NewCheck returns a check that begins now.
func NewCheck(now time.Duration, cfg CheckConfig) *Check {
	return &Check{
		cfg:      cfg,
		briefEnd: now + cfg.Brief,
		latest:   max(now+cfg.Brief, cfg.Deadline-reserveRatio*cfg.UsualLatency),
		asked:    slices.Clone(cfg.Asked),
	}
}

// Answered records the valid response of a server, whose load report the table has. The server
// is ready or not as of now: until the check ends, a report of slowness loses its weight.
func (ck *Check) Answered(now time.Duration, up *origin.Upstream) {
	ck.answered = append(ck.answered, up)
	switch ck.cfg.Table.readiness(now, up) {
	case ready:
		ck.ready = append(ck.ready, up)
	case queued:
		ck.queued = append(ck.queued, up)
	}
}

// Failed records that a server could not be asked, or that its response was not valid.
func (ck *Check) Failed() { ck.failed++ }

// Ask records further servers that are asked; none if there are no others.
func (ck *Check) Ask(ups []*origin.Upstream) {
	ck.extended = true
	ck.asked = append(ck.asked, ups...)
}

// usable returns the servers that are ready, or else those that are not slow but have a queue.
func (ck *Check) usable() []*origin.Upstream {
	if len(ck.ready) > 0 {
		return ck.ready
	}
	return ck.queued
}

// Asked returns the servers that were asked.
func (ck *Check) Asked() []*origin.Upstream { return ck.asked }

// Next returns what to do, and when to call it again if no result arrives until then.
func (ck *Check) Next(now time.Duration) (step CheckStep, wake time.Duration) {
	usable := len(ck.usable()) > 0
	allEnded := len(ck.answered)+ck.failed >= len(ck.asked)
	switch {
	case now >= ck.latest:
		return CheckDone, now
	case usable && (allEnded || now >= ck.briefEnd):
		return CheckDone, now
	case usable:
		return CheckWait, ck.briefEnd
	case !ck.extended && (allEnded || now >= ck.briefEnd):
		return CheckMore, now
	case allEnded:
		return CheckDone, now
	case !ck.extended:
		return CheckWait, ck.briefEnd
	}
	return CheckWait, ck.latest
}

// Rank returns the servers in groups, the preferred group first: those that are ready, or else have a queue; those that
// were not asked, if others responded; those that responded to this check or recently; the rest.
// A server that has never responded thus comes last.
func (ck *Check) Rank(ups []*origin.Upstream) [][]*origin.Upstream {
	recent := ck.cfg.Table.recentResponders(ups)
	groups := make([][]*origin.Upstream, lastGroup+1)
	for _, up := range ups {
		group := lastGroup
		switch {
		case contains(ck.usable(), up):
			group = 0
		case len(ck.answered) > 0 && !contains(ck.asked, up):
			group = 1
		case contains(ck.answered, up) || contains(recent, up):
			group = 2
		}
		groups[group] = append(groups[group], up)
	}
	return groups
}

// OnlyChoice reports whether up responded and no other server is left, apart from those tried,
// that may be expected to respond. It is then better to wait for a connection to up than to send
// the request to a server that is silent.
func (ck *Check) OnlyChoice(up *origin.Upstream, ups, tried []*origin.Upstream) bool {
	groups := ck.Rank(ups)
	if contains(groups[lastGroup], up) {
		return false
	}
	for _, group := range groups[:lastGroup] {
		for _, other := range group {
			if other.ID != up.ID && other.Accepting() && !contains(tried, other) {
				return false
			}
		}
	}
	return true
}

// recentResponders returns the servers that responded at most recentSpan before the
// latest response.
func (tb *Table) recentResponders(ups []*origin.Upstream) (recent []*origin.Upstream) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	last := time.Duration(0)
	for _, up := range ups {
		if st, seen := tb.stats[up.Process()]; seen {
			last = max(last, st.respondedAt)
		}
	}
	for _, up := range ups {
		if st, seen := tb.stats[up.Process()]; seen && st.respondedAt > 0 && last-st.respondedAt <= recentSpan {
			recent = append(recent, up)
		}
	}
	return recent
}
