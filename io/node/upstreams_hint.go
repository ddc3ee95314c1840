package node

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/server"
	"laburnumvane/core/view"
	"laburnumvane/io/meter"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

const (
	loadTimeout = 2 * time.Second
	// loadOverheadBytes is the size of an exchange with a load endpoint without the reply's
	// body: request, headers and acknowledgements.
	loadOverheadBytes = 400
	// maxShards bounds the shard count that is accepted from a server, since a map of that
	// length is allocated.
	maxShards = 1 << 16
)

// loadReceived carries the reply of a server's load endpoint or the error.
type loadReceived struct {
	id     view.ServerID
	probe  bool
	status wire.UpstreamStatus
	err    error
}

func (ev loadReceived) apply(ct *control) {
	us := ct.upstreams
	if !ev.probe {
		us.polls.Done(pollBytes(ev))
	}
	if ev.err != nil {
		if countsAsFailure(ev.err, ev.probe) {
			us.step(ev.id, server.Event{Kind: server.Failure, Failed: 1, Probe: ev.probe})
		}
		return
	}
	if us.states.Status(ev.id).Incarnation > ev.status.Incarnation && us.states.Status(ev.id).State != view.StateGone {
		// The endpoint lags: the reply describes an earlier process of the server.
		us.ct.nd.meter.Count(meter.Server, "hintLags")
		return
	}
	us.step(ev.id, server.Event{
		Kind:        server.Hint,
		Incarnation: ev.status.Incarnation,
		Reported:    reportedState(ev.status.State),
		Probe:       ev.probe,
	})
	us.updateHoldings(ev.id, ev.status.Holdings)
}

// pollBytes returns the approximate size of a poll in bytes, or 0 if it failed.
func pollBytes(ev loadReceived) int {
	if ev.err != nil {
		return 0
	}
	body, err := json.Marshal(ev.status)
	if err != nil {
		return 0
	}
	return loadOverheadBytes + len(body)
}

// countsAsFailure reports whether an error counts as a failure of the server. Errors that only
// show this VM's own limits or a silent connection don't count. A probe also fails if it is not
// sent because opening a connection has just failed.
func countsAsFailure(err error, probe bool) bool {
	var ue *upst.Error
	if !errors.As(err, &ue) {
		return false
	}
	return isServerFailure(ue.Kind) || probe && (ue.Kind == upst.KindBackoff || ue.Kind == upst.KindRefused)
}

func isServerFailure(kind upst.Kind) bool {
	switch kind {
	case upst.KindDial, upst.KindWrite, upst.KindTimeout, upst.KindReset, upst.KindStatus, upst.KindDecode:
		return true
	default:
		return false
	}
}

func reportedState(us wire.UpstreamState) server.ReportedState {
	switch us {
	case wire.UpstreamCold:
		return server.ReportedCold
	case wire.UpstreamDraining:
		return server.ReportedDraining
	case wire.UpstreamServing:
		return server.ReportedServing
	default:
		return server.ReportedNone
	}
}

// updateHoldings processes the holdings that a server reports. If they include a newer snapshot,
// the register's other servers are polled soon. A server without the newest snapshot is polled
// again.
func (us *upstreams) updateHoldings(id view.ServerID, reported []wire.ShardHolding) {
	if us.ct.view.ServerRef(id).State == view.StateGone || !us.plan.uses(id) {
		us.maps.Set(id, nil)
		return
	}
	held := us.holdingsOf(id, reported)
	newest := make(map[view.RegisterKey]uint64)
	for _, ho := range held {
		newest[ho.Key] = max(newest[ho.Key], us.maps.Newest(ho.Key))
	}
	us.maps.Set(id, held)
	us.ct.nd.upstream(id).resetDropped()
	behind := false
	for key, before := range newest {
		now := us.maps.Newest(key)
		if now > before && before > 0 {
			us.pollOthersSoon(id, key)
		}
		behind = behind || !slices.ContainsFunc(held, func(ho server.Holding) bool { return ho.Key == key && ho.Version == now })
	}
	if behind {
		us.polls.RepeatLagging(us.now(), id)
	}
}

func (us *upstreams) holdingsOf(id view.ServerID, reported []wire.ShardHolding) []server.Holding {
	var out []server.Holding
	for _, ho := range reported {
		if ho.Shards < 1 || ho.Shards > maxShards {
			continue
		}
		for _, key := range us.placement.registersOf(id, ho.Register) {
			out = append(out, server.Holding{Key: key, Version: ho.Snapshot, Shards: ho.Shards, Held: ho.Held})
		}
	}
	return out
}

func (us *upstreams) pollOthersSoon(id view.ServerID, key view.RegisterKey) {
	us.ct.nd.meter.Count(meter.Server, "newSnapshot")
	for _, other := range us.placement.byRegister[key] {
		if other != id {
			us.polls.PollSoon(us.now(), other)
		}
	}
}
