package poison

import (
	"slices"
	"time"
)

// State is what is known about a request.
type State uint8

// States.
const (
	// Clear: nothing is known against the request.
	Clear State = iota
	// Suspect: servers crashed under it and none answered it; it is sent to one server first.
	Suspect
	// Blocked: it crashes servers, and is refused.
	Blocked
)

// String returns the state's name in logs and counters.
func (st State) String() string {
	switch st {
	case Suspect:
		return "suspect"
	case Blocked:
		return "blocked"
	}
	return "clear"
}

// Record is what is known about a request, in the form in which VMs share it.
type Record struct {
	Fingerprint Fingerprint
	// Trials names the server processes that crashed during trials of the request.
	Trials []string
	// Crashes counts the servers that crashed under the request, and RepeatCrashes those that crashed
	// during a trial at least a second after the previous one that counted.
	Crashes       int
	RepeatCrashes int
}

// Update is a record that changed.
type Update struct {
	Record
	State State
	// Share is set if other VMs have to be informed.
	Share bool
	// Cleared is set if the record was removed because a server answered the request.
	Cleared bool
}

// record is what this VM knows about a request.
type record struct {
	// crashes counts the servers that crashed under the request, as far as this VM knows.
	// repeatCrashes counts those during a trial, minRepeatInterval or more after lastCounted, the
	// time of the previous one that counted.
	crashes       int
	repeatCrashes int
	lastCounted   time.Duration
	trials        []string
	// unserved is set once an arrival ended without an answer from any server.
	unserved bool
	// lastSeen is when the request last arrived, or a server crashed under it.
	lastSeen time.Duration
	// hintedUntil is until when hints from other VMs alone make it suspect.
	hintedUntil time.Duration
	// sharedAt is when this VM last informed others or was informed; everShared is set if it ever
	// was.
	sharedAt   time.Duration
	everShared bool
}

// shouldBlock reports whether the evidence is sufficient to block the request.
func (re *record) shouldBlock() bool {
	return len(re.trials) >= blockTrialCrashes || re.repeatCrashes >= blockRepeatCrashes
}

// countCrash records a crash of a server.
func (re *record) countCrash(now time.Duration, kind TrialKind) {
	re.crashes++
	switch {
	case re.crashes == 1:
		re.lastCounted = now
	case kind != NotTrial && now-re.lastCounted >= minRepeatInterval:
		re.repeatCrashes++
		re.lastCounted = now
	}
}

// merge records the counts known to another VM.
func (re *record) merge(now time.Duration, rd Record) {
	if re.crashes == 0 {
		re.lastCounted = now
	}
	re.crashes, re.repeatCrashes = max(re.crashes, rd.Crashes), max(re.repeatCrashes, rd.RepeatCrashes)
}

func (re *record) state(now time.Duration) State {
	switch {
	case re.shouldBlock() && now-re.lastSeen < BlockDuration:
		return Blocked
	case re.crashes > 0 || len(re.trials) > 0 || re.everShared || now < re.hintedUntil:
		return Suspect
	}
	return Clear
}

// update returns the current state of a record. The caller holds the lock.
func (tb *Table) update(now time.Duration, fp Fingerprint, re *record) Update {
	return Update{
		Record: Record{Fingerprint: fp, Trials: slices.Clone(re.trials), Crashes: re.crashes, RepeatCrashes: re.repeatCrashes},
		State:  re.state(now),
	}
}
