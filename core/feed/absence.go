package feed

import "time"

// sureAfter is how much later than a failed call the store must have been heard for
// the failure to be forgotten: more than what the ways between VMs add up to.
const sureAfter = 250 * time.Millisecond

// Absence tells when the store was away, from the calls to it that failed and from
// when it was heard, here or by the VM that passed its news on. It is not safe for
// concurrent use.
//
// That news is late shows no absence: this VM's source may have been slow, and a
// server whose entry was removed meanwhile has left. That a call failed shows none
// either, if the store was heard soon after. Both together do.
//
// News of the same age comes from several VMs, and each way adds a little to the
// time at which the store seems to have been heard: a few milliseconds after a failed
// call say nothing of a return, only what is later than the last of them does. Taken
// for one, they made a fleet of eight forget that calls had failed; when the store was
// back after 6 s, all 38 servers counted as gone for up to 3.5 s.
type Absence struct {
	ever  bool
	heard time.Duration
	// first and last are when calls failed since the store was heard; 0 if none
	// did.
	first, last time.Duration
	returned    time.Duration
}

// Failed takes in that a call to the store failed.
func (ab *Absence) Failed(now time.Duration) {
	if ab.first == 0 {
		ab.first = now
	}
	ab.last = now
}

// Heard takes in that the store was heard, be it through others. Times that are
// older than what is known change nothing.
func (ab *Absence) Heard(at time.Duration) {
	if ab.ever && at <= ab.heard {
		return
	}
	back := ab.ever && ab.first > 0 && at > ab.first && at-ab.heard > StaleAfter
	if back {
		ab.returned = at
	}
	if back || at > ab.last+sureAfter {
		ab.first, ab.last = 0, 0
	}
	ab.ever, ab.heard = true, at
}

// Told takes in when the store returned, as another VM knows; 0 if it does not.
func (ab *Absence) Told(returned time.Duration) { ab.returned = max(ab.returned, returned) }

// Ever tells whether the store was heard at all.
func (ab *Absence) Ever() bool { return ab.ever }

// Last is when the store was heard last.
func (ab *Absence) Last() time.Duration { return ab.heard }

// Returned is when the store came back after an absence; 0 if none is known.
func (ab *Absence) Returned() time.Duration { return ab.returned }
