package entry

import (
	"slices"
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
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
	warm, _ := fl.warmAndCold(now, 0)
	var candidates []*origin.Upstream
	for len(candidates) < maxStatusChecks {
		up, ok := fl.pick(now, 0, warm, candidates)
		if !ok {
			break
		}
		candidates = append(candidates, up)
	}
	if len(candidates) < 2 {
		return
	}
	answered := en.askStatus(candidates, sv.StatusPath, min(statusCheckTimeout, time.Duration(statusCheckShare*float64(fl.rt.Target))))
	fl.ready = en.cfg.Steer.FilterReady(en.cfg.Clock(), answered)
	if len(answered) > 0 {
		// If none responds, this VM itself may be slow.
		fl.notReady = slices.DeleteFunc(candidates, func(up *origin.Upstream) bool { return slices.Contains(fl.ready, up) })
	}
}

// pickReady chooses a server that reported that it is ready, or else one that was not asked.
func (fl *flight) pickReady(now time.Duration, pr fanout.PickRequest, warm []*origin.Upstream) (*origin.Upstream, bool) {
	if !pr.First || len(fl.ready)+len(fl.notReady) == 0 {
		return nil, false
	}
	if up, ok := fl.pick(now, pr.Shard, fl.ready, pr.Tried); ok && up.Accepting() {
		return up, true
	}
	return fl.pick(now, pr.Shard, warm, slices.Concat(fl.notReady, pr.Tried))
}

// statusResult is the result of one status check.
type statusResult struct {
	up *origin.Upstream
	rs relay.Result
}

// askStatus asks servers for their status and returns those whose valid response arrived within
// the given time.
func (en *Entry) askStatus(ups []*origin.Upstream, path string, wait time.Duration) (answered []*origin.Upstream) {
	results := make(chan statusResult, len(ups))
	calls := make([]*relay.Call, len(ups))
	for i, up := range ups {
		en.cfg.Meter.Count(meter.Sent, "check")
		calls[i] = en.cfg.Relay.Send(up, relay.Request{
			Method: consts.MethodGet,
			Raw:    []byte("GET " + path + " HTTP/1.1\r\nHost: " + up.Addr + "\r\n\r\n"),
			Done:   func(rs relay.Result) { results <- statusResult{up: up, rs: rs} },
		})
	}
	tm := time.NewTimer(wait)
	defer tm.Stop()
	for range ups {
		select {
		case sr := <-results:
			if en.recordStatus(sr) {
				answered = append(answered, sr.up)
			}
		case <-tm.C:
			for _, ca := range calls {
				ca.Drop(unneededLinger)
			}
			return answered
		}
	}
	return answered
}

// recordStatus records a server's status and reports whether the response is valid.
func (en *Entry) recordStatus(sr statusResult) bool {
	if sr.rs.Err != nil || sr.rs.Reply.Status != consts.StatusOK {
		return false
	}
	if id := sr.rs.Reply.Header.Get(en.cfg.Names.Instance); id != "" && id != sr.up.ID {
		return false
	}
	if sr.rs.Reply.Header.Get(en.cfg.Names.Load) == "" {
		en.cfg.Steer.RecordNoLoad(sr.up.Service)
	}
	en.recordLoad(en.cfg.Clock(), sr.up, sr.rs.Reply, 0)
	return true
}
