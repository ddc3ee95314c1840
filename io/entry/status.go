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

// A request that may run once gets one server, and waits for it whatever it does: nobody else
// may be asked. And a VM that sees a few of them a minute knows nothing of those servers. So
// some are asked for their state first, where they tell their load: it takes a round trip, and
// shows which of them are silent, busy or slow.

const (
	// checkMost is how many servers are asked, and checkTime how long they may take.
	checkMost = 3
	checkTime = 25 * time.Millisecond
	// checkShare bounds that as a share of the target.
	checkShare = 0.1
)

// checkFirst asks the best servers of a request that may run once for their state.
func (fl *flight) checkFirst(now time.Duration) {
	en := fl.en
	if fl.rt.Idempotent || fl.rt.Gather != nil || len(fl.services) != 1 || en.cfg.Off.Off(toggle.Checks) {
		return
	}
	sv, ok := fl.vw.Routes().Service(fl.services[0])
	if !ok || sv.StatusPath == "" {
		return
	}
	if tells, known := en.cfg.Steer.Tells(sv.Name); known && !tells {
		return
	}
	warm, _ := fl.choices(now, 0)
	var asked []*origin.Upstream
	for len(asked) < checkMost {
		up, ok := fl.pick(now, 0, warm, asked)
		if !ok {
			break
		}
		asked = append(asked, up)
	}
	if len(asked) < 2 {
		return
	}
	answered := en.check(asked, sv.StatusPath, min(checkTime, time.Duration(checkShare*float64(fl.rt.Target))))
	fl.checked = en.cfg.Steer.Ready(en.cfg.Clock(), answered)
	if len(answered) > 0 {
		// Where none answers it may be this VM that is slow.
		fl.shunned = slices.DeleteFunc(asked, func(up *origin.Upstream) bool { return slices.Contains(fl.checked, up) })
	}
}

// pickChecked chooses a server that said that it is ready, or else one that was not asked.
func (fl *flight) pickChecked(now time.Duration, ask fanout.Ask, warm []*origin.Upstream) (*origin.Upstream, bool) {
	if !ask.First || len(fl.checked)+len(fl.shunned) == 0 {
		return nil, false
	}
	if up, ok := fl.pick(now, ask.Shard, fl.checked, ask.Tried); ok && up.Takes() {
		return up, true
	}
	return fl.pick(now, ask.Shard, warm, slices.Concat(fl.shunned, ask.Tried))
}

// checkedState is what came of one check.
type checkedState struct {
	up *origin.Upstream
	rs relay.Result
}

// check asks servers for their state, and returns those that told it within a time.
func (en *Entry) check(ups []*origin.Upstream, path string, wait time.Duration) (answered []*origin.Upstream) {
	box := make(chan checkedState, len(ups))
	calls := make([]*relay.Call, len(ups))
	for i, up := range ups {
		en.cfg.Meter.Count(meter.Sent, "check")
		calls[i] = en.cfg.Relay.Send(up, relay.Request{
			Method: consts.MethodGet,
			Wire:   []byte("GET " + path + " HTTP/1.1\r\nHost: " + up.Addr + "\r\n\r\n"),
			Done:   func(rs relay.Result) { box <- checkedState{up: up, rs: rs} },
		})
	}
	tm := time.NewTimer(wait)
	defer tm.Stop()
	for range ups {
		select {
		case cs := <-box:
			if en.stateOf(cs) {
				answered = append(answered, cs.up)
			}
		case <-tm.C:
			for _, ca := range calls {
				ca.Drop(loserTime)
			}
			return answered
		}
	}
	return answered
}

// stateOf takes in what a server said, and tells whether it may get a request.
func (en *Entry) stateOf(cs checkedState) bool {
	if cs.rs.Err != nil || cs.rs.Reply.Status != consts.StatusOK {
		return false
	}
	if id := cs.rs.Reply.Header.Get(en.cfg.Names.Instance); id != "" && id != cs.up.ID {
		return false
	}
	if cs.rs.Reply.Header.Get(en.cfg.Names.Load) == "" {
		en.cfg.Steer.TellsNot(cs.up.Service)
	}
	en.takeLoad(en.cfg.Clock(), cs.up, cs.rs.Reply, 0)
	return true
}
