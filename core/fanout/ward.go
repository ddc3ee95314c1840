package fanout

import "time"

// A request may crash each server that begins to run it. Sent on from each shard whose
// server ended, to all that are left, it would take the whole register with it. So once a
// server ended the connection under a request that no server has answered, nothing more
// goes out at once: when what is under way is through, one server of one shard gets it, as
// a trial. Any answer shows that the request is not the cause, and all shards go on. An end
// shows nothing yet, since others run at a server that crashes; mostTrials ends in a row
// do.

const (
	// mostTrials is how many servers may end under trials of one arrival.
	mostTrials = 2
	// surelyEnded is how many attempts must have broken, with none answered, for them not
	// to count as servers on which the request may run: those servers have ended. Where
	// the first attempts and as many hedges broke no trial would be left else, and the
	// next arrival would do as much.
	surelyEnded = 6
	// fewShards is how many may well be late at once, each by itself.
	fewShards = 4
)

// ward guards the servers from one request.
type ward struct {
	// careful is set while trials decide, and proved once a server answered.
	careful, proved bool
	// broken counts the attempts that servers broke, and ends the trials among them.
	broken, ends int
	// hedgeFrom is when a further hedge may go out, trialFrom the same for a trial.
	hedgeFrom, trialFrom time.Duration
}

// weigh takes in what a result shows of the request itself.
func (mc *Machine) weigh(now time.Duration, at *attempt, ev Event) {
	switch {
	case ev.Verdict == Served || ev.Verdict == Failed:
		mc.ward.proved, mc.ward.careful, mc.ward.hedgeFrom = true, false, 0
	case ev.Broken && !mc.ward.proved:
		mc.ward.careful = true
		mc.ward.broken++
		mc.shards[at.shard].broken++
		if at.trial {
			mc.ward.ends++
			mc.ward.trialFrom = now + mc.cfg.TrialGap
		}
	}
}

// holdHedges has the other shards wait while no server has answered: where all of them are
// late at once it is not the servers, and as many again would be lost with the first. An
// answer ends the wait.
func (mc *Machine) holdHedges(now time.Duration) {
	if !mc.ward.proved && mc.cfg.Shards > fewShards {
		mc.ward.hedgeFrom = now + mc.cfg.HedgeAfter
	}
}

// proceed sends what is due: all of it, or one trial.
func (mc *Machine) proceed(now time.Duration) {
	switch {
	case mc.answered:
	case !mc.ward.careful:
		for i := range mc.shards {
			if mc.shards[i].due {
				mc.retry(now, i, false)
			}
		}
	case mc.ward.ends >= mostTrials || mc.cfg.Blocked != nil && mc.cfg.Blocked():
		mc.giveUp()
	default:
		for mc.countDue() > 0 && now >= mc.nextTrial() {
			mc.retry(now, mc.drawDue(), true)
		}
	}
}

// giveUp kills every shard: a further server would end too.
func (mc *Machine) giveUp() {
	for i := range mc.shards {
		if sh := &mc.shards[i]; sh.winner == none && !sh.dead {
			sh.due = false
			mc.kill(i, ReasonCrashes)
		}
	}
}

// nextTrial is when a trial may go out: once every attempt under way has its result, or
// takes longer than it should; Hard if there is to be none.
func (mc *Machine) nextTrial() time.Duration {
	if mc.countDue() == 0 {
		return mc.cfg.Hard
	}
	at, trials := mc.ward.trialFrom, mc.ward.ends
	for k := range mc.attempts {
		if mc.attempts[k].verdict != 0 {
			continue
		}
		if mc.attempts[k].trial {
			trials++
		}
		if mc.cfg.HedgeAfter == 0 {
			return mc.cfg.Hard
		}
		at = max(at, mc.attempts[k].started+mc.cfg.HedgeAfter)
	}
	if trials >= mostTrials {
		return mc.cfg.Hard
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

// drawDue draws one of the shards that are due: requests that were under way at the same
// servers are then tried at different ones.
func (mc *Machine) drawDue() int {
	n := 0
	if mc.cfg.Draw != nil {
		n = int(mc.cfg.Draw() * float64(mc.countDue()))
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
