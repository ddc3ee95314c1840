package mirror

import "time"

// recoveryMargin is how much later than a failed call a contact with the store must be for
// the failure to be discarded. It is more than the network delays between VMs add up to.
const recoveryMargin = 250 * time.Millisecond

// Outage detects outages of the store, from failed calls to it and from the times at which
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
	recovered                 time.Duration
}

// RecordFailure records a failed call to the store.
func (ou *Outage) RecordFailure(now time.Duration) {
	if ou.firstFailure == 0 {
		ou.firstFailure = now
	}
	ou.lastFailure = now
}

// RecordContact records that the store was contacted at the given time, by this VM or by another
// one. Times up to the last known contact are ignored.
func (ou *Outage) RecordContact(at time.Duration) {
	if ou.contacted && at <= ou.lastContact {
		return
	}
	back := ou.contacted && ou.firstFailure > 0 && at > ou.firstFailure && at-ou.lastContact > StaleAfter
	if back {
		ou.recovered = at
	}
	if back || at > ou.lastFailure+recoveryMargin {
		ou.firstFailure, ou.lastFailure = 0, 0
	}
	ou.contacted, ou.lastContact = true, at
}

// RecordRecovery records when the store recovered according to another VM; 0 if that VM knows of no
// outage.
func (ou *Outage) RecordRecovery(returned time.Duration) { ou.recovered = max(ou.recovered, returned) }

// Contacted reports whether the store was ever contacted.
func (ou *Outage) Contacted() bool { return ou.contacted }

// LastContact returns the time of the last contact with the store.
func (ou *Outage) LastContact() time.Duration { return ou.lastContact }

// Recovered returns when the store recovered from its last outage; 0 if no outage is known.
func (ou *Outage) Recovered() time.Duration { return ou.recovered }
