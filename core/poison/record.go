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
	// Ends counts the servers that ended under it, and Repeats those of them that ended under
	// a trial a while after the one before.
	Ends    int
	Repeats int
}

// Update is a record that changed.
type Update struct {
	Record
	State State
	// Share is set if other VMs should hear of it.
	Share bool
	// Cleared is set if the record is gone: a server answered the request.
	Cleared bool
}

// record is what this VM knows of a request.
type record struct {
	// ends counts the servers that ended under it, as far as this VM knows, and repeats those
	// under a trial repeatAfter or more after the last one that counted, at endedAt.
	ends    int
	repeats int
	endedAt time.Duration
	trials  []string
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

// crashes tells whether what is known is enough to block the request.
func (re *record) crashes() bool {
	return len(re.trials) >= blockEnds || re.repeats >= blockRepeats
}

// count takes in a server's end.
func (re *record) count(now time.Duration, how Place) {
	re.ends++
	switch {
	case re.ends == 1:
		re.endedAt = now
	case how != Among && now-re.endedAt >= repeatAfter:
		re.repeats++
		re.endedAt = now
	}
}

// learn takes in how many servers ended, as another VM knows.
func (re *record) learn(now time.Duration, rd Record) {
	if re.ends == 0 {
		re.endedAt = now
	}
	re.ends, re.repeats = max(re.ends, rd.Ends), max(re.repeats, rd.Repeats)
}

func (re *record) state(now time.Duration) State {
	switch {
	case re.crashes() && now-re.seen < BlockFor:
		return Blocked
	case re.ends > 0 || len(re.trials) > 0 || re.ever || now < re.hinted:
		return Suspect
	}
	return Clear
}

// update is a record as it stands. The caller holds the lock.
func (tb *Table) update(now time.Duration, fp Fingerprint, re *record) Update {
	return Update{
		Record: Record{Fingerprint: fp, Trials: slices.Clone(re.trials), Ends: re.ends, Repeats: re.repeats},
		State:  re.state(now),
	}
}
