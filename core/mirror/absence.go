package mirror

import "time"

// recoveryMargin is how much later than a failed call a contact with the store must be for
// the failure to be discarded. It is more than the network delays between VMs add up to.
const recoveryMargin = 250 * time.Millisecond

// Absence detects outages of the store, from failed calls to it and from the times at which
// the store was last contacted, by this VM or by the VM whose data it replicates. It is not
// safe for concurrent use.
//
// Stale data alone does not prove an outage: this VM's source may have been slow, and a
// server whose entry was removed meanwhile has really left. A failed call alone does not
// prove one either, if the store was contacted soon after. Both together do.
//
// Several VMs may pass on data of the same age, and each network delay shifts the computed
// time of the last contact forward a little. A contact a few milliseconds after a failed
// call therefore does not show that the store is back; only one that is recoveryMargin later
// than the last failure does. Without that margin, a fleet of eight discarded its failed
// calls, and when the store was back after 6 s, all 38 servers counted as gone for up to
// 3.5 s.
type Outage struct {
	contacted   bool
	lastContact time.Duration
	// firstFailure and lastFailure bound the failed calls since the last contact; 0 if no
	// call failed.
	firstFailure, lastFailure time.Duration
	returned                  time.Duration
}

// Failed records a failed call to the store.
func (ab *Outage) RecordFailure(now time.Duration) {
	if ab.firstFailure == 0 {
		ab.firstFailure = now
	}
	ab.lastFailure = now
}

// Heard records that the store was contacted at the given time, by this VM or by another one.
// Times up to the last known contact are ignored.
func (ab *Outage) RecordContact(at time.Duration) {
	if ab.contacted && at <= ab.lastContact {
		return
	}
	back := ab.contacted && ab.firstFailure > 0 && at > ab.firstFailure && at-ab.lastContact > StaleAfter
	if back {
		ab.returned = at
	}
	if back || at > ab.lastFailure+recoveryMargin {
		ab.firstFailure, ab.lastFailure = 0, 0
	}
	ab.contacted, ab.lastContact = true, at
}

// Told records when the store recovered according to another VM; 0 if that VM knows of no
// outage.
func (ab *Outage) RecordRecovery(returned time.Duration) { ab.returned = max(ab.returned, returned) }

// Ever reports whether the store was ever contacted.
func (ab *Outage) Contacted() bool { return ab.contacted }

// Last returns the time of the last contact with the store.
func (ab *Outage) LastContact() time.Duration { return ab.lastContact }

// Returned returns when the store recovered from its last outage; 0 if no outage is known.
func (ab *Outage) Recovered() time.Duration { return ab.returned }
