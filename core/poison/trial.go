package poison

import (
	"slices"
	"strconv"
	"time"

	"laburnumvane/core/origin"
)

// attribution is the request to which the crash of a server during a trial is attributed. If
// trials of two requests claim the same crash, it is ambiguous and counts for neither.
type attribution struct {
	fp        Fingerprint
	ambiguous bool
	at        time.Duration
}

// serverTrials is the state of the trials on one server.
type serverTrials struct {
	open       int
	overlapped bool
}

// TrialKind is how a request ran on a server.
type TrialKind uint8

// Kinds of runs.
const (
	// NotTrial: not a trial; it ran beside other requests.
	NotTrial TrialKind = iota
	// SharedTrial: a trial during which another request was tried on the server too.
	SharedTrial
	// ExclusiveTrial: a trial with no other one on the server.
	ExclusiveTrial
)

// BeginTrial records the start of a request's trial on a server. EndTrial has to follow once
// there is a result.
func (tb *Table) BeginTrial(pr origin.Process) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tr, ok := tb.trials[pr]
	if !ok {
		tr = &serverTrials{}
		tb.trials[pr] = tr
	}
	tr.open++
	tr.overlapped = tr.overlapped || tr.open > 1
}

// EndTrial records the end of a trial and reports whether it was the only one on the server.
func (tb *Table) EndTrial(pr origin.Process) TrialKind {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tr, ok := tb.trials[pr]
	if !ok {
		return NotTrial
	}
	tr.open--
	if tr.open == 0 {
		delete(tb.trials, pr)
	}
	if tr.overlapped {
		return SharedTrial
	}
	return ExclusiveTrial
}

// HasTrial reports whether a request is being tried on a server.
func (tb *Table) HasTrial(pr origin.Process) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	_, ok := tb.trials[pr]
	return ok
}

// attribute attributes a server's crash to a request. If the crash is attributed to another
// request already, it counts for neither: both may have run on the server, sent by different VMs,
// and only later crashes can tell which is the cause. The caller holds the lock.
func (tb *Table) attribute(now time.Duration, fp Fingerprint, re *record, name string, ups []Update) []Update {
	attr, found := tb.attributions[name]
	switch {
	case !found:
		if len(re.trials) < maxTrialNames {
			tb.attributions[name] = attribution{fp: fp, at: now}
			re.trials = append(re.trials, name)
		}
		return ups
	case attr.ambiguous || attr.fp == fp:
		return ups
	}
	tb.attributions[name] = attribution{ambiguous: true, at: now}
	other, ok := tb.records[attr.fp]
	if !ok {
		return ups
	}
	other.trials = slices.DeleteFunc(other.trials, func(trial string) bool { return trial == name })
	return append(ups, tb.update(now, attr.fp, other))
}

// attributeAll attributes the crashes that another VM's record names. The caller holds the lock.
func (tb *Table) attributeAll(now time.Duration, rd Record, re *record) []Update {
	var ups []Update
	for _, name := range rd.Trials {
		ups = tb.attribute(now, rd.Fingerprint, re, name, ups)
	}
	return ups
}

// demote leaves a record one crash short of being blocked. The caller holds the lock.
func (tb *Table) demote(re *record) {
	re.crashes, re.repeatCrashes = max(re.crashes, 1), min(re.repeatCrashes, blockRepeatCrashes-1)
	for len(re.trials) >= blockTrialCrashes {
		last := len(re.trials) - 1
		delete(tb.attributions, re.trials[last])
		re.trials = re.trials[:last]
	}
}

// processName returns the name of a server's process in shared records.
func processName(pr origin.Process) string { return pr.ID + "@" + strconv.FormatInt(pr.StartMs, 10) }
