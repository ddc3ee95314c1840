package entry

import (
	"slices"
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/steer"
	"laburnumvane/core/toggle"
	"laburnumvane/io/meter"
	"laburnumvane/io/relay"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// A request that may run at most once is sent to one server and has to wait for it, because no
// other may be asked. A VM that gets only a few such requests a minute knows nothing about the
// current state of their servers. So if a service's servers report their load, some of them are
// asked for their status first: it takes one round trip and shows which of them are silent,
// busy or slow.

const (
	// maxStatusChecks is how many servers are asked, and statusCheckTimeout how long they may
	// take.
	maxStatusChecks    = 3
	statusCheckTimeout = 25 * time.Millisecond
	// statusCheckShare limits that time to a share of the target.
	statusCheckShare = 0.1
)

// checkStatus asks the best servers for their status, if the request may run at most once.
func (fl *flight) checkStatus(now time.Duration) {
	en := fl.en
	if fl.rt.Idempotent || fl.rt.Gather != nil || len(fl.services) != 1 || en.cfg.Off.Off(toggle.Checks) {
		return
	}
	sv, ok := fl.vw.Routes().Service(fl.services[0])
	if !ok || sv.StatusPath == "" {
		return
	}
	if reports, known := en.cfg.Steer.ReportsLoad(sv.Name); known && !reports {
		return
	}
	candidates := fl.statusCandidates(now, nil)
	if len(candidates) < 2 {
		return
	}
	fl.check = steer.NewCheck(now, steer.CheckConfig{
		Table:        en.cfg.Steer,
		Asked:        candidates,
		Brief:        min(statusCheckTimeout, time.Duration(statusCheckShare*float64(fl.rt.Target))),
		UsualLatency: fl.latency.usualLatency(),
		Deadline:     min(fl.target, fl.hardDeadline),
	})
	fl.awaitStatus(sv.StatusPath)
}

// statusResult is the result of one status check.
type statusResult struct {
	up    *origin.Upstream
	valid bool
}

// awaitStatus asks servers for their status until the check is done.
func (fl *flight) awaitStatus(path string) {
	en, ck := fl.en, fl.check
	results := make(chan statusResult, 2*maxStatusChecks)
	calls := en.askStatus(ck.Asked(), path, results)
	defer func() {
		for _, ca := range calls {
			ca.Drop(unneededLinger)
		}
	}()
	tm := time.NewTimer(0)
	defer tm.Stop()
	for {
		now := en.cfg.Clock()
		step, wake := ck.Next(now)
		switch step {
		case steer.CheckDone:
			return
		case steer.CheckMore:
			more := fl.statusCandidates(now, ck.Asked())
			ck.Ask(more)
			calls = append(calls, en.askStatus(more, path, results)...)
			continue
		case steer.CheckWait:
			tm.Reset(wake - now)
		}
		select {
		case sr := <-results:
			if sr.valid {
				ck.Answered(en.cfg.Clock(), sr.up)
			} else {
				ck.Failed()
			}
		case <-tm.C:
		case <-fl.ctx.Done():
			return
		case <-en.ending.Done():
			return
		}
	}
}

// statusCandidates returns the best servers that have not been asked, at most maxStatusChecks.
func (fl *flight) statusCandidates(now time.Duration, asked []*origin.Upstream) []*origin.Upstream {
	warm, _ := fl.warmAndCold(now, 0)
	var candidates []*origin.Upstream
	for len(candidates) < maxStatusChecks {
		up, ok := fl.pick(now, 0, warm, slices.Concat(asked, candidates))
		if !ok {
			break
		}
		candidates = append(candidates, up)
	}
	return candidates
}

// pickWarm chooses a server, after a status check by what that showed.
func (fl *flight) pickWarm(now time.Duration, pr fanout.PickRequest, warm []*origin.Upstream) (*origin.Upstream, bool) {
	if fl.check == nil {
		return fl.pick(now, pr.Shard, warm, pr.Tried)
	}
	for _, ups := range fl.check.Rank(warm) {
		if up, ok := fl.pick(now, pr.Shard, ups, pr.Tried); ok {
			return up, true
		}
	}
	return nil, false
}

// isOnlyChoice reports whether an attempt's server is the only one left: after a status check, of
// those that responded to it or recently. Without it, a request that one server refused for lack of
// capacity was refused as a whole while the connection to the other server was being opened. A
// gathered request can do without a shard.
func (fl *flight) isOnlyChoice(now time.Duration, ac fanout.Action) bool {
	if fl.rt.Gather != nil {
		return false
	}
	warm, _ := fl.warmAndCold(now, ac.Shard)
	var tried []*origin.Upstream
	for k := range ac.Attempt {
		tried = append(tried, fl.machine.Upstream(k))
	}
	if fl.check != nil {
		return fl.check.OnlyChoice(ac.Upstream, warm, tried)
	}
	tried = append(tried, ac.Upstream)
	return !slices.ContainsFunc(warm, func(up *origin.Upstream) bool {
		return up.Accepting() && !slices.ContainsFunc(tried, func(other *origin.Upstream) bool { return other.ID == up.ID })
	})
}

// askStatus asks servers for their status. A response is recorded whenever it arrives, because a
// late one also shows that its server responds.
func (en *Entry) askStatus(ups []*origin.Upstream, path string, results chan<- statusResult) []*relay.Call {
	calls := make([]*relay.Call, len(ups))
	for i, up := range ups {
		en.cfg.Meter.Count(meter.Sent, "check")
		calls[i] = en.cfg.Relay.Send(up, relay.Request{
			Method:  consts.MethodGet,
			Message: func() []byte { return []byte("GET " + path + " HTTP/1.1\r\nHost: " + up.Addr + "\r\n\r\n") },
			Done:    func(rs relay.Result) { results <- statusResult{up: up, valid: en.recordStatus(up, rs)} },
		})
	}
	return calls
}

// recordStatus records a server's status and reports whether the response is valid.
func (en *Entry) recordStatus(up *origin.Upstream, rs relay.Result) bool {
	if rs.Err != nil || rs.Reply.Status != consts.StatusOK {
		return false
	}
	if id := rs.Reply.Header.Get(en.cfg.Names.Instance); id != "" && id != up.ID {
		return false
	}
	if rs.Reply.Header.Get(en.cfg.Names.Load) == "" {
		en.cfg.Steer.RecordNoLoad(up.Service)
	}
	en.recordLoad(en.cfg.Clock(), up, rs.Reply, 0)
	return true
}
