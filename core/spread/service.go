package spread

import (
	"fmt"
	"time"
)

// service is the state of the key-value service as this machine knows it.
type service struct {
	// wakeAt is when the machine next checks whether to call the service.
	wakeAt time.Duration
	// notBefore is the end of the wait after a failed call.
	notBefore time.Duration
	failures  int
	// canWatch is set while watchFrom is a revision to watch from.
	canWatch  bool
	watchFrom uint64
	// highest is the highest revision of the service that was seen.
	highest    uint64
	fullReadAt time.Duration
	fallbackAt time.Duration
	// tokens limit the rate of calls, whatever the service answers.
	tokens   float64
	filledAt time.Duration
	// behind lists the teams for which the service holds a lower revision than this VM.
	behind map[string]lag
}

// lag is a lower revision in the service, and since when it was seen.
type lag struct {
	revision uint64
	since    time.Duration
}

const (
	maxBackoffShift = 10
	// downFailures is how many failures in a row mean that the service is down.
	downFailures = 4
	// tokenSlack keeps a rounding error from making the machine wake before a token is there.
	tokenSlack = time.Millisecond
)

// askService makes the next call to the service, if this VM is due to make one.
func (ma *Machine) askService() {
	sv := &ma.service
	ma.dropWatch()
	if ma.inFlight(callRange, callWatch) {
		sv.wakeAt = never
		return
	}
	sv.wakeAt = ma.nextServiceCall()
	if sv.wakeAt > ma.now {
		return
	}
	if wait := ma.takeToken(); wait > 0 {
		sv.wakeAt = ma.now + wait
		return
	}
	sv.wakeAt = never
	ma.callService()
}

func (ma *Machine) callService() {
	sv := &ma.service
	if !ma.isWatcher() || !sv.canWatch || ma.now >= sv.fullReadAt {
		ma.emit(Range{Call: ma.newCall(call{kind: callRange}, ma.pace.ServiceTimeout)})
		return
	}
	id := ma.newCall(call{kind: callWatch}, ma.pace.WatchWait+ma.pace.ServiceTimeout)
	ma.emit(Watch{Call: id, From: sv.watchFrom, Wait: ma.pace.WatchWait})
}

// isWatcher reports whether this VM watches the service. Without a list of VMs it cannot know,
// and does not watch: all VMs of a fleet without a list would overload the service.
func (ma *Machine) isWatcher() bool {
	return ma.hasMembers && ma.table.IsWatcher()
}

// dropWatch ends the watch of a VM that no longer watches.
func (ma *Machine) dropWatch() {
	if ma.isWatcher() {
		return
	}
	for _, ca := range ma.calls {
		if ca.kind == callWatch {
			ma.endCall(ca.id)
			ma.emit(Abandon{Call: ca.id})
			ma.service.canWatch = false
			return
		}
	}
}

// nextServiceCall returns when this VM may next call the service.
func (ma *Machine) nextServiceCall() time.Duration {
	sv := &ma.service
	switch {
	case ma.isWatcher() && ma.gossip.booting():
		// Peers first: asking them does not load the service.
		return never
	case ma.isWatcher():
		return sv.notBefore
	case len(ma.held) == 0:
		return max(sv.notBefore, sv.fallbackAt)
	default:
		ma.resetService()
		return never
	}
}

// resetService forgets the state of the service and clears its alarms. This VM no longer calls
// the service, so nothing else would ever clear them.
func (ma *Machine) resetService() {
	sv := &ma.service
	sv.canWatch, sv.failures, sv.behind = false, 0, nil
	ma.clearAlarms(AlarmServiceDown, AlarmServicePast, AlarmServiceBehind, AlarmBroken)
}

// fallbackEvery is the mean time between reads by a VM that holds no update and does not watch.
// The reads of the whole fleet together stay within FallbackRate.
func (ma *Machine) fallbackEvery() time.Duration {
	if !ma.hasMembers {
		return ma.pace.FallbackUnlisted
	}
	every := time.Duration(float64(ma.table.Size()) / ma.pace.FallbackRate * float64(time.Second))
	return max(every, ma.pace.ServiceEvery)
}

// takeToken takes a token for a call, or returns how long to wait for one.
func (ma *Machine) takeToken() time.Duration {
	sv := &ma.service
	sv.tokens += float64(ma.now-sv.filledAt) / float64(ma.pace.ServiceEvery)
	sv.tokens = min(sv.tokens, float64(ma.pace.ServiceBurst))
	sv.filledAt = ma.now
	if sv.tokens < 1 {
		return time.Duration((1-sv.tokens)*float64(ma.pace.ServiceEvery)) + tokenSlack
	}
	sv.tokens--
	return 0
}

// serviceFailed lengthens the wait before the next call. Jitter keeps the watching VMs of all
// data centres from calling again at the same time.
func (ma *Machine) serviceFailed() {
	sv := &ma.service
	wait := min(ma.pace.ServiceEvery<<min(sv.failures, maxBackoffShift), ma.pace.MaxBackoff)
	sv.failures++
	sv.notBefore = ma.now + ma.jittered(wait)
	sv.fallbackAt = ma.now + ma.jittered(ma.fallbackEvery())
	if sv.failures >= downFailures {
		ma.raiseAlarm(AlarmServiceDown, "", "the service does not answer; configuration goes on as it is, and nothing can be changed")
	}
}

func (ma *Machine) serviceAnswered(revision uint64) {
	sv := &ma.service
	ma.clearAlarm(AlarmServiceDown, "")
	sv.failures = 0
	sv.fallbackAt = ma.now + ma.jittered(ma.fallbackEvery())
	if revision < sv.highest {
		ma.raiseAlarm(AlarmServicePast, "", fmt.Sprintf("the service is at revision %d after it was at %d", revision, sv.highest))
		return
	}
	sv.highest = revision
	ma.clearAlarm(AlarmServicePast, "")
}

func (ma *Machine) handleRanged(ev Ranged) {
	_, awaited := ma.endCall(ev.Call)
	ma.mergeAll(ev.Updates, originService)
	ma.handleUndecodable(ev.Broken)
	if !awaited {
		// The call had expired; its revision is no basis for the next watch.
		return
	}
	sv := &ma.service
	ma.serviceAnswered(ev.Revision)
	sv.canWatch, sv.watchFrom = true, ev.Revision
	sv.fullReadAt = ma.now + ma.jittered(ma.fullReadInterval(ev.Updates))
	ma.checkService(ev)
}

// fullReadInterval is the mean time until all values are read again.
func (ma *Machine) fullReadInterval(ups []Update) time.Duration {
	size := 0
	for _, up := range ups {
		size += len(up.Document)
	}
	return max(ma.pace.FullReadEvery, time.Duration(float64(size)/ma.pace.FullReadRate*float64(time.Second)))
}

func (ma *Machine) handleWatched(ev Watched) {
	_, awaited := ma.endCall(ev.Call)
	ma.mergeAll(ev.Updates, originService)
	ma.handleUndecodable(ev.Broken)
	if !awaited {
		return
	}
	sv := &ma.service
	ma.serviceAnswered(ev.Revision)
	if ev.Compacted || ev.Revision < sv.watchFrom {
		// Events are lost, or the service's revision decreased: only a full read shows its
		// current state.
		sv.canWatch = false
		return
	}
	sv.watchFrom = ev.Revision
	ma.noteBehind(ev.Updates)
}

// noteBehind checks the updates from a watch for teams of which this VM holds a higher revision,
// as happens when a backup is written over the service's values. It may also be an outdated
// event, if two changes followed each other quickly; a full read soon after decides.
func (ma *Machine) noteBehind(ups []Update) {
	sv := &ma.service
	newest := make(map[string]Update, len(ups))
	for _, up := range ups {
		newest[up.Team] = up
	}
	for team, up := range newest {
		if held := ma.held[team]; !held.ID().newer(up.ID()) {
			continue
		}
		if sv.behind == nil {
			sv.behind = make(map[string]lag)
		}
		sv.behind[team] = lag{revision: up.Revision, since: ma.now}
		sv.fullReadAt = min(sv.fullReadAt, ma.now+ma.pace.ConfirmBehind)
	}
}

func (ma *Machine) handleUndecodable(broken []Undecodable) {
	for _, br := range broken {
		ma.raiseAlarm(AlarmBroken, br.Team, "the value in the service cannot be read: "+br.Err.Error())
	}
}

// checkService looks for teams for which the service holds a lower revision than this VM. A single
// read may have been overtaken by a change. If the difference persists, the service was restored
// from a backup or returns past values.
func (ma *Machine) checkService(ev Ranged) {
	sv := &ma.service
	inService := make(map[string]Revision, len(ev.Updates))
	for _, up := range ev.Updates {
		inService[up.Team] = up.ID()
		ma.clearAlarm(AlarmBroken, up.Team)
	}
	broken := make(map[string]bool, len(ev.Broken))
	for _, br := range ev.Broken {
		broken[br.Team] = true
	}
	behind := make(map[string]lag)
	var lost []Revision
	for _, rv := range ma.Held() {
		if broken[rv.Team] || !rv.newer(inService[rv.Team]) {
			ma.clearAlarm(AlarmServiceBehind, rv.Team)
			continue
		}
		lg, confirmed := ma.confirmBehind(rv, inService[rv.Team].Revision)
		behind[rv.Team] = lg
		if confirmed {
			lost = append(lost, rv)
		}
	}
	sv.behind = behind
	ma.restore(lost)
	if len(behind) > 0 {
		sv.fullReadAt = ma.now + ma.pace.ConfirmBehind + ma.jittered(ma.pace.ConfirmBehind)
	}
}

func (ma *Machine) confirmBehind(rv Revision, revision uint64) (lg lag, confirmed bool) {
	lg, ok := ma.service.behind[rv.Team]
	if !ok || lg.revision != revision {
		return lag{revision: revision, since: ma.now}, false
	}
	if ma.now-lg.since < ma.pace.ConfirmBehind {
		return lg, false
	}
	ma.raiseAlarm(AlarmServiceBehind, rv.Team, fmt.Sprintf("the service holds revision %d, the fleet %d; nothing is put back", revision, rv.Revision))
	return lg, true
}

// maxRestores bounds the teams restored after one full read. All watching VMs restore, so each
// one picks the teams at random.
const maxRestores = 2

func (ma *Machine) restore(lost []Revision) {
	ma.cfg.Rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	for _, rv := range lost[:min(len(lost), maxRestores)] {
		ma.emit(Restore{Update: ma.held[rv.Team]})
	}
}
