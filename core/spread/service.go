package spread

import (
	"fmt"
	"time"
)

// service is what the machine knows of the key-value service.
type service struct {
	// wake is when the machine has to look again whether to call.
	wake time.Duration
	// notBefore is the end of the pause after a failure.
	notBefore time.Duration
	failures  int
	// known is set while from is a revision to watch from.
	known bool
	from  uint64
	// highest is the service's highest revision seen.
	highest    uint64
	readBack   time.Duration
	fallbackAt time.Duration
	// tokens bound the rate of calls, whatever the service answers.
	tokens float64
	filled time.Duration
	// behind lists teams of which the service holds less than this VM.
	behind map[string]lag
}

// lag is a lower revision in the service, and since when it is seen.
type lag struct {
	revision uint64
	since    time.Duration
}

const (
	maxShift = 10
	// downFailures in a row mean that the service is down.
	downFailures = 4
	// tokenSlack keeps a wake-up from coming a rounding error too early.
	tokenSlack = time.Millisecond
)

// askService makes the next call to the service, if it falls to this VM.
func (ma *Machine) askService() {
	sv := &ma.service
	ma.dropWatch()
	if ma.waiting(callRange, callWatch) {
		sv.wake = never
		return
	}
	sv.wake = ma.serviceTurn()
	if sv.wake > ma.now {
		return
	}
	if wait := ma.takeToken(); wait > 0 {
		sv.wake = ma.now + wait
		return
	}
	sv.wake = never
	ma.callService()
}

func (ma *Machine) callService() {
	sv := &ma.service
	if !ma.ranked() || !sv.known || ma.now >= sv.readBack {
		ma.act(Range{Call: ma.newCall(call{kind: callRange}, ma.pace.ServicePatience)})
		return
	}
	id := ma.newCall(call{kind: callWatch}, ma.pace.WatchWait+ma.pace.ServicePatience)
	ma.act(Watch{Call: id, From: sv.from, Wait: ma.pace.WatchWait})
}

// ranked tells whether this VM watches. Before it has a list of VMs it cannot
// know, and a fleet of VMs that all think so would be a storm.
func (ma *Machine) ranked() bool {
	return ma.listed && ma.table.Watches()
}

// dropWatch ends the watch of a VM that is no longer ranked.
func (ma *Machine) dropWatch() {
	if ma.ranked() {
		return
	}
	for _, ca := range ma.calls {
		if ca.kind == callWatch {
			ma.endCall(ca.id)
			ma.act(Abandon{Call: ca.id})
			ma.service.known = false
			return
		}
	}
}

// serviceTurn is when this VM may next call the service.
func (ma *Machine) serviceTurn() time.Duration {
	sv := &ma.service
	switch {
	case ma.ranked() && ma.gossip.booting():
		// Peers first: what they hold costs the service nothing.
		return never
	case ma.ranked():
		return sv.notBefore
	case len(ma.held) == 0:
		return max(sv.notBefore, sv.fallbackAt)
	default:
		ma.leaveService()
		return never
	}
}

// leaveService forgets how the service stood. It no longer falls to this VM to
// ask, and an alarm that nothing can end would stand for ever.
func (ma *Machine) leaveService() {
	sv := &ma.service
	sv.known, sv.failures, sv.behind = false, 0, nil
	ma.settleAll(AlarmServiceDown, AlarmServicePast, AlarmServiceBehind, AlarmBroken)
}

// fallbackEvery is the mean time between reads of a VM that holds nothing and is
// not ranked: the whole fleet's reads together stay within FallbackRate.
func (ma *Machine) fallbackEvery() time.Duration {
	if !ma.listed {
		return ma.pace.FallbackUnlisted
	}
	every := time.Duration(float64(ma.table.Size()) / ma.pace.FallbackRate * float64(time.Second))
	return max(every, ma.pace.ServiceEvery)
}

// takeToken takes one call off the allowance, or tells how long to wait.
func (ma *Machine) takeToken() time.Duration {
	sv := &ma.service
	sv.tokens += float64(ma.now-sv.filled) / float64(ma.pace.ServiceEvery)
	sv.tokens = min(sv.tokens, float64(ma.pace.ServiceBurst))
	sv.filled = ma.now
	if sv.tokens < 1 {
		return time.Duration((1-sv.tokens)*float64(ma.pace.ServiceEvery)) + tokenSlack
	}
	sv.tokens--
	return 0
}

// serviceFailed stretches the pause. Its jitter keeps the watching VMs of all
// data centres from coming back together.
func (ma *Machine) serviceFailed() {
	sv := &ma.service
	pause := min(ma.pace.ServiceEvery<<min(sv.failures, maxShift), ma.pace.MaxBackoff)
	sv.failures++
	sv.notBefore = ma.now + ma.jittered(pause)
	sv.fallbackAt = ma.now + ma.jittered(ma.fallbackEvery())
	if sv.failures >= downFailures {
		ma.alarm(AlarmServiceDown, "", "the service does not answer; configuration goes on as it is, and nothing can be changed")
	}
}

func (ma *Machine) serviceAnswered(revision uint64) {
	sv := &ma.service
	ma.settled(AlarmServiceDown, "")
	sv.failures = 0
	sv.fallbackAt = ma.now + ma.jittered(ma.fallbackEvery())
	if revision < sv.highest {
		ma.alarm(AlarmServicePast, "", fmt.Sprintf("the service is at revision %d after it was at %d", revision, sv.highest))
		return
	}
	sv.highest = revision
	ma.settled(AlarmServicePast, "")
}

func (ma *Machine) takeRanged(ev Ranged) {
	_, awaited := ma.endCall(ev.Call)
	ma.learnAll(ev.Updates, originService)
	ma.takeBroken(ev.Broken)
	if !awaited {
		// Given up; its revision says nothing about where to watch from now.
		return
	}
	sv := &ma.service
	ma.serviceAnswered(ev.Revision)
	sv.known, sv.from = true, ev.Revision
	sv.readBack = ma.now + ma.jittered(ma.readBackEvery(ev.Updates))
	ma.compareService(ev)
}

// readBackEvery is the mean time until everything is read again.
func (ma *Machine) readBackEvery(ups []Update) time.Duration {
	size := 0
	for _, up := range ups {
		size += len(up.Document)
	}
	return max(ma.pace.ReadBack, time.Duration(float64(size)/ma.pace.ReadBackRate*float64(time.Second)))
}

func (ma *Machine) takeWatched(ev Watched) {
	_, awaited := ma.endCall(ev.Call)
	ma.learnAll(ev.Updates, originService)
	ma.takeBroken(ev.Broken)
	if !awaited {
		return
	}
	sv := &ma.service
	ma.serviceAnswered(ev.Revision)
	if ev.Compacted || ev.Revision < sv.from {
		// Events are lost, or the service went back: only reading everything
		// tells where it stands.
		sv.known = false
		return
	}
	sv.from = ev.Revision
	ma.noteBehind(ev.Updates)
}

// noteBehind looks at what a watch brought for teams of which this VM has a
// higher revision, as when a backup is written over the service's values. It
// may also be old news of two quick changes; a reading soon after tells.
func (ma *Machine) noteBehind(ups []Update) {
	sv := &ma.service
	newest := make(map[string]Update, len(ups))
	for _, up := range ups {
		newest[up.Team] = up
	}
	for team, up := range newest {
		if held := ma.held[team]; !held.Name().newer(up.Name()) {
			continue
		}
		if sv.behind == nil {
			sv.behind = make(map[string]lag)
		}
		sv.behind[team] = lag{revision: up.Revision, since: ma.now}
		sv.readBack = min(sv.readBack, ma.now+ma.pace.ConfirmBehind)
	}
}

func (ma *Machine) takeBroken(brs []Broken) {
	for _, br := range brs {
		ma.alarm(AlarmBroken, br.Team, "the value in the service cannot be read: "+br.Err.Error())
	}
}

// compareService looks for teams of which the service holds less than this VM.
// Once may be a read that was overtaken; still so after a while, the service
// came back from a backup or answers from the past.
func (ma *Machine) compareService(ev Ranged) {
	sv := &ma.service
	there := make(map[string]Revision, len(ev.Updates))
	for _, up := range ev.Updates {
		there[up.Team] = up.Name()
		ma.settled(AlarmBroken, up.Team)
	}
	broken := make(map[string]bool, len(ev.Broken))
	for _, br := range ev.Broken {
		broken[br.Team] = true
	}
	behind := make(map[string]lag)
	var lost []Revision
	for _, rv := range ma.Held() {
		if broken[rv.Team] || !rv.newer(there[rv.Team]) {
			ma.settled(AlarmServiceBehind, rv.Team)
			continue
		}
		lg, confirmed := ma.stillBehind(rv, there[rv.Team].Revision)
		behind[rv.Team] = lg
		if confirmed {
			lost = append(lost, rv)
		}
	}
	sv.behind = behind
	ma.restore(lost)
	if len(behind) > 0 {
		sv.readBack = ma.now + ma.pace.ConfirmBehind + ma.jittered(ma.pace.ConfirmBehind)
	}
}

func (ma *Machine) stillBehind(rv Revision, revision uint64) (lg lag, confirmed bool) {
	lg, ok := ma.service.behind[rv.Team]
	if !ok || lg.revision != revision {
		return lag{revision: revision, since: ma.now}, false
	}
	if ma.now-lg.since < ma.pace.ConfirmBehind {
		return lg, false
	}
	ma.alarm(AlarmServiceBehind, rv.Team, fmt.Sprintf("the service holds revision %d, the fleet %d; nothing is put back", revision, rv.Revision))
	return lg, true
}

// restoreLimit bounds the teams restored after one reading. All ranked VMs
// restore, so that they draw which teams to begin with.
const restoreLimit = 2

func (ma *Machine) restore(lost []Revision) {
	ma.cfg.Rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	for _, rv := range lost[:min(len(lost), restoreLimit)] {
		ma.act(Restore{Update: ma.held[rv.Team]})
	}
}
