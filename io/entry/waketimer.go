package entry

import (
	"time"

	"laburnumvane/core/toggle"
)

// wakeTimer is the timer of a request. It fires when the request's fan-out machine is due to
// act or an attempt has waited too long for a connection, and records how late it fired.
type wakeTimer struct {
	fl    *flight
	timer *time.Timer
	// due is when the timer should fire. It is 0 if that time had already passed when the timer
	// was set, because the delay is then not the timer's.
	due time.Duration
}

func (fl *flight) newWakeTimer() *wakeTimer {
	wt := &wakeTimer{fl: fl}
	wt.timer = time.NewTimer(wt.delay())
	return wt
}

func (wt *wakeTimer) delay() time.Duration {
	at, now := wt.fl.machine.Wake(), wt.fl.en.cfg.Clock()
	if check, ok := wt.fl.nextQueueCheck(); ok {
		at = min(at, check)
	}
	wt.due = 0
	if at > now {
		wt.due = at
	}
	return max(0, at-now)
}

func (wt *wakeTimer) reset() { wt.timer.Reset(wt.delay()) }
func (wt *wakeTimer) stop()  { wt.timer.Stop() }

func (wt *wakeTimer) recordLateness() {
	if wt.due > 0 {
		wt.fl.recordTimer(wt.fl.en.cfg.Clock() - wt.due)
	}
	if wt.due > 0 && !wt.fl.en.cfg.Off.Off(toggle.Timers) {
		wt.fl.en.lead.RecordLateness(wt.fl.en.cfg.Clock() - wt.due)
	}
}
