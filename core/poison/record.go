package poison

import (
	"slices"
	"time"
)

// State is what is thought of a request.
type State uint8

// States.
const (
	// Clear: nothing speaks against it.
	Clear State = iota
	// Suspect: servers ended under it and none answered it; it goes to one server first.
	Suspect
	// Blocked: it crashes servers, and is refused.
	Blocked
)

// String is the state's name in logs and counters.
func (st State) String() string {
	switch st {
	case Suspect:
		return "suspect"
	case Blocked:
		return "blocked"
	}
	return "clear"
}

// Record is what is known of a request, as VMs tell each other.
type Record struct {
	Fingerprint Fingerprint
	// Trials names the servers' processes that ended under trials.
	Trials []string
}

// Update is a record that changed.
type Update struct {
	Record
	State State
	// Ends counts the servers that this VM saw end under the request.
	Ends int
	// Share is set if other VMs should hear of it.
	Share bool
	// Cleared is set if the record is gone: a server answered the request.
	Cleared bool
}

// record is what this VM knows of a request.
type record struct {
	ends   int
	trials []string
	// unserved is set once an arrival ended without any server's answer.
	unserved bool
	// seen is when it came last, or a server ended under it.
	seen time.Duration
	// hinted is until when another VM's word alone makes it a suspect.
	hinted time.Duration
	// shared is when other VMs were told, or told this one; ever if they were.
	shared time.Duration
	ever   bool
}

func (re *record) state(now time.Duration) State {
	switch {
	case len(re.trials) >= blockEnds && now-re.seen < BlockFor:
		return Blocked
	case re.ends > 0 || len(re.trials) > 0 || re.ever || now < re.hinted:
		return Suspect
	}
	return Clear
}

// update is a record as it stands. The caller holds the lock.
func (tb *Table) update(now time.Duration, fp Fingerprint, re *record) Update {
	return Update{
		Record: Record{Fingerprint: fp, Trials: slices.Clone(re.trials)},
		State:  re.state(now),
		Ends:   re.ends,
	}
}
