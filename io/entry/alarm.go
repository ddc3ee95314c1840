package entry

import (
	"time"

	"laburnumvane/core/toggle"
)

// alarm is the timer of a request: it fires when its machine wants to wake, and
// tells how late it did.
type alarm struct {
	fl    *flight
	timer *time.Timer
	// at is when it is due; 0 if that was past when it was set, for then its
	// lateness is not the timer's.
	at time.Duration
}

func (fl *flight) newAlarm() *alarm {
	al := &alarm{fl: fl}
	al.timer = time.NewTimer(al.wait())
	return al
}

func (al *alarm) wait() time.Duration {
	at, now := al.fl.machine.Wake(), al.fl.en.cfg.Clock()
	al.at = 0
	if at > now {
		al.at = at
	}
	return max(0, at-now)
}

func (al *alarm) set()  { al.timer.Reset(al.wait()) }
func (al *alarm) stop() { al.timer.Stop() }

func (al *alarm) rang() {
	if al.at > 0 && !al.fl.en.cfg.Off.Off(toggle.Timers) {
		al.fl.en.lead.Woke(al.fl.en.cfg.Clock() - al.at)
	}
}
