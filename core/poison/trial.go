package poison

import (
	"slices"
	"strconv"
	"time"

	"laburnumvane/core/origin"
)

// claim is the request under whose trial a server ended. With two it was neither's doing
// for certain.
type claim struct {
	fp       Fingerprint
	disputed bool
	at       time.Duration
}

// trial is the trials under way at a server.
type trial struct {
	open  int
	mixed bool
}

// Place is how a request stood at a server.
type Place uint8

// Places.
const (
	// Among: as any request, beside others.
	Among Place = iota
	// Beside: tried, while another request was tried there too.
	Beside
	// Alone: tried, and no other meanwhile.
	Alone
)

// BeginTrial notes that a request is tried at a server, and EndTrial that its result is
// there.
func (tb *Table) BeginTrial(pr origin.Process) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tr, ok := tb.trials[pr]
	if !ok {
		tr = &trial{}
		tb.trials[pr] = tr
	}
	tr.open++
	tr.mixed = tr.mixed || tr.open > 1
}

// EndTrial ends what BeginTrial began, and tells how the request stood there.
func (tb *Table) EndTrial(pr origin.Process) Place {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tr, ok := tb.trials[pr]
	if !ok {
		return Among
	}
	tr.open--
	if tr.open == 0 {
		delete(tb.trials, pr)
	}
	if tr.mixed {
		return Beside
	}
	return Alone
}

// OnTrial tells whether a request is being tried at a server.
func (tb *Table) OnTrial(pr origin.Process) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	_, ok := tb.trials[pr]
	return ok
}

// claim counts a server's end as one request's doing, unless it is counted as another's:
// then it is neither's. Both may have been under way there, from different VMs, and only
// what comes next tells them apart. The caller holds the lock.
func (tb *Table) claim(now time.Duration, fp Fingerprint, re *record, name string, ups []Update) []Update {
	cl, claimed := tb.claims[name]
	switch {
	case !claimed:
		if len(re.trials) < mostTrialEnds {
			tb.claims[name] = claim{fp: fp, at: now}
			re.trials = append(re.trials, name)
		}
		return ups
	case cl.disputed || cl.fp == fp:
		return ups
	}
	tb.claims[name] = claim{disputed: true, at: now}
	other, ok := tb.records[cl.fp]
	if !ok {
		return ups
	}
	other.trials = slices.DeleteFunc(other.trials, func(one string) bool { return one == name })
	return append(ups, tb.update(now, cl.fp, other))
}

// claimAll takes the trials that another VM names. The caller holds the lock.
func (tb *Table) claimAll(now time.Duration, rd Record, re *record) []Update {
	var ups []Update
	for _, name := range rd.Trials {
		ups = tb.claim(now, rd.Fingerprint, re, name, ups)
	}
	return ups
}

// trim leaves a record one end short of being blocked. The caller holds the lock.
func (tb *Table) trim(re *record) {
	re.ends, re.repeats = max(re.ends, 1), min(re.repeats, blockRepeats-1)
	for len(re.trials) >= blockEnds {
		last := len(re.trials) - 1
		delete(tb.claims, re.trials[last])
		re.trials = re.trials[:last]
	}
}

// nameOf names a server's process to other VMs.
func nameOf(pr origin.Process) string { return pr.ID + "@" + strconv.FormatInt(pr.Born, 10) }
