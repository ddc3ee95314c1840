package fanout

import "time"

// A request may crash every server that starts to run it. If each shard whose server crashed
// retried on another one, a single request could take down every registered server. So once a
// server ended the connection and no server has answered the request, no further attempts are
// sent in parallel: when all open attempts have a result, one server of one shard gets the
// request, as a trial. An answer of any kind shows that the request is not the cause, and all
// shards proceed. A single crash during a trial proves nothing yet, since other requests run on
// the same server; maxFailedTrials in a row do.

const (
	// maxFailedTrials is how many servers may crash during trials of one arrival of a request.
	maxFailedTrials = 2
	// confirmedCrashes is the number of broken attempts, with no answer, from which on they no
	// longer count as servers that may still be running the request, since those servers have
	// crashed. Without this rule, a first attempt and a hedge broken on every shard would use up
	// MaxAttempts, no trial could be sent, and the next arrival would crash as many servers.
	confirmedCrashes = 6
	// smallFanout is the largest number of shards that may plausibly all be late independently.
	smallFanout = 4
)

// crashGuard limits how many servers one request may crash.
type crashGuard struct {
	// trialsOnly is set while attempts are sent one at a time; cleared once a server answered.
	trialsOnly, cleared bool
	// broken counts the attempts whose connection a server ended, failedTrials the trials among
	// them.
	broken, failedTrials int
	// hedgeNotBefore and trialNotBefore are the earliest times of the next hedge and the next
	// trial.
	hedgeNotBefore, trialNotBefore time.Duration
}

// updateGuard records what a result shows about the request itself.
func (mc *Machine) updateGuard(now time.Duration, at *attempt, ev Event) {
	switch {
	case ev.Verdict == Served || ev.Verdict == Failed:
		mc.guard.cleared, mc.guard.trialsOnly, mc.guard.hedgeNotBefore = true, false, 0
	case ev.Broken && !mc.guard.cleared:
		mc.guard.trialsOnly = true
		mc.guard.broken++
		mc.shards[at.shard].broken++
		if at.trial {
			mc.guard.failedTrials++
			mc.guard.trialNotBefore = now + mc.cfg.TrialGap
		}
	}
}

// delayHedges delays the hedges of the other shards while no server has answered: if all shards
// are late at once, the cause is not the individual servers, and hedging all of them would double
// the number of lost attempts. The first answer ends the delay.
func (mc *Machine) delayHedges(now time.Duration) {
	if !mc.guard.cleared && mc.cfg.Shards > smallFanout {
		mc.guard.hedgeNotBefore = now + mc.cfg.HedgeAfter
	}
}

// sendDue sends the attempts that are due: all of them, or a single trial.
func (mc *Machine) sendDue(now time.Duration) {
	switch {
	case mc.answered:
	case !mc.guard.trialsOnly:
		for i := range mc.shards {
			if sh := &mc.shards[i]; sh.due && now >= sh.retryAt {
				mc.retry(now, i, false)
			}
		}
	case mc.guard.failedTrials >= maxFailedTrials || mc.cfg.Blocked != nil && mc.cfg.Blocked():
		mc.failAllShards()
	default:
		for mc.countDue() > 0 && now >= mc.nextTrialTime() {
			mc.retry(now, mc.drawDue(), true)
		}
	}
}

// failAllShards fails every shard without an answer, since any further server would crash too.
func (mc *Machine) failAllShards() {
	for i := range mc.shards {
		if sh := &mc.shards[i]; sh.winner == none && !sh.failed {
			sh.due = false
			mc.failShard(i, ReasonCrashes)
		}
	}
}

// nextTrialTime returns when the next trial may be sent: once every open attempt has a result or
// is late; HardDeadline if no further trial is possible.
func (mc *Machine) nextTrialTime() time.Duration {
	if mc.countDue() == 0 {
		return mc.cfg.HardDeadline
	}
	at, trials := mc.guard.trialNotBefore, mc.guard.failedTrials
	for k := range mc.attempts {
		if mc.attempts[k].verdict != 0 {
			continue
		}
		if mc.attempts[k].trial {
			trials++
		}
		if mc.cfg.HedgeAfter == 0 {
			return mc.cfg.HardDeadline
		}
		at = max(at, mc.attempts[k].started+mc.cfg.HedgeAfter)
	}
	if trials >= maxFailedTrials {
		return mc.cfg.HardDeadline
	}
	return at
}

func (mc *Machine) countDue() int {
	n := 0
	for i := range mc.shards {
		if mc.shards[i].due {
			n++
		}
	}
	return n
}

// drawDue picks one of the due shards at random, so that requests that ran on the same crashed
// servers are tried on different ones.
func (mc *Machine) drawDue() int {
	n := 0
	if mc.cfg.Rand != nil {
		n = int(mc.cfg.Rand() * float64(mc.countDue()))
	}
	for i := range mc.shards {
		if !mc.shards[i].due {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return none
}
